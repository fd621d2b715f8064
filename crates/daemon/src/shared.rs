//! State shared by control and traffic: identities, clients, snapshots and tables.

use std::net::SocketAddr;
use std::sync::OnceLock;

use arc_swap::ArcSwap;
use kameo::actor::ActorRef;
use tokio::sync::{broadcast, Notify};
use yokefall_backend::BackendClient;
use yokefall_core::FleetView;
use yokefall_objects::ObjectApi;
use yokefall_peer::{HomeId, PeerClient, VersionedObject};
use yokefall_storage::{Journal, JournalWriter};
use yokefall_types::NodeName;

use crate::clock::Clock;
use crate::control::{DispatchActor, FleetActor, JobActor};
use crate::traffic::buffer::CallTable;
use crate::traffic::items::ItemTable;
use crate::traffic::uploads::UploadTable;

/// Files and uploads of the job store, on daemons with a data folder.
pub struct Store {
    pub journal: Journal,
    pub writer: JournalWriter,
    pub uploads: UploadTable,
}

pub struct Shared {
    pub node: NodeName,
    /// Name and incarnation of this daemon, as home of requests.
    pub home: HomeId,
    pub clock: Clock,
    pub peers: PeerClient,
    pub backends: BackendClient,
    pub objects: ObjectApi,
    /// Snapshot of the fleet, replaced on every change.
    pub view: ArcSwap<FleetView>,
    /// Calls whose home is this daemon.
    pub calls: CallTable,
    /// Calls that this daemon runs as owner.
    pub executions: CallTable,
    pub items: ItemTable,
    /// Configuration changes as they take effect.
    pub changes: broadcast::Sender<VersionedObject>,
    /// Files and uploads of the job store, on daemons with a data folder.
    pub store: Option<Store>,
    /// Notified when the data folder failed: the process must stop.
    pub storage_failed: Notify,
    /// Actor of membership and configuration.
    pub fleet: OnceLock<ActorRef<FleetActor>>,
    pub dispatch: OnceLock<ActorRef<DispatchActor>>,
    pub jobs: OnceLock<ActorRef<JobActor>>,
}

impl Shared {
    /// Peer address of a member, if the member is known and its address is valid.
    pub fn address_of(&self, node: &NodeName) -> Option<SocketAddr> {
        self.view.load().member(node)?.address.parse().ok()
    }

    /// Actor of calls and items. Set before any port opens.
    pub fn dispatch(&self) -> &ActorRef<DispatchActor> {
        self.dispatch.get().expect("control starts before ports open")
    }

    /// Actor of membership and configuration. Set before any port opens.
    pub fn fleet(&self) -> &ActorRef<FleetActor> {
        self.fleet.get().expect("control starts before ports open")
    }
}
