//! Which back ends ended under which request, and what may still be sent.
//!
//! An end is evidence against every request under way at that back end. Three things tell the culprit from
//! those that were merely there:
//!
//! - repetition: an end counts once more only if its run **began after the end before**, so that a rack that
//!   fails at once counts once for what ran on all of it;
//! - a whole answer clears a request of all ends before it: a request that is popular is at almost every
//!   end, and is answered elsewhere meanwhile;
//! - chance: what each end proves is weighed by how improbable it was (`background`).
//!
//! What is left runs alone, once at a time in the fleet, and is held back after the end that follows.
//!
//! Tables of several processes merge in any order, any number of times, to the same content, but for
//! moments, which shift by the time that news is under way.

use std::collections::HashMap;

use xxhash_rust::xxh3::xxh3_64;
use yokefall_core::Timestamp;
use yokefall_serving::BackendLife;

use crate::background::{are_simultaneous, is_same_end, surprise, Background, CERTAIN};
use crate::digest::RequestDigest;
use crate::message::{EndNews, EndedBackend, Grant, SuspectNews};

/// Ends, one after the other, from which a request runs alone: one may be chance.
const ENDS_TO_RUN_ALONE: usize = 2;
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
const ASK_AGAIN_MS: u64 = 500;
/// Other back ends that end at the same moment, from which an end has a cause in common with them.
const SIMULTANEOUS_ENDS: usize = 2;
/// Ends that are kept of one request.
const MOST_ENDS: usize = 8;
/// Requests that are kept at most, about 250 bytes each. Those with the fewest ends go first.
const CAPACITY: usize = 1_024;
/// Requests in one message at most, about 5 KB; those with the most ends go first.
pub const MOST_NEWS: usize = 64;
/// Time after the last change for which a request with a single end is kept, in milliseconds, and one with
/// more: longer than the longest wait for a probe.
const SINGLE_END_LIFETIME_MS: u64 = 600_000;
const LIFETIME_MS: u64 = 2 * LONGEST_PROBE_WAIT_MS;

/// A back end that ended under a request.
#[derive(Clone, Debug, PartialEq, Eq)]
struct End {
    backend: BackendLife,
    /// When the request was sent there; the earliest, where it was sent more than once.
    started: Timestamp,
    ended: Timestamp,
    /// Ends of one back end by chance at that time, in a million seconds, to the process that saw most.
    rate: u32,
}

impl End {
    /// How long the request ran there.
    fn run_ms(&self) -> u64 {
        self.ended.millis_since(self.started)
    }
}

/// Ends whose run began after the end before.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
struct Series {
    count: usize,
    /// How improbable they are by chance, in nats.
    surprise: f64,
}

impl Series {
    fn is_alone(self) -> bool {
        // From the third end on whether chance explains them or not: how often others end may be the doing of
        // a second such request, and what it costs those who were merely there is a pause.
        self.count >= ENDS_TO_HOLD_BACK
            || (self.count >= ENDS_TO_RUN_ALONE && self.exceeds(SURPRISE_TO_RUN_ALONE))
    }

    fn is_held_back(self) -> bool {
        self.count >= ENDS_TO_HOLD_BACK && self.exceeds(SURPRISE_TO_HOLD_BACK)
    }

    fn exceeds(self, limits: [f64; MOST_ENDS]) -> bool {
        let position = self.count.clamp(1, MOST_ENDS) - 1;
        self.surprise >= limits[position]
    }
}

#[derive(Clone, Debug, Default)]
struct Entry {
    /// Ends after `answered`, by their moment.
    ends: Vec<End>,
    answered: Option<Timestamp>,
    tried: Option<Timestamp>,
    /// When a run alone was over without an answer and without an end.
    concluded: Option<Timestamp>,
    /// Longest time for which a back end ran it without ending, since `answered`, in milliseconds.
    outlived_ms: u64,
    probes: u32,
    changed: Timestamp,
}

/// What may be done with a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Standing {
    /// It may be sent.
    Free,
    /// It may be sent where the leader of the job stores grants it.
    Alone,
    /// It may not be sent.
    HeldBack {
        /// Time until it may run alone once, in milliseconds.
        wait_ms: u64,
    },
}

/// Who sends a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Sender {
    /// A client, which comes again as it is told.
    Client,
    /// A job, of which it is an item.
    Job,
}

/// What is known of suspects. Invariant: the ends of an entry all follow its last whole answer.
#[derive(Debug, Default)]
pub struct Table {
    entries: HashMap<RequestDigest, Entry>,
    background: Background,
    /// Runs that this process granted, as the leader: the back end and the moment.
    granted: HashMap<RequestDigest, (String, Timestamp)>,
}

