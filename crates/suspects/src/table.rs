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

use yokefall_core::Timestamp;
use yokefall_serving::BackendIncarnation;

use crate::background::Background;
use crate::digest::RequestDigest;
use crate::entry::{End, Entry, RequestSource, SuspectStatus, ASK_AGAIN_MS, ENDS_TO_RUN_ALONE};
use crate::message::{EndNews, EndedBackend, Grant, SuspectUpdate};

/// Requests that are kept at most, about 250 bytes each. Those with the fewest ends go first.
const CAPACITY: usize = 1_024;
/// Requests in one message at most, about 5 KB; those with the most ends go first.
pub const MOST_NEWS: usize = 64;

/// What is known of suspects. Invariant: the ends of an entry all follow its last whole answer.
#[derive(Debug, Default)]
pub struct Table {
    entries: HashMap<RequestDigest, Entry>,
    background: Background,
    /// Runs that this process granted, as the leader: the back end and the moment.
    granted: HashMap<RequestDigest, (String, Timestamp)>,
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
    pub fn status(&self, now: Timestamp, digest: &RequestDigest) -> SuspectStatus {
        self.entries
            .get(digest)
            .map_or(SuspectStatus::Free, |entry| entry.status(now, RequestSource::Client))
    }

    /// Ends, one after the other, under a request since it was last answered.
    pub fn repeats(&self, digest: &RequestDigest) -> usize {
        self.entries.get(digest).map_or(0, |entry| entry.series().count)
    }

    /// A back end ended. What ended with others at once proves nothing against requests that ran there and
    /// not on the others: a rack failed, or a network did.
    fn note_ended(&mut self, backend: &BackendIncarnation, at: Timestamp) {
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
        (backend, population): (&BackendIncarnation, usize),
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
    pub fn record_inconclusive_run(
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
    pub fn record_answer(&mut self, now: Timestamp, digest: &RequestDigest) -> usize {
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
        sender: RequestSource,
    ) -> Grant {
        let Some(entry) = self.entries.get(digest) else { return Grant::Granted };
        match entry.status(now, sender) {
            SuspectStatus::Free => return Grant::Granted,
            SuspectStatus::HeldBack { wait_ms } => return Grant::Wait { ms: wait_ms },
            SuspectStatus::Isolated if entry.runs_alone(now) => {
                return Grant::Wait { ms: ASK_AGAIN_MS }
            }
            SuspectStatus::Isolated => {}
        }
        let entries = &self.entries;
        self.granted.retain(|digest, _| {
            entries.get(digest).is_some_and(|e| !e.ends.is_empty() && e.runs_alone(now))
        });
        if self.granted.values().any(|(taken, _)| taken == backend) {
            return Grant::BackendBusy;
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
    pub fn take(&mut self, now: Timestamp, news: SuspectUpdate) -> bool {
        let at = |age_ms: u64| Timestamp(now.0.saturating_sub(age_ms));
        let SuspectUpdate { digest, ends, answered_ago_ms, outlived_ms, probes, .. } = news;
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
    pub fn update_for(&self, now: Timestamp, digest: &RequestDigest) -> Option<SuspectUpdate> {
        self.entries.get(digest).map(|entry| entry.news(now, *digest))
    }

    /// What is known, of the requests with the most ends first and `MOST_NEWS` at most.
    pub fn news(&self, now: Timestamp) -> Vec<SuspectUpdate> {
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
