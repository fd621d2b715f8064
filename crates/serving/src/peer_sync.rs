//! Peers tell each other which configuration and back ends they know, so that a process whose watch
//! was lost in silence finds out long before the watch would have ended, and one that does not watch
//! asks the peer for what it knows.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use tokio::sync::{watch, Notify};
use tokio::time::Instant;
use yokefall_core::membership::StateAges;
use yokefall_core::Timestamp;
use yokefall_telemetry::{EventName, LogLine};

pub use crate::comparison::Comparison;
pub use crate::state_digest::StateDigest;
use crate::state_exchange::{fetch, ExchangeError, StateRequest, StateResponse};
use crate::watch::PlatformState;
use crate::watch_role::{Ranking, WatchRole, WatcherElection};

/// Time from its start for which a process without back ends asks peers of its own zone alone, in milliseconds: as
/// long as watchers need to read a list of 10,000 in 50 pages, and their first peers to take it over.
const NEAR_PATIENCE_MS: u64 = 2_500;

/// Time for which a process rests between two exchanges that bring back ends alone, for each member of the fleet: each
/// change comes to each member by an exchange of its own, so that a fleet makes 4,000 of them a second at most.
const REST_PER_MEMBER: Duration = Duration::from_micros(250);
/// Longest such rest. With it a change reached all of 150 processes out of 986 within 1.9 s, well within the 5 s after
/// which nothing may go to a back end that leaves.
const LONGEST_REST: Duration = Duration::from_millis(300);

/// For how long a process of a fleet with so many members rests after an exchange before it asks for back ends again.
pub fn exchange_rest(members: usize) -> Duration {
    let members = u32::try_from(members).unwrap_or(u32::MAX);
    REST_PER_MEMBER.saturating_mul(members).min(LONGEST_REST)
}

/// A peer that knows more.
#[derive(Clone, Copy, Debug)]
struct Peer {
    known: StateDigest,
    /// Where it tells all of it.
    address: SocketAddr,
    /// Whether the whole list of back ends may come from it, or some of them alone.
    whole_list: bool,
}

/// How this process gets what peers know.
struct Sources {
    /// Whether a peer is being asked.
    asking: bool,
    /// The peer that is asked next.
    next: Option<Peer>,
    /// Whether the last peer that was asked gave no answer.
    failed: bool,
    /// When back ends may be asked for again.
    rested_at: Instant,
    /// Rest after an exchange.
    rest: Duration,
}

/// What this process reads of the platform's store.
pub struct Duties {
    /// Configurations.
    pub configuration: WatchRole,
    /// Evacuated zones.
    pub evacuations: WatchRole,
    /// Back ends.
    pub backends: WatchRole,
}

/// Takes what a peer told; returns whether its whole list is needed.
pub type TakeNews = Box<dyn Fn(StateResponse) -> bool>;

/// What this process tells its peers, and what it does about what they tell.
pub struct PeerSync {
    platform_state: Rc<RefCell<PlatformState>>,
    take: TakeNews,
    comparison: RefCell<Comparison>,
    sources: RefCell<Sources>,
    election: RefCell<WatcherElection>,
    /// Whether this process watches the platform's store.
    watches: watch::Sender<bool>,
    /// Whether it reads back ends there.
    reads_backends: watch::Sender<bool>,
    changed: Rc<Notify>,
    /// Woken when a peer knows what is not to wait.
    urgent: Notify,
    /// Ends the present watches, so that the store is asked again.
    pub refresh: Refresh,
}

/// Ends watches of each kind.
#[derive(Clone, Debug, Default)]
pub struct Refresh {
    configuration: Rc<Notify>,
    backends: Rc<Notify>,
    evacuations: Rc<Notify>,
}

impl Refresh {
    /// Ends the present watch of configurations.
    pub fn configuration(&self) -> Rc<Notify> {
        self.configuration.clone()
    }

    /// Ends the present watch of back ends.
    pub fn backends(&self) -> Rc<Notify> {
        self.backends.clone()
    }

    /// Ends the present watch of evacuated zones.
    pub fn evacuations(&self) -> Rc<Notify> {
        self.evacuations.clone()
    }
}

