//! Order in which queued requests are sent to back ends while capacity is short: first those that
//! can still be answered in time, newest first, then late ones, oldest first.
//!
//! A back end serves its requests in order of arrival, so those beyond its capacity queue here,
//! where the order can change. Its capacity is derived from a bound on the wait there and observed
//! service times: "Flow control for Latency-Critical RPCs" (Kogias and Bugnion, 2018).

use std::cmp::Reverse;
use std::time::Duration;

use yokefall_core::Timestamp;

/// Share of a route's target latency for which a request may wait at a back end. The rest is for
/// the network and for the work before the first byte.
const BACKEND_WAIT_SHARE: f64 = 0.25;
/// Share of a route's target latency for which a request may be queued and still be in time.
const IN_TIME_SHARE: f64 = 0.4;
/// Longest time in the queue, in multiples of the route's target latency. Callers of streams leave
/// when nothing arrives for a few multiples of it.
const MAX_QUEUE_TIME_TARGETS: f64 = 6.0;
/// Longest queue time as a share of the timeout, so that a rejected caller can still retry.
const MAX_QUEUE_TIME_SHARE: f64 = 0.35;

/// A request waiting in the queue.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct QueuedRequest {
    /// Id of the request, unique in its queue.
    pub ticket: u64,
    /// Rank of its route; 0 is the highest.
    pub rank: u32,
    /// Arrival time.
    pub arrived: Timestamp,
    /// Latest time at which it can be sent and still be answered in time.
    pub in_time_until: Timestamp,
    /// Time at which it is removed from the queue without having been sent.
    pub expires_at: Timestamp,
}

/// Parameters that bound the time in the queue.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct QueueLimits {
    /// Rank of the request's route; 0 is the highest.
    pub rank: u32,
    /// Target latency of the route.
    pub target: Duration,
    /// Timeout set by the caller or the route.
    pub timeout: Duration,
}

impl QueuedRequest {
    /// A request that arrived at `arrived`.
    pub fn new(ticket: u64, arrived: Timestamp, limits: QueueLimits) -> Self {
        let after = |duration: Duration| arrived.plus_millis(duration.as_millis() as u64);
        let max_queue_time = limits
            .target
            .mul_f64(MAX_QUEUE_TIME_TARGETS)
            .min(limits.timeout.mul_f64(MAX_QUEUE_TIME_SHARE));
        Self {
            ticket,
            rank: limits.rank,
            arrived,
            in_time_until: after(limits.target.mul_f64(IN_TIME_SHARE).min(max_queue_time)),
            expires_at: after(max_queue_time),
        }
    }

    fn urgency(&self, now: Timestamp) -> Urgency {
        if now <= self.in_time_until {
            Urgency::InTime(Reverse(self.arrived))
        } else {
            Urgency::Late(self.arrived)
        }
    }
}

/// Order of requests of equal rank; the smallest is sent first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Urgency {
    /// Can still be answered in time. The newest is sent first: with little capacity, oldest first
    /// would send each request at the last moment, and any further wait would make it late.
    InTime(Reverse<Timestamp>),
    /// Can no longer be answered in time. The oldest is sent first because its caller leaves first.
    Late(Timestamp),
}

/// Queued requests of one service.
#[derive(Clone, Debug, Default)]
pub struct AdmissionQueue {
    queued: Vec<QueuedRequest>,
}

impl AdmissionQueue {
    /// Adds a request.
    pub fn enqueue(&mut self, request: QueuedRequest) {
        self.queued.push(request);
    }

    /// The request to send next. Invariant: no request precedes one of a higher rank.
    pub fn next(&self, now: Timestamp) -> Option<QueuedRequest> {
        let order = |queued: &&QueuedRequest| (queued.rank, queued.urgency(now), queued.ticket);
        self.queued.iter().min_by_key(order).copied()
    }

    /// Removes a request; `None` if it is not queued.
    pub fn remove(&mut self, ticket: u64) -> Option<QueuedRequest> {
        let position = self.queued.iter().position(|queued| queued.ticket == ticket)?;
        Some(self.queued.swap_remove(position))
    }

    /// Removes and returns the expired requests.
    pub fn expire(&mut self, now: Timestamp) -> Vec<QueuedRequest> {
        let (expired, queued) = self.queued.iter().partition(|queued| queued.expires_at <= now);
        self.queued = queued;
        expired
    }

    /// Time at which the first request expires.
    pub fn next_expiry(&self) -> Option<Timestamp> {
        self.queued.iter().map(|queued| queued.expires_at).min()
    }

    /// Number of queued requests.
    pub fn len(&self) -> usize {
        self.queued.len()
    }

    /// Whether the queue is empty.
    pub fn is_empty(&self) -> bool {
        self.queued.is_empty()
    }
}

/// Load, as a fraction of its slots, up to which a back end is sent requests with this target and
/// service time, so that those beyond its slots wait there for a bounded share of the target.
pub fn load_limit(target: Duration, service_ms: f64) -> f64 {
    let wait_ms = target.as_secs_f64() * 1_000.0 * BACKEND_WAIT_SHARE;
    1.0 + wait_ms / service_ms.max(1.0)
}
