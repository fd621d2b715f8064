//! Records which back ends crashed under which request, and decides what may still be sent.
//!
//! A crash is evidence against every request in flight at that back end. Three rules tell the cause
//! from requests that were merely present:
//!
//! - repetition: a further crash counts only if its run **began after the previous crash**, so that
//!   a rack that fails at once counts once for a request that ran on all of it;
//! - a complete answer clears a request of all earlier crashes: a popular request is present at
//!   almost every crash, and is answered elsewhere in the meantime;
//! - chance: each crash is weighed by how improbable it was (`background`).
//!
//! A remaining suspect runs isolated, once at a time, and is held back after the next crash.
//!
//! Evidence is kept for requests and for parts of prompts alike (`keys`). A part is present at the
//! crashes that another part or one request causes, so a crash counts against a key of a request
//! only if no other suspect explains it. Only the broader keys of the same request cannot: of parts
//! that always occur together, the narrowest is restricted.
//!
//! The tables of several processes converge to the same content when merged in any order and any
//! number of times, except for times, which shift by the delay of the messages.

use yokefall_core::Timestamp;
use yokefall_serving::BackendIncarnation;

use crate::background::Background;
use crate::digest::RequestDigest;
use crate::entries::{Entries, MAX_ENTRIES};
use crate::entry::{
    Crash, Entry, RequestSource, SuspectStatus, CRASHES_TO_ISOLATE, RETRY_AFTER_MS,
};
use crate::isolated_runs::{IsolatedRuns, RunState};
use crate::keys::SuspectKeys;
use crate::message::{CrashInfo, CrashedBackend, Grant, SuspectUpdate};

/// Maximum number of requests in one message, about 5 KB; those with the most crashes go first.
pub const MAX_UPDATES: usize = 64;

/// Why a request may not run freely.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Restriction {
    /// The key that is suspected: the request or a part of its prompt.
    pub digest: RequestDigest,
    /// What may be done with it; not `Free`.
    pub status: SuspectStatus,
}

/// What is known about suspects. Invariant: an entry's crashes follow its last complete answer.
#[derive(Debug, Default)]
pub struct Table {
    entries: Entries,
    background: Background,
    isolated_runs: IsolatedRuns,
}

impl Table {
    /// Whether no request has any crashes, so that no digest needs to be computed.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Number of known requests.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Number of requests that are held back.
    pub fn held_back(&self) -> usize {
        self.entries.values().filter(|entry| entry.series().is_held_back()).count()
    }

    /// Whether a request is held back, including one that runs isolated as a probe.
    pub fn is_held_back(&self, digest: &RequestDigest) -> bool {
        self.entries.get(digest).is_some_and(|entry| entry.series().is_held_back())
    }

    /// Whether one other suspect explains all crashes under a key.
    pub fn is_explained(&self, digest: &RequestDigest) -> bool {
        self.entries.is_explained(digest)
    }

    /// What may be done with a request.
    pub fn status(&self, now: Timestamp, digest: &RequestDigest) -> SuspectStatus {
        self.status_of(now, digest, RequestSource::Client)
    }

    /// What may be done with a request of a source.
    pub(crate) fn status_of(
        &self,
        now: Timestamp,
        digest: &RequestDigest,
        source: RequestSource,
    ) -> SuspectStatus {
        self.entries.get(digest).map_or(SuspectStatus::Free, |entry| entry.status(now, source))
    }

    /// The strictest restriction of a request by any of its keys; `None` if it may run freely.
    pub fn restriction(
        &self,
        now: Timestamp,
        keys: &SuspectKeys,
        source: RequestSource,
    ) -> Option<Restriction> {
        let mut strictest: Option<Restriction> = None;
        let all: Vec<&RequestDigest> = keys.iter().collect();
        for (position, digest) in all.iter().enumerate() {
            let Some(entry) = self.entries.get(digest) else { continue };
            let status = match *digest == keys.request() {
                // Its restriction concerns no other request.
                true => entry.status(now, source),
                false => self.entries.shared_status(now, entry, &all[..=position], source),
            };
            // Of equal ones the narrowest, which restricts the fewest others.
            let is_strictest = strictest.is_none_or(|found| status >= found.status);
            if status != SuspectStatus::Free && is_strictest {
                strictest = Some(Restriction { digest: **digest, status });
            }
        }
        strictest
    }

    /// Number of consecutive crashes under a request since it was last answered.
    pub fn crash_count(&self, digest: &RequestDigest) -> usize {
        self.entries.get(digest).map_or(0, |entry| entry.series().count)
    }

    /// Records a crash of a back end. Simultaneous crashes prove nothing against a request that ran
    /// on only some of the back ends: a rack or a network failed.
    fn record_background_crash(&mut self, backend: &BackendIncarnation, at: Timestamp) {
        if !self.background.record(backend, at) {
            return;
        }
        for entry in self.entries.values_mut() {
            entry.discount_simultaneous(&self.background, at);
        }
    }

