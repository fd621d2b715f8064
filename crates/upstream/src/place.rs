//! Places at back ends: what this process has in flight there, given back however it ends.

use std::cell::RefCell;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use tokio::sync::Notify;
use tokio::time::Instant;
use yokefall_clock::ElapsedClock;
use yokefall_core::Timestamp;
use yokefall_serving::{Backend, BackendLoad, Balancer, ColdStart, Outcome};

/// Load and health of back ends as one thread sees them.
#[derive(Debug)]
pub struct Places {
    balancer: RefCell<Balancer>,
    /// Hears of back ends that failed: they may have started again.
    cold: Option<Rc<ColdStart>>,
    clock: ElapsedClock,
    /// Woken when a place is taken or given back.
    pub changed: Notify,
    /// Woken when there may be room for a request that is held.
    pub room: Notify,
}

impl Places {
    /// Nothing in flight yet.
    pub fn new(balancer: Balancer, clock: ElapsedClock) -> Rc<Self> {
        Self::build(balancer, clock, None)
    }

    /// The same where `cold` hears of back ends that failed.
    pub fn with_cold_start(
        balancer: Balancer,
        clock: ElapsedClock,
        cold: Rc<ColdStart>,
    ) -> Rc<Self> {
        Self::build(balancer, clock, Some(cold))
    }

    fn build(balancer: Balancer, clock: ElapsedClock, cold: Option<Rc<ColdStart>>) -> Rc<Self> {
        let balancer = RefCell::new(balancer);
        Rc::new(Self { balancer, clock, cold, changed: Notify::new(), room: Notify::new() })
    }

    /// Looks at load and health at this moment.
    pub fn with<R>(&self, look: impl FnOnce(&mut Balancer, Timestamp) -> R) -> R {
        let now = self.clock.now();
        look(&mut self.balancer.borrow_mut(), now)
    }

    /// Takes a place at a back end.
    pub fn take(self: &Rc<Self>, backend: Arc<Backend>) -> Place {
        self.with(|balancer, _| balancer.started(&backend));
        self.changed.notify_one();
        let taken = Instant::now();
        Place { places: self.clone(), backend, taken, outcome: Outcome::Abandoned }
    }
}

/// A place taken at a back end.
#[derive(Debug)]
pub struct Place {
    places: Rc<Places>,
    /// The back end.
    pub backend: Arc<Backend>,
    taken: Instant,
    /// How the request ended; until somebody says so it counts as abandoned.
    pub outcome: Outcome,
}

impl Place {
    /// When it was taken, right before the request went there.
    pub fn taken(&self) -> Instant {
        self.taken
    }

    /// Something came from the back end.
    pub fn heard(&self) {
        self.places.with(|balancer, now| balancer.heard(now, &self.backend));
        if let Some(cold) = &self.places.cold {
            cold.heard(&self.backend.id);
        }
    }

    /// The back end has said nothing on this request for a while. Returns whether it is left out.
    pub fn fell_silent(&self, silence: Duration) -> bool {
        let silence_ms = silence.as_millis() as u64;
        // No sign that it started again: one that has too much to do is silent as well, and the connection stands.
        self.places.with(|balancer, now| balancer.fell_silent(now, &self.backend, silence_ms))
    }

    /// The back end broke off, or gave no answer in time.
    pub fn broke(&self) {
        if let Some(cold) = &self.places.cold {
            cold.failed(&self.backend.id);
        }
    }

    /// The back end told for how much longer it is cold.
    pub fn told_cold(&self, remaining_ms: u64) {
        if let Some(cold) = &self.places.cold {
            cold.told(&self.backend, remaining_ms);
        }
    }

    /// The back end told its load.
    pub fn told(&self, load: BackendLoad) {
        self.places.with(|balancer, now| balancer.told(now, &self.backend, load));
    }
}

impl Drop for Place {
    fn drop(&mut self) {
        let outcome = self.outcome;
        if outcome == Outcome::Unreachable {
            self.broke();
        }
        let took = self.taken.elapsed().as_secs_f64() * 1_000.0;
        self.places.with(|balancer, now| {
            balancer.ended(now, &self.backend, outcome);
            if outcome == Outcome::Answered {
                balancer.took(&self.backend.service, took);
            }
        });
        self.places.changed.notify_one();
        self.places.room.notify_one();
    }
}