impl Entry {
    /// The series of ends that may be its doing. All are weighed by the same time, the median of the runs or
    /// the longest that did no harm: what ends back ends does so after about the same time in each, but for
    /// a run that waited in a queue; and what ran for seconds without harm is not the cause of an end after a
    /// few milliseconds.
    fn series(&self) -> Series {
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

    fn last_end(&self) -> Option<Timestamp> {
        self.ends.last().map(|end| end.ended)
    }

    /// When it may run alone, after ends that chance may explain.
    fn alone_due(&self, series: Series, sender: Sender) -> Timestamp {
        let longest = match sender {
            Sender::Client => LONGEST_ALONE_WAIT_MS,
            Sender::Job => LONGEST_ITEM_WAIT_MS,
        };
        let further = series.count.saturating_sub(ENDS_TO_RUN_ALONE) as u32;
        let wait = FIRST_ALONE_WAIT_MS.saturating_mul(ALONE_WAIT_GROWTH.saturating_pow(further));
        self.last_end().unwrap_or_default().plus_millis(wait.min(longest))
    }

    /// When it may run once although it is held back.
    fn probe_due(&self) -> Timestamp {
        let growth = PROBE_WAIT_GROWTH.saturating_pow(self.probes);
        let wait = FIRST_PROBE_WAIT_MS.saturating_mul(growth);
        let last = self.last_end().max(self.tried).unwrap_or_default();
        last.plus_millis(wait.min(LONGEST_PROBE_WAIT_MS))
    }

    fn standing(&self, now: Timestamp, sender: Sender) -> Standing {
        let series = self.series();
        if !series.is_alone() {
            return Standing::Free;
        }
        let due = match series.is_held_back() {
            true => self.probe_due(),
            false => self.alone_due(series, sender),
        };
        match due.millis_since(now) {
            0 => Standing::Alone,
            wait_ms => Standing::HeldBack { wait_ms },
        }
    }

    /// Whether it was allowed to run alone, and nothing has been heard of that run.
    fn runs_alone(&self, now: Timestamp) -> bool {
        self.tried.is_some_and(|tried| {
            now.millis_since(tried) < TRY_LEASE_MS
                && self.last_end() <= Some(tried)
                && self.concluded <= Some(tried)
        })
    }

    /// Adds an end, or what else is known of one that is held already. Returns whether that is new.
    fn add(&mut self, end: End) -> bool {
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
    fn discount_simultaneous(&mut self, background: &Background, at: Timestamp) {
        let own: Vec<BackendLife> = self.ends.iter().map(|end| end.backend.clone()).collect();
        let is_own = |backend: &BackendLife| own.contains(backend);
        let is_near = |end: &&mut End| are_simultaneous(end.ended, at);
        for end in self.ends.iter_mut().filter(is_near) {
            if background.simultaneous(end.ended, is_own) >= SIMULTANEOUS_ENDS {
                end.rate = CERTAIN;
            }
        }
    }

    /// A whole answer came at a moment. Returns whether it cleared the request of anything.
    fn clear(&mut self, at: Timestamp) -> bool {
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

    fn rank(&self) -> (bool, usize, Timestamp) {
        let series = self.series();
        (series.is_held_back(), series.count, self.changed)
    }

    fn is_over(&self, now: Timestamp) -> bool {
        let lifetime = if self.series().count > 1 { LIFETIME_MS } else { SINGLE_END_LIFETIME_MS };
        now.millis_since(self.changed) >= lifetime
    }

    fn news(&self, now: Timestamp, digest: RequestDigest) -> SuspectNews {
        let age = |at: Timestamp| now.millis_since(at);
        let end = |end: &End| EndNews {
            backend: end.backend.clone(),
            started_ago_ms: age(end.started),
            ended_ago_ms: age(end.ended),
            rate: end.rate,
        };
        SuspectNews {
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
    fn fingerprint(&self, digest: &RequestDigest) -> u64 {
        let mut bytes = digest.bytes().to_vec();
        let mut ends: Vec<(&BackendLife, u32)> =
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

impl Table {
    /// Whether nothing is held against any request, so that none needs a digest.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Requests that are known.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Requests that are held back.
    pub fn held_back(&self) -> usize {
        self.entries.values().filter(|entry| entry.series().is_held_back()).count()
    }

    /// Whether a request is held back, or runs alone once although it is.
    pub fn is_held_back(&self, digest: &RequestDigest) -> bool {
        self.entries.get(digest).is_some_and(|entry| entry.series().is_held_back())
    }

    /// What may be done with a request.
    pub fn standing(&self, now: Timestamp, digest: &RequestDigest) -> Standing {
        self.entries.get(digest).map_or(Standing::Free, |entry| entry.standing(now, Sender::Client))
    }

    /// Ends, one after the other, under a request since it was last answered.
    pub fn repeats(&self, digest: &RequestDigest) -> usize {
        self.entries.get(digest).map_or(0, |entry| entry.series().count)
    }

    /// A back end ended. What ended with others at once proves nothing against requests that ran there and
    /// not on the others: a rack failed, or a network did.
    fn note_ended(&mut self, backend: &BackendLife, at: Timestamp) {
        if !self.background.note(backend, at) {
            return;
        }
        for entry in self.entries.values_mut() {
            entry.discount_simultaneous(&self.background, at);
        }
    }

    /// A back end, one of `population` of its service, ended while it ran a request that was sent there at
    /// `started`.
    pub fn note_end(
        &mut self,
        now: Timestamp,
        digest: RequestDigest,
        (backend, population): (&BackendLife, usize),
        started: Timestamp,
    ) {
        let rate = self.background.rate(now, backend, population);
        let end = End { backend: backend.clone(), started, ended: now, rate };
        self.change(now, digest, |entry| entry.add(end));
        self.note_ended(backend, now);
        if let Some(entry) = self.entries.get_mut(&digest) {
            entry.discount_simultaneous(&self.background, now);
        }
        self.shrink(now);
    }

    /// A run was over without an answer and without an end, after the back end had worked on it for some
    /// time. Where it ran alone, the next may follow. Returns whether others should know.
    pub fn note_concluded(
        &mut self,
        now: Timestamp,
        digest: &RequestDigest,
        outlived_ms: u64,
    ) -> bool {
        let Some(entry) = self.entries.get_mut(digest) else { return false };
        let was_running = entry.runs_alone(now);
        let is_longer = outlived_ms > entry.outlived_ms && !entry.ends.is_empty();
        entry.concluded = Some(now);
        if is_longer {
            entry.outlived_ms = outlived_ms;
        }
        was_running || (is_longer && entry.series().count >= ENDS_TO_RUN_ALONE)
    }

    /// A back end answered a request whole. Returns the ends that it is cleared of.
    pub fn note_answer(&mut self, now: Timestamp, digest: &RequestDigest) -> usize {
        let repeats = self.repeats(digest);
        if self.entries.contains_key(digest) {
            self.change(now, *digest, |entry| entry.clear(now));
        }
        repeats.saturating_sub(self.repeats(digest))
    }

    /// Whether a suspect may run alone at a back end now; to be asked at the leader of the job stores.
    /// Invariant: a request runs alone once at a time, and no two of them at one back end, so that the end
    /// of that back end is evidence against one alone.
    pub fn grant(
        &mut self,
        now: Timestamp,
        digest: &RequestDigest,
        backend: &str,
        sender: Sender,
    ) -> Grant {
        let Some(entry) = self.entries.get(digest) else { return Grant::Granted };
        match entry.standing(now, sender) {
            Standing::Free => return Grant::Granted,
            Standing::HeldBack { wait_ms } => return Grant::Wait { ms: wait_ms },
            Standing::Alone if entry.runs_alone(now) => return Grant::Wait { ms: ASK_AGAIN_MS },
            Standing::Alone => {}
        }
        let entries = &self.entries;
        self.granted.retain(|digest, _| {
            entries.get(digest).is_some_and(|e| !e.ends.is_empty() && e.runs_alone(now))
        });
        if self.granted.values().any(|(taken, _)| taken == backend) {
            return Grant::OtherBackend;
        }
        self.granted.insert(*digest, (backend.to_owned(), now));
        self.change(now, *digest, |entry| {
            entry.tried = Some(now);
            if entry.series().is_held_back() {
                entry.probes += 1;
            }
            true
        });
        Grant::Granted
    }

    /// Takes what another process knows. Returns whether anything of it was new.
    pub fn take(&mut self, now: Timestamp, news: SuspectNews) -> bool {
        let at = |age_ms: u64| Timestamp(now.0.saturating_sub(age_ms));
        let SuspectNews { digest, ends, answered_ago_ms, outlived_ms, probes, .. } = news;
        let (tried_ago_ms, concluded_ago_ms) = (news.tried_ago_ms, news.concluded_ago_ms);
        let ended: Vec<EndedBackend> = ends.iter().map(EndNews::ended).collect();
        if ends.is_empty() && !self.entries.contains_key(&digest) {
            return false;
        }
        let is_new = self.change(now, digest, |entry| {
            let mut is_new = answered_ago_ms.is_some_and(|age| entry.clear(at(age)));
            for EndNews { backend, started_ago_ms, ended_ago_ms, rate } in ends {
                let (started, ended) = (at(started_ago_ms), at(ended_ago_ms));
                is_new |= entry.add(End { backend, started, ended, rate });
            }
            if !entry.ends.is_empty() {
                entry.tried = entry.tried.max(tried_ago_ms.map(at));
                entry.concluded = entry.concluded.max(concluded_ago_ms.map(at));
                is_new |= probes > entry.probes || outlived_ms > entry.outlived_ms;
                entry.outlived_ms = entry.outlived_ms.max(outlived_ms);
                entry.probes = entry.probes.max(probes);
            }
            is_new
        });
        // After they are known as this request's own.
        self.take_ended(now, &ended);
        if let Some(entry) = self.entries.get_mut(&digest) {
            for EndedBackend { ended_ago_ms, .. } in &ended {
                entry.discount_simultaneous(&self.background, at(*ended_ago_ms));
            }
        }
        self.shrink(now);
        is_new
    }

    /// Another process tells which back ends ended lately.
    pub fn take_ended(&mut self, now: Timestamp, ended: &[EndedBackend]) {
        for EndedBackend { backend, ended_ago_ms } in ended {
            self.note_ended(backend, Timestamp(now.0.saturating_sub(*ended_ago_ms)));
        }
    }

    /// Back ends that ended lately, as others should know.
    pub fn ended(&self, now: Timestamp) -> Vec<EndedBackend> {
        self.background.told(now)
    }

    /// Changes an entry; it counts as changed where `change` says so.
    fn change(
        &mut self,
        now: Timestamp,
        digest: RequestDigest,
        change: impl FnOnce(&mut Entry) -> bool,
    ) -> bool {
        let entry = self.entries.entry(digest).or_default();
        let is_new = change(entry);
        if is_new {
            entry.changed = now;
        }
        is_new
    }

    /// Drops what is over, and what is least known where there is too much.
    fn shrink(&mut self, now: Timestamp) {
        if self.entries.len() <= CAPACITY {
            return;
        }
        self.expire(now);
        let mut ranked: Vec<(RequestDigest, (bool, usize, Timestamp))> =
            self.entries.iter().map(|(digest, entry)| (*digest, entry.rank())).collect();
        ranked.sort_unstable_by_key(|(_, rank)| *rank);
        // Some more than must go, so that a flood is not ranked anew with each of its requests.
        let surplus = self.entries.len().saturating_sub(CAPACITY - CAPACITY / 8);
        for (digest, _) in ranked.into_iter().take(surplus) {
            self.entries.remove(&digest);
        }
    }

    /// Drops what is over. Those that were cleared are kept for as long as one with a single end: news of
    /// an end before may still come.
    pub fn expire(&mut self, now: Timestamp) {
        self.entries.retain(|_, entry| !entry.is_over(now));
    }

    /// What is known of one request.
    pub fn news_of(&self, now: Timestamp, digest: &RequestDigest) -> Option<SuspectNews> {
        self.entries.get(digest).map(|entry| entry.news(now, *digest))
    }

    /// What is known, of the requests with the most ends first and `MOST_NEWS` at most.
    pub fn news(&self, now: Timestamp) -> Vec<SuspectNews> {
        let ranked = self.ranked().into_iter();
        ranked.map(|(digest, entry)| entry.news(now, *digest)).collect()
    }

    /// A number that differs where two tables would tell different news.
    pub fn fingerprint(&self) -> u64 {
        let ranked = self.ranked().into_iter().filter(|(_, entry)| !entry.ends.is_empty());
        ranked.map(|(digest, entry)| entry.fingerprint(digest)).fold(0, u64::wrapping_add)
    }

    fn ranked(&self) -> Vec<(&RequestDigest, &Entry)> {
        let mut ranked: Vec<(&RequestDigest, &Entry)> = self.entries.iter().collect();
        if ranked.len() > MOST_NEWS {
            ranked.sort_unstable_by_key(|(_, entry)| std::cmp::Reverse(entry.rank()));
            ranked.truncate(MOST_NEWS);
        }
        ranked
    }
}
