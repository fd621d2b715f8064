//! The evidence against one request: the crashes under it, and what follows from them.

use xxhash_rust::xxh3::xxh3_64;
use yokefall_core::Timestamp;
use yokefall_serving::BackendIncarnation;

use crate::background::{are_simultaneous, is_same_crash, surprisal, Background, CERTAIN};
use crate::digest::RequestDigest;
use crate::isolated_runs::RunState;
use crate::message::{CrashInfo, SuspectUpdate};

/// Number of consecutive crashes from which a request runs isolated: a single one may be chance.
pub(crate) const CRASHES_TO_ISOLATE: usize = 2;
const CRASHES_TO_HOLD_BACK: usize = 3;
/// Number of crashes, simultaneous ones included, from which an item runs isolated: items with the
/// same part that start together crash their back ends together, and again once these are back.
const WAVE_CRASHES: usize = 3;
/// Surprisal in nats, by length of the series of crashes, from which a request runs isolated or is
/// held back: one series by chance in 100, or in 10,000, exceeds it. The sum grows with the length;
/// by chance it has the distribution Gamma(length, 1).
const SURPRISAL_TO_ISOLATE: [f64; MAX_CRASHES] =
    [4.605, 6.638, 8.406, 10.045, 11.605, 13.108, 14.571, 16.000];
const SURPRISAL_TO_HOLD_BACK: [f64; MAX_CRASHES] =
    [9.210, 11.756, 13.928, 15.914, 17.782, 19.567, 21.290, 22.962];
/// Time from the second crash until a request runs isolated if chance cannot be ruled out, in
/// milliseconds, and the factor per further crash: a cause crashes back ends ever more rarely.
const INITIAL_ISOLATION_BACKOFF_MS: u64 = 500;
const ISOLATION_BACKOFF_FACTOR: u64 = 4;
/// Maximum of that time, in milliseconds, for client retries and for items, which delay a job.
const MAX_ISOLATION_BACKOFF_MS: u64 = 30_000;
const MAX_ITEM_ISOLATION_BACKOFF_MS: u64 = 4_000;
/// Time after its last crash until an item that is held back runs again, in milliseconds. It does
/// not grow: nobody sends an item again, so that a wrong verdict ends only by a run. An item that
/// does crash back ends crashes 8 a minute, until its job's time is over.
const ITEM_PROBE_BACKOFF_MS: u64 = 8_000;
/// Time until a client's request that is held back may run once, in milliseconds, and the factor for
/// each further run: endless repetition costs 3 more back ends within 11 minutes.
const INITIAL_PROBE_BACKOFF_MS: u64 = 30_000;
const PROBE_BACKOFF_FACTOR: u64 = 4;
const MAX_PROBE_BACKOFF_MS: u64 = 3_600_000;
/// Time without news for which a granted run counts as running, as long as most may take, in ms.
const ISOLATED_RUN_LEASE_MS: u64 = 10_000;
/// Time by which an isolated run must outlast those that ended with a crash to be confirmed, in
/// milliseconds: until a crash is detected, and what a back end needs longer under load.
const CONFIRMATION_MARGIN_MS: u64 = 500;
/// Time after which to ask again if the same request already runs isolated, in milliseconds.
pub(crate) const RETRY_AFTER_MS: u64 = 500;
/// Number of simultaneous crashes of other back ends that indicates a common cause.
const SIMULTANEOUS_CRASHES: usize = 2;
/// Maximum number of crashes recorded per request.
const MAX_CRASHES: usize = 8;
/// Time after its last change for which a request with a single crash is kept, in milliseconds.
const SINGLE_CRASH_RETENTION_MS: u64 = 600_000;
/// The same for a request with more crashes: longer than the longest wait for a probe.
const RETENTION_MS: u64 = 2 * MAX_PROBE_BACKOFF_MS;

/// A crash of a back end while it ran a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Crash {
    pub(crate) backend: BackendIncarnation,
    /// When the request was sent there; the earliest time if it was sent more than once.
    pub(crate) sent_at: Timestamp,
    pub(crate) crashed_at: Timestamp,
    /// Highest baseline crash rate that any process observed, per back end and million seconds.
    pub(crate) rate: u32,
}

impl Crash {
    pub(crate) fn run_ms(&self) -> u64 {
        self.crashed_at.millis_since(self.sent_at)
    }
}

/// Consecutive crashes: each run began after the previous crash.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) struct Series {
    pub(crate) count: usize,
    /// Surprisal of the crashes under chance, in nats.
    pub(crate) surprisal: f64,
}