    /// Records the crash of one of `population` back ends under a request sent at `sent_at`.
    pub fn record_crash(
        &mut self,
        now: Timestamp,
        digest: RequestDigest,
        (backend, population): (&BackendIncarnation, usize),
        sent_at: Timestamp,
    ) {
        let rate = self.background.rate(now, backend, population);
        let crash = Crash { backend: backend.clone(), sent_at, crashed_at: now, rate };
        self.change(now, digest, |entry| entry.add(crash));
        self.isolated_runs.record_crash(&digest, now);
        self.record_background_crash(backend, now);
        if let Some(entry) = self.entries.get_mut(&digest) {
            entry.discount_simultaneous(&self.background, now);
        }
        self.evict_surplus(now);
    }

    /// Records that a run finished without an answer and without a crash after the back end had
    /// worked on it. The next isolated run may follow. Returns whether to tell others.
    pub fn record_inconclusive_run(
        &mut self,
        now: Timestamp,
        digest: &RequestDigest,
        survived_ms: u64,
    ) -> bool {
        let Some(entry) = self.entries.get_mut(digest) else { return false };
        let was_running = entry.is_running_isolated(now);
        let is_longer = survived_ms > entry.survived_ms && !entry.crashes.is_empty();
        entry.inconclusive_at = Some(now);
        if is_longer {
            entry.survived_ms = survived_ms;
        }
        was_running || (is_longer && entry.series().count >= CRASHES_TO_ISOLATE)
    }

    /// Records that the isolated run which was granted at `began_at` ended without an answer and
    /// without a crash, so that the next one may follow. The end of a run that the next one followed
    /// already says nothing of that one. Returns whether to tell others.
    pub fn end_isolated_run(
        &mut self,
        now: Timestamp,
        digest: &RequestDigest,
        began_at: Timestamp,
    ) -> bool {
        let Some(entry) = self.entries.get_mut(digest) else { return false };
        let is_followed =
            entry.isolated_at.is_some_and(|at| at.millis_since(began_at) >= RETRY_AFTER_MS);
        if is_followed {
            return false;
        }
        // The leader's notice of the grant may still be on its way.
        let was_running = entry.is_running_isolated(now) || entry.isolated_at < Some(began_at);
        entry.inconclusive_at = Some(now);
        was_running && entry.last_crash() <= Some(began_at)
    }

    /// Records a complete answer. Returns the number of crashes that it clears.
    pub fn record_answer(&mut self, now: Timestamp, digest: &RequestDigest) -> usize {
        let crash_count = self.crash_count(digest);
        if self.entries.contains_key(digest) {
            self.change(now, *digest, |entry| entry.clear(now));
        }
        crash_count.saturating_sub(self.crash_count(digest))
    }

    /// Back ends that may not take one more suspect, as far as this process granted the others.
    pub fn busy_backends(&mut self, now: Timestamp) -> Vec<String> {
        self.review_isolated_runs(now);
        self.isolated_runs.busy_backends()
    }

    fn review_isolated_runs(&mut self, now: Timestamp) {
        let entries = &self.entries;
        self.isolated_runs.review(now, |digest, granted_at| {
            entries.get(digest).map_or(RunState::Ended, |entry| entry.run_state(now, granted_at))
        });
    }

    /// Whether a suspect may run isolated at a back end now, as the leader decides. Invariant: one
    /// unconfirmed run per suspect, and one suspect per back end until some have been confirmed, so
    /// that a crash has one suspect.
    pub fn grant(
        &mut self,
        now: Timestamp,
        digest: &RequestDigest,
        backend: &str,
        source: RequestSource,
    ) -> Grant {
        let Some(entry) = self.entries.get(digest) else { return Grant::Granted };
        match entry.status(now, source) {
            SuspectStatus::Free => return Grant::Granted,
            SuspectStatus::HeldBack { wait_ms } => return Grant::Wait { ms: wait_ms },
            SuspectStatus::Isolated if entry.blocks_next_run(now, source) => {
                return Grant::Wait { ms: RETRY_AFTER_MS }
            }
            SuspectStatus::Isolated => {}
        }
        self.review_isolated_runs(now);
        if !self.isolated_runs.may_take(backend) {
            return Grant::BackendBusy;
        }
        self.isolated_runs.insert(now, *digest, backend);
        self.change(now, *digest, |entry| {
            entry.isolated_at = Some(now);
            // Items run again however often they did, and must not make clients wait for it.
            if source == RequestSource::Client && entry.series().is_held_back() {
                entry.probes += 1;
            }
            true
        });
        Grant::Granted
    }

