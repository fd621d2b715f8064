//! What is held against one request: the ends of back ends under it, and what follows from them.

use xxhash_rust::xxh3::xxh3_64;
use yokefall_core::Timestamp;
use yokefall_serving::BackendIncarnation;

use crate::background::{are_simultaneous, is_same_end, surprise, Background, CERTAIN};
use crate::digest::RequestDigest;
use crate::message::{EndNews, SuspectUpdate};

/// Ends, one after the other, from which a request runs alone: one may be chance.
pub(crate) const ENDS_TO_RUN_ALONE: usize = 2;
/// Ends, one after the other, from which a request is held back.
const ENDS_TO_HOLD_BACK: usize = 3;
/// How improbable a series of one end, of two and so on must be by chance until its request runs alone, and
/// until it is held back, in nats: the sums that one series in 100, and one in 10,000, of ends by chance
/// exceeds. The sum over a series grows with its length whatever the cause: for ends by chance it has the
/// distribution Gamma(length, 1).
const SURPRISE_TO_RUN_ALONE: [f64; MOST_ENDS] =
    [4.605, 6.638, 8.406, 10.045, 11.605, 13.108, 14.571, 16.000];
const SURPRISE_TO_HOLD_BACK: [f64; MOST_ENDS] =
    [9.210, 11.756, 13.928, 15.914, 17.782, 19.567, 21.290, 22.962];
/// Time from the second end until a request runs alone, in milliseconds, and how many times as long it takes
/// after each further one: where chance can't be ruled out, what ends back ends does so ever more rarely.
const FIRST_ALONE_WAIT_MS: u64 = 500;
const ALONE_WAIT_GROWTH: u64 = 4;
/// Longest such time of a request that its client sends again, and of an item, which nobody sends again and
/// which its job waits for, in milliseconds.
const LONGEST_ALONE_WAIT_MS: u64 = 30_000;
const LONGEST_ITEM_WAIT_MS: u64 = 4_000;
/// Time from the last end until a request that is held back may run once, in milliseconds, and how many
/// times as long each next one takes. A request that comes for ever costs 3 more back ends in 11 minutes.
const FIRST_PROBE_WAIT_MS: u64 = 30_000;
const PROBE_WAIT_GROWTH: u64 = 4;
/// Longest such time, in milliseconds.
const LONGEST_PROBE_WAIT_MS: u64 = 3_600_000;
/// Time for which a request that was allowed to run alone counts as running while nothing is heard of it,
/// in milliseconds: as long as most requests may take.
const TRY_LEASE_MS: u64 = 10_000;
/// When to ask again where the same request runs alone already, in milliseconds.
pub(crate) const ASK_AGAIN_MS: u64 = 500;
/// Other back ends that end at the same moment, from which an end has a cause in common with them.
const SIMULTANEOUS_ENDS: usize = 2;
/// Ends that are kept of one request.
const MOST_ENDS: usize = 8;
/// Time after the last change for which a request with a single end is kept, in milliseconds, and one with
/// more: longer than the longest wait for a probe.
const SINGLE_END_LIFETIME_MS: u64 = 600_000;
const LIFETIME_MS: u64 = 2 * LONGEST_PROBE_WAIT_MS;

/// A back end that ended under a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct End {
    pub(crate) backend: BackendIncarnation,
    /// When the request was sent there; the earliest, where it was sent more than once.
    pub(crate) started: Timestamp,
    pub(crate) ended: Timestamp,
    /// Ends of one back end by chance at that time, in a million seconds, to the process that saw most.
    pub(crate) rate: u32,
}

impl End {
    /// How long the request ran there.
    pub(crate) fn run_ms(&self) -> u64 {
        self.ended.millis_since(self.started)
    }
}

/// Ends whose run began after the end before.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) struct Series {
    pub(crate) count: usize,
    /// How improbable they are by chance, in nats.
    pub(crate) surprise: f64,
}

impl Series {
    pub(crate) fn is_alone(self) -> bool {
        // From the third end on whether chance explains them or not: how often others end may be the doing of
        // a second such request, and what it costs those who were merely there is a pause.
        self.count >= ENDS_TO_HOLD_BACK
            || (self.count >= ENDS_TO_RUN_ALONE && self.exceeds(SURPRISE_TO_RUN_ALONE))
    }