impl Series {
    pub(crate) fn needs_isolation(self) -> bool {
        // From the third crash on, the request runs isolated even if chance explains them: a second
        // such request may raise the baseline, and an innocent one loses only time.
        self.count >= CRASHES_TO_HOLD_BACK
            || (self.count >= CRASHES_TO_ISOLATE && self.exceeds(SURPRISAL_TO_ISOLATE))
    }

    pub(crate) fn is_held_back(self) -> bool {
        self.count >= CRASHES_TO_HOLD_BACK && self.exceeds(SURPRISAL_TO_HOLD_BACK)
    }

    pub(crate) fn exceeds(self, limits: [f64; MAX_CRASHES]) -> bool {
        let position = self.count.clamp(1, MAX_CRASHES) - 1;
        self.surprisal >= limits[position]
    }
}

#[derive(Clone, Debug, Default)]
pub(crate) struct Entry {
    /// Crashes after `answered_at`, in order of time.
    pub(crate) crashes: Vec<Crash>,
    pub(crate) answered_at: Option<Timestamp>,
    pub(crate) isolated_at: Option<Timestamp>,
    /// When an isolated run finished without an answer and without a crash.
    pub(crate) inconclusive_at: Option<Timestamp>,
    /// Longest run without a crash since `answered_at`, in milliseconds.
    pub(crate) survived_ms: u64,
    pub(crate) probes: u32,
    pub(crate) changed_at: Timestamp,
}

/// What may be done with a request, from the least strict to the strictest.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum SuspectStatus {
    /// It may be sent.
    Free,
    /// It may be sent to a back end that the leader of the job stores grants.
    Isolated,
    /// It may not be sent.
    HeldBack {
        /// Time until it may run isolated once, in milliseconds.
        wait_ms: u64,
    },
}

/// Origin of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestSource {
    /// A client, which retries when it is told to.
    Client,
    /// A job that the request is an item of.
    Job,
}

impl Entry {
    /// The series of crashes that the request may have caused. All are weighed by the larger of the
    /// median run and the longest run without a crash: a cause crashes back ends after about the
    /// same time, unless queued, and not once after seconds and once after milliseconds.
    pub(crate) fn series(&self) -> Series {
        let mut runs: Vec<u64> = self.crashes.iter().map(Crash::run_ms).collect();
        runs.sort_unstable();
        let median = runs.get(runs.len() / 2).copied().unwrap_or(0);
        let run_ms = median.max(self.survived_ms);
        let mut series = Series::default();
        for (crash, is_counted) in self.crashes.iter().zip(self.counted()) {
            if is_counted {
                series.count += 1;
                series.surprisal += surprisal(crash.rate, run_ms);
            }
        }
        series
    }

    /// Which crashes the series counts: those whose run began after the one counted before.
    fn counted(&self) -> Vec<bool> {
        let mut last: Option<Timestamp> = None;
        let is_counted = |crash: &Crash| {
            let is_counted = last.is_none_or(|last| crash.sent_at >= last);
            if is_counted {
                last = Some(crash.crashed_at);
            }
            is_counted
        };
        self.crashes.iter().map(is_counted).collect()
    }

    /// This entry without the crashes that `is_explained` accepts.
    pub(crate) fn without(&self, is_explained: impl Fn(&Crash) -> bool) -> Self {
        let mut entry = self.clone();
        entry.crashes.retain(|crash| !is_explained(crash));
        entry
    }

    /// Whether this entry's series is evidence strong enough to explain crashes of `other`.
    pub(crate) fn may_explain(&self, other: &Self) -> bool {
        let series = self.series();
        series.is_held_back() || (series.needs_isolation() && series.count >= other.series().count)
    }

    /// Number of crashes that this entry has in common with another.
    pub(crate) fn count_shared(&self, other: &Self) -> usize {
        other.crashes.iter().filter(|crash| self.has_crash(crash)).count()
    }

    /// Whether this entry has the same crash.
    pub(crate) fn has_crash(&self, other: &Crash) -> bool {
        self.crashes.iter().any(|crash| {
            is_same_crash((&crash.backend, crash.crashed_at), (&other.backend, other.crashed_at))
        })
    }

    /// Whether the series restricts what many requests share: those of clients would be rejected,
    /// which takes a longer series, items only wait.
    pub(crate) fn restricts_shared(&self, source: RequestSource) -> bool {
        let series = self.series();
        match source {
            RequestSource::Client => series.count >= CRASHES_TO_HOLD_BACK,
            RequestSource::Job => series.needs_isolation() || self.is_wave(source),
        }
    }

