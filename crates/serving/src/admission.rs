//! Which request goes to a back end next where there is room for few: requests that can still be
//! answered in time, the newest first, then late ones, the oldest first.
//!
//! A back end serves what it has in the order of arrival. What is beyond its room is therefore held
//! here, where the order can still change. After "Flow control for Latency-Critical RPCs" (Kogias
//! and Bugnion, 2018) the room at back ends follows from a bound on the time that a request may wait
//! there, and from the time that requests were observed to take.

use std::cmp::Reverse;
use std::time::Duration;

use yokefall_core::Timestamp;

/// Part of a route's target for latency for which a request may wait at a back end. The rest is for
/// the way and for the work before the first byte.
const BACKEND_WAIT_SHARE: f64 = 0.25;
/// Part of a route's target for which a request may be held and still be answered in time.
const IN_TIME_SHARE: f64 = 0.4;
/// Longest time for which a request is held, in parts of its route's target. Callers of streams
/// leave when nothing comes for some multiples of it.
const HOLD_TARGETS: f64 = 6.0;
/// The same in parts of the time that its caller gives: what is refused can still be tried again.
const HOLD_SHARE: f64 = 0.35;
/// A request that is held.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct QueuedRequest {
    /// Number of the request, unique in its queue.
    pub ticket: u64,
    /// Rank of its route, 0 the highest.
    pub rank: u32,
    /// When it arrived.
    pub arrived: Timestamp,
    /// Until when it can be sent and be answered in time.
    pub in_time_until: Timestamp,
    /// When it is given up.
    pub give_up_at: Timestamp,
}

/// What decides for how long a request may be held.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct QueueLimits {
    /// Rank of its route, 0 the highest.
    pub rank: u32,
    /// Target for latency of its route.
    pub target: Duration,
    /// Time that its caller, or its route, gives it.
    pub timeout: Duration,
}

impl QueuedRequest {
    /// A request that arrived now.
    pub fn new(ticket: u64, arrived: Timestamp, terms: QueueLimits) -> Self {
        let after = |timeout: Duration| arrived.plus_millis(timeout.as_millis() as u64);
        let longest = terms.target.mul_f64(HOLD_TARGETS).min(terms.timeout.mul_f64(HOLD_SHARE));
        Self {
            ticket,
            rank: terms.rank,
            arrived,
            in_time_until: after(terms.target.mul_f64(IN_TIME_SHARE).min(longest)),
            give_up_at: after(longest),
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

/// How soon a request of its rank is sent; the first is sent first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Urgency {
    /// It can be answered in time. The newest is sent first: where there is room for few, the oldest
    /// first would send each of them at the last moment, and any further wait makes it late.
    InTime(Reverse<Timestamp>),
    /// It cannot be answered in time. The oldest is sent first, whose caller leaves first.
    Late(Timestamp),
}

/// Requests of one service that are held.
#[derive(Clone, Debug, Default)]
pub struct AdmissionQueue {
    held: Vec<QueuedRequest>,
}

impl AdmissionQueue {
    /// Holds a request.
    pub fn enqueue(&mut self, request: QueuedRequest) {
        self.held.push(request);
    }

    /// The request that is sent next. Invariant: none of a lower rank comes before one of a higher
    /// rank.
    pub fn next(&self, now: Timestamp) -> Option<QueuedRequest> {
        let order = |held: &&QueuedRequest| (held.rank, held.urgency(now), held.ticket);
        self.held.iter().min_by_key(order).copied()
    }

    /// Removes a request; `None` where it is not held.
    pub fn remove(&mut self, ticket: u64) -> Option<QueuedRequest> {
        let position = self.held.iter().position(|held| held.ticket == ticket)?;
        Some(self.held.swap_remove(position))
    }

    /// Removes the requests that are given up.
    pub fn expire(&mut self, now: Timestamp) -> Vec<QueuedRequest> {
        let (expired, held) = self.held.iter().partition(|held| held.give_up_at <= now);
        self.held = held;
        expired
    }

    /// When the first request is given up.
    pub fn next_expiry(&self) -> Option<Timestamp> {
        self.held.iter().map(|held| held.give_up_at).min()
    }

    /// Requests that are held.
    pub fn len(&self) -> usize {
        self.held.len()
    }

    /// Whether nothing is held.
    pub fn is_empty(&self) -> bool {
        self.held.is_empty()
    }
}

/// Load of a back end, in parts of its slots, up to which it gets requests with a target, where
/// requests take `service_ms` there: those beyond its slots wait for a bounded part of the target.
pub fn load_limit(target: Duration, service_ms: f64) -> f64 {
    let wait_ms = target.as_secs_f64() * 1_000.0 * BACKEND_WAIT_SHARE;
    1.0 + wait_ms / service_ms.max(1.0)
}
