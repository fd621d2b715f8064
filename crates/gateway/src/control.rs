//! The control thread: members, configuration and back ends.

use tokio::sync::watch;
use yokefall_clock::ElapsedClock;
use yokefall_serving::discovery::{self, DiscoveryOptions, PeerPorts};
use yokefall_serving::fleet::{new_incarnation, Identity, Notices};
use yokefall_serving::{CatalogCell, FleetCell, Freshness, Platform};

use crate::daemon::GatewayOptions;

/// What the control thread knows, as the traffic thread sees it.
pub struct Views {
    /// Routes and back ends.
    pub catalog: CatalogCell,
    /// The system's processes.
    pub fleet: FleetCell,
    /// How old what is known of the platform's objects is.
    pub freshness: Freshness,
}

/// Runs control state until `stop` ends the process.
pub async fn run<P: Platform>(
    options: GatewayOptions,
    platform: P,
    ports: PeerPorts,
    views: Views,
    notices: Notices,
    stop: watch::Receiver<bool>,
) {
    let identity = Identity {
        name: options.name,
        address: options.peer,
        zone: options.zone,
        region: options.region,
        job_store: false,
        incarnation: new_incarnation(),
    };
    let discovery = DiscoveryOptions {
        identity,
        seeds: options.seeds,
        is_first_start: options.bootstrap,
        notices,
        clock: ElapsedClock::new(options.suspension),
        zones: options.zones,
        placement: options.placement,
        freshness: views.freshness,
    };
    discovery::start(&platform, discovery, ports, views.catalog, views.fleet, || {}, stop);
    std::future::pending().await
}
