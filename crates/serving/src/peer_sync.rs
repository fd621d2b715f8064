//! Synchronizes configuration and back ends between peers. A lost watch is noticed long before it
//! would time out, and a process that does not watch fetches the state from a peer that has it.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use tokio::sync::{watch, Notify};
use tokio::time::Instant;
use yokefall_core::membership::StateAges;
use yokefall_core::Timestamp;
use yokefall_telemetry::{EventName, LogLine};

pub use crate::lag::LagDetector;
pub use crate::state_digest::StateDigest;
use crate::state_exchange::{fetch, ExchangeError, StateRequest, StateResponse};
use crate::watch::PlatformState;
use crate::watch_role::{Ranking, WatchRole, WatcherElection};

/// Time after its start for which a process without back ends requests the list only in its own
/// zone, in milliseconds: watchers read 10,000 in 50 pages, and their first peers copy them.
const SAME_ZONE_ONLY_MS: u64 = 2_500;

/// Interval between exchanges that fetch only back ends, per member of the fleet. Each change
/// reaches each member by a separate exchange, so this limits a fleet to 4,000 exchanges a second.
const EXCHANGE_INTERVAL_PER_MEMBER: Duration = Duration::from_micros(250);
/// Maximum of that interval. With it a change reached all of 150 processes out of 986 within 1.9 s,
/// well within the 5 s after which a leaving back end must receive no requests.
const MAX_EXCHANGE_INTERVAL: Duration = Duration::from_millis(300);

/// Returns how long a process in a fleet of `members` waits between requests for back ends.
pub fn exchange_interval(members: usize) -> Duration {
    let members = u32::try_from(members).unwrap_or(u32::MAX);
    EXCHANGE_INTERVAL_PER_MEMBER.saturating_mul(members).min(MAX_EXCHANGE_INTERVAL)
}

/// Minimum interval between requests of the whole list for software versions that are not known. A
/// list of 10,000 back ends takes 1.3 MB, and only peers of newer builds tell versions.
const VERSIONS_INTERVAL: Duration = Duration::from_millis(3_000);

/// A peer that is ahead.
#[derive(Clone, Copy, Debug)]
struct Peer {
    known: StateDigest,
    address: SocketAddr,
    /// Whether the whole list of back ends may be requested from it, or only a subset.
    whole_list: bool,
}

struct Exchanges {
    in_progress: bool,
    next: Option<Peer>,
    last_failed: bool,
    /// When back ends may be requested again.
    next_at: Instant,
    interval: Duration,
    /// When software versions may be requested again.
    versions_at: Instant,
}

/// Which kinds of objects this process reads from the platform's store.
pub struct WatchRoles {
    /// Configurations.
    pub configuration: WatchRole,
    /// Evacuated zones.
    pub evacuations: WatchRole,
    /// Back ends.
    pub backends: WatchRole,
}

/// Applies a response of a peer; returns whether its whole list is needed.
pub type ApplyResponse = Box<dyn Fn(StateResponse) -> bool>;

/// Synchronizes the local state with peers.
pub struct PeerSync {
    platform_state: Rc<RefCell<PlatformState>>,
    apply_response: ApplyResponse,
    lag: RefCell<LagDetector>,
    exchanges: RefCell<Exchanges>,
    election: RefCell<WatcherElection>,
    watches: watch::Sender<bool>,
    reads_backends: watch::Sender<bool>,
    changed: Rc<Notify>,
    /// Notified when a peer has state that must not be delayed.
    urgent: Notify,
    /// Ends the current watches so that the store is queried again.
    pub refresh: Refresh,
}

/// Handles that end the watches of each kind.
#[derive(Clone, Debug, Default)]
pub struct Refresh {
    configuration: Rc<Notify>,
    backends: Rc<Notify>,
    evacuations: Rc<Notify>,
}

impl Refresh {
    /// Ends the current watch of configurations.
    pub fn configuration(&self) -> Rc<Notify> {
        self.configuration.clone()
    }

    /// Ends the current watch of back ends.
    pub fn backends(&self) -> Rc<Notify> {
        self.backends.clone()
    }

    /// Ends the current watch of evacuated zones.
    pub fn evacuations(&self) -> Rc<Notify> {
        self.evacuations.clone()
    }
}

impl PeerSync {
    /// Creates the synchronization of `platform_state`, with the watch roles that it controls.
    pub fn new(
        platform_state: Rc<RefCell<PlatformState>>,
        apply_response: ApplyResponse,
        election: WatcherElection,
    ) -> (Rc<Self>, WatchRoles) {
        let changed = platform_state.borrow().changed();
        let (watches, configuration) = WatchRole::controlled();
        let (reads_backends, backends) = WatchRole::controlled();
        let sync = Self {
            platform_state,
            apply_response,
            lag: RefCell::default(),
            exchanges: RefCell::new(Exchanges {
                in_progress: false,
                next: None,
                last_failed: false,
                next_at: Instant::now(),
                interval: Duration::ZERO,
                versions_at: Instant::now(),
            }),
            urgent: Notify::new(),
            election: RefCell::new(election),
            watches,
            reads_backends,
            changed,
            refresh: Refresh::default(),
        };
        let evacuations = configuration.clone();
        (Rc::new(sync), WatchRoles { configuration, evacuations, backends })
    }