impl PeerSync {
    /// News about what is known, with the duties that follow from it.
    pub fn new(
        platform_state: Rc<RefCell<PlatformState>>,
        take: TakeNews,
        election: WatcherElection,
    ) -> (Rc<Self>, Duties) {
        let changed = platform_state.borrow().changed();
        let (watches, configuration) = WatchRole::controlled();
        let (reads_backends, backends) = WatchRole::controlled();
        let news = Self {
            platform_state,
            take,
            comparison: RefCell::default(),
            sources: RefCell::new(Sources {
                asking: false,
                next: None,
                failed: false,
                rested_at: Instant::now(),
                rest: Duration::ZERO,
            }),
            urgent: Notify::new(),
            election: RefCell::new(election),
            watches,
            reads_backends,
            changed,
            refresh: Refresh::default(),
        };
        let evacuations = configuration.clone();
        (Rc::new(news), Duties { configuration, evacuations, backends })
    }

    /// What this process knows.
    pub fn own(&self) -> StateDigest {
        self.platform_state.borrow().digest()
    }

    /// Age of what this process knows, as peers are told.
    pub fn ages(&self) -> StateAges {
        self.platform_state.borrow().told_ages()
    }

    /// Whether the store has confirmed what this process knows since this was last asked, and peers are to be told.
    pub fn take_confirmation(&self) -> bool {
        self.platform_state.borrow_mut().take_confirmation()
    }

    /// A peer told how old its knowledge is, `delay_ms` ago at most.
    pub fn receive_ages(&self, peer: StateDigest, ages: StateAges, delay_ms: u64) {
        self.platform_state.borrow_mut().receive_ages(peer, ages, delay_ms);
    }

    /// A peer of another zone told what it knows. Soon after a start the whole list is wanted, and is taken from a peer
    /// of the own zone: each zone has watchers that read it, and bytes between zones are paid for. What is short, or
    /// can't wait, is taken from any.
    pub fn hear_far(self: &Rc<Self>, now: Timestamp, peer: StateDigest, address: SocketAddr) {
        let whole_list = self.knows_backends() || now >= Timestamp(NEAR_PATIENCE_MS);
        let own = self.own();
        if whole_list || own.lacks_any_backend(peer) || own.lacks_urgently(peer) {
            self.hear_peer(now, Peer { known: peer, address, whole_list });
        }
    }

    /// A peer told what it knows; `address` is where it tells the whole of it.
    pub fn hear(self: &Rc<Self>, now: Timestamp, peer: StateDigest, address: SocketAddr) {
        self.hear_peer(now, Peer { known: peer, address, whole_list: true });
    }

    fn hear_peer(self: &Rc<Self>, now: Timestamp, peer: Peer) {
        let known = peer.known;
        self.platform_state.borrow_mut().confirm_evacuations(known);
        let own = self.own();
        if own.backends_revision == 0 && known.backends_revision > 0 {
            self.election.borrow_mut().record_peer_with_backends(now);
        }
        if !own.wants_of(known) {
            return;
        }
        if peer.address.port() > 0 {
            self.ask(peer);
        }
        if self.comparison.borrow_mut().is_behind(now, own, known) {
            self.ask_store(now);
        }
    }

    /// Asks a peer; where one is being asked already, this one is asked next if it still knows more.
    fn ask(self: &Rc<Self>, peer: Peer) {
        let mut sources = self.sources.borrow_mut();
        let own = self.own();
        let is_urgent = own.lacks_urgently(peer.known);
        if is_urgent || !sources.next.is_some_and(|next| own.lacks_urgently(next.known)) {
            sources.next = Some(peer);
        }
        if is_urgent {
            self.urgent.notify_one();
        }
        if !std::mem::replace(&mut sources.asking, true) {
            tokio::task::spawn_local(self.clone().ask_peers());
        }
    }

    async fn ask_peers(self: Rc<Self>) {
        loop {
            self.rest().await;
            let next = self.sources.borrow_mut().next.take();
            let Some(peer) = next.filter(|peer| self.own().wants_of(peer.known)) else {
                self.sources.borrow_mut().asking = false;
                return;
            };
            let outcome = self.ask_one(peer).await;
            let mut sources = self.sources.borrow_mut();
            sources.failed = outcome.is_err();
            sources.rested_at = Instant::now() + sources.rest;
        }
    }

    /// Waits until back ends may be asked for again, or something else is known that can't wait.
    async fn rest(&self) {
        let (rested_at, next) = {
            let sources = self.sources.borrow();
            (sources.rested_at, sources.next)
        };
        let is_urgent = next.is_some_and(|next| self.own().lacks_urgently(next.known));
        if next.is_some() && !is_urgent {
            let _ = tokio::time::timeout_at(rested_at, self.urgent.notified()).await;
        }
    }

