//! The history of origins of one process with its clock and messages. Every process keeps one, as
//! all gateways may be killed at once; one that has just started asks others until its own is
//! complete.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use rand::seq::IteratorRandom;
use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender};
use tokio::sync::Notify;
use tokio::time::Instant;
use yokefall_clock::ElapsedClock;
use yokefall_core::Timestamp;
use yokefall_serving::direct_messages::{DirectMessage, Envelope, MessageKind};
use yokefall_serving::{Catalog, CatalogCell, FleetCell, Route};
use yokefall_telemetry::{EventName, LogLine};

use crate::history::{HistoryMessage, HistoryReport, OriginHistory, RouteOrigin};
use crate::origin::StreamOrigin;

/// Clock value at the start, in milliseconds: longer than the window of a history.
const INITIAL_TIME_MS: u64 = 86_400_000;
const OBSERVATION_INTERVAL: Duration = Duration::from_millis(200);
/// Number of job stores and of gateways that are asked each time: some may have started as recently,
/// or be out of touch.
const QUERIED_PER_ROLE: usize = 3;

/// Time after the start in which a request waits for the history, at most `COMPLETION_TIMEOUT`, while
/// others are asked at `QUERY_INTERVAL`. Later nobody is left who knows more.
const STARTUP_TIME: Duration = Duration::from_millis(2_000);
const COMPLETION_TIMEOUT: Duration = Duration::from_millis(300);
const QUERY_INTERVAL: Duration = Duration::from_millis(20);

/// The history of a process; owned by one thread.
pub struct HistoryRegistry {
    /// Name of this process.
    name: String,
    history: RefCell<OriginHistory>,
    /// The last observed catalog and its origins.
    observed: RefCell<(Arc<Catalog>, Vec<RouteOrigin>)>,
    catalog: CatalogCell,
    fleet: FleetCell,
    clock: ElapsedClock,
    outgoing: UnboundedSender<DirectMessage>,
    started_at: Instant,
    queried_at: Cell<Option<Instant>>,
    /// Notified when the history has become complete.
    completed: Notify,
}

impl HistoryRegistry {
    /// Creates the history of a process. `is_first_start` tells that the whole system starts for the
    /// first time.
    pub fn new(
        name: String,
        is_first_start: bool,
        catalog: CatalogCell,
        fleet: FleetCell,
        clock: ElapsedClock,
        outgoing: UnboundedSender<DirectMessage>,
    ) -> Rc<Self> {
        let now = clock.now().plus_millis(INITIAL_TIME_MS);
        let history = RefCell::new(OriginHistory::new(now, is_first_start));
        let observed = RefCell::default();
        Rc::new(Self {
            name,
            history,
            observed,
            catalog,
            fleet,
            clock,
            outgoing,
            started_at: Instant::now(),
            queried_at: Cell::default(),
            completed: Notify::new(),
        })
    }

    fn now(&self) -> Timestamp {
        self.clock.now().plus_millis(INITIAL_TIME_MS)
    }

    /// Whether every stream that may be continued began at a known origin.
    pub fn is_complete(&self) -> bool {
        self.history.borrow().is_complete(self.now())
    }

    /// Waits for a short time until the history is complete if this process has just started; returns
    /// whether it is.
    pub async fn until_complete(&self) -> bool {
        let wait_until = Instant::now() + COMPLETION_TIMEOUT;
        while !self.is_complete() {
            let now = Instant::now();
            if now >= wait_until || now >= self.started_at + STARTUP_TIME {
                return false;
            }
            if self.queried_at.get().is_none_or(|queried_at| now - queried_at >= QUERY_INTERVAL) {
                self.query_others();
            }
            let _ = tokio::time::timeout(QUERY_INTERVAL, self.completed.notified()).await;
        }
        true
    }

    /// Whether a stream of the route may have begun at another service or software version.
    pub fn has_other(&self, route: &Route, origin: &StreamOrigin) -> bool {
        self.history.borrow().has_other(self.now(), RouteOrigin::new(route, origin))
    }

    /// Records that a stream of the route began here, which observations may have missed.
    pub fn record_stream(&self, route: &Route, origin: &StreamOrigin) {
        let origin = RouteOrigin::new(route, origin);
        self.history.borrow_mut().record(self.now(), origin);
    }

    /// What this process has observed.
    pub fn report(&self) -> HistoryReport {
        self.history.borrow().report(self.now())
    }

    /// Adds what another process, or this one before its start, has observed.
    pub fn merge(&self, report: HistoryReport) {
        self.history.borrow_mut().merge(self.now(), report);
        if self.is_complete() {
            self.completed.notify_waiters();
        }
    }

    /// Observes the catalog and answers others until the process ends.
    pub async fn run(self: Rc<Self>, mut incoming: UnboundedReceiver<DirectMessage>) {
        let mut was_complete = self.is_complete();
        let mut observe_at = Instant::now();
        loop {
            tokio::select! {
                message = incoming.recv() => match message {
                    Some(message) => self.receive(message),
                    None => return,
                },
                () = tokio::time::sleep_until(observe_at) => {
                    observe_at = Instant::now() + OBSERVATION_INTERVAL;
                    self.observe();
                    if !self.is_complete() {
                        self.query_others();
                    }
                }
            }
            if self.is_complete() != was_complete {
                was_complete = !was_complete;
                LogLine::new(EventName::OriginHistory).field("is_complete", was_complete).write();
                metrics::gauge!("stream_origin_history_complete").set(f64::from(was_complete));
            }
        }
    }

    fn observe(&self) {
        let catalog = self.catalog.load_full();
        if catalog.is_partial {
            return;
        }
        let mut observed = self.observed.borrow_mut();
        if !Arc::ptr_eq(&observed.0, &catalog) {
            let origins = RouteOrigin::all_of(&catalog);
            *observed = (catalog, origins);
        }
        self.history.borrow_mut().observe(self.now(), observed.1.iter().copied());
    }

    fn query_others(&self) {
        self.queried_at.set(Some(Instant::now()));
        let fleet = self.fleet.load();
        for job_store in [true, false] {
            let others = fleet
                .members
                .iter()
                .filter(|member| member.job_store == job_store && member.name != self.name);
            for member in others.choose_multiple(&mut rand::rng(), QUERIED_PER_ROLE) {
                self.send(member.address, &HistoryMessage::Query);
            }
        }
    }

    fn receive(&self, DirectMessage { peer, envelope }: DirectMessage) {
        // A message of a newer build that this one cannot read counts as lost.
        match borsh::from_slice::<HistoryMessage>(&envelope.content) {
            Ok(HistoryMessage::Query) => self.send(peer, &HistoryMessage::Report(self.report())),
            Ok(HistoryMessage::Report(report)) => self.merge(report),
            Err(_) => {}
        }
    }

    fn send(&self, to: std::net::SocketAddr, message: &HistoryMessage) {
        // Encoding to memory does not fail.
        let Ok(content) = borsh::to_vec(message) else { return };
        let envelope = Envelope { kind: MessageKind::OriginHistory, content };
        // Sending fails only while this process is shutting down.
        let _ = self.outgoing.send(DirectMessage { peer: to, envelope });
    }
}
