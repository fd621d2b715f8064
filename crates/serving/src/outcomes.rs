//! Recent outcomes of requests at a back end, at this process and at all of them.

use yokefall_core::Timestamp;

/// Time constant of the decay of outcomes, in milliseconds: long enough for a few requests at each
/// back end of a busy fleet, and no longer than the first ejections.
const OUTCOME_DECAY_MS: f64 = 1_000.0;
/// Failures at all processes from which all eject a back end: two, half a second apart.
const MIN_FAILURES: f64 = 1.5;
/// Share of outcomes that must be failures: back ends that lose a few answers in a hundred stay.
const MIN_FAILED_SHARE: f64 = 1.0 / 3.0;

/// Failed and answered requests at a back end, decayed over about a second.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Outcomes {
    /// Failed, or found the back end unreachable or silent.
    pub failed: f64,
    /// Answered.
    pub answered: f64,
}

/// Exponentially decaying counts of outcomes.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct RecentOutcomes {
    at: Timestamp,
    sums: Outcomes,
}

impl RecentOutcomes {
    /// The counts decayed until `now`.
    pub(crate) fn sums(&self, now: Timestamp) -> Outcomes {
        let weight = (-(now.millis_since(self.at) as f64) / OUTCOME_DECAY_MS).exp();
        Outcomes { failed: self.sums.failed * weight, answered: self.sums.answered * weight }
    }

    /// Records a failed or an answered request.
    pub(crate) fn record(&mut self, now: Timestamp, failed: bool) {
        self.sums = self.sums(now);
        self.at = now;
        match failed {
            true => self.sums.failed += 1.0,
            false => self.sums.answered += 1.0,
        }
    }
}

impl Outcomes {
    /// Whether the outcomes of all processes call for an ejection.
    pub fn is_failing(&self) -> bool {
        let all = self.failed + self.answered;
        self.failed >= MIN_FAILURES && self.failed >= all * MIN_FAILED_SHARE
    }
}
