//! Starts the tasks that keep the view of the fleet and of the platform's objects current.
//!
//! Membership is maintained with datagrams (`fleet`). A few processes of each zone (`watch_role`)
//! watch the platform's store (`watch`), and the others fetch the state from them (`peer_sync`).

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use tokio::net::{TcpListener, UdpSocket};
use tokio::sync::{watch as channel, Notify};
use yokefall_clock::ElapsedClock;
use yokefall_core::Timestamp;
use yokefall_types::PlacementBounds;

use crate::direct_messages::DirectMessages;
use crate::eligibility::{Freshness, ZoneMap};
use crate::fleet::{run_membership, Identity, Membership, Notices};
use crate::observer::LoggingObserver;
use crate::peer_sync::PeerSync;
use crate::platform_state::{PlatformState, StateOptions};
use crate::shared_state::SharedPlatformState;
use crate::source::Platform;
use crate::state_exchange::serve;
use crate::watch::{run_watch, WatchOptions, WatchWaits};
use crate::watch_role::WatcherElection;
use crate::{CatalogCell, FleetCell};

/// Interval at which the age of the local state is exported as a metric.
const FRESHNESS_INTERVAL: Duration = Duration::from_millis(1_000);

/// Sockets for communication with other processes.
pub struct PeerPorts {
    /// Membership datagrams.
    pub datagrams: UdpSocket,
    /// Exchange of configuration and back ends.
    pub exchange: TcpListener,
}

/// Identity and initial parameters of this process.
pub struct DiscoveryOptions {
    /// Identity of this process.
    pub identity: Identity,
    /// Peer addresses of some processes; updated when the settings are reloaded.
    pub seeds: channel::Receiver<Vec<SocketAddr>>,
    /// Whether the whole system starts for the first time, so that no peer has any state yet.
    pub is_first_start: bool,
    /// Messages broadcast to all processes.
    pub notices: Notices,
    /// Messages to and from single processes.
    pub direct_messages: DirectMessages,
    /// Clock for probes and for state received from peers.
    pub clock: ElapsedClock,
    /// Region of each zone.
    pub zones: Arc<ZoneMap>,
    /// Placement guarantees: whether evacuations are watched, and how recent the state must be.
    pub placement: PlacementBounds,
    /// Receives the age of the local state.
    pub freshness: Freshness,
}

/// Starts the tasks that keep `catalog` and `fleet` current, on the current `LocalSet`. `changed`
/// is called after each change of the catalog; `leaving` becomes true when shutdown begins.
pub fn start<P: Platform>(
    platform: &P,
    options: DiscoveryOptions,
    ports: PeerPorts,
    catalog: CatalogCell,
    fleet: FleetCell,
    changed: impl Fn() + 'static,
    leaving: channel::Receiver<bool>,
) {
    let watches_evacuations = options.placement.evacuation_ms.is_some();
    let state_options = StateOptions {
        evacuations: watches_evacuations,
        ages: options.placement.needs_fresh_state(),
        freshness: options.freshness.clone(),
    };
    let zones = options.zones.len();
    let platform_state = PlatformState::with_options(catalog, options.zones, state_options);
    let platform_state = Rc::new(RefCell::new(platform_state));
    let observer = Rc::new(LoggingObserver::new(changed));
    let shared = SharedPlatformState { platform_state: platform_state.clone(), observer };
    let election = WatcherElection::new(Timestamp(0), options.is_first_start, rand::random());
    let apply_response = {
        let shared = shared.clone();
        Box::new(move |response| shared.apply_response(response))
    };
    let (peer_sync, watch_roles) = PeerSync::new(platform_state.clone(), apply_response, election);
    let refresh = peer_sync.refresh.clone();
    let exchange_port = ports.exchange.local_addr().map_or(0, |address| address.port());
    tokio::task::spawn_local(serve(ports.exchange, platform_state));
    tokio::task::spawn_local(run_membership(Membership {
        socket: ports.datagrams,
        identity: options.identity,
        seeds: options.seeds,
        cell: fleet,
        peer_sync,
        exchange_port,
        leaving,
        notices: options.notices,
        direct_messages: options.direct_messages,
        clock: options.clock,
    }));
    tokio::task::spawn_local(report_freshness(options.freshness));
    let waits = match options.placement.needs_fresh_state() {
        true => WatchWaits::Fresh { zones },
        false => WatchWaits::Long,
    };
    let (configuration, backends) = (refresh.configuration(), refresh.backends());
    let evacuations = refresh.evacuations();
    let watch_options = |refresh: &Rc<Notify>, others: [&Rc<Notify>; 2], watch_role| WatchOptions {
        refresh: refresh.clone(),
        others: others.into_iter().cloned().collect(),
        watch_role,
        waits,
    };
    tokio::task::spawn_local(run_watch(
        platform.configurations(),
        shared.clone(),
        watch_options(&configuration, [&backends, &evacuations], watch_roles.configuration),
    ));
    tokio::task::spawn_local(run_watch(
        platform.backends(),
        shared.clone(),
        watch_options(&backends, [&configuration, &evacuations], watch_roles.backends),
    ));
    if watches_evacuations {
        tokio::task::spawn_local(run_watch(
            platform.evacuations(),
            shared,
            watch_options(&evacuations, [&configuration, &backends], watch_roles.evacuations),
        ));
    }
}

async fn report_freshness(freshness: Freshness) {
    loop {
        if let Some(age_ms) = freshness.age_ms() {
            metrics::gauge!("platform_news_age_seconds").set(age_ms as f64 / 1_000.0);
        }
        tokio::time::sleep(FRESHNESS_INTERVAL).await;
    }
}
