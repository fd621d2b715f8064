//! How requests at a back end ended lately, at this process and at all.

use yokefall_core::Timestamp;

/// Time over which outcomes lose their weight, in milliseconds: some requests at each back end of a busy
/// fleet, and no longer than the first ejections.
const OUTCOME_MS: f64 = 1_000.0;
/// Failures of all processes at a back end from which it is left out by all: two, half a second apart.
const FAILURES_OF_ALL: f64 = 1.5;
/// Part of all outcomes that must have failed. Back ends that lose a few answers in a hundred stay.
const FAILED_SHARE_OF_ALL: f64 = 1.0 / 3.0;

/// Requests at a back end that failed, and that it answered, over about the last second.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Outcomes {
    /// Failed, or found it unreachable or silent.
    pub failed: f64,
    /// Answered.
    pub answered: f64,
}

/// Outcomes that lose their weight with time.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct RecentOutcomes {
    at: Timestamp,
    sums: Outcomes,
}

impl RecentOutcomes {
    /// What is left of them.
    pub(crate) fn sums(&self, now: Timestamp) -> Outcomes {
        let weight = (-(now.millis_since(self.at) as f64) / OUTCOME_MS).exp();
        Outcomes { failed: self.sums.failed * weight, answered: self.sums.answered * weight }
    }

    /// Notes a request that failed, or that was answered.
    pub(crate) fn note(&mut self, now: Timestamp, failed: bool) {
        self.sums = self.sums(now);
        self.at = now;
        match failed {
            true => self.sums.failed += 1.0,
            false => self.sums.answered += 1.0,
        }
    }
}

impl Outcomes {
    /// Whether outcomes of all processes say that a back end is to be left out.
    pub fn is_failing(&self) -> bool {
        let all = self.failed + self.answered;
        self.failed >= FAILURES_OF_ALL && self.failed >= all * FAILED_SHARE_OF_ALL
    }
}