    /// Digest of the local state.
    pub fn digest(&self) -> StateDigest {
        self.platform_state.borrow().digest()
    }

    /// Age of the local state as advertised to peers.
    pub fn ages(&self) -> StateAges {
        self.platform_state.borrow().advertised_ages()
    }

    /// Whether the store confirmed the local state since the last call, so peers must be notified.
    pub fn take_confirmation(&self) -> bool {
        self.platform_state.borrow_mut().take_confirmation()
    }

    /// Processes the ages reported by a peer at most `delay_ms` ago.
    pub fn receive_ages(&self, peer: StateDigest, ages: StateAges, delay_ms: u64) {
        self.platform_state.borrow_mut().receive_ages(peer, ages, delay_ms);
    }

    /// Processes the digest of a peer in another zone. Soon after a start, the whole list is
    /// requested only from peers in the own zone: each zone has watchers that read it, and traffic
    /// between zones is billed. Small or urgent state is requested from any peer.
    pub fn receive_cross_zone_digest(
        self: &Rc<Self>,
        now: Timestamp,
        peer: StateDigest,
        address: SocketAddr,
    ) {
        let whole_list = self.knows_backends() || now >= Timestamp(SAME_ZONE_ONLY_MS);
        let own = self.digest();
        if whole_list || own.lacks_any_backend(peer) || own.lacks_urgent_state(peer) {
            self.handle_digest(now, Peer { known: peer, address, whole_list });
        }
    }

    /// Processes the digest of a peer; `address` is that of its state exchange.
    pub fn receive_digest(self: &Rc<Self>, now: Timestamp, peer: StateDigest, address: SocketAddr) {
        self.handle_digest(now, Peer { known: peer, address, whole_list: true });
    }

    fn handle_digest(self: &Rc<Self>, now: Timestamp, peer: Peer) {
        let known = peer.known;
        self.platform_state.borrow_mut().confirm_evacuations(known);
        let own = self.digest();
        if own.backends_revision == 0 && known.backends_revision > 0 {
            self.election.borrow_mut().record_peer_with_backends(now);
        }
        if !own.should_fetch_from(known) {
            self.request_versions_from(peer);
            return;
        }
        if peer.address.port() > 0 {
            self.request_from(peer);
        }
        if self.lag.borrow_mut().is_behind(now, own, known) {
            self.query_store(now);
        }
    }

    /// Requests the software versions of back ends, whose records are known, if any is lacking. The
    /// peer may be of an older build: the next one is asked after a while.
    fn request_versions_from(self: &Rc<Self>, peer: Peer) {
        let now = Instant::now();
        let lacks_versions = self.platform_state.borrow().lacks_software_versions();
        let has_all = peer.known.backends_revision > 0 && peer.address.port() > 0;
        let mut exchanges = self.exchanges.borrow_mut();
        if !lacks_versions || !has_all || now < exchanges.versions_at {
            return;
        }
        exchanges.versions_at = now + VERSIONS_INTERVAL;
        let sync = self.clone();
        tokio::task::spawn_local(async move {
            let request = StateRequest { known: sync.digest(), whole: true };
            let response = fetch(peer.address, request).await;
            count_exchange(&response);
            if let Ok(response) = response {
                (sync.apply_response)(response);
            }
        });
    }

    /// Requests state from a peer, or after the exchange in progress if the peer is still ahead.
    fn request_from(self: &Rc<Self>, peer: Peer) {
        let mut exchanges = self.exchanges.borrow_mut();
        let own = self.digest();
        let is_urgent = own.lacks_urgent_state(peer.known);
        if is_urgent || !exchanges.next.is_some_and(|next| own.lacks_urgent_state(next.known)) {
            exchanges.next = Some(peer);
        }
        if is_urgent {
            self.urgent.notify_one();
        }
        if !std::mem::replace(&mut exchanges.in_progress, true) {
            tokio::task::spawn_local(self.clone().run_exchanges());
        }
    }

    async fn run_exchanges(self: Rc<Self>) {
        loop {
            self.wait_for_interval().await;
            let next = self.exchanges.borrow_mut().next.take();
            let Some(peer) = next.filter(|peer| self.digest().should_fetch_from(peer.known)) else {
                self.exchanges.borrow_mut().in_progress = false;
                return;
            };
            let outcome = self.exchange_with(peer).await;
            let mut exchanges = self.exchanges.borrow_mut();
            exchanges.last_failed = outcome.is_err();
            exchanges.next_at = Instant::now() + exchanges.interval;
        }
    }