    /// Whether simultaneous crashes are reason enough to run isolated. A rack that fails causes them
    /// too, so this restricts items only, which wait, until one of them is answered.
    fn is_wave(&self, source: RequestSource) -> bool {
        source == RequestSource::Job && self.crashes.len() >= WAVE_CRASHES
    }

    pub(crate) fn last_crash(&self) -> Option<Timestamp> {
        self.crashes.last().map(|crash| crash.crashed_at)
    }

    /// When it may run isolated, after crashes that chance may explain.
    pub(crate) fn isolation_due(&self, series: Series, source: RequestSource) -> Timestamp {
        let longest = match source {
            RequestSource::Client => MAX_ISOLATION_BACKOFF_MS,
            RequestSource::Job => MAX_ITEM_ISOLATION_BACKOFF_MS,
        };
        let further = series.count.saturating_sub(CRASHES_TO_ISOLATE) as u32;
        let wait = INITIAL_ISOLATION_BACKOFF_MS
            .saturating_mul(ISOLATION_BACKOFF_FACTOR.saturating_pow(further));
        self.last_crash().unwrap_or_default().plus_millis(wait.min(longest))
    }

    /// When it may run once although it is held back.
    fn probe_due(&self, source: RequestSource) -> Timestamp {
        match source {
            RequestSource::Client => self.client_probe_due(),
            RequestSource::Job => {
                self.last_crash().unwrap_or_default().plus_millis(ITEM_PROBE_BACKOFF_MS)
            }
        }
    }

    fn client_probe_due(&self) -> Timestamp {
        let growth = PROBE_BACKOFF_FACTOR.saturating_pow(self.probes);
        let wait = INITIAL_PROBE_BACKOFF_MS.saturating_mul(growth);
        // A run that ended without a result says nothing; the growth alone spaces such runs.
        let isolated_at = self.isolated_at.filter(|at| self.inconclusive_at < Some(*at));
        let last = self.last_crash().max(isolated_at).unwrap_or_default();
        last.plus_millis(wait.min(MAX_PROBE_BACKOFF_MS))
    }

    pub(crate) fn status(&self, now: Timestamp, source: RequestSource) -> SuspectStatus {
        let series = self.series();
        if !series.needs_isolation() && !self.is_wave(source) {
            return SuspectStatus::Free;
        }
        let due = match series.is_held_back() {
            true => self.probe_due(source),
            false => self.isolation_due(series, source),
        };
        match due.millis_since(now) {
            0 => SuspectStatus::Isolated,
            wait_ms => SuspectStatus::HeldBack { wait_ms },
        }
    }

    /// Whether it was granted an isolated run whose result is not known yet.
    pub(crate) fn is_running_isolated(&self, now: Timestamp) -> bool {
        self.isolated_at.is_some_and(|isolated_at| {
            now.millis_since(isolated_at) < ISOLATED_RUN_LEASE_MS
                && self.last_crash() <= Some(isolated_at)
                && self.inconclusive_at <= Some(isolated_at)
        })
    }

    /// Whether an isolated run has to be waited for before the next one. An item waits only until it
    /// is confirmed, as runs of items may be long and many items may share a part.
    pub(crate) fn blocks_next_run(&self, now: Timestamp, source: RequestSource) -> bool {
        let is_confirmed = self.isolated_at.is_some_and(|at| self.is_confirmed(now, at));
        self.is_running_isolated(now) && !(source == RequestSource::Job && is_confirmed)
    }

    /// What has become of a run that was granted at this time.
    pub(crate) fn run_state(&self, now: Timestamp, granted_at: Timestamp) -> RunState {
        if self.answered_at >= Some(granted_at) {
            return RunState::Confirmed;
        }
        match self.is_running_isolated(now) {
            false => RunState::Ended,
            true if self.is_confirmed(now, granted_at) => RunState::Confirmed,
            true => RunState::Unconfirmed,
        }
    }

    /// Whether a run that began at this time has lasted longer than each that ended with a crash: a
    /// cause crashes back ends after about the same time.
    fn is_confirmed(&self, now: Timestamp, began_at: Timestamp) -> bool {
        let longest_run_ms = self.crashes.iter().map(Crash::run_ms).max().unwrap_or(0);
        now.millis_since(began_at) >= longest_run_ms + CONFIRMATION_MARGIN_MS
    }

