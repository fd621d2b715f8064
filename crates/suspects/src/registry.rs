//! The table of one process with its clock, log lines and metrics; `notices` sends updates.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use tokio::sync::Notify;
use tokio::time::Instant;
use yokefall_clock::ElapsedClock;
use yokefall_core::Timestamp;
use yokefall_serving::{Backend, BackendIncarnation, CatalogCell};
use yokefall_telemetry::{EventName, LogLine};

use crate::background::is_same_crash;
use crate::digest::RequestDigest;
use crate::ended_runs::{DueCheck, EndedRun, EndedRuns, RunEnd};
use crate::entry::{RequestSource, SuspectStatus};
use crate::exit_check::ExitChecks;
use crate::keys::SuspectKeys;
use crate::message::{Grant, SuspectReport, SuspectUpdate};
use crate::progress::ResponseProgress;
use crate::table::{Restriction, Table};

/// Clock value at the start, in milliseconds: a day, longer than anything is kept.
const INITIAL_TIME_MS: u64 = 86_400_000;
/// Number of crashes remembered so that each is logged once.
const MAX_LOGGED_CRASHES: usize = 64;
/// Number of crashes from which the answer to a request is broadcast: below it nothing was held
/// back. For a part of prompts, crashes that different processes know add up.
const MIN_REQUEST_CRASHES_TO_PUBLISH: usize = 2;
const MIN_PART_CRASHES_TO_PUBLISH: usize = 1;
/// Interval at which runs that ended lately are looked at.
const WATCH_INTERVAL: Duration = Duration::from_millis(10);

/// Why a connection to a back end broke off.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DisconnectCause {
    /// The back end accepts connections, its state is unknown, or it was about to leave.
    Unknown,
    /// The back end crashed while it ran the request.
    BackendCrashed,
}

/// An isolated run of a suspect, which ends when this is dropped. A run that ends without an answer
/// and without a crash (its client disconnected, or it was preempted) must not block the next one.
#[derive(Debug)]
pub struct IsolatedRun {
    registry: Rc<Registry>,
    digest: RequestDigest,
    began_at: Timestamp,
}

impl Drop for IsolatedRun {
    fn drop(&mut self) {
        let Self { registry, digest, began_at } = self;
        if registry.table.borrow_mut().end_isolated_run(registry.now(), digest, *began_at) {
            registry.publish_soon(*digest);
        }
    }
}

/// What a process knows about suspects; owned by one thread.
#[derive(Debug)]
pub struct Registry {
    table: RefCell<Table>,
    catalog: CatalogCell,
    checks: ExitChecks,
    clock: ElapsedClock,
    logged_crashes: RefCell<Vec<(BackendIncarnation, Timestamp)>>,
    ended_runs: RefCell<EndedRuns>,
    has_ended_runs: Notify,
    /// Requests about which this process learned something that is not sent to other processes yet.
    pub(crate) unpublished: RefCell<Vec<RequestDigest>>,
    pub(crate) has_unpublished: Notify,
    /// Notified when this process learned something by itself.
    pub observed: Notify,
    /// Notified when anything changed, learned here or received.
    pub changed: Notify,
}

impl Registry {
    /// Creates an empty registry. `catalog` tells back ends that leave from those that crash.
    pub fn new(catalog: CatalogCell, clock: ElapsedClock) -> Rc<Self> {
        Rc::new(Self {
            table: RefCell::default(),
            catalog,
            checks: ExitChecks::default(),
            clock,
            logged_crashes: RefCell::default(),
            ended_runs: RefCell::default(),
            has_ended_runs: Notify::new(),
            unpublished: RefCell::default(),
            has_unpublished: Notify::new(),
            observed: Notify::new(),
            changed: Notify::new(),
        })
    }

    /// The current time. The clock starts so high that the times of reports older than this process
    /// do not saturate at zero, where distinct times would coincide.
    fn now(&self) -> Timestamp {
        self.clock.now().plus_millis(INITIAL_TIME_MS)
    }

    /// Whether no request has any crashes, so that no digest needs to be computed.
    pub fn is_empty(&self) -> bool {
        self.table.borrow().is_empty()
    }

    /// The strictest restriction of a request; `None` if it may run freely.
    pub fn restriction(&self, keys: &SuspectKeys, source: RequestSource) -> Option<Restriction> {
        self.table.borrow().restriction(self.now(), keys, source)
    }

    /// What may be done with whatever has one key.
    pub fn status(&self, digest: &RequestDigest) -> SuspectStatus {
        self.table.borrow().status(self.now(), digest)
    }

