//! How often back ends end whatever they run, and so how improbable the end of one is by chance.

use std::collections::VecDeque;

use yokefall_core::Timestamp;
use yokefall_serving::BackendLife;

use crate::message::CrashedBackend;

/// Time over which ends are counted, in milliseconds: long enough for two of a series that are seconds
/// apart, and short enough to know of it after its first seconds.
const WINDOW_MS: u64 = 5_000;
/// Ends that are remembered: as many as a fleet of 1,000 loses in the window when a rack goes.
const MAX_CRASHES: usize = 256;
/// Ends that are told in one message, about 0.5 KB.
const MAX_REPORTED: usize = 16;
/// Ends of one back end in a second that are always reckoned with, though none was seen: one in 17 minutes,
/// some thousand times what fleets see on ordinary days.
const MIN_RATE_PER_SECOND: f64 = 1e-3;
/// Shortest run that is reckoned with, in seconds: the resolution of moments.
const MIN_RUN_SECONDS: f64 = 0.001;
/// Parts of an end in a second.
const MILLIONTHS: f64 = 1e6;
/// A rate at which everything ends at once: an end proves nothing.
pub const CERTAIN: u32 = u32::MAX;

/// Largest difference between ends that had a cause in common, in milliseconds: as far as processes differ
/// in when they find out.
const SIMULTANEOUS_MS: u64 = 20;

/// Largest difference between what two processes take for the moment of one end, in milliseconds; a back end
/// that ends again takes longer to come back.
const SAME_CRASH_MS: u64 = 1_000;

/// Whether two ends are one. Those of two lives are two, however close; and two of one life, seconds apart, are
/// so as well: until a process hears of a new life, it knows what it sends there by the record of the one before.
pub fn is_same_crash(left: (&BackendLife, Timestamp), right: (&BackendLife, Timestamp)) -> bool {
    left.0 == right.0 && left.1 .0.abs_diff(right.1 .0) <= SAME_CRASH_MS
}

/// Whether two ends were at about the same moment.
pub fn are_simultaneous(left: Timestamp, right: Timestamp) -> bool {
    left.0.abs_diff(right.0) <= SIMULTANEOUS_MS
}

/// How improbable it is that a back end ends by chance during a run, in nats: `-ln(1 - exp(-rate * run))`.
///
/// A request that runs for seconds in a fleet whose back ends fall like flies is at the end of some without
/// being the cause; one that is at three ends within 100 ms of its arrival is not there by chance.
pub fn surprisal(rate: u32, run_ms: u64) -> f64 {
    if rate == CERTAIN {
        return 0.0;
    }
    let run = (run_ms as f64 / 1_000.0).max(MIN_RUN_SECONDS);
    let by_chance = -(-f64::from(rate) / MILLIONTHS * run).exp_m1();
    -by_chance.ln()
}

/// Back ends that ended lately.
#[derive(Debug, Default)]
pub struct Background {
    crashes: VecDeque<(BackendLife, Timestamp)>,
}

impl Background {
    /// A back end ended. Returns whether that is new.
    pub fn record(&mut self, backend: &BackendLife, at: Timestamp) -> bool {
        if self.crashes.iter().any(|(known, then)| is_same_crash((known, *then), (backend, at))) {
            return false;
        }
        if self.crashes.len() >= MAX_CRASHES {
            self.crashes.pop_front();
        }
        self.crashes.push_back((backend.clone(), at));
        true
    }

    /// Back ends that ended at about the same moment, without those that `own` names.
    pub fn simultaneous(&self, moment: Timestamp, own: impl Fn(&BackendLife) -> bool) -> usize {
        let others = self.crashes.iter().filter(|(backend, _)| !own(backend));
        others.filter(|(_, at)| are_simultaneous(*at, moment)).count()
    }

    /// Ends of one back end by chance, in a million seconds: as often as others of the `population` of its
    /// service ended lately, whatever they ran.
    pub fn rate(&self, now: Timestamp, backend: &BackendLife, population: usize) -> u32 {
        let others = self.recent(now).filter(|(other, _)| other != backend).count();
        let back_end_seconds = population.max(1) as f64 * WINDOW_MS as f64 / 1_000.0;
        ((others as f64 / back_end_seconds).max(MIN_RATE_PER_SECOND) * MILLIONTHS) as u32
    }

    fn recent(&self, now: Timestamp) -> impl Iterator<Item = &(BackendLife, Timestamp)> {
        self.crashes.iter().filter(move |(_, at)| now.millis_since(*at) < WINDOW_MS)
    }

    /// Those that others should know of, the newest first.
    pub fn recent_crashes(&self, now: Timestamp) -> Vec<CrashedBackend> {
        let to_info = |(backend, at): &(BackendLife, Timestamp)| CrashedBackend {
            backend: backend.clone(),
            crashed_age_ms: now.millis_since(*at),
        };
        let mut recent: Vec<CrashedBackend> = self.recent(now).map(to_info).collect();
        recent.sort_by_key(|crash| crash.crashed_age_ms);
        recent.truncate(MAX_REPORTED);
        recent
    }
}