    pub(crate) fn is_held_back(self) -> bool {
        self.count >= ENDS_TO_HOLD_BACK && self.exceeds(SURPRISE_TO_HOLD_BACK)
    }

    pub(crate) fn exceeds(self, limits: [f64; MOST_ENDS]) -> bool {
        let position = self.count.clamp(1, MOST_ENDS) - 1;
        self.surprise >= limits[position]
    }
}

#[derive(Clone, Debug, Default)]
pub(crate) struct Entry {
    /// Ends after `answered`, by their moment.
    pub(crate) ends: Vec<End>,
    pub(crate) answered: Option<Timestamp>,
    pub(crate) tried: Option<Timestamp>,
    /// When a run alone was over without an answer and without an end.
    pub(crate) concluded: Option<Timestamp>,
    /// Longest time for which a back end ran it without ending, since `answered`, in milliseconds.
    pub(crate) outlived_ms: u64,
    pub(crate) probes: u32,
    pub(crate) changed: Timestamp,
}

/// What may be done with a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SuspectStatus {
    /// It may be sent.
    Free,
    /// It may be sent where the leader of the job stores grants it.
    Isolated,
    /// It may not be sent.
    HeldBack {
        /// Time until it may run alone once, in milliseconds.
        wait_ms: u64,
    },
}

/// Who sends a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestSource {
    /// A client, which comes again as it is told.
    Client,
    /// A job, of which it is an item.
    Job,
}

impl Entry {
    /// The series of ends that may be its doing. All are weighed by the same time, the median of the runs or
    /// the longest that did no harm: what ends back ends does so after about the same time in each, but for
    /// a run that waited in a queue; and what ran for seconds without harm is not the cause of an end after a
    /// few milliseconds.
    pub(crate) fn series(&self) -> Series {
        let mut runs: Vec<u64> = self.ends.iter().map(End::run_ms).collect();
        runs.sort_unstable();
        let median = runs.get(runs.len() / 2).copied().unwrap_or(0);
        let run_ms = median.max(self.outlived_ms);
        let mut series = Series::default();
        let mut last: Option<Timestamp> = None;
        for end in &self.ends {
            if last.is_none_or(|last| end.started >= last) {
                series.count += 1;
                series.surprise += surprise(end.rate, run_ms);
                last = Some(end.ended);
            }
        }
        series
    }

    pub(crate) fn last_end(&self) -> Option<Timestamp> {
        self.ends.last().map(|end| end.ended)
    }

    /// When it may run alone, after ends that chance may explain.
    pub(crate) fn alone_due(&self, series: Series, sender: RequestSource) -> Timestamp {
        let longest = match sender {
            RequestSource::Client => LONGEST_ALONE_WAIT_MS,
            RequestSource::Job => LONGEST_ITEM_WAIT_MS,
        };
        let further = series.count.saturating_sub(ENDS_TO_RUN_ALONE) as u32;
        let wait = FIRST_ALONE_WAIT_MS.saturating_mul(ALONE_WAIT_GROWTH.saturating_pow(further));
        self.last_end().unwrap_or_default().plus_millis(wait.min(longest))
    }

    /// When it may run once although it is held back.
    pub(crate) fn probe_due(&self) -> Timestamp {
        let growth = PROBE_WAIT_GROWTH.saturating_pow(self.probes);
        let wait = FIRST_PROBE_WAIT_MS.saturating_mul(growth);
        let last = self.last_end().max(self.tried).unwrap_or_default();
        last.plus_millis(wait.min(LONGEST_PROBE_WAIT_MS))
    }

    pub(crate) fn status(&self, now: Timestamp, sender: RequestSource) -> SuspectStatus {
        let series = self.series();
        if !series.is_alone() {
            return SuspectStatus::Free;
        }
        let due = match series.is_held_back() {
            true => self.probe_due(),
            false => self.alone_due(series, sender),
        };
        match due.millis_since(now) {
            0 => SuspectStatus::Isolated,
            wait_ms => SuspectStatus::HeldBack { wait_ms },
        }
    }

