//! Order of requests that wait for room at back ends.

use std::time::Duration;

use quickcheck::{quickcheck, TestResult};
use yokefall_core::Timestamp;
use yokefall_serving::admission::{load_limit, AdmissionQueue, QueueLimits, QueuedRequest};

const NOW: Timestamp = Timestamp(10_000);

fn terms(rank: u32) -> QueueLimits {
    QueueLimits { rank, target: Duration::from_millis(300), timeout: Duration::from_millis(5_000) }
}

fn queue(arrivals: &[(u64, u32)]) -> AdmissionQueue {
    let mut queue = AdmissionQueue::default();
    for (ticket, (arrived, rank)) in (0..).zip(arrivals) {
        queue.enqueue(QueuedRequest::new(ticket, Timestamp(*arrived), terms(*rank)));
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
fn those_that_can_be_in_time_go_first_the_newest_of_them_before_the_others() {
    // 600 and 500 ms old are late with a target of 300 ms; 60 and 20 are not.
    let mut queue = queue(&[(9_400, 0), (9_940, 0), (9_500, 0), (9_980, 0)]);
    assert_eq!(drain(&mut queue, NOW), [3, 1, 0, 2]);
}

#[test]
fn a_higher_rank_goes_first_even_where_it_is_late() {
    let mut queue = queue(&[(9_990, 1), (9_000, 0)]);
    assert_eq!(drain(&mut queue, NOW), [1, 0]);
}

#[test]
fn a_request_is_given_up_while_its_caller_can_still_come_back() {
    let mut queue = queue(&[(10_000, 0)]);
    let expiry = queue.next_expiry().expect("one is held");
    // A share of 0.35 of its 5 s, and under 6 times its target.
    assert_eq!(expiry, NOW.plus_millis(1_750));
    assert!(queue.expire(NOW.plus_millis(1_749)).is_empty());
    let expired = queue.expire(expiry);
    assert_eq!(expired.iter().map(|held| held.ticket).collect::<Vec<_>>(), [0]);
    assert!(queue.is_empty());
}

#[test]
fn room_beyond_the_slots_is_what_waits_for_a_quarter_of_the_target() {
    let target = Duration::from_millis(300);
    assert_eq!(load_limit(target, 750.0), 1.1);
    assert_eq!(load_limit(target, 15.0), 6.0);
    // Nothing takes less than a millisecond, whatever was observed.
    assert_eq!(load_limit(target, 0.0), 76.0);
}

quickcheck! {
    /// Whatever the load, every request that is held ends once: it is sent or given up.
    fn every_held_request_ends_once(arrivals: Vec<(u16, u8)>, room: u8) -> TestResult {
        let arrivals: Vec<(u64, u32)> =
            arrivals.iter().map(|(at, rank)| (u64::from(*at), u32::from(rank % 3))).collect();
        let mut queue = queue(&arrivals);
        let mut ended = vec![0_u32; arrivals.len()];
        let mut now = Timestamp(0);
        while !queue.is_empty() {
            for expired in queue.expire(now) {
                ended[expired.ticket as usize] += 1;
            }
            for _ in 0..room % 4 {
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

/// Whether a request of a higher rank than `next` is held.
fn queue_has_higher(queue: &mut AdmissionQueue, now: Timestamp, next: QueuedRequest) -> bool {
    while let Some(held) = queue.next(now) {
        queue.remove(held.ticket);
        if held.rank < next.rank {
            return true;
        }
    }
    false
}
