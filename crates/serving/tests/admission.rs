//! Order of queued requests.

use std::time::Duration;

use quickcheck::{quickcheck, TestResult};
use yokefall_core::Timestamp;
use yokefall_serving::admission::{load_limit, AdmissionQueue, QueueLimits, QueuedRequest};

const NOW: Timestamp = Timestamp(10_000);

fn limits(rank: u32) -> QueueLimits {
    QueueLimits { rank, target: Duration::from_millis(300), timeout: Duration::from_millis(5_000) }
}

fn queue(arrivals: &[(u64, u32)]) -> AdmissionQueue {
    let mut queue = AdmissionQueue::default();
    for (ticket, (arrived, rank)) in (0..).zip(arrivals) {
        queue.enqueue(QueuedRequest::new(ticket, Timestamp(*arrived), limits(*rank)));
    }
    queue
}

fn drain(queue: &mut AdmissionQueue, now: Timestamp) -> Vec<u64> {
    let mut order = Vec::new();
    while let Some(next) = queue.next(now) {
        queue.remove(next.ticket);
        order.push(next.ticket);
    }
    order
}

#[test]
fn requests_that_can_be_in_time_are_sent_first_newest_first() {
    // With a target of 300 ms, requests aged 600 and 500 ms are late; 60 and 20 ms are not.
    let mut queue = queue(&[(9_400, 0), (9_940, 0), (9_500, 0), (9_980, 0)]);
    assert_eq!(drain(&mut queue, NOW), [3, 1, 0, 2]);
}

#[test]
fn a_higher_rank_is_sent_first_even_if_late() {
    let mut queue = queue(&[(9_990, 1), (9_000, 0)]);
    assert_eq!(drain(&mut queue, NOW), [1, 0]);
}

#[test]
fn a_request_expires_while_its_caller_can_still_retry() {
    let mut queue = queue(&[(10_000, 0)]);
    let expiry = queue.next_expiry().expect("a queued request");
    // 0.35 of its timeout of 5 s, which is less than 6 times its target.
    assert_eq!(expiry, NOW.plus_millis(1_750));
    assert!(queue.expire(NOW.plus_millis(1_749)).is_empty());
    let expired = queue.expire(expiry);
    assert_eq!(expired.iter().map(|request| request.ticket).collect::<Vec<_>>(), [0]);
    assert!(queue.is_empty());
}

#[test]
fn the_load_limit_allows_a_wait_of_a_quarter_of_the_target() {
    let target = Duration::from_millis(300);
    assert_eq!(load_limit(target, 750.0), 1.1);
    assert_eq!(load_limit(target, 15.0), 6.0);
    // Service times below a millisecond count as one millisecond.
    assert_eq!(load_limit(target, 0.0), 76.0);
}

quickcheck! {
    fn every_queued_request_leaves_the_queue_once(
        arrivals: Vec<(u16, u8)>, capacity: u8
    ) -> TestResult {
        let arrivals: Vec<(u64, u32)> =
            arrivals.iter().map(|(at, rank)| (u64::from(*at), u32::from(rank % 3))).collect();
        let mut queue = queue(&arrivals);
        let mut ended = vec![0_u32; arrivals.len()];
        let mut now = Timestamp(0);
        while !queue.is_empty() {
            for expired in queue.expire(now) {
                ended[expired.ticket as usize] += 1;
            }
            for _ in 0..capacity % 4 {
                let Some(next) = queue.next(now) else { break };
                let higher = queue_has_higher(&mut queue.clone(), now, next);
                if higher {
                    return TestResult::failed();
                }
                queue.remove(next.ticket);
                ended[next.ticket as usize] += 1;
            }
            now = now.plus_millis(100);
            if now > Timestamp(80_000) {
                return TestResult::failed();
            }
        }
        TestResult::from_bool(ended.iter().all(|ends| *ends == 1))
    }
}

fn queue_has_higher(queue: &mut AdmissionQueue, now: Timestamp, next: QueuedRequest) -> bool {
    while let Some(queued) = queue.next(now) {
        queue.remove(queued.ticket);
        if queued.rank < next.rank {
            return true;
        }
    }
    false
}
