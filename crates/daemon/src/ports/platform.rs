//! A few daemons per region watch the object API and the machine list, and push changes to others.

use std::collections::HashSet;
use std::sync::Arc;
use std::time::Duration;

use futures::StreamExt;
use yokefall_core::FleetView;
use yokefall_objects::{
    MachineListClient, MachineListing, MachineState, ObjectEvent, PlatformError,
};
use yokefall_peer::VersionedObject;
use yokefall_telemetry::{Event, Level};
use yokefall_types::{
    rendezvous_order, Declaration, Kind, MachineSpec, NodeName, ObjectKey, PartnerName,
};

use crate::control::FleetCommand;
use crate::shared::Shared;

/// Number of daemons per region that watch the platform.
const WATCHERS_PER_REGION: usize = 2;
/// Rendezvous hashing key that selects the watchers of a region.
const WATCHER_KEY: &[u8] = b"platform-watcher";
const ROLE_CHECK_INTERVAL: Duration = Duration::from_millis(250);
/// Bounds of the exponential backoff after a failed call.
const RETRY_BACKOFF_RANGE: (Duration, Duration) =
    (Duration::from_millis(200), Duration::from_secs(5));
/// Partner name under which machines are stored; no partner has this name.
const MACHINE_NAMESPACE: &str = "";

fn is_watcher(view: &FleetView) -> bool {
    let Some(own) = view.member(&view.node) else { return true };
    let in_region: Vec<&NodeName> = view
        .members
        .iter()
        .filter(|member| member.region == own.region && member.accepting)
        .map(|member| &member.node)
        .collect();
    let order = rendezvous_order(WATCHER_KEY, in_region);
    order.iter().take(WATCHERS_PER_REGION).any(|node| **node == view.node)
}

async fn wait_until_watcher(shared: &Shared) {
    while !is_watcher(&shared.view.load()) {
        tokio::time::sleep(ROLE_CHECK_INTERVAL).await;
    }
}

async fn wait_until_not_watcher(shared: &Shared) {
    while is_watcher(&shared.view.load()) {
        tokio::time::sleep(ROLE_CHECK_INTERVAL).await;
    }
}

/// Watches objects of one kind whenever this daemon is a watcher. Never returns.
pub async fn watch_objects(shared: Arc<Shared>, kind: Kind) {
    let mut backoff = RETRY_BACKOFF_RANGE.0;
    loop {
        wait_until_watcher(&shared).await;
        let result = tokio::select! {
            result = list_and_watch(&shared, kind) => result,
            () = wait_until_not_watcher(&shared) => Ok(()),
        };
        match result {
            Ok(()) => backoff = RETRY_BACKOFF_RANGE.0,
            Err(error) => {
                let peer = error.peer.clone();
                Event::new(Level::Warn, "watch objects").peer(peer).write(error);
                tokio::time::sleep(backoff).await;
                backoff = (backoff * 2).min(RETRY_BACKOFF_RANGE.1);
            }
        }
    }
}

async fn list_and_watch(shared: &Shared, kind: Kind) -> Result<(), PlatformError> {
    let (version, objects) = shared.objects.list(kind).await?;
    let command = FleetCommand::ApplyListing { kind, version, objects };
    let _ = shared.fleet().tell(command).await;
    let mut last_version = version;
    // The server ends watches from time to time; the next one resumes at the last version received.
    loop {
        let mut events = Box::pin(shared.objects.watch(kind, last_version).await?);
        while let Some(event) = events.next().await {
            match event {
                ObjectEvent::Changed(object) => {
                    last_version = last_version.max(object.version);
                    let _ = shared.fleet().tell(FleetCommand::Apply(vec![object])).await;
                }
                ObjectEvent::Restart(cause) => {
                    Event::new(Level::Info, "watch objects").write(cause);
                    return Ok(());
                }
            }
        }
        tokio::time::sleep(RETRY_BACKOFF_RANGE.0).await;
    }
}

/// Polls the machine list whenever this daemon is a watcher. Never returns.
pub async fn watch_machines(shared: Arc<Shared>, url: String, interval: Duration) {
    let client = MachineListClient::new(&url);
    loop {
        wait_until_watcher(&shared).await;
        match client.read().await {
            Ok(listing) => {
                let command = machine_objects(listing);
                let _ = shared.fleet().tell(command).await;
            }
            Err(error) => {
                let peer = error.peer.clone();
                Event::new(Level::Warn, "read machines").peer(peer).write(error);
            }
        }
        tokio::time::sleep(interval).await;
    }
}

fn machine_objects(listing: MachineListing) -> FleetCommand {
    let mut names = HashSet::new();
    let unique = listing.machines.into_iter().filter(|m| names.insert(m.name.clone()));
    let object = |machine: yokefall_objects::Machine| VersionedObject {
        key: ObjectKey {
            partner: PartnerName::new(MACHINE_NAMESPACE),
            kind: Kind::Machine,
            name: machine.name,
        },
        version: machine.revision,
        value: Some(Declaration::Machine(MachineSpec {
            leaving: machine.state == MachineState::Leaving,
        })),
    };
    FleetCommand::ApplyListing {
        kind: Kind::Machine,
        version: listing.revision,
        objects: unique.map(object).collect(),
    }
}
