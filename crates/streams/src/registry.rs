//! The origins known to one gateway, with its clock, messages and metrics.

use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;

use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender};
use tokio::sync::{oneshot, Notify};
use yokefall_clock::ElapsedClock;
use yokefall_serving::direct_messages::{DirectMessage, Envelope, MessageKind};
use yokefall_serving::{FleetCell, FleetMember};

use crate::exchange::{OriginExchange, Outgoing, QueryOutcome};
use crate::holders::{preferred, QUERIED_GATEWAYS, RECORD_COPIES};
use crate::message::OriginMessage;
use crate::origin::{StreamKey, StreamOrigin};

/// Records and finds origins of streams; owned by one thread.
#[derive(Debug)]
pub struct OriginRegistry {
    /// Name of this process.
    name: String,
    exchange: RefCell<OriginExchange>,
    waiters: RefCell<HashMap<StreamKey, Vec<oneshot::Sender<QueryOutcome>>>>,
    fleet: FleetCell,
    clock: ElapsedClock,
    outgoing: UnboundedSender<DirectMessage>,
    /// Notified when there may be an earlier deadline.
    scheduled: Notify,
}

impl OriginRegistry {
    /// Creates the registry of a process without records.
    pub fn new(
        name: String,
        fleet: FleetCell,
        clock: ElapsedClock,
        outgoing: UnboundedSender<DirectMessage>,
    ) -> Rc<Self> {
        Rc::new(Self {
            name,
            exchange: RefCell::default(),
            waiters: RefCell::default(),
            fleet,
            clock,
            outgoing,
            scheduled: Notify::new(),
        })
    }

    /// Records where a stream began, here and at other gateways, without waiting for them.
    pub fn record(&self, key: StreamKey, origin: StreamOrigin) {
        let holders = self.addresses(&key, RECORD_COPIES, |gateway| gateway.accepting);
        let now = self.clock.now();
        let outgoing = self.exchange.borrow_mut().record(now, key, origin, holders);
        self.send(outgoing);
        metrics::counter!("stream_origins_recorded_total").increment(1);
        metrics::gauge!("stream_origins_held").set(self.exchange.borrow().held_records() as f64);
    }

    /// Finds where a stream began, by the records here and at other gateways.
    pub async fn find(&self, key: StreamKey) -> QueryOutcome {
        let (sender, receiver) = oneshot::channel();
        self.waiters.borrow_mut().entry(key).or_default().push(sender);
        // Those that fail probes are asked too: they may hold the record and still answer.
        let holders = self.addresses(&key, QUERIED_GATEWAYS, |_| true);
        let outgoing = self.exchange.borrow_mut().query(self.clock.now(), key, holders);
        self.send(outgoing);
        self.report_outcomes();
        let outcome = receiver.await.unwrap_or(QueryOutcome::Unanswered);
        metrics::counter!("stream_origin_queries_total", "outcome" => outcome.name()).increment(1);
        outcome
    }

    /// Whether a stream of the last minute, as far as it is recorded here, began at another software
    /// version of the same service.
    pub fn has_other_version(&self, origin: &StreamOrigin) -> bool {
        self.exchange.borrow_mut().has_other_version(self.clock.now(), origin)
    }

    /// Handles messages and deadlines until the process ends.
    pub async fn run(self: Rc<Self>, mut incoming: UnboundedReceiver<DirectMessage>) {
        loop {
            let deadline = self.exchange.borrow().next_deadline();
            let deadline = deadline.map(|at| self.clock.timer_at(at));
            tokio::select! {
                message = incoming.recv() => match message {
                    Some(message) => self.receive(message),
                    None => return,
                },
                () = sleep_until(deadline) => {
                    let outgoing = self.exchange.borrow_mut().tick(self.clock.now());
                    self.send(outgoing);
                }
                () = self.scheduled.notified() => {}
            }
            self.report_outcomes();
        }
    }

    fn receive(&self, DirectMessage { peer, envelope }: DirectMessage) {
        if envelope.kind != MessageKind::StreamOrigin {
            return;
        }
        // A message of a newer build that this one cannot read counts as lost.
        let Ok(message) = borsh::from_slice::<OriginMessage>(&envelope.content) else { return };
        let outgoing = self.exchange.borrow_mut().receive(self.clock.now(), peer, message);
        self.send(outgoing);
    }

    /// Addresses of the first `count` other gateways in the order of preference for a stream.
    fn addresses(
        &self,
        key: &StreamKey,
        count: usize,
        is_usable: impl Fn(&FleetMember) -> bool,
    ) -> Vec<SocketAddr> {
        let fleet = self.fleet.load();
        let others = fleet
            .members
            .iter()
            .filter(|member| !member.job_store && member.name != self.name && is_usable(member));
        preferred(key, others).iter().take(count).map(|gateway| gateway.address).collect()
    }

    fn send(&self, outgoing: Vec<Outgoing>) {
        for Outgoing { to, message } in outgoing {
            // Encoding to memory does not fail.
            let Ok(content) = borsh::to_vec(&message) else { continue };
            let envelope = Envelope { kind: MessageKind::StreamOrigin, content };
            // Sending fails only while this process is shutting down.
            let _ = self.outgoing.send(DirectMessage { peer: to, envelope });
        }
        self.scheduled.notify_one();
    }

    fn report_outcomes(&self) {
        for (key, outcome) in self.exchange.borrow_mut().take_outcomes() {
            for waiter in self.waiters.borrow_mut().remove(&key).unwrap_or_default() {
                // The request that asked may have ended meanwhile.
                let _ = waiter.send(outcome.clone());
            }
        }
    }
}

async fn sleep_until(deadline: Option<tokio::time::Instant>) {
    match deadline {
        Some(deadline) => tokio::time::sleep_until(deadline).await,
        None => std::future::pending().await,
    }
}