    /// Adds a crash or merges it with its earlier record; returns whether anything is new.
    pub(crate) fn add(&mut self, crash: Crash) -> bool {
        if self.answered_at.is_some_and(|answered| crash.crashed_at <= answered) {
            return false;
        }
        let is_same = |held: &&mut Crash| {
            is_same_crash((&held.backend, held.crashed_at), (&crash.backend, crash.crashed_at))
        };
        if let Some(held) = self.crashes.iter_mut().find(is_same) {
            held.sent_at = held.sent_at.min(crash.sent_at);
            let is_new = crash.rate > held.rate;
            held.rate = held.rate.max(crash.rate);
            return is_new;
        }
        self.crashes.push(crash);
        self.crashes.sort_by_key(|crash| crash.crashed_at);
        if self.crashes.len() > MAX_CRASHES {
            self.crashes.remove(self.least_telling_crash());
        }
        true
    }

    /// Position of the oldest crash that the series does not count, otherwise of the oldest: many
    /// back ends that crash at once must not displace the crashes before them.
    fn least_telling_crash(&self) -> usize {
        self.counted().iter().position(|is_counted| !is_counted).unwrap_or(0)
    }

    /// Crashes at about the time of crashes that this request was not present at prove nothing.
    pub(crate) fn discount_simultaneous(&mut self, background: &Background, at: Timestamp) {
        let own: Vec<BackendIncarnation> =
            self.crashes.iter().map(|crash| crash.backend.clone()).collect();
        let is_own = |backend: &BackendIncarnation| own.contains(backend);
        let is_near = |crash: &&mut Crash| are_simultaneous(crash.crashed_at, at);
        for crash in self.crashes.iter_mut().filter(is_near) {
            if background.count_simultaneous(crash.crashed_at, is_own) >= SIMULTANEOUS_CRASHES {
                crash.rate = CERTAIN;
            }
        }
    }

    /// Records a complete answer. Returns whether it cleared any crashes.
    pub(crate) fn clear(&mut self, at: Timestamp) -> bool {
        if self.answered_at.is_some_and(|answered| answered >= at) {
            return false;
        }
        self.answered_at = Some(at);
        let before = self.crashes.len();
        self.crashes.retain(|crash| crash.crashed_at > at);
        if self.crashes.is_empty() {
            self.probes = 0;
            self.survived_ms = 0;
        }
        before != self.crashes.len()
    }

    pub(crate) fn rank(&self) -> (bool, usize, Timestamp) {
        let series = self.series();
        (series.is_held_back(), series.count, self.changed_at)
    }

    pub(crate) fn is_expired(&self, now: Timestamp) -> bool {
        let lifetime =
            if self.series().count > 1 { RETENTION_MS } else { SINGLE_CRASH_RETENTION_MS };
        now.millis_since(self.changed_at) >= lifetime
    }

    pub(crate) fn update(&self, now: Timestamp, digest: RequestDigest) -> SuspectUpdate {
        let age = |at: Timestamp| now.millis_since(at);
        let crash = |crash: &Crash| CrashInfo {
            backend: crash.backend.clone(),
            sent_age_ms: age(crash.sent_at),
            crashed_age_ms: age(crash.crashed_at),
            rate: crash.rate,
        };
        SuspectUpdate {
            digest,
            crashes: self.crashes.iter().map(crash).collect(),
            answered_age_ms: self.answered_at.map(age),
            isolated_age_ms: self.isolated_at.map(age),
            inconclusive_age_ms: self.inconclusive_at.map(age),
            survived_ms: self.survived_ms,
            probes: self.probes,
        }
    }

    /// Hash of the content, excluding times.
    pub(crate) fn fingerprint(&self, digest: &RequestDigest) -> u64 {
        let mut bytes = digest.bytes().to_vec();
        let mut crashes: Vec<(&BackendIncarnation, u32)> =
            self.crashes.iter().map(|crash| (&crash.backend, crash.rate)).collect();
        crashes.sort_unstable();
        for (backend, rate) in crashes {
            bytes.extend_from_slice(backend.id.as_bytes());
            bytes.extend_from_slice(&backend.started_ms.to_le_bytes());
            bytes.extend_from_slice(&rate.to_le_bytes());
        }
        bytes.extend_from_slice(&self.survived_ms.to_le_bytes());
        bytes.extend_from_slice(&self.probes.to_le_bytes());
        xxh3_64(&bytes)
    }
}
