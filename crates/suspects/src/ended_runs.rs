//! Runs that ended lately with their connection, while their back end still accepted others. The
//! connections of a process that crashes break one after the other, and its port last, so that a crash
//! may have ended them; and a response that ends with its connection is whole only if none has.

use std::collections::VecDeque;
use std::net::SocketAddr;

use yokefall_core::Timestamp;
use yokefall_serving::BackendIncarnation;

use crate::keys::SuspectKeys;
use crate::progress::ResponseProgress;

/// Time in which the connections and the port of a back end that crashes close, and others tell of the
/// crash, in milliseconds.
const WINDOW_MS: u64 = 300;
/// Times after the end of a run at which its back end is checked, in milliseconds, and the same for a
/// whole response, which seldom ends with a crash.
const BROKEN_CHECKS_MS: [u64; 3] = [10, 40, 150];
const ANSWERED_CHECKS_MS: [u64; 1] = [150];
/// Maximum number of runs, about 200 bytes each; the oldest are settled first.
const MAX_RUNS: usize = 1_024;

/// How a run ended for the reader of its response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum RunEnd {
    /// The connection broke off.
    Broken,
    /// The response ended with its connection, as its framing has it.
    Answered {
        /// Whether the response reported success.
        is_success: bool,
    },
}

/// A run that ended.
#[derive(Clone, Debug)]
pub(crate) struct EndedRun {
    pub(crate) backend: BackendIncarnation,
    pub(crate) address: SocketAddr,
    pub(crate) service: String,
    pub(crate) keys: SuspectKeys,
    pub(crate) progress: ResponseProgress,
    pub(crate) sent_at: Timestamp,
    pub(crate) ended_at: Timestamp,
    pub(crate) end: RunEnd,
}

#[derive(Debug)]
struct WatchedRun {
    run: EndedRun,
    /// Number of checks of its back end that were made or skipped.
    checks: usize,
}

impl WatchedRun {
    fn next_check(&self) -> Option<Timestamp> {
        let checks: &[u64] = match self.run.end {
            RunEnd::Broken => &BROKEN_CHECKS_MS,
            RunEnd::Answered { .. } => &ANSWERED_CHECKS_MS,
        };
        checks.get(self.checks).map(|after_ms| self.run.ended_at.plus_millis(*after_ms))
    }
}

/// A back end to check.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct DueCheck {
    pub(crate) backend: BackendIncarnation,
    pub(crate) address: SocketAddr,
}

/// The runs that ended within the window, in order of their ends.
#[derive(Debug, Default)]
pub(crate) struct EndedRuns {
    runs: VecDeque<WatchedRun>,
}

impl EndedRuns {
    /// Whether there are none.
    pub(crate) fn is_empty(&self) -> bool {
        self.runs.is_empty()
    }

    /// Adds a run.
    pub(crate) fn push(&mut self, run: EndedRun) {
        self.runs.push_back(WatchedRun { run, checks: 0 });
    }

    /// Whether a run of this back end ended lately.
    pub(crate) fn contains(&self, backend: &BackendIncarnation) -> bool {
        self.runs.iter().any(|watched| watched.run.backend == *backend)
    }

    /// Removes the runs of a back end that has crashed.
    pub(crate) fn take_of(&mut self, backend: &BackendIncarnation) -> Vec<EndedRun> {
        self.take(|watched| watched.run.backend == *backend)
    }

    /// Removes the runs whose back end would have been found crashed by now.
    pub(crate) fn take_settled(&mut self, now: Timestamp) -> Vec<EndedRun> {
        let mut surplus = self.runs.len().saturating_sub(MAX_RUNS);
        self.take(|watched| {
            let is_surplus = surplus > 0;
            surplus = surplus.saturating_sub(1);
            is_surplus || now.millis_since(watched.run.ended_at) >= WINDOW_MS
        })
    }

    fn take(&mut self, mut is_taken: impl FnMut(&WatchedRun) -> bool) -> Vec<EndedRun> {
        let (taken, kept): (VecDeque<_>, VecDeque<_>) =
            std::mem::take(&mut self.runs).into_iter().partition(|watched| is_taken(watched));
        self.runs = kept;
        taken.into_iter().map(|watched| watched.run).collect()
    }

    /// Back ends that are to be checked now, each once. Those of whole responses are checked only if
    /// `checks_answered`: on days without crashes that would be a connection for each of them.
    pub(crate) fn due_checks(&mut self, now: Timestamp, checks_answered: bool) -> Vec<DueCheck> {
        let mut due: Vec<DueCheck> = Vec::new();
        for watched in &mut self.runs {
            if watched.next_check().is_none_or(|at| at > now) {
                continue;
            }
            watched.checks += 1;
            let is_checked = watched.run.end == RunEnd::Broken || checks_answered;
            let EndedRun { backend, address, .. } = &watched.run;
            if is_checked && !due.iter().any(|check| check.backend == *backend) {
                due.push(DueCheck { backend: backend.clone(), address: *address });
            }
        }
        due
    }
}