    /// Whether crashes restrict requests of a source that have this key.
    pub fn is_suspected(&self, digest: &RequestDigest, source: RequestSource) -> bool {
        self.table.borrow().status_of(self.now(), digest, source) != SuspectStatus::Free
    }

    /// Number of consecutive crashes under a request since it was last answered.
    pub(crate) fn crash_count(&self, digest: &RequestDigest) -> usize {
        self.table.borrow().crash_count(digest)
    }

    /// Records that a connection broke off during a run, after determining whether the back end
    /// crashed. One that still accepts connections is checked again (`watch_ended_runs`). The exit of a
    /// back end that is leaving is no evidence, nor that of an earlier incarnation, which may have
    /// drained and left its address to another.
    pub async fn record_disconnect(
        &self,
        backend: &Backend,
        sent: Instant,
        progress: ResponseProgress,
        keys: impl FnOnce() -> SuspectKeys,
    ) -> DisconnectCause {
        if !self.catalog.load().is_ready_incarnation(&backend.incarnation()) {
            return DisconnectCause::Unknown;
        }
        let run = self.ended_run(backend, sent, progress, keys(), RunEnd::Broken);
        let has_exited = self.checks.has_exited(&run.backend, run.address).await;
        self.ended_runs.borrow_mut().push(run);
        if has_exited && self.record_exit(&backend.incarnation()) {
            return DisconnectCause::BackendCrashed;
        }
        self.has_ended_runs.notify_one();
        DisconnectCause::Unknown
    }

    /// Records a response that ended with its connection, as its framing has it. It is an answer unless
    /// its back end turns out to have crashed then.
    pub fn record_unframed_answer(
        &self,
        backend: &Backend,
        sent: Instant,
        progress: ResponseProgress,
        keys: SuspectKeys,
        is_success: bool,
    ) {
        let end = RunEnd::Answered { is_success };
        let run = self.ended_run(backend, sent, progress, keys, end);
        self.ended_runs.borrow_mut().push(run);
        self.has_ended_runs.notify_one();
    }

    /// Records that no connection to a back end could be made, which proves a crash if a run ended
    /// there just before.
    pub async fn record_unreachable(&self, backend: &Backend) {
        let incarnation = backend.incarnation();
        if self.ended_runs.borrow().contains(&incarnation) {
            self.check_again(incarnation, backend.address).await;
        }
    }

    fn ended_run(
        &self,
        backend: &Backend,
        sent: Instant,
        progress: ResponseProgress,
        keys: SuspectKeys,
        end: RunEnd,
    ) -> EndedRun {
        EndedRun {
            backend: backend.incarnation(),
            address: backend.address,
            service: backend.service.clone(),
            keys,
            progress,
            sent_at: self.clock.at(sent).plus_millis(INITIAL_TIME_MS),
            ended_at: self.now(),
            end,
        }
    }

    async fn check_again(&self, backend: BackendIncarnation, address: SocketAddr) {
        if self.checks.has_exited(&backend, address).await {
            self.record_exit(&backend);
        }
    }

    /// Checks the back ends of runs that ended lately until the process ends.
    pub async fn watch_ended_runs(self: Rc<Self>) {
        loop {
            self.has_ended_runs.notified().await;
            while !self.ended_runs.borrow().is_empty() {
                self.settle_ended_runs();
                let checks_answered = !self.is_empty();
                let due = self.ended_runs.borrow_mut().due_checks(self.now(), checks_answered);
                for DueCheck { backend, address } in due {
                    let registry = self.clone();
                    tokio::task::spawn_local(async move {
                        registry.check_again(backend, address).await;
                    });
                }
                tokio::time::sleep(WATCH_INTERVAL).await;
            }
        }
    }

    /// Books the runs whose back ends did not crash.
    fn settle_ended_runs(&self) {
        let settled = self.ended_runs.borrow_mut().take_settled(self.now());
        settled.iter().for_each(|run| self.record_end(run));
    }

    fn record_end(&self, EndedRun { keys, ended_at, end, .. }: &EndedRun) {
        match end {
            RunEnd::Broken => {}
            RunEnd::Answered { is_success } => self.record_answer_at(*ended_at, keys, *is_success),
        }
    }

    /// Records the exit of a back end as evidence against the runs that ended there lately, unless it
    /// was about to leave. Returns whether it is evidence.
    fn record_exit(&self, backend: &BackendIncarnation) -> bool {
        let runs = self.ended_runs.borrow_mut().take_of(backend);
        let has_crashed = !self.is_leaving(backend);
        for run in &runs {
            match has_crashed {
                true => self.record_crash_under(run),
                false => self.record_end(run),
            }
        }
        has_crashed
    }