    /// Waits until back ends may be requested again or there is state that must not be delayed.
    async fn wait_for_interval(&self) {
        let (next_at, next) = {
            let exchanges = self.exchanges.borrow();
            (exchanges.next_at, exchanges.next)
        };
        let is_urgent = next.is_some_and(|next| self.digest().lacks_urgent_state(next.known));
        if next.is_some() && !is_urgent {
            let _ = tokio::time::timeout_at(next_at, self.urgent.notified()).await;
        }
    }

    async fn exchange_with(&self, peer: Peer) -> Result<(), ExchangeError> {
        let Peer { address, whole_list, .. } = peer;
        let own = self.digest();
        let knows_none = own.backends_revision == 0 && own.backends_digest == 0;
        let requests_subset = own.backends_revision == 0 && (knows_none || !whole_list);
        let known = if requests_subset { own.requesting_subset() } else { own };
        let response = fetch(address, StateRequest { known, whole: false }).await;
        count_exchange(&response);
        if (self.apply_response)(response?) {
            let request = StateRequest { known: self.digest(), whole: true };
            let response = fetch(address, request).await;
            count_exchange(&response);
            (self.apply_response)(response?);
        }
        Ok(())
    }

    /// Records that a member of this zone watches the store and that the store answers it.
    pub fn record_watcher_heartbeat(&self, now: Timestamp, name: &str) {
        self.election.borrow_mut().record_watcher_heartbeat(now, name);
    }

    /// Processes a change of the live members: stores the ranking and adapts the exchange interval.
    pub fn rank(&self, now: Timestamp, ranking: Ranking, members: usize) {
        self.election.borrow_mut().rank(now, ranking);
        self.exchanges.borrow_mut().interval = exchange_interval(members);
    }

    /// Queries the store again if a peer was ahead for long enough; starts or stops watching.
    pub fn tick(&self, now: Timestamp) {
        if self.lag.borrow_mut().is_due(now, self.digest()) {
            self.query_store(now);
        }
        let can_serve = self.can_serve();
        let watches = self.election.borrow_mut().watches(now, can_serve);
        let reads = self.election.borrow_mut().reads_backends(now, self.knows_backends());
        self.reads_backends.send_if_modified(|held| std::mem::replace(held, reads) != reads);
        let changed =
            self.watches.send_if_modified(|held| std::mem::replace(held, watches) != watches);
        if changed {
            metrics::gauge!("platform_watcher").set(if watches { 1.0 } else { 0.0 });
            LogLine::new(EventName::WatchDutyChanged)
                .field("watches", watches)
                .field("knows_configuration", can_serve)
                .field("rank", self.election.borrow().own_rank())
                .write();
        }
    }

    /// Whether the configuration is known and, if evacuations are watched, the evacuated zones.
    fn can_serve(&self) -> bool {
        let platform_state = self.platform_state.borrow();
        platform_state.configuration().is_some() && !platform_state.evacuations_unknown()
    }

    fn knows_backends(&self) -> bool {
        self.platform_state.borrow().digest().backends_revision > 0
    }

    /// Members told that this process watches; empty if it does not or the store does not answer.
    pub fn standbys(&self) -> Vec<String> {
        if !*self.watches.borrow() || !self.platform_state.borrow().is_store_reachable() {
            return Vec::new();
        }
        self.election.borrow().standbys().to_vec()
    }

    /// Whether this process watches the store.
    pub fn watches(&self) -> bool {
        *self.watches.borrow()
    }

    /// Returns when `tick` should be called next.
    pub fn next_check(&self, now: Timestamp) -> Timestamp {
        let (configuration, backends) = (self.can_serve(), self.knows_backends());
        let check_at = self.election.borrow().next_check(now, configuration, backends);
        self.lag.borrow().next_check().map_or(check_at, |lag| lag.min(check_at))
    }

    /// Waits until the local state has changed.
    pub async fn changed(&self) {
        self.changed.notified().await;
    }

    /// Queries the store again; without watching, only if the peers do not respond.
    fn query_store(&self, now: Timestamp) {
        if *self.watches.borrow() {
            self.refresh.configuration.notify_one();
            self.refresh.backends.notify_one();
            self.refresh.evacuations.notify_one();
        } else if self.exchanges.borrow().last_failed {
            self.election.borrow_mut().catch_up(now);
        }
    }
}

fn count_exchange(response: &Result<StateResponse, ExchangeError>) {
    let outcome = if response.is_ok() { "ok" } else { "failed" };
    metrics::counter!("news_exchanges_total", "outcome" => outcome).increment(1);
}
