//! The history of origins of one process with its clock and messages. Every process keeps one, as
//! all gateways may be killed at once; one that has just started asks others until its own is
//! complete. What a process knows may be old without its knowledge, so that others are asked again
//! before a decision relies on it.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
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
use yokefall_serving::{Catalog, CatalogCell, FleetCell, FleetMember, Route};
use yokefall_telemetry::{EventName, LogLine};

use crate::contacts::{Contacts, Round};
use crate::history::{HistoryMessage, HistoryReport, OriginHistory, RouteOrigin};
use crate::origin::StreamOrigin;

/// Clock value at the start, in milliseconds: longer than the window of a history.
const INITIAL_TIME_MS: u64 = 86_400_000;
const OBSERVATION_INTERVAL: Duration = Duration::from_millis(200);
/// Number of processes that answered before, and of other job stores and gateways, that are asked at a
/// time: some may have started as recently, or be out of touch.
const ASKED_CONTACTS: usize = 6;
const ASKED_PER_ROLE: usize = 3;
/// Number of processes that answered before from which on a complete history needs no others.
const ENOUGH_CONTACTS: usize = 2 * ASKED_CONTACTS;
/// Interval between questions by which a process with a complete history learns who answers, and until
/// somebody does.
const CONTACT_INTERVAL: Duration = Duration::from_millis(30_000);
const FIRST_CONTACT_INTERVAL: Duration = Duration::from_millis(1_000);

