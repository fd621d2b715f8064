//! Assembles what keeps a process current: members, the platform's objects, and news from peers.
//!
//! Members come from datagrams (`fleet`). Each process is ranked among those of its zone (`watch_role`); few
//! watch the platform's store (`watch`), and the others take what these know (`peer_sync`).

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

use crate::eligibility::{Freshness, ZoneMap};
use crate::fleet::{run_membership, Identity, Membership, Notices};
use crate::observer::LoggingObserver;
use crate::peer_sync::PeerSync;
use crate::platform_state::{PlatformState, StateOptions};
use crate::shared_state::SharedPlatformState;
use crate::source::Platform;
use crate::state_exchange::serve;
use crate::watch::{follow, Follow, Waits};
use crate::watch_role::WatcherElection;
use crate::{CatalogCell, FleetCell};

/// Interval at which the age of what is known is shown.
const FRESHNESS_INTERVAL: Duration = Duration::from_millis(1_000);

/// Ports for other processes.
pub struct PeerPorts {
    /// Datagrams of membership.
    pub datagrams: UdpSocket,
    /// Exchange of configuration and back ends.
    pub exchange: TcpListener,
}

/// What a process says of itself, and where it begins.
pub struct DiscoveryOptions {
    /// Who it is.
    pub identity: Identity,
    /// Peer addresses of some processes; they change when settings are read again.
    pub seeds: channel::Receiver<Vec<SocketAddr>>,
    /// Whether the whole system starts for the first time, so that no peer knows anything yet.
    pub is_first_start: bool,
    /// What all processes are told at once.
    pub notices: Notices,
    /// Time of probes, and of what peers told.
    pub clock: ElapsedClock,
    /// Regions of zones.
    pub zones: Arc<ZoneMap>,
    /// What is promised of zones: whether evacuations are followed, and how fresh news is to be.
    pub placement: PlacementBounds,
    /// Is told how old what this process knows is.
    pub freshness: Freshness,
}

/// Starts the tasks that keep `catalog` and `fleet` current, on the present `LocalSet`. `changed` is
/// called after each change of the catalog; `leaving` turns true when a stop has begun.
pub fn start<P: Platform>(
    platform: &P,
    options: DiscoveryOptions,
    ports: PeerPorts,
    catalog: CatalogCell,
    fleet: FleetCell,
    changed: impl Fn() + 'static,
    leaving: channel::Receiver<bool>,
) {
    let follows_evacuations = options.placement.evacuation_ms.is_some();
    let following = StateOptions {
        evacuations: follows_evacuations,
        ages: options.placement.needs_fresh_state(),
        freshness: options.freshness.clone(),
    };
    let zones = options.zones.len();
    let platform_state = PlatformState::with_options(catalog, options.zones, following);
    let platform_state = Rc::new(RefCell::new(platform_state));
    let observer = Rc::new(LoggingObserver::new(changed));
    let shared = SharedPlatformState { platform_state: platform_state.clone(), observer };
    let election = WatcherElection::new(Timestamp(0), options.is_first_start, rand::random());
    let take = {
        let shared = shared.clone();
        Box::new(move |answer| shared.apply_response(answer))
    };
    let (peer_sync, duties) = PeerSync::new(platform_state.clone(), take, election);
    let refresh = peer_sync.refresh.clone();
    let news_port = ports.exchange.local_addr().map_or(0, |address| address.port());
    tokio::task::spawn_local(serve(ports.exchange, platform_state));
    tokio::task::spawn_local(run_membership(Membership {
        socket: ports.datagrams,
        identity: options.identity,
        seeds: options.seeds,
        cell: fleet,
        peer_sync,
        news_port,
        leaving,
        notices: options.notices,
        clock: options.clock,
    }));
    tokio::task::spawn_local(tell_freshness(options.freshness));
    let waits = match options.placement.needs_fresh_state() {
        true => Waits::Fresh { zones },
        false => Waits::Long,
    };
    let (configuration, backends) = (refresh.configuration(), refresh.backends());
    let evacuations = refresh.evacuations();
    let following = |refresh: &Rc<Notify>, others: [&Rc<Notify>; 2], watch_role| Follow {
        refresh: refresh.clone(),
        others: others.into_iter().cloned().collect(),
        watch_role,
        waits,
    };
    tokio::task::spawn_local(follow(
        platform.configurations(),
        shared.clone(),
        following(&configuration, [&backends, &evacuations], duties.configuration),
    ));
    tokio::task::spawn_local(follow(
        platform.backends(),
        shared.clone(),
        following(&backends, [&configuration, &evacuations], duties.backends),
    ));
    if follows_evacuations {
        tokio::task::spawn_local(follow(
            platform.evacuations(),
            shared,
            following(&evacuations, [&configuration, &backends], duties.evacuations),
        ));
    }
}

/// Shows for ever how old what this process knows is.
async fn tell_freshness(freshness: Freshness) {
    loop {
        if let Some(age_ms) = freshness.age_ms() {
            metrics::gauge!("platform_news_age_seconds").set(age_ms as f64 / 1_000.0);
        }
        tokio::time::sleep(FRESHNESS_INTERVAL).await;
    }
}
