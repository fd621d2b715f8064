//! Tracks, per kind of object, how long ago the platform's store confirmed this process's state.
//!
//! Only a few processes query the store, each on its own schedule. Every process advertises ages
//! per kind, so confirmations from different processes combine across the fleet.

use yokefall_clock::ElapsedClock;
use yokefall_core::membership::StateAges;
use yokefall_core::Timestamp;

use crate::eligibility::Freshness;

/// A kind of object that processes watch.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum ObjectKind {
    /// The configuration.
    Configuration,
    /// Back ends.
    Backends,
    /// Evacuated zones.
    Evacuations,
}

impl ObjectKind {
    /// Name used in metrics and log lines.
    pub fn name(self) -> &'static str {
        match self {
            ObjectKind::Configuration => "configuration",
            ObjectKind::Backends => "backends",
            ObjectKind::Evacuations => "evacuations",
        }
    }
}

/// For each kind, the latest time at which the store is known to have held the local state.
#[derive(Debug)]
pub struct AgeTracker {
    clock: ElapsedClock,
    configuration: Option<Timestamp>,
    backends: Option<Timestamp>,
    evacuations: Option<Timestamp>,
    watches_evacuations: bool,
    /// Receives the age of the oldest kind.
    freshness: Freshness,
}

impl AgeTracker {
    /// Creates a tracker with nothing confirmed yet.
    pub fn new(freshness: Freshness, watches_evacuations: bool) -> Self {
        Self {
            clock: freshness.new_clock(),
            configuration: None,
            backends: None,
            evacuations: None,
            watches_evacuations,
            freshness,
        }
    }

    /// Returns the current time.
    pub fn now(&self) -> Timestamp {
        self.clock.now()
    }

    /// Records that the store held the local state of `kind` `age_ms` milliseconds ago.
    pub fn record(&mut self, kind: ObjectKind, age_ms: u64) {
        // Nothing was known here before this clock started, so the time is clamped at 0.
        let at = Timestamp(self.clock.now().0.saturating_sub(age_ms));
        let latest = match kind {
            ObjectKind::Configuration => &mut self.configuration,
            ObjectKind::Backends => &mut self.backends,
            ObjectKind::Evacuations => &mut self.evacuations,
        };
        *latest = (*latest).max(Some(at));
        if let Some(oldest) = self.oldest() {
            self.freshness.note(self.clock.now().millis_since(oldest));
        }
    }

    /// Returns the ages to advertise to peers.
    pub fn snapshot(&self) -> StateAges {
        let now = self.clock.now();
        let age =
            |at: Option<Timestamp>| at.and_then(|at| u32::try_from(now.millis_since(at)).ok());
        StateAges {
            configuration_ms: age(self.configuration),
            backends_ms: age(self.backends),
            evacuations_ms: age(self.evacuations),
        }
    }

    fn oldest(&self) -> Option<Timestamp> {
        let both = self.configuration?.min(self.backends?);
        match self.watches_evacuations {
            true => Some(both.min(self.evacuations?)),
            false => Some(both),
        }
    }
}
