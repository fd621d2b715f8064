//! State that a process keeps of one back end and on which it bases its choices.

use yokefall_core::Timestamp;

use crate::outcomes::RecentOutcomes;

/// Lifetime of a reported load, in milliseconds, over which its weight falls linearly to zero.
pub(crate) const LOAD_LIFETIME_MS: u64 = 1_500;
/// Duration of the first ejection of a failing back end, in milliseconds.
const MIN_EJECTION_MS: u64 = 500;
const MAX_EJECTION_MS: u64 = 4_000;
/// Smallest weight of outcomes that are reported; outcomes older than three seconds weigh less.
pub(crate) const MIN_OUTCOME_WEIGHT: f64 = 0.05;

/// Load, health and outcomes of one incarnation of a back end.
#[derive(Clone, Debug, Default)]
pub(crate) struct BackendRecord {
    pub(crate) in_flight: u32,
    /// Requests and items of other processes as of the last load report.
    pub(crate) remote_in_flight: f64,
    /// The items among `remote_in_flight`.
    pub(crate) remote_items: f64,
    pub(crate) reported_at: Option<Timestamp>,
    /// When anything was last received from the back end, on any request.
    pub(crate) last_activity_at: Option<Timestamp>,
    pub(crate) failures: u32,
    pub(crate) ejections: u32,
    pub(crate) ejected_until: Option<Timestamp>,
    pub(crate) outcomes: RecentOutcomes,
}

/// Load of a back end as a fraction of its slots.
pub(crate) fn load(now: Timestamp, slots: f64, record: Option<&BackendRecord>) -> f64 {
    let Some(record) = record else { return 0.0 };
    (f64::from(record.in_flight) + record.remote_in_flight * record.weight(now)) / slots
}

impl BackendRecord {
    /// Weight of the reported load, which falls with its age.
    pub(crate) fn weight(&self, now: Timestamp) -> f64 {
        let age = self.reported_at.map_or(LOAD_LIFETIME_MS, |at| now.millis_since(at));
        1.0 - (age.min(LOAD_LIFETIME_MS) as f64 / LOAD_LIFETIME_MS as f64)
    }

    pub(crate) fn influences_choice(&self, now: Timestamp) -> bool {
        let outcomes = self.outcomes.sums(now);
        self.ejections > 0
            || self.failures > 0
            || self.ejected_until.is_some_and(|until| until > now)
            || self.remote_in_flight * self.weight(now) > 0.0
            || outcomes.failed + outcomes.answered >= MIN_OUTCOME_WEIGHT
    }

    /// Ejects the back end; each ejection lasts longer than the one before.
    pub(crate) fn eject(&mut self, now: Timestamp) {
        let duration_ms = MIN_EJECTION_MS << self.ejections.min(3);
        self.ejected_until = Some(now.plus_millis(duration_ms.min(MAX_EJECTION_MS)));
        self.ejections += 1;
        self.failures = 0;
    }
}
