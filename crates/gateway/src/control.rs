//! The control thread: members, configuration and back ends.

use tokio::sync::watch;
use yokefall_clock::ElapsedClock;
use yokefall_serving::discovery::{self, DiscoveryOptions, PeerPorts};
use yokefall_serving::fleet::{start_number, Identity, Notices};
use yokefall_serving::{CatalogCell, FleetCell, Platform};

use crate::daemon::GatewayOptions;

/// Runs control state until `stop` ends the process.
pub async fn run<P: Platform>(
    options: GatewayOptions,
    platform: P,
    ports: PeerPorts,
    catalog: CatalogCell,
    fleet: FleetCell,
    notices: Notices,
    stop: watch::Receiver<bool>,
) {
    let identity = Identity {
        name: options.name,
        address: options.peer,
        zone: options.zone,
        region: options.region,
        job_store: false,
        incarnation: start_number(),
    };
    let discovery = DiscoveryOptions {
        identity,
        seeds: options.seeds,
        is_first_start: options.bootstrap,
        notices,
        clock: ElapsedClock::new(options.suspension),
        zones: options.zones,
    };
    discovery::start(&platform, discovery, ports, catalog, fleet, || {}, stop);
    std::future::pending().await
}