/// Time for which a request waits for the answers of others, the longer one in the first time after the
/// start: later nobody is left who knows more. They are asked again at `RESEND_INTERVAL` meanwhile.
const ANSWER_WAIT: Duration = Duration::from_millis(180);
const STARTUP_ANSWER_WAIT: Duration = Duration::from_millis(300);
const STARTUP_TIME: Duration = Duration::from_millis(2_000);
const RESEND_INTERVAL: Duration = Duration::from_millis(20);

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
    contacts: RefCell<Contacts>,
    /// The last question to others.
    last_round: RefCell<Option<Round>>,
    /// Number of the round before the first one, at random: answers to a process that had this address
    /// before are told apart.
    initial_round: u64,
    /// A question whose answers are looked at once all should have come.
    reviewed_round: RefCell<Option<Round>>,
    asked_at: Cell<Option<Instant>>,
    /// Notified when another process has answered.
    answered: Notify,
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
            contacts: RefCell::default(),
            last_round: RefCell::default(),
            initial_round: u64::from(rand::random::<u32>()) << 32,
            reviewed_round: RefCell::default(),
            asked_at: Cell::default(),
            answered: Notify::new(),
        })
    }

    fn now(&self) -> Timestamp {
        self.clock.now().plus_millis(INITIAL_TIME_MS)
    }

    /// Whether every stream that may be continued began at a known origin.
    pub fn is_complete(&self) -> bool {
        self.history.borrow().is_complete(self.now())
    }

    /// Asks others for what this process may have missed, as one that was suspended or is out of touch
    /// does not know that it is. Returns whether every stream that may be continued began at a known
    /// origin: the history is complete and most of those that answered before have answered again.
    pub async fn confirm(&self) -> bool {
        let began_at = Instant::now();
        let wait = match began_at - self.started_at < STARTUP_TIME {
            true => STARTUP_ANSWER_WAIT,
            false => ANSWER_WAIT,
        };
        let round = self.ask_anew().await;
        loop {
            let answered = self.answered.notified();
            if self.is_complete() && self.contacts.borrow().is_answered(&round) {
                return true;
            }
            if began_at.elapsed() >= wait {
                return false;
            }
            if tokio::time::timeout(RESEND_INTERVAL, answered).await.is_err() {
                self.ask();
            }
        }
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

    /// What this process has observed, versions that have just joined among it.
    pub fn report(&self) -> HistoryReport {
        self.observe();
        self.history.borrow().report(self.now())
    }

    /// Adds what another process, or this one before its start, has observed.
    pub fn merge(&self, report: HistoryReport) {
        self.history.borrow_mut().merge(self.now(), report);
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
                    self.keep_contact();
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

    fn keep_contact(&self) {
        self.contacts.borrow_mut().review(self.now(), &mut self.reviewed_round.borrow_mut());
        let interval = match (self.is_complete(), self.contacts.borrow().len()) {
            (false, _) => OBSERVATION_INTERVAL,
            (true, 0) => FIRST_CONTACT_INTERVAL,
            (true, _) => CONTACT_INTERVAL,
        };
        if self.asked_at.get().is_none_or(|asked_at| asked_at.elapsed() >= interval) {
            self.ask();
        }
    }

    /// Asks others, or joins a question that is asked meanwhile. One that was asked before proves nothing:
    /// streams may have begun elsewhere since it was answered.
    async fn ask_anew(&self) -> Round {
        let earlier = self.last_round_number();
        if let Some(asked_at) = self.asked_at.get() {
            tokio::time::sleep_until(asked_at + RESEND_INTERVAL).await;
        }
        let joined = self.last_round.borrow().clone().filter(|round| round.number > earlier);
        joined.unwrap_or_else(|| self.ask())
    }

    fn last_round_number(&self) -> u64 {
        self.last_round.borrow().as_ref().map_or(self.initial_round, |round| round.number)
    }

    /// Asks some others, unless that was done just now.
    fn ask(&self) -> Round {
        let is_recent = self.asked_at.get().is_some_and(|at| at.elapsed() < RESEND_INTERVAL);
        if let Some(round) = self.last_round.borrow().as_ref().filter(|_| is_recent) {
            return round.clone();
        }
        let number = self.last_round_number() + 1;
        let asked = self.choose_others();
        for address in &asked {
            self.send(*address, &HistoryMessage::RoundQuery(number));
            if !self.contacts.borrow().answers_rounds(address) {
                self.send(*address, &HistoryMessage::Query);
            }
        }
        let round = self.contacts.borrow().ask(self.now(), number, &asked);
        self.asked_at.set(Some(Instant::now()));
        self.last_round.replace(Some(round.clone()));
        self.reviewed_round.borrow_mut().get_or_insert_with(|| round.clone());
        round
    }

    /// Some of those that answered before, live or not, and of the live members that did not.
    fn choose_others(&self) -> Vec<SocketAddr> {
        let (fleet, contacts) = (self.fleet.load(), self.contacts.borrow());
        let is_other =
            |member: &&FleetMember| member.name != self.name && !contacts.contains(&member.address);
        let of_role = |job_store| {
            let members = fleet.members.iter().filter(|member| member.job_store == job_store);
            let addresses = members.filter(is_other).map(|member| member.address);
            addresses.choose_multiple(&mut rand::rng(), ASKED_PER_ROLE)
        };
        let known = contacts.addresses().choose_multiple(&mut rand::rng(), ASKED_CONTACTS);
        if self.is_complete() && contacts.len() >= ENOUGH_CONTACTS {
            return known;
        }
        [known, of_role(true), of_role(false)].concat()
    }

    fn receive(&self, DirectMessage { peer, envelope }: DirectMessage) {
        // A message of a newer build that this one cannot read counts as lost.
        let Ok(message) = borsh::from_slice::<HistoryMessage>(&envelope.content) else { return };
        match message {
            HistoryMessage::Query => self.send(peer, &HistoryMessage::Report(self.report())),
            HistoryMessage::RoundQuery(number) => {
                self.send(peer, &HistoryMessage::RoundReport(number, self.report()));
            }
            HistoryMessage::Report(report) => {
                self.merge(report);
                self.contacts.borrow_mut().record_answer(self.now(), peer);
                self.answered.notify_waiters();
            }
            HistoryMessage::RoundReport(number, report) => {
                self.merge(report);
                if self.has_asked(number) {
                    self.contacts.borrow_mut().record_round_answer(self.now(), peer, number);
                }
                self.answered.notify_waiters();
            }
        }
    }

    /// Whether a round has that number.
    fn has_asked(&self, number: u64) -> bool {
        number > self.initial_round && number <= self.last_round_number()
    }

    fn send(&self, to: SocketAddr, message: &HistoryMessage) {
        // Encoding to memory does not fail.
        let Ok(content) = borsh::to_vec(message) else { return };
        let envelope = Envelope { kind: MessageKind::OriginHistory, content };
        // Sending fails only while this process is shutting down.
        let _ = self.outgoing.send(DirectMessage { peer: to, envelope });
    }
}
