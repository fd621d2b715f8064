//! Requests in flight at back ends: acquired before a request is sent and released on drop, however
//! the request ends.

use std::cell::RefCell;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use tokio::sync::Notify;
use tokio::time::Instant;
use yokefall_clock::ElapsedClock;
use yokefall_core::Timestamp;
use yokefall_serving::{Backend, BackendLoad, Balancer, ColdStartLimiter, Outcome};

/// Load and health of back ends as seen by one thread.
#[derive(Debug)]
pub struct SharedBalancer {
    balancer: RefCell<Balancer>,
    /// Notified of back ends that failed, since they may have restarted.
    cold: Option<Rc<ColdStartLimiter>>,
    clock: ElapsedClock,
    /// Notified when a slot is acquired or released.
    pub changed: Notify,
    /// Notified when a back end may have capacity for a queued request.
    pub capacity_freed: Notify,
}

impl SharedBalancer {
    /// Starts with nothing in flight.
    pub fn new(balancer: Balancer, clock: ElapsedClock) -> Rc<Self> {
        Self::build(balancer, clock, None)
    }

    /// Like [`Self::new`], and reports failed back ends to `cold`.
    pub fn with_cold_start(
        balancer: Balancer,
        clock: ElapsedClock,
        cold: Rc<ColdStartLimiter>,
    ) -> Rc<Self> {
        Self::build(balancer, clock, Some(cold))
    }

    fn build(
        balancer: Balancer,
        clock: ElapsedClock,
        cold: Option<Rc<ColdStartLimiter>>,
    ) -> Rc<Self> {
        let balancer = RefCell::new(balancer);
        Rc::new(Self {
            balancer,
            clock,
            cold,
            changed: Notify::new(),
            capacity_freed: Notify::new(),
        })
    }

    /// Calls `access` with the balancer and the current time.
    pub fn with<R>(&self, access: impl FnOnce(&mut Balancer, Timestamp) -> R) -> R {
        let now = self.clock.now();
        access(&mut self.balancer.borrow_mut(), now)
    }

    /// Acquires a slot at a back end.
    pub fn take(self: &Rc<Self>, backend: Arc<Backend>) -> BackendSlot {
        self.with(|balancer, _| balancer.record_start(&backend));
        self.changed.notify_one();
        let acquired_at = Instant::now();
        BackendSlot { balancer: self.clone(), backend, acquired_at, outcome: Outcome::Abandoned }
    }
}

/// One request in flight at a back end; released on drop.
#[derive(Debug)]
pub struct BackendSlot {
    balancer: Rc<SharedBalancer>,
    /// The back end.
    pub backend: Arc<Backend>,
    acquired_at: Instant,
    /// How the request ended; counts as abandoned until it is set.
    pub outcome: Outcome,
}

impl BackendSlot {
    /// When the slot was acquired, immediately before the request was sent.
    pub fn acquired_at(&self) -> Instant {
        self.acquired_at
    }

    /// Records that data was received from the back end.
    pub fn record_activity(&self) {
        self.balancer.with(|balancer, now| balancer.record_activity(now, &self.backend));
        if let Some(cold) = &self.balancer.cold {
            cold.record_activity(&self.backend.id);
        }
    }

    /// Records silence on this request. Returns whether the back end is now excluded.
    pub fn record_silence(&self, silence: Duration) -> bool {
        let silence_ms = silence.as_millis() as u64;
        // Silence is not reported as a restart: an overloaded back end is silent as well, and the
        // connection is still open.
        self.balancer.with(|balancer, now| balancer.record_silence(now, &self.backend, silence_ms))
    }

    /// Records that the connection broke or that the back end did not respond in time.
    pub fn record_failure(&self) {
        if let Some(cold) = &self.balancer.cold {
            cold.record_failure(&self.backend.id);
        }
    }

    /// Records the remaining cold time that the back end reported.
    pub fn record_cold_remaining(&self, remaining_ms: u64) {
        if let Some(cold) = &self.balancer.cold {
            cold.record_report(&self.backend, remaining_ms);
        }
    }

    /// Records the load that the back end reported.
    pub fn record_report(&self, load: BackendLoad) {
        self.balancer.with(|balancer, now| balancer.record_report(now, &self.backend, load));
    }
}

impl Drop for BackendSlot {
    fn drop(&mut self) {
        let outcome = self.outcome;
        if outcome == Outcome::Unreachable {
            self.record_failure();
        }
        let service_ms = self.acquired_at.elapsed().as_secs_f64() * 1_000.0;
        self.balancer.with(|balancer, now| {
            balancer.record_end(now, &self.backend, outcome);
            if outcome == Outcome::Answered {
                balancer.record_service_time(&self.backend.service, service_ms);
            }
        });
        self.balancer.changed.notify_one();
        self.balancer.capacity_freed.notify_one();
    }
}
