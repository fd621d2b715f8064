//! The table of one process, with its time, and what it tells people by lines and metrics. What it tells
//! other processes is `notices`'.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use tokio::sync::Notify;
use tokio::time::Instant;
use yokefall_clock::ElapsedClock;
use yokefall_core::Timestamp;
use yokefall_serving::{Backend, BackendIncarnation, CatalogCell};
use yokefall_telemetry::{EventName, LogLine};

use crate::background::is_same_end;
use crate::digest::RequestDigest;
use crate::ended::EndChecks;
use crate::entry::{RequestSource, SuspectStatus};
use crate::message::{Grant, SuspectReport, SuspectUpdate};
use crate::table::Table;

/// Time of this process's table before its start, in milliseconds: a day, which is longer than anything is kept.
const TIME_BEFORE_START_MS: u64 = 86_400_000;
/// Ends that are remembered so that each is told once.
const TOLD_ENDS: usize = 64;
/// Ends from which an answer is told to all at once: until then nothing was held back.
const ENDS_WORTH_TELLING: usize = 2;

/// What a connection that broke off came to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Conclusion {
    /// The back end lives, or it is not known whether it does, or it was about to leave.
    Unproven,
    /// The back end has ended under the request.
    Ended,
}

/// A suspect that runs alone, as long as this lives. A run that ends without an answer and without the end
/// of its back end (its client left, it was preempted) must not bar the next one.
#[derive(Debug)]
pub struct IsolatedRun {
    registry: Rc<Registry>,
    digest: RequestDigest,
}

impl Drop for IsolatedRun {
    fn drop(&mut self) {
        // Whether its back end had begun with it is not known here.
        self.registry.record_inconclusive_run(&self.digest, Duration::ZERO);
    }
}

/// What a process knows of suspects. One thread has it.
#[derive(Debug)]
pub struct Registry {
    table: RefCell<Table>,
    catalog: CatalogCell,
    checks: EndChecks,
    clock: ElapsedClock,
    /// Lives whose end has been told, and when.
    told: RefCell<Vec<(BackendIncarnation, Timestamp)>>,
    /// Requests of which this process learnt something by itself that others are to be told.
    pub(crate) untold: RefCell<Vec<RequestDigest>>,
    /// Woken when there is something to tell others.
    pub(crate) has_untold: Notify,
    /// Woken when this process learnt something by itself.
    pub observed: Notify,
    /// Woken when what is known changed, by itself or by others.
    pub changed: Notify,
}

impl Registry {
    /// Nothing is known yet. Back ends that leave are told from those that end by `catalog`.
    pub fn new(catalog: CatalogCell, clock: ElapsedClock) -> Rc<Self> {
        Rc::new(Self {
            table: RefCell::default(),
            catalog,
            checks: EndChecks::default(),
            clock,
            told: RefCell::default(),
            untold: RefCell::default(),
            has_untold: Notify::new(),
            observed: Notify::new(),
            changed: Notify::new(),
        })
    }

    /// The present moment. What others tell is older than this process may be: its time begins far enough
    /// before its start that no moment falls together with another.
    fn now(&self) -> Timestamp {
        self.clock.now().plus_millis(TIME_BEFORE_START_MS)
    }

    /// Whether nothing is held against any request: none needs a digest then.
    pub fn is_empty(&self) -> bool {
        self.table.borrow().is_empty()
    }

    /// What may be done with a request.
    pub fn status(&self, digest: &RequestDigest) -> SuspectStatus {
        self.table.borrow().status(self.now(), digest)
    }

    /// Ends, one after the other, under a request since it was last answered.
    pub(crate) fn repeats(&self, digest: &RequestDigest) -> usize {
        self.table.borrow().repeats(digest)
    }

    /// A connection broke off while a back end had a request, which was sent there at `sent`. Finds out
    /// whether the back end has ended, and notes that. The end of one that was about to leave is no
    /// evidence, nor is that of an earlier life of one that is back: it may have drained, and whoever takes or
    /// refuses connections at its address now is another process.
    pub async fn record_disconnect(
        &self,
        backend: &Backend,
        sent: Instant,
        digest: impl FnOnce() -> RequestDigest,
    ) -> Conclusion {
        let incarnation = backend.incarnation();
        let is_leaving = !self.catalog.load().is_ready_incarnation(&incarnation);
        if is_leaving || !self.checks.has_ended(&incarnation, backend.address).await {
            return Conclusion::Unproven;
        }
        let digest = digest();
        let before = self.is_held_back(&digest);
        let population =
            self.catalog.load().ready_table(&backend.service).map_or(0, |table| table.len());
        let ended = (&incarnation, population);
        let sent_at = self.clock.at(sent).plus_millis(TIME_BEFORE_START_MS);
        self.table.borrow_mut().note_end(self.now(), digest, ended, sent_at);
        let repeats = self.repeats(&digest);
        self.tell_end(backend);
        LogLine::new(EventName::BackendEndedUnder)
            .id(digest)
            .text("backend", &backend.id)
            .field("started_ms", backend.started_ms)
            .field("ran_ms", sent.elapsed().as_millis() as u64)
            .field("ends", repeats)
            .write();
        self.tell_held_back(&digest, before);
        self.observe(digest);
        Conclusion::Ended
    }