    /// Whether a back end drains or has left. A crashed one stays listed until it is missed, or until
    /// its next incarnation takes its place.
    fn is_leaving(&self, backend: &BackendIncarnation) -> bool {
        let catalog = self.catalog.load();
        match catalog.known.get(&backend.id) {
            None => true,
            Some(known) => {
                known.started_ms == backend.started_ms && !catalog.is_ready_incarnation(backend)
            }
        }
    }

    fn record_crash_under(&self, run: &EndedRun) {
        let parts = match run.progress {
            ResponseProgress::Beginning => run.keys.parts(),
            ResponseProgress::Underway => &[],
        };
        self.log_crash(run);
        for digest in parts.iter().chain([run.keys.request()]) {
            self.record_crash(run, digest, digest != run.keys.request());
        }
    }

    /// Records the crash of a back end as evidence against a request or a part of prompts.
    fn record_crash(&self, run: &EndedRun, digest: &RequestDigest, is_part: bool) {
        let before = self.is_held_back(digest);
        let population =
            self.catalog.load().ready_table(&run.service).map_or(0, |table| table.len());
        let crashed = (&run.backend, population);
        self.table.borrow_mut().record_crash(run.ended_at, *digest, crashed, run.sent_at);
        LogLine::new(EventName::BackendEndedUnder)
            .id(digest)
            .text("backend", &run.backend.id)
            .field("started_ms", run.backend.started_ms)
            .field("ran_ms", run.ended_at.millis_since(run.sent_at))
            .field("ends", self.crash_count(digest))
            .field("is_prompt_part", is_part)
            .write();
        self.log_held_back(digest, before);
        self.publish_soon(*digest);
    }

    /// Logs the crash of a back end once, for the first request that detects it.
    fn log_crash(&self, run: &EndedRun) {
        let (mut logged, crash) = (self.logged_crashes.borrow_mut(), (&run.backend, run.ended_at));
        if logged.iter().any(|(known, at)| is_same_crash((known, *at), crash)) {
            return;
        }
        if logged.len() >= MAX_LOGGED_CRASHES {
            logged.remove(0);
        }
        logged.push((run.backend.clone(), run.ended_at));
        metrics::counter!("backends_ended_total", "service" => run.service.clone()).increment(1);
        LogLine::new(EventName::BackendEnded)
            .id(&run.backend.id)
            .field("started_ms", run.backend.started_ms)
            .text("address", run.address)
            .field("service", run.service.as_str())
            .write();
    }

    fn log_held_back(&self, digest: &RequestDigest, was_held_back: bool) {
        if was_held_back || !self.is_held_back(digest) {
            return;
        }
        self.update_gauge();
        metrics::counter!("suspects_held_back_total").increment(1);
        let wait_ms = match self.status(digest) {
            SuspectStatus::HeldBack { wait_ms } => wait_ms,
            SuspectStatus::Free | SuspectStatus::Isolated => 0,
        };
        LogLine::new(EventName::SuspectHeldBack)
            .id(digest)
            .field("ends", self.crash_count(digest))
            .field("wait_ms", wait_ms)
            .field("is_explained", self.table.borrow().is_explained(digest))
            .write();
    }

    fn is_held_back(&self, digest: &RequestDigest) -> bool {
        self.table.borrow().is_held_back(digest)
    }

    fn update_gauge(&self) {
        metrics::gauge!("suspects_held_back").set(self.table.borrow().held_back() as f64);
    }

    /// Records that a back end answered a request completely, with any status.
    pub fn record_answer(&self, request: &RequestDigest) {
        self.clear(self.now(), request, MIN_REQUEST_CRASHES_TO_PUBLISH);
    }

    /// Records that a back end answered a request completely and successfully, which also proves
    /// that no part of its prompt is the cause of earlier crashes.
    pub fn record_success(&self, keys: &SuspectKeys) {
        self.record_answer_at(self.now(), keys, true);
    }

    fn record_answer_at(&self, at: Timestamp, keys: &SuspectKeys, is_success: bool) {
        self.clear(at, keys.request(), MIN_REQUEST_CRASHES_TO_PUBLISH);
        if is_success {
            self.clear_parts(at, keys);
        }
    }

    /// Records that a successful response is underway, which proves that no part of the prompt is
    /// the cause of earlier crashes.
    pub fn record_underway(&self, keys: &SuspectKeys) {
        self.clear_parts(self.now(), keys);
    }

    fn clear_parts(&self, at: Timestamp, keys: &SuspectKeys) {
        for part in keys.parts() {
            self.clear(at, part, MIN_PART_CRASHES_TO_PUBLISH);
        }
    }