    /// Merges the update of another process. Returns whether anything was new.
    pub fn merge(&mut self, now: Timestamp, update: SuspectUpdate) -> bool {
        let at = |age_ms: u64| Timestamp(now.0.saturating_sub(age_ms));
        let SuspectUpdate { digest, crashes, answered_age_ms, survived_ms, probes, .. } = update;
        let (isolated_age_ms, inconclusive_age_ms) =
            (update.isolated_age_ms, update.inconclusive_age_ms);
        let crashed: Vec<CrashedBackend> = crashes.iter().map(CrashInfo::backend_crash).collect();
        if crashes.is_empty() && !self.entries.contains_key(&digest) {
            return false;
        }
        let last_crash = crashes.iter().map(|crash| at(crash.crashed_age_ms)).max();
        let is_new = self.change(now, digest, |entry| {
            let mut is_new = answered_age_ms.is_some_and(|age| entry.clear(at(age)));
            for CrashInfo { backend, sent_age_ms, crashed_age_ms, rate } in crashes {
                let (sent_at, crashed_at) = (at(sent_age_ms), at(crashed_age_ms));
                is_new |= entry.add(Crash { backend, sent_at, crashed_at, rate });
            }
            if !entry.crashes.is_empty() {
                entry.isolated_at = entry.isolated_at.max(isolated_age_ms.map(at));
                entry.inconclusive_at = entry.inconclusive_at.max(inconclusive_age_ms.map(at));
                is_new |= probes > entry.probes || survived_ms > entry.survived_ms;
                entry.survived_ms = entry.survived_ms.max(survived_ms);
                entry.probes = entry.probes.max(probes);
            }
            is_new
        });
        if let Some(crashed_at) = last_crash {
            self.isolated_runs.record_crash(&digest, crashed_at);
        }
        // This follows the merge, so that the crashes are known as this request's own.
        self.merge_crashed_backends(now, &crashed);
        if let Some(entry) = self.entries.get_mut(&digest) {
            for CrashedBackend { crashed_age_ms, .. } in &crashed {
                entry.discount_simultaneous(&self.background, at(*crashed_age_ms));
            }
        }
        self.evict_surplus(now);
        is_new
    }

    /// Merges the recent crashes that another process reported.
    pub fn merge_crashed_backends(&mut self, now: Timestamp, crashed: &[CrashedBackend]) {
        for CrashedBackend { backend, crashed_age_ms } in crashed {
            self.record_background_crash(backend, Timestamp(now.0.saturating_sub(*crashed_age_ms)));
        }
    }

    /// Recent crashes to report to other processes.
    pub fn crashed_backends(&self, now: Timestamp) -> Vec<CrashedBackend> {
        self.background.recent_crashes(now)
    }

    /// Changes an entry and updates its time of change if `change` returns true.
    fn change(
        &mut self,
        now: Timestamp,
        digest: RequestDigest,
        change: impl FnOnce(&mut Entry) -> bool,
    ) -> bool {
        let entry = self.entries.entry(digest).or_default();
        let is_new = change(entry);
        if is_new {
            entry.changed_at = now;
        }
        is_new
    }

    /// Evicts expired entries and, if there are too many, those with the least evidence.
    fn evict_surplus(&mut self, now: Timestamp) {
        if self.entries.len() <= MAX_ENTRIES {
            return;
        }
        self.expire(now);
        let mut ranked: Vec<(RequestDigest, (bool, usize, Timestamp))> =
            self.entries.iter().map(|(digest, entry)| (*digest, entry.rank())).collect();
        ranked.sort_unstable_by_key(|(_, rank)| *rank);
        // Evicts more than necessary, so that a flood does not cause a ranking per request.
        let surplus = self.entries.len().saturating_sub(MAX_ENTRIES - MAX_ENTRIES / 8);
        for (digest, _) in ranked.into_iter().take(surplus) {
            self.entries.remove(&digest);
        }
    }

    /// Drops expired entries. Cleared ones stay as long as single crashes, as updates may be late.
    pub fn expire(&mut self, now: Timestamp) {
        self.entries.retain(|_, entry| !entry.is_expired(now));
    }

    /// The update for one request.
    pub fn update_for(&self, now: Timestamp, digest: &RequestDigest) -> Option<SuspectUpdate> {
        self.entries.get(digest).map(|entry| entry.update(now, *digest))
    }

    /// Updates for the requests with the most crashes, at most `MAX_UPDATES`.
    pub fn updates(&self, now: Timestamp) -> Vec<SuspectUpdate> {
        let ranked = self.ranked().into_iter();
        ranked.map(|(digest, entry)| entry.update(now, *digest)).collect()
    }

    /// A fingerprint that differs if two tables would send different updates.
    pub fn fingerprint(&self) -> u64 {
        let ranked = self.ranked().into_iter().filter(|(_, entry)| !entry.crashes.is_empty());
        ranked.map(|(digest, entry)| entry.fingerprint(digest)).fold(0, u64::wrapping_add)
    }

    fn ranked(&self) -> Vec<(&RequestDigest, &Entry)> {
        let mut ranked: Vec<(&RequestDigest, &Entry)> = self.entries.iter().collect();
        if ranked.len() > MAX_UPDATES {
            ranked.sort_unstable_by_key(|(_, entry)| std::cmp::Reverse(entry.rank()));
            ranked.truncate(MAX_UPDATES);
        }
        ranked
    }
}
