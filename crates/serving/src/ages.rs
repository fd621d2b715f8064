//! How long ago the platform's store confirmed what this process knows, for each kind of object by itself.
//!
//! Few processes ask the store, each at moments of its own. What one of them heard of one kind, and another of
//! another kind, makes up together what is known everywhere, since each tells the others the age of what it knows.

use yokefall_clock::ElapsedClock;
use yokefall_core::membership::StateAges;
use yokefall_core::Timestamp;

use crate::eligibility::Freshness;

/// A kind of object that processes follow.
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
    /// Its name, for figures and lines.
    pub fn name(self) -> &'static str {
        match self {
            ObjectKind::Configuration => "configuration",
            ObjectKind::Backends => "backends",
            ObjectKind::Evacuations => "evacuations",
        }
    }
}

/// The moments at which the store is known to have held what is known here.
#[derive(Debug)]
pub struct Ages {
    clock: ElapsedClock,
    configuration: Option<Timestamp>,
    backends: Option<Timestamp>,
    evacuations: Option<Timestamp>,
    follows_evacuations: bool,
    /// Told the age of the oldest kind.
    freshness: Freshness,
}

impl Ages {
    /// Nothing was confirmed yet.
    pub fn new(freshness: Freshness, follows_evacuations: bool) -> Self {
        Self {
            clock: freshness.new_clock(),
            configuration: None,
            backends: None,
            evacuations: None,
            follows_evacuations,
            freshness,
        }
    }

    /// The present moment.
    pub fn now(&self) -> Timestamp {
        self.clock.now()
    }

    /// The store held what is known of a kind this long ago.
    pub fn note(&mut self, kind: ObjectKind, age_ms: u64) {
        // Before this clock began nothing was known here.
        let at = Timestamp(self.clock.now().0.saturating_sub(age_ms));
        let held = match kind {
            ObjectKind::Configuration => &mut self.configuration,
            ObjectKind::Backends => &mut self.backends,
            ObjectKind::Evacuations => &mut self.evacuations,
        };
        *held = (*held).max(Some(at));
        if let Some(oldest) = self.oldest() {
            self.freshness.note(self.clock.now().millis_since(oldest));
        }
    }

    /// What peers are told.
    pub fn told(&self) -> StateAges {
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
        match self.follows_evacuations {
            true => Some(both.min(self.evacuations?)),
            false => Some(both),
        }
    }
}
