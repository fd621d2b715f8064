//! The control thread: members, configuration and back ends.

use std::cell::RefCell;
use std::rc::Rc;

use tokio::net::UdpSocket;
use tokio::sync::watch;
use yokefall_serving::fleet::{run_membership, start_number, Identity};
use yokefall_serving::news::News;
use yokefall_serving::observer::LineObserver;
use yokefall_serving::watch::{follow, Knowledge, SharedKnowledge};
use yokefall_serving::{CatalogCell, FleetCell, Platform};

use crate::daemon::GatewayOptions;

/// Runs control state until `stop` ends the process.
pub async fn run<P: Platform>(
    options: GatewayOptions,
    platform: P,
    socket: UdpSocket,
    catalog: CatalogCell,
    fleet: FleetCell,
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
    let known = Rc::new(RefCell::new(Knowledge::new(catalog)));
    let news = News::new(known.clone());
    let (configuration, backends) = (news.refresh.configuration(), news.refresh.backends());
    tokio::task::spawn_local(run_membership(socket, identity, options.seeds, fleet, news, stop));
    let knowledge =
        SharedKnowledge { knowledge: known, observer: Rc::new(LineObserver::new(|| {})) };
    tokio::task::spawn_local(follow(
        platform.configurations(),
        knowledge.clone(),
        configuration.clone(),
        backends.clone(),
    ));
    follow(platform.backends(), knowledge, backends, configuration).await;
}
