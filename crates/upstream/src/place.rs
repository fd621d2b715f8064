//! Places at back ends: what this process has in flight there, given back however it ends.

use std::cell::RefCell;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use tokio::sync::Notify;
use tokio::time::Instant;
use yokefall_clock::ElapsedClock;
use yokefall_core::Timestamp;
use yokefall_serving::{Backend, BackendLoad, Balancer, ColdStartLimiter, Outcome};

/// Load and health of back ends as one thread sees them.
#[derive(Debug)]
pub struct SharedBalancer {
    balancer: RefCell<Balancer>,
    /// Hears of back ends that failed: they may have started again.
    cold: Option<Rc<ColdStartLimiter>>,
    clock: ElapsedClock,
    /// Woken when a place is taken or given back.
    pub changed: Notify,
    /// Woken when there may be room for a request that is held.
    pub room: Notify,
}

impl SharedBalancer {
    /// Nothing in flight yet.
    pub fn new(balancer: Balancer, clock: ElapsedClock) -> Rc<Self> {
        Self::build(balancer, clock, None)
    }

    /// The same where `cold` hears of back ends that failed.
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
        Rc::new(Self { balancer, clock, cold, changed: Notify::new(), room: Notify::new() })
    }

    /// Looks at load and health at this moment.
    pub fn with<R>(&self, look: impl FnOnce(&mut Balancer, Timestamp) -> R) -> R {
        let now = self.clock.now();
        look(&mut self.balancer.borrow_mut(), now)
    }

    /// Takes a place at a back end.
    pub fn take(self: &Rc<Self>, backend: Arc<Backend>) -> BackendSlot {
        self.with(|balancer, _| balancer.record_start(&backend));
        self.changed.notify_one();
        let taken = Instant::now();
        BackendSlot { balancer: self.clone(), backend, taken, outcome: Outcome::Abandoned }
    }
}

/// A place taken at a back end.
#[derive(Debug)]
pub struct BackendSlot {
    balancer: Rc<SharedBalancer>,
    /// The back end.
    pub backend: Arc<Backend>,
    taken: Instant,
    /// How the request ended; until somebody says so it counts as abandoned.
    pub outcome: Outcome,
}

impl BackendSlot {
    /// When it was taken, right before the request went there.
    pub fn acquired_at(&self) -> Instant {
        self.taken
    }

    /// Something came from the back end.
    pub fn record_activity(&self) {
        self.balancer.with(|balancer, now| balancer.record_activity(now, &self.backend));
        if let Some(cold) = &self.balancer.cold {
            cold.record_activity(&self.backend.id);
        }
    }

    /// The back end has said nothing on this request for a while. Returns whether it is left out.
    pub fn record_silence(&self, silence: Duration) -> bool {
        let silence_ms = silence.as_millis() as u64;
        // No sign that it started again: one that has too much to do is silent as well, and the connection stands.
        self.balancer.with(|balancer, now| balancer.record_silence(now, &self.backend, silence_ms))
    }

    /// The back end broke off, or gave no answer in time.
    pub fn record_failure(&self) {
        if let Some(cold) = &self.balancer.cold {
            cold.record_failure(&self.backend.id);
        }
    }

    /// The back end told for how much longer it is cold.
    pub fn record_cold_remaining(&self, remaining_ms: u64) {
        if let Some(cold) = &self.balancer.cold {
            cold.record_report(&self.backend, remaining_ms);
        }
    }

    /// The back end told its load.
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
        let took = self.taken.elapsed().as_secs_f64() * 1_000.0;
        self.balancer.with(|balancer, now| {
            balancer.record_end(now, &self.backend, outcome);
            if outcome == Outcome::Answered {
                balancer.record_service_time(&self.backend.service, took);
            }
        });
        self.balancer.changed.notify_one();
        self.balancer.room.notify_one();
    }
}
