//! Starts the tasks that keep the view of the fleet and of the platform's objects current.
//!
//! Membership is maintained with datagrams (`fleet`). Each process is ranked among those of its
//! zone (`duty`); a few of them watch the platform's store (`watch`), and the others fetch the
//! state from these peers (`news`).

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

use crate::duty::Roster;
use crate::eligibility::{Freshness, ZoneMap};
use crate::fleet::{run_membership, Identity, Membership, Notices};
use crate::knowledge::{Following, Knowledge};
use crate::news::News;
use crate::news_exchange::serve;
use crate::observer::LineObserver;
use crate::shared_knowledge::SharedKnowledge;
use crate::source::Platform;
use crate::watch::{run_watch, WatchOptions, WatchWaits};
use crate::{CatalogCell, FleetCell};

/// Interval at which the age of the local state is exported as a metric.
const FRESHNESS_INTERVAL: Duration = Duration::from_millis(1_000);

/// Sockets for communication with other processes.
pub struct PeerPorts {
    /// Membership datagrams.
    pub datagrams: UdpSocket,
    /// Exchange of configuration and back ends.
    pub news: TcpListener,
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
    let follows_evacuations = options.placement.evacuation_ms.is_some();
    let state_options = Following {
        evacuations: follows_evacuations,
        ages: options.placement.needs_fresh_news(),
        freshness: options.freshness.clone(),
    };
    let zones = options.zones.len();
    let knowledge = Knowledge::following(catalog, options.zones, state_options);
    let knowledge = Rc::new(RefCell::new(knowledge));
    let observer = Rc::new(LineObserver::new(changed));
    let shared = SharedKnowledge { knowledge: knowledge.clone(), observer };
    let roster = Roster::new(Timestamp(0), options.is_first_start, rand::random());
    let apply_response = {
        let shared = shared.clone();
        Box::new(move |answer| shared.take_news(answer))
    };
    let (news, duties) = News::new(knowledge.clone(), apply_response, roster);
    let refresh = news.refresh.clone();
    let exchange_port = ports.news.local_addr().map_or(0, |address| address.port());
    tokio::task::spawn_local(serve(ports.news, knowledge));
    tokio::task::spawn_local(run_membership(Membership {
        socket: ports.datagrams,
        identity: options.identity,
        seeds: options.seeds,
        cell: fleet,
        news,
        exchange_port,
        leaving,
        notices: options.notices,
        clock: options.clock,
    }));
    tokio::task::spawn_local(report_freshness(options.freshness));
    let waits = match options.placement.needs_fresh_news() {
        true => WatchWaits::Fresh { zones },
        false => WatchWaits::Long,
    };
    let (configuration, backends) = (refresh.configuration(), refresh.backends());
    let evacuations = refresh.evacuations();
    let watch_options = |refresh: &Rc<Notify>, others: [&Rc<Notify>; 2], duty| WatchOptions {
        refresh: refresh.clone(),
        others: others.into_iter().cloned().collect(),
        duty,
        waits,
    };
    tokio::task::spawn_local(run_watch(
        platform.configurations(),
        shared.clone(),
        watch_options(&configuration, [&backends, &evacuations], duties.configuration),
    ));
    tokio::task::spawn_local(run_watch(
        platform.backends(),
        shared.clone(),
        watch_options(&backends, [&configuration, &evacuations], duties.backends),
    ));
    if follows_evacuations {
        tokio::task::spawn_local(run_watch(
            platform.evacuations(),
            shared,
            watch_options(&evacuations, [&configuration, &backends], duties.evacuations),
        ));
    }
}

/// Exports the age of the local state periodically.
async fn report_freshness(freshness: Freshness) {
    loop {
        if let Some(age_ms) = freshness.age_ms() {
            metrics::gauge!("platform_news_age_seconds").set(age_ms as f64 / 1_000.0);
        }
        tokio::time::sleep(FRESHNESS_INTERVAL).await;
    }
}
