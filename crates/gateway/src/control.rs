//! The control thread: membership, configuration and back ends.

use tokio::sync::watch;
use yokefall_clock::ElapsedClock;
use yokefall_serving::direct_messages::DirectMessages;
use yokefall_serving::discovery::{self, DiscoveryOptions, PeerPorts};
use yokefall_serving::fleet::{new_incarnation, Identity, Notices};
use yokefall_serving::{CatalogCell, FleetCell, Freshness, Platform};

use crate::daemon::GatewayOptions;

/// State published by the control thread and read by the traffic thread.
pub struct ControlOutputs {
    /// Routes and back ends.
    pub catalog: CatalogCell,
    /// The processes of the system.
    pub fleet: FleetCell,
    /// Age of the data from the platform.
    pub freshness: Freshness,
}

/// Messages that the traffic thread exchanges with other processes.
pub struct PeerMessages {
    /// Messages broadcast to all processes.
    pub notices: Notices,
    /// Messages to and from single processes.
    pub direct: DirectMessages,
}

/// Runs discovery, which reports the process as leaving once `stop` is set. Never returns.
pub async fn run<P: Platform>(
    options: GatewayOptions,
    platform: P,
    ports: PeerPorts,
    outputs: ControlOutputs,
    messages: PeerMessages,
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
        notices: messages.notices,
        direct_messages: messages.direct,
        clock: ElapsedClock::new(options.suspension),
        zones: options.zones,
        placement: options.placement,
        freshness: outputs.freshness,
    };
    discovery::start(&platform, discovery, ports, outputs.catalog, outputs.fleet, || {}, stop);
    std::future::pending().await
}