    async fn ask_one(&self, peer: Peer) -> Result<(), ExchangeError> {
        let Peer { address, whole_list, .. } = peer;
        let own = self.own();
        let knows_none = own.backends_revision == 0 && own.backends_digest == 0;
        let wants_part = own.backends_revision == 0 && (knows_none || !whole_list);
        let known = if wants_part { own.asking_for_part() } else { own };
        let answer = fetch(address, StateRequest { known, whole: false }).await;
        count_exchange(&answer);
        if (self.take)(answer?) {
            let request = StateRequest { known: self.own(), whole: true };
            let answer = fetch(address, request).await;
            count_exchange(&answer);
            (self.take)(answer?);
        }
        Ok(())
    }

    /// A member of this zone watches, and the store answers it.
    pub fn record_watcher_heartbeat(&self, now: Timestamp, name: &str) {
        self.election.borrow_mut().record_watcher_heartbeat(now, name);
    }

    /// The live members changed.
    pub fn rank(&self, now: Timestamp, ranking: Ranking, members: usize) {
        self.election.borrow_mut().rank(now, ranking);
        self.sources.borrow_mut().rest = exchange_rest(members);
    }

    /// Time has passed: asks the store again where a peer has known more for long enough, and takes up
    /// or gives up watching.
    pub fn tick(&self, now: Timestamp) {
        if self.comparison.borrow_mut().is_due(now, self.own()) {
            self.ask_store(now);
        }
        let knows = self.knows_what_serving_needs();
        let watches = self.election.borrow_mut().watches(now, knows);
        let reads = self.election.borrow_mut().reads_backends(now, self.knows_backends());
        self.reads_backends.send_if_modified(|held| std::mem::replace(held, reads) != reads);
        let changed =
            self.watches.send_if_modified(|held| std::mem::replace(held, watches) != watches);
        if changed {
            metrics::gauge!("platform_watcher").set(if watches { 1.0 } else { 0.0 });
            LogLine::new(EventName::WatchDutyChanged)
                .field("watches", watches)
                .field("knows_configuration", knows)
                .field("rank", self.election.borrow().own_rank())
                .write();
        }
    }

    /// Whether the configuration is known, and which zones are evacuated where that is followed.
    fn knows_what_serving_needs(&self) -> bool {
        let platform_state = self.platform_state.borrow();
        platform_state.configuration().is_some() && !platform_state.evacuations_unknown()
    }

    fn knows_backends(&self) -> bool {
        self.platform_state.borrow().digest().backends_revision > 0
    }

    /// Members to which it is to be said now that this process watches; none where it does not, or
    /// where the store does not answer it.
    pub fn standbys(&self) -> Vec<String> {
        if !*self.watches.borrow() || !self.platform_state.borrow().is_in_touch() {
            return Vec::new();
        }
        self.election.borrow().standbys().to_vec()
    }

    /// Whether this process watches.
    pub fn watches(&self) -> bool {
        *self.watches.borrow()
    }

    /// When `tick` has something to do.
    pub fn next_check(&self, now: Timestamp) -> Timestamp {
        let (configuration, backends) = (self.knows_what_serving_needs(), self.knows_backends());
        let look = self.election.borrow().next_check(now, configuration, backends);
        self.comparison.borrow().next_check().map_or(look, |comparison| comparison.min(look))
    }

    /// Waits until what this process knows has changed.
    pub async fn changed(&self) {
        self.changed.notified().await;
    }

    /// Asks the store again. A process that does not watch does so only where peers give no answer.
    fn ask_store(&self, now: Timestamp) {
        if *self.watches.borrow() {
            self.refresh.configuration.notify_one();
            self.refresh.backends.notify_one();
            self.refresh.evacuations.notify_one();
        } else if self.sources.borrow().failed {
            self.election.borrow_mut().catch_up(now);
        }
    }
}

/// Counts an exchange with a peer by its outcome.
fn count_exchange(answer: &Result<StateResponse, ExchangeError>) {
    let outcome = if answer.is_ok() { "ok" } else { "failed" };
    metrics::counter!("news_exchanges_total", "outcome" => outcome).increment(1);
}