    /// Whether it was allowed to run alone, and nothing has been heard of that run.
    pub(crate) fn runs_alone(&self, now: Timestamp) -> bool {
        self.tried.is_some_and(|tried| {
            now.millis_since(tried) < TRY_LEASE_MS
                && self.last_end() <= Some(tried)
                && self.concluded <= Some(tried)
        })
    }

    /// Adds an end, or what else is known of one that is held already. Returns whether that is new.
    pub(crate) fn add(&mut self, end: End) -> bool {
        if self.answered.is_some_and(|answered| end.ended <= answered) {
            return false;
        }
        let is_same =
            |held: &&mut End| is_same_end((&held.backend, held.ended), (&end.backend, end.ended));
        if let Some(held) = self.ends.iter_mut().find(is_same) {
            held.started = held.started.min(end.started);
            let is_new = end.rate > held.rate;
            held.rate = held.rate.max(end.rate);
            return is_new;
        }
        self.ends.push(end);
        self.ends.sort_by_key(|end| end.ended);
        if self.ends.len() > MOST_ENDS {
            self.ends.remove(0);
        }
        true
    }

    /// Ends at about a moment at which others ended that this request did not run on prove nothing.
    pub(crate) fn discount_simultaneous(&mut self, background: &Background, at: Timestamp) {
        let own: Vec<BackendIncarnation> =
            self.ends.iter().map(|end| end.backend.clone()).collect();
        let is_own = |backend: &BackendIncarnation| own.contains(backend);
        let is_near = |end: &&mut End| are_simultaneous(end.ended, at);
        for end in self.ends.iter_mut().filter(is_near) {
            if background.simultaneous(end.ended, is_own) >= SIMULTANEOUS_ENDS {
                end.rate = CERTAIN;
            }
        }
    }

    /// A whole answer came at a moment. Returns whether it cleared the request of anything.
    pub(crate) fn clear(&mut self, at: Timestamp) -> bool {
        if self.answered.is_some_and(|answered| answered >= at) {
            return false;
        }
        self.answered = Some(at);
        let before = self.ends.len();
        self.ends.retain(|end| end.ended > at);
        if self.ends.is_empty() {
            self.probes = 0;
            self.outlived_ms = 0;
        }
        before != self.ends.len()
    }

    pub(crate) fn rank(&self) -> (bool, usize, Timestamp) {
        let series = self.series();
        (series.is_held_back(), series.count, self.changed)
    }

    pub(crate) fn is_over(&self, now: Timestamp) -> bool {
        let lifetime = if self.series().count > 1 { LIFETIME_MS } else { SINGLE_END_LIFETIME_MS };
        now.millis_since(self.changed) >= lifetime
    }

    pub(crate) fn news(&self, now: Timestamp, digest: RequestDigest) -> SuspectUpdate {
        let age = |at: Timestamp| now.millis_since(at);
        let end = |end: &End| EndNews {
            backend: end.backend.clone(),
            started_ago_ms: age(end.started),
            ended_ago_ms: age(end.ended),
            rate: end.rate,
        };
        SuspectUpdate {
            digest,
            ends: self.ends.iter().map(end).collect(),
            answered_ago_ms: self.answered.map(age),
            tried_ago_ms: self.tried.map(age),
            concluded_ago_ms: self.concluded.map(age),
            outlived_ms: self.outlived_ms,
            probes: self.probes,
        }
    }

    /// What it stands for beside its moments.
    pub(crate) fn fingerprint(&self, digest: &RequestDigest) -> u64 {
        let mut bytes = digest.bytes().to_vec();
        let mut ends: Vec<(&BackendIncarnation, u32)> =
            self.ends.iter().map(|end| (&end.backend, end.rate)).collect();
        ends.sort_unstable();
        for (backend, rate) in ends {
            bytes.extend_from_slice(backend.id.as_bytes());
            bytes.extend_from_slice(&backend.started_ms.to_le_bytes());
            bytes.extend_from_slice(&rate.to_le_bytes());
        }
        bytes.extend_from_slice(&self.outlived_ms.to_le_bytes());
        bytes.extend_from_slice(&self.probes.to_le_bytes());
        xxh3_64(&bytes)
    }
}
