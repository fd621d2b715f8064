//! The table of one process with its clock, log lines and metrics; `notices` sends updates.

use std::cell::RefCell;
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

/// Why a connection to a back end broke off.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DisconnectCause {
    /// The back end is running, its state is unknown, or it was about to leave.
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

    /// Records that a connection broke off during a request sent at `sent`, after determining
    /// whether the back end crashed. `progress` tells whether a part of the prompt may be the cause.
    /// The exit of a back end that is leaving is no evidence, nor
    /// that of an earlier incarnation, which may have drained and left its address to another.
    pub async fn record_disconnect(
        &self,
        backend: &Backend,
        sent: Instant,
        progress: ResponseProgress,
        keys: impl FnOnce() -> SuspectKeys,
    ) -> DisconnectCause {
        let incarnation = backend.incarnation();
        let is_leaving = !self.catalog.load().is_ready_incarnation(&incarnation);
        if is_leaving || !self.checks.has_exited(&incarnation, backend.address).await {
            return DisconnectCause::Unknown;
        }
        let keys = keys();
        let parts = match progress {
            ResponseProgress::Beginning => keys.parts(),
            ResponseProgress::Underway => &[],
        };
        self.log_crash(backend);
        for digest in parts.iter().chain([keys.request()]) {
            self.record_crash(backend, sent, digest, digest != keys.request());
        }
        DisconnectCause::BackendCrashed
    }

    /// Records the crash of a back end as evidence against a request or a part of prompts.
    fn record_crash(
        &self,
        backend: &Backend,
        sent: Instant,
        digest: &RequestDigest,
        is_part: bool,
    ) {
        let incarnation = backend.incarnation();
        let before = self.is_held_back(digest);
        let population =
            self.catalog.load().ready_table(&backend.service).map_or(0, |table| table.len());
        let crashed = (&incarnation, population);
        let sent_at = self.clock.at(sent).plus_millis(INITIAL_TIME_MS);
        self.table.borrow_mut().record_crash(self.now(), *digest, crashed, sent_at);
        LogLine::new(EventName::BackendEndedUnder)
            .id(digest)
            .text("backend", &backend.id)
            .field("started_ms", backend.started_ms)
            .field("ran_ms", sent.elapsed().as_millis() as u64)
            .field("ends", self.crash_count(digest))
            .field("is_prompt_part", is_part)
            .write();
        self.log_held_back(digest, before);
        self.publish_soon(*digest);
    }

    /// Logs the crash of a back end once, for the first request that detects it.
    fn log_crash(&self, backend: &Backend) {
        let (mut logged, now, incarnation) =
            (self.logged_crashes.borrow_mut(), self.now(), backend.incarnation());
        if logged.iter().any(|(known, at)| is_same_crash((known, *at), (&incarnation, now))) {
            return;
        }
        if logged.len() >= MAX_LOGGED_CRASHES {
            logged.remove(0);
        }
        logged.push((incarnation, now));
        metrics::counter!("backends_ended_total", "service" => backend.service.clone())
            .increment(1);
        LogLine::new(EventName::BackendEnded)
            .id(&backend.id)
            .field("started_ms", backend.started_ms)
            .text("address", backend.address)
            .field("service", backend.service.as_str())
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
        self.clear(request, MIN_REQUEST_CRASHES_TO_PUBLISH);
    }

    /// Records that a back end answered a request completely and successfully, which also proves
    /// that no part of its prompt is the cause of earlier crashes.
    pub fn record_success(&self, keys: &SuspectKeys) {
        self.record_answer(keys.request());
        self.record_underway(keys);
    }

    /// Records that a successful response is underway, which proves that no part of the prompt is
    /// the cause of earlier crashes.
    pub fn record_underway(&self, keys: &SuspectKeys) {
        for part in keys.parts() {
            self.clear(part, MIN_PART_CRASHES_TO_PUBLISH);
        }
    }

    fn clear(&self, digest: &RequestDigest, min_crashes_to_publish: usize) {
        let table = self.table.borrow();
        // Of keys that are always present together, one is the cause and only that one restricts.
        let was_held_back = table.is_held_back(digest) && !table.is_explained(digest);
        drop(table);
        let cleared = self.table.borrow_mut().record_answer(self.now(), digest);
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
