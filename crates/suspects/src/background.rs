//! How often back ends end whatever they run, and so how improbable the end of one is by chance.

use std::collections::VecDeque;

use yokefall_core::Timestamp;
use yokefall_serving::BackendIncarnation;

use crate::message::EndedBackend;

/// Time over which ends are counted, in milliseconds: long enough for two of a series that are seconds
/// apart, and short enough to know of it after its first seconds.
const WINDOW_MS: u64 = 5_000;
/// Ends that are remembered: as many as a fleet of 1,000 loses in the window when a rack goes.
const MOST_ENDS: usize = 256;
/// Ends that are told in one message, about 0.5 KB.
const MOST_TOLD: usize = 16;
/// Ends of one back end in a second that are always reckoned with, though none was seen: one in 17 minutes,
/// some thousand times what fleets see on ordinary days.
const LEAST_RATE: f64 = 1e-3;
/// Shortest run that is reckoned with, in seconds: the resolution of moments.
const SHORTEST_RUN: f64 = 0.001;
/// Parts of an end in a second.
const MILLIONTHS: f64 = 1e6;
/// A rate at which everything ends at once: an end proves nothing.
pub const CERTAIN: u32 = u32::MAX;

/// Largest difference between ends that had a cause in common, in milliseconds: as far as processes differ
/// in when they find out.
const SIMULTANEOUS_MS: u64 = 20;

/// Largest difference between what two processes take for the moment of one end, in milliseconds; a back end
/// that ends again takes longer to come back.
const SAME_END_MS: u64 = 1_000;

/// Whether two ends are one. Those of two lives are two, however close; and two of one life, seconds apart, are
/// so as well: until a process hears of a new life, it knows what it sends there by the record of the one before.
pub fn is_same_end(
    left: (&BackendIncarnation, Timestamp),
    right: (&BackendIncarnation, Timestamp),
) -> bool {
    left.0 == right.0 && left.1 .0.abs_diff(right.1 .0) <= SAME_END_MS
}

/// Whether two ends were at about the same moment.
pub fn are_simultaneous(left: Timestamp, right: Timestamp) -> bool {
    left.0.abs_diff(right.0) <= SIMULTANEOUS_MS
}

/// How improbable it is that a back end ends by chance during a run, in nats: `-ln(1 - exp(-rate * run))`.
///
/// A request that runs for seconds in a fleet whose back ends fall like flies is at the end of some without
/// being the cause; one that is at three ends within 100 ms of its arrival is not there by chance.
pub fn surprise(rate: u32, run_ms: u64) -> f64 {
    if rate == CERTAIN {
        return 0.0;
    }
    let run = (run_ms as f64 / 1_000.0).max(SHORTEST_RUN);
    let by_chance = -(-f64::from(rate) / MILLIONTHS * run).exp_m1();
    -by_chance.ln()
}

/// Back ends that ended lately.
#[derive(Debug, Default)]
pub struct Background {
    ended: VecDeque<(BackendIncarnation, Timestamp)>,
}

impl Background {
    /// A back end ended. Returns whether that is new.
    pub fn note(&mut self, backend: &BackendIncarnation, at: Timestamp) -> bool {
        if self.ended.iter().any(|(known, then)| is_same_end((known, *then), (backend, at))) {
            return false;
        }
        if self.ended.len() >= MOST_ENDS {
            self.ended.pop_front();
        }
        self.ended.push_back((backend.clone(), at));
        true
    }

    /// Back ends that ended at about the same moment, without those that `own` names.
    pub fn simultaneous(
        &self,
        moment: Timestamp,
        own: impl Fn(&BackendIncarnation) -> bool,
    ) -> usize {
        let others = self.ended.iter().filter(|(backend, _)| !own(backend));
        others.filter(|(_, at)| are_simultaneous(*at, moment)).count()
    }

    /// Ends of one back end by chance, in a million seconds: as often as others of the `population` of its
    /// service ended lately, whatever they ran.
    pub fn rate(&self, now: Timestamp, backend: &BackendIncarnation, population: usize) -> u32 {
        let others = self.recent(now).filter(|(ended, _)| ended != backend).count();
        let back_end_seconds = population.max(1) as f64 * WINDOW_MS as f64 / 1_000.0;
        ((others as f64 / back_end_seconds).max(LEAST_RATE) * MILLIONTHS) as u32
    }

    fn recent(&self, now: Timestamp) -> impl Iterator<Item = &(BackendIncarnation, Timestamp)> {
        self.ended.iter().filter(move |(_, at)| now.millis_since(*at) < WINDOW_MS)
    }

    /// Those that others should know of, the newest first.
    pub fn told(&self, now: Timestamp) -> Vec<EndedBackend> {
        let told = |(backend, at): &(BackendIncarnation, Timestamp)| EndedBackend {
            backend: backend.clone(),
            ended_ago_ms: now.millis_since(*at),
        };
        let mut recent: Vec<EndedBackend> = self.recent(now).map(told).collect();
        recent.sort_by_key(|ended| ended.ended_ago_ms);
        recent.truncate(MOST_TOLD);
        recent
    }
}