    /// A line for the first request that found a back end ended.
    fn tell_end(&self, backend: &Backend) {
        let (mut told, now, incarnation) =
            (self.told.borrow_mut(), self.now(), backend.incarnation());
        if told.iter().any(|(known, at)| is_same_end((known, *at), (&incarnation, now))) {
            return;
        }
        if told.len() >= TOLD_ENDS {
            told.remove(0);
        }
        told.push((incarnation, now));
        metrics::counter!("backends_ended_total", "service" => backend.service.clone())
            .increment(1);
        LogLine::new(EventName::BackendEnded)
            .id(&backend.id)
            .field("started_ms", backend.started_ms)
            .text("address", backend.address)
            .field("service", backend.service.as_str())
            .write();
    }

    /// A line where a request is held back from now on.
    fn tell_held_back(&self, digest: &RequestDigest, was_before: bool) {
        if was_before || !self.is_held_back(digest) {
            return;
        }
        self.tell_gauge();
        metrics::counter!("suspects_held_back_total").increment(1);
        let wait_ms = match self.status(digest) {
            SuspectStatus::HeldBack { wait_ms } => wait_ms,
            SuspectStatus::Free | SuspectStatus::Isolated => 0,
        };
        LogLine::new(EventName::SuspectHeldBack)
            .id(digest)
            .field("ends", self.repeats(digest))
            .field("wait_ms", wait_ms)
            .write();
    }

    fn is_held_back(&self, digest: &RequestDigest) -> bool {
        self.table.borrow().is_held_back(digest)
    }

    fn tell_gauge(&self) {
        metrics::gauge!("suspects_held_back").set(self.table.borrow().held_back() as f64);
    }

    /// A back end answered a request whole.
    pub fn record_answer(&self, digest: &RequestDigest) {
        let was_held_back = self.is_held_back(digest);
        let cleared = self.table.borrow_mut().record_answer(self.now(), digest);
        if cleared < ENDS_WORTH_TELLING {
            return;
        }
        if was_held_back {
            // The back ends that ended under it had another cause.
            metrics::counter!("suspects_wrongly_held_back_total").increment(1);
        }
        self.tell_gauge();
        LogLine::new(EventName::SuspectCleared)
            .id(digest)
            .field("ends", cleared)
            .field("was_held_back", was_held_back)
            .write();
        self.observe(*digest);
    }

    /// Whether a request may run at a back end now; to be asked at the leader of the job stores.
    pub fn grant(&self, digest: &RequestDigest, backend: &str, sender: RequestSource) -> Grant {
        if self.status(digest) == SuspectStatus::Free {
            return Grant::Granted;
        }
        let grant = self.table.borrow_mut().grant(self.now(), digest, backend, sender);
        if grant == Grant::Granted {
            LogLine::new(EventName::SuspectTried)
                .id(digest)
                .text("backend", backend)
                .field("ends", self.repeats(digest))
                .write();
            self.observe(*digest);
        }
        grant
    }

    /// A request runs alone, as the leader granted, until the guard is dropped.
    pub fn run_isolated(self: &Rc<Self>, digest: RequestDigest) -> IsolatedRun {
        IsolatedRun { registry: self.clone(), digest }
    }

    /// A run is over without an answer and without the end of its back end, which had `worked` on it for some
    /// time. Where it ran alone, the next may follow.
    pub fn record_inconclusive_run(&self, digest: &RequestDigest, worked: Duration) {
        let outlived_ms = worked.as_millis() as u64;
        if self.table.borrow_mut().record_inconclusive_run(self.now(), digest, outlived_ms) {
            self.observe(*digest);
        }
    }

    /// What is known of one request.
    pub fn update_for(&self, digest: &RequestDigest) -> Option<SuspectUpdate> {
        self.table.borrow().update_for(self.now(), digest)
    }

    /// What is known, as far as one message holds it.
    pub fn report(&self) -> SuspectReport {
        self.report_of(self.table.borrow().news(self.now()))
    }

    pub(crate) fn report_of(&self, suspects: Vec<SuspectUpdate>) -> SuspectReport {
        SuspectReport { suspects, crashed_backends: self.table.borrow().ended(self.now()) }
    }

    /// What must outlive the loss of all processes: requests that do not run freely.
    pub fn persistent_report(&self) -> SuspectReport {
        let mut report = self.report();
        report.suspects.retain(|news| self.status(&news.digest) != SuspectStatus::Free);
        report
    }

    /// A number that differs where two processes would tell different news.
    pub fn fingerprint(&self) -> u64 {
        self.table.borrow().fingerprint()
    }

    /// Takes what another process knows.
    pub fn take(&self, report: SuspectReport) {
        let now = self.now();
        let mut is_new = false;
        self.table.borrow_mut().take_ended(now, &report.crashed_backends);
        for news in report.suspects {
            let digest = news.digest;
            let before = self.is_held_back(&digest);
            is_new |= self.table.borrow_mut().take(now, news);
            self.tell_held_back(&digest, before);
        }
        if is_new {
            self.tell_gauge();
            self.changed.notify_one();
        }
    }

    /// This process learnt something by itself: others are to hear of it at once.
    fn observe(&self, digest: RequestDigest) {
        let mut untold = self.untold.borrow_mut();
        if !untold.contains(&digest) {
            untold.push(digest);
        }
        self.has_untold.notify_one();
        self.observed.notify_one();
        self.changed.notify_one();
    }

    /// Drops what is over.
    pub fn expire(&self) {
        self.table.borrow_mut().expire(self.now());
        self.tell_gauge();
    }
}
