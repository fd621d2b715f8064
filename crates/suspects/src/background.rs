//! Baseline crash rate of back ends, and from it the improbability of a crash by chance.

use std::collections::VecDeque;

use yokefall_core::Timestamp;
use yokefall_serving::BackendIncarnation;

use crate::message::CrashedBackend;

/// Window over which crashes are counted, in milliseconds: long enough for two crashes of a series
/// that are seconds apart, and short enough to notice a series after its first seconds.
const WINDOW_MS: u64 = 5_000;
/// Maximum number of recorded crashes: what a fleet of 1,000 loses in the window if a rack fails.
const MAX_CRASHES: usize = 256;
/// Maximum number of crashes in one message, about 0.5 KB.
const MAX_REPORTED: usize = 16;
/// Minimum crash rate of one back end per second that is assumed even if no crash was seen: one in
/// 17 minutes, some thousand times the usual rate.
const MIN_RATE_PER_SECOND: f64 = 1e-3;
/// Minimum run time that is assumed, in seconds: the resolution of timestamps.
const MIN_RUN_SECONDS: f64 = 0.001;
const PER_MILLION: f64 = 1e6;
/// A rate that makes any crash certain, so that it proves nothing.
pub const CERTAIN: u32 = u32::MAX;

/// Maximum time between crashes with a common cause, in milliseconds: the spread of detection.
const SIMULTANEOUS_MS: u64 = 20;

/// Maximum time between detections of one crash, in milliseconds: less than a restart takes.
const SAME_CRASH_MS: u64 = 1_000;

/// Whether two observations are the same crash. Two incarnations are always distinct, and so are
/// observations seconds apart, since processes learn late of a new incarnation.
pub fn is_same_crash(
    left: (&BackendIncarnation, Timestamp),
    right: (&BackendIncarnation, Timestamp),
) -> bool {
    left.0 == right.0 && left.1 .0.abs_diff(right.1 .0) <= SAME_CRASH_MS
}

/// Whether two crashes happened at about the same time.
pub fn are_simultaneous(left: Timestamp, right: Timestamp) -> bool {
    left.0.abs_diff(right.0) <= SIMULTANEOUS_MS
}

/// Surprisal of a back end crashing by chance during a run, in nats: `-ln(1 - exp(-rate * run))`.
/// A request that runs for seconds is present at some crashes of a fleet by chance; one that is
/// present at three, each within 100 ms of its arrival, is not.
pub fn surprisal(rate: u32, run_ms: u64) -> f64 {
    if rate == CERTAIN {
        return 0.0;
    }
    let run = (run_ms as f64 / 1_000.0).max(MIN_RUN_SECONDS);
    let by_chance = -(-f64::from(rate) / PER_MILLION * run).exp_m1();
    -by_chance.ln()
}

/// Recent crashes of back ends.
#[derive(Debug, Default)]
pub struct Background {
    crashes: VecDeque<(BackendIncarnation, Timestamp)>,
}

impl Background {
    /// Records a crash. Returns whether it is new.
    pub fn record(&mut self, backend: &BackendIncarnation, at: Timestamp) -> bool {
        if self.crashes.iter().any(|(known, then)| is_same_crash((known, *then), (backend, at))) {
            return false;
        }
        if self.crashes.len() >= MAX_CRASHES {
            self.crashes.pop_front();
        }
        self.crashes.push_back((backend.clone(), at));
        true
    }

    /// Number of back ends that crashed at about that time, except those that `is_own` accepts.
    pub fn count_simultaneous(
        &self,
        at: Timestamp,
        is_own: impl Fn(&BackendIncarnation) -> bool,
    ) -> usize {
        let others = self.crashes.iter().filter(|(backend, _)| !is_own(backend));
        others.filter(|(_, crashed_at)| are_simultaneous(*crashed_at, at)).count()
    }

    /// Baseline crash rate per back end and million seconds, from other back ends whatever they
    /// ran.
    pub fn rate(&self, now: Timestamp, backend: &BackendIncarnation, population: usize) -> u32 {
        let others = self.recent(now).filter(|(other, _)| other != backend).count();
        let back_end_seconds = population.max(1) as f64 * WINDOW_MS as f64 / 1_000.0;
        ((others as f64 / back_end_seconds).max(MIN_RATE_PER_SECOND) * PER_MILLION) as u32
    }

    fn recent(&self, now: Timestamp) -> impl Iterator<Item = &(BackendIncarnation, Timestamp)> {
        self.crashes.iter().filter(move |(_, at)| now.millis_since(*at) < WINDOW_MS)
    }

    /// Recent crashes to report to other processes, newest first.
    pub fn recent_crashes(&self, now: Timestamp) -> Vec<CrashedBackend> {
        let to_report = |(backend, at): &(BackendIncarnation, Timestamp)| CrashedBackend {
            backend: backend.clone(),
            crashed_age_ms: now.millis_since(*at),
        };
        let mut recent: Vec<CrashedBackend> = self.recent(now).map(to_report).collect();
        recent.sort_by_key(|crash| crash.crashed_age_ms);
        recent.truncate(MAX_REPORTED);
        recent
    }
}
