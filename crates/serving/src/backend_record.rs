//! What a process holds of one back end, by which it chooses.

use yokefall_core::Timestamp;

use crate::model::Backend;
use crate::outcomes::RecentOutcomes;

/// Time for which a told load counts, in milliseconds; its weight falls to zero over it.
pub(crate) const LOAD_LIFETIME_MS: u64 = 1_500;
/// First time for which a failing back end is left out, in milliseconds.
const FIRST_EJECTION_MS: u64 = 500;
/// Longest time for which a failing back end is left out, in milliseconds.
const LONGEST_EJECTION_MS: u64 = 4_000;
/// Least weight of outcomes that are reported: those of three seconds ago have less.
pub(crate) const LEAST_OUTCOME: f64 = 0.05;

/// Load, health and outcomes of a back end in one life.
#[derive(Clone, Debug, Default)]
pub(crate) struct BackendRecord {
    pub(crate) in_flight: u32,
    /// Requests and items of others when its load was last told.
    pub(crate) foreign: f64,
    /// The items among them.
    pub(crate) items: f64,
    pub(crate) told_at: Option<Timestamp>,
    /// When anything last came from it, on any request.
    pub(crate) heard_at: Option<Timestamp>,
    pub(crate) failures: u32,
    pub(crate) ejections: u32,
    pub(crate) ejected_until: Option<Timestamp>,
    pub(crate) outcomes: RecentOutcomes,
}

/// Load of a back end in parts of its slots.
pub(crate) fn load(now: Timestamp, backend: &Backend, record: Option<&BackendRecord>) -> f64 {
    let Some(record) = record else { return 0.0 };
    let requests = f64::from(record.in_flight) + record.foreign * record.weight(now);
    requests / f64::from(backend.slots.max(1))
}

impl BackendRecord {
    /// Weight of what was told, which falls with its age.
    pub(crate) fn weight(&self, now: Timestamp) -> f64 {
        let age = self.told_at.map_or(LOAD_LIFETIME_MS, |at| now.millis_since(at));
        1.0 - (age.min(LOAD_LIFETIME_MS) as f64 / LOAD_LIFETIME_MS as f64)
    }

    /// Whether a choice goes by anything in it.
    pub(crate) fn says_something(&self, now: Timestamp) -> bool {
        let outcomes = self.outcomes.sums(now);
        self.ejections > 0
            || self.failures > 0
            || self.ejected_until.is_some_and(|until| until > now)
            || self.foreign * self.weight(now) > 0.0
            || outcomes.failed + outcomes.answered >= LEAST_OUTCOME
    }

    /// Leaves it out for a while, longer each time.
    pub(crate) fn eject(&mut self, now: Timestamp) {
        let longer = FIRST_EJECTION_MS << self.ejections.min(3);
        self.ejected_until = Some(now.plus_millis(longer.min(LONGEST_EJECTION_MS)));
        self.ejections += 1;
        self.failures = 0;
    }
}
