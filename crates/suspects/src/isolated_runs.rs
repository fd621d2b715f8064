//! Isolated runs that this process granted as the leader of the job stores, and how many suspects a
//! back end may run at a time. The number grows as runs turn out well, so that many suspects which
//! met the same crashes by chance do not wait for each other long after these have ended.

use std::collections::{BTreeSet, HashMap};

use yokefall_core::Timestamp;

use crate::digest::RequestDigest;

/// Time after its last change for which a window is kept, in milliseconds: longer than items run.
const WINDOW_RETENTION_MS: u64 = 60_000;

#[derive(Debug)]
struct GrantedRun {
    backend: String,
    granted_at: Timestamp,
}

/// Number of suspects that a back end may run at a time besides the first.
#[derive(Debug)]
struct Window {
    further: usize,
    changed_at: Timestamp,
}

/// What has become of a granted run, as far as its suspect's entry shows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum RunState {
    /// Its back end may still crash as under the runs before.
    Unconfirmed,
    /// It was answered, or has lasted longer than the runs that ended with a crash.
    Confirmed,
    /// It ended without a result.
    Ended,
}

/// The granted runs that are not confirmed, and the windows of back ends.
#[derive(Debug, Default)]
pub(crate) struct IsolatedRuns {
    unconfirmed: HashMap<RequestDigest, GrantedRun>,
    windows: HashMap<String, Window>,
}

impl IsolatedRuns {
    /// Adds a run that was granted.
    pub(crate) fn insert(&mut self, now: Timestamp, digest: RequestDigest, backend: &str) {
        let run = GrantedRun { backend: backend.to_owned(), granted_at: now };
        self.unconfirmed.insert(digest, run);
    }

    /// Reviews the granted runs: each that is confirmed widens the window of its back end by one,
    /// which doubles it while all runs turn out well.
    pub(crate) fn review(
        &mut self,
        now: Timestamp,
        state: impl Fn(&RequestDigest, Timestamp) -> RunState,
    ) {
        let windows = &mut self.windows;
        windows.retain(|_, window| now.millis_since(window.changed_at) < WINDOW_RETENTION_MS);
        self.unconfirmed.retain(|digest, run| {
            let state = state(digest, run.granted_at);
            if state == RunState::Confirmed {
                let opened = Window { further: 0, changed_at: now };
                let window = windows.entry(run.backend.clone()).or_insert(opened);
                window.further += 1;
                window.changed_at = now;
            }
            state == RunState::Unconfirmed
        });
    }

    /// Whether one more suspect may run at a back end.
    pub(crate) fn may_take(&self, backend: &str) -> bool {
        let running = self.unconfirmed.values().filter(|run| run.backend == backend).count();
        let further = self.windows.get(backend).map_or(0, |window| window.further);
        running <= further
    }

    /// Back ends that may not take one more suspect.
    pub(crate) fn busy_backends(&self) -> Vec<String> {
        let backends: BTreeSet<&String> =
            self.unconfirmed.values().map(|run| &run.backend).collect();
        backends.into_iter().filter(|backend| !self.may_take(backend)).cloned().collect()
    }

    /// Records a crash under a suspect. If it was the run granted here, suspects run alone again, so
    /// that the next crash has one suspect.
    pub(crate) fn record_crash(&mut self, digest: &RequestDigest, crashed_at: Timestamp) {
        if self.unconfirmed.get(digest).is_some_and(|run| crashed_at >= run.granted_at) {
            self.unconfirmed.remove(digest);
            self.windows.clear();
        }
    }
}