    fn clear(&self, at: Timestamp, digest: &RequestDigest, min_crashes_to_publish: usize) {
        let table = self.table.borrow();
        // Of keys that are always present together, one is the cause and only that one restricts.
        let was_held_back = table.is_held_back(digest) && !table.is_explained(digest);
        drop(table);
        let cleared = self.table.borrow_mut().record_answer(at, digest);
        if cleared < min_crashes_to_publish {
            return;
        }
        if was_held_back {
            // The crashes had another cause.
            metrics::counter!("suspects_wrongly_held_back_total").increment(1);
        }
        self.update_gauge();
        LogLine::new(EventName::SuspectCleared)
            .id(digest)
            .field("ends", cleared)
            .field("was_held_back", was_held_back)
            .write();
        self.publish_soon(*digest);
    }

    /// Back ends that may not take one more suspect, as far as this process granted the others.
    pub fn busy_backends(&self) -> Vec<String> {
        self.table.borrow_mut().busy_backends(self.now())
    }

    /// Whether a request may run at a back end now; only the leader of the job stores decides this.
    pub fn grant(&self, digest: &RequestDigest, backend: &str, source: RequestSource) -> Grant {
        if !self.is_suspected(digest, source) {
            return Grant::Granted;
        }
        let grant = self.table.borrow_mut().grant(self.now(), digest, backend, source);
        if grant == Grant::Granted {
            LogLine::new(EventName::SuspectTried)
                .id(digest)
                .text("backend", backend)
                .field("ends", self.crash_count(digest))
                .write();
            self.publish_soon(*digest);
        }
        grant
    }

    /// Starts an isolated run, which the leader granted, until the guard is dropped.
    pub fn run_isolated(self: &Rc<Self>, digest: RequestDigest) -> IsolatedRun {
        IsolatedRun { registry: self.clone(), digest, began_at: self.now() }
    }

    /// Records that a run finished without an answer and without a crash after the back end had
    /// worked on it for `worked`. How long it lasted says nothing of the parts of its prompt, which
    /// crash back ends at the start.
    pub fn record_inconclusive_run(&self, keys: &SuspectKeys, worked: Duration) {
        let (digest, survived_ms) = (keys.request(), worked.as_millis() as u64);
        if self.table.borrow_mut().record_inconclusive_run(self.now(), digest, survived_ms) {
            self.publish_soon(*digest);
        }
    }

    /// The update for one request.
    pub fn update_for(&self, digest: &RequestDigest) -> Option<SuspectUpdate> {
        self.table.borrow().update_for(self.now(), digest)
    }

    /// All updates, up to the size of one message.
    pub fn report(&self) -> SuspectReport {
        self.report_of(self.table.borrow().updates(self.now()))
    }

    pub(crate) fn report_of(&self, suspects: Vec<SuspectUpdate>) -> SuspectReport {
        SuspectReport {
            suspects,
            crashed_backends: self.table.borrow().crashed_backends(self.now()),
        }
    }

    /// The report to persist in case all processes are lost: requests that are not `Free`.
    pub fn persistent_report(&self) -> SuspectReport {
        let mut report = self.report();
        report.suspects.retain(|update| self.status(&update.digest) != SuspectStatus::Free);
        report
    }

    /// A fingerprint that differs if two processes would send different updates.
    pub fn fingerprint(&self) -> u64 {
        self.table.borrow().fingerprint()
    }

    /// Applies the report of another process.
    pub fn take(&self, report: SuspectReport) {
        let now = self.now();
        let mut is_new = false;
        for update in report.suspects {
            let digest = update.digest;
            let before = self.is_held_back(&digest);
            is_new |= self.table.borrow_mut().merge(now, update);
            self.log_held_back(&digest, before);
        }
        // After the updates, so that a request's own crashes are not taken for those of others.
        self.table.borrow_mut().merge_crashed_backends(now, &report.crashed_backends);
        for crashed in &report.crashed_backends {
            self.record_exit(&crashed.backend);
        }
        if is_new {
            self.update_gauge();
            self.changed.notify_one();
        }
    }

    /// Schedules an update that this process learned by itself for immediate sending.
    fn publish_soon(&self, digest: RequestDigest) {
        let mut unpublished = self.unpublished.borrow_mut();
        if !unpublished.contains(&digest) {
            unpublished.push(digest);
        }
        self.has_unpublished.notify_one();
        self.observed.notify_one();
        self.changed.notify_one();
    }

    /// Drops expired entries.
    pub fn expire(&self) {
        self.table.borrow_mut().expire(self.now());
        self.update_gauge();
    }
}
