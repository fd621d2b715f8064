//! The actor of membership and configuration, which publishes the view of the fleet.

use std::sync::Arc;

use kameo::message::{Context, Message};
use kameo::Actor;
use rand::rngs::SmallRng;
use rand::seq::IndexedRandom;
use rand::SeedableRng;
use tokio::runtime::Handle;
use tokio::sync::{mpsc, oneshot};
use yokefall_core::configuration::{ConfigurationStore, Repair};
use yokefall_core::membership::{Datagram, MemberRecord, MemberState, Membership, Outgoing};
use yokefall_core::FleetView;
use yokefall_peer::{ObjectVersion, PeerRequest, VersionedObject};
use yokefall_telemetry::{Event, Level};
use yokefall_types::{Kind, NodeName};

use crate::control::DispatchCommand;
use crate::shared::Shared;
use crate::traffic::call_peer;

/// Number of members to which each daemon pushes a new change.
const PUSH_FANOUT: usize = 3;

/// Fleet status as reported to operators.
#[derive(Clone, Debug)]
pub struct FleetStatus {
    /// Highest configuration version in force here.
    pub configuration_version: u64,
    /// Members with the configuration version in force at each, as far as known.
    pub members: Vec<(MemberRecord, u64)>,
}

pub enum FleetCommand {
    /// Run the periodic work of membership.
    Tick,
    Received {
        datagram: Datagram,
        /// Its source, `IP:PORT`.
        source: String,
    },
    /// Apply objects received from the object API or a peer.
    Apply(Vec<VersionedObject>),
    /// Apply a complete listing of one kind.
    ApplyListing {
        kind: Kind,
        version: u64,
        objects: Vec<VersionedObject>,
    },
    /// Compare with a peer's store.
    Compare {
        digest: u64,
        /// The peer's versions; empty to compare only digests.
        versions: Vec<ObjectVersion>,
        /// Whether the digests are equal, and the difference of the stores.
        reply: oneshot::Sender<(bool, Repair)>,
    },
    Digest(oneshot::Sender<u64>),
    Versions(oneshot::Sender<Vec<ObjectVersion>>),
    /// Get all objects, including deleted ones.
    Objects(oneshot::Sender<Vec<VersionedObject>>),
    Status(oneshot::Sender<FleetStatus>),
    /// Announce a state of this daemon, such as leaving or dead.
    Announce(MemberState),
}

#[derive(Actor)]
pub struct FleetActor {
    shared: Arc<Shared>,
    traffic: Handle,
    membership: Membership,
    configuration: ConfigurationStore,
    datagrams: mpsc::UnboundedSender<Outgoing>,
    rng: SmallRng,
    rebuild: bool,
}

impl FleetActor {
    pub(super) fn new(
        shared: Arc<Shared>,
        traffic: Handle,
        membership: Membership,
        datagrams: mpsc::UnboundedSender<Outgoing>,
    ) -> Self {
        Self {
            shared,
            traffic,
            membership,
            configuration: ConfigurationStore::default(),
            datagrams,
            rng: SmallRng::seed_from_u64(0),
            rebuild: true,
        }
    }

    fn tick(&mut self) {
        let outgoing = self.membership.tick(self.shared.clock.now());
        self.send(outgoing);
    }

    fn send(&self, outgoing: Vec<Outgoing>) {
        for datagram in outgoing {
            let _ = self.datagrams.send(datagram);
        }
    }

    fn apply(&mut self, objects: Vec<VersionedObject>) {
        let mut changed = Vec::new();
        for object in objects {
            if self.configuration.apply(object.clone()) {
                changed.push(object);
            }
        }
        self.changed(changed);
    }

    /// Publishes changed objects and pushes them to other members. Each daemon forwards a change
    /// once.
    fn changed(&mut self, changed: Vec<VersionedObject>) {
        if changed.is_empty() {
            return;
        }
        self.rebuild = true;
        self.membership.set_configuration_version(self.configuration.highest_version());
        for object in &changed {
            let message = format!("{} at version {}", object.key, object.version);
            Event::new(Level::Info, "configuration in force").write(message);
            let _ = self.shared.changes.send(object.clone());
        }
        for peer in self.push_targets() {
            let shared = self.shared.clone();
            let request = PeerRequest::PushObjects(changed.clone());
            self.traffic.spawn(async move {
                let _ = call_peer(&shared, &peer, request).await;
            });
        }
    }

    fn push_targets(&mut self) -> Vec<NodeName> {
        let others: Vec<NodeName> = self
            .membership
            .members()
            .into_iter()
            .map(|member| member.node)
            .filter(|node| *node != self.shared.node)
            .collect();
        others.choose_multiple(&mut self.rng, PUSH_FANOUT).cloned().collect()
    }

    /// Publishes a new view after a change of members or configuration.
    async fn publish(&mut self) {
        if !self.membership.take_changed() && !self.rebuild {
            return;
        }
        self.rebuild = false;
        let zone = self.shared.view.load().zone.clone();
        let members = self.membership.members();
        let view = FleetView::build(&self.shared.node, &zone, members, &self.configuration);
        self.shared.view.store(Arc::new(view));
        let _ = self.shared.dispatch().tell(DispatchCommand::ViewChanged).await;
    }

    fn compare(&self, digest: u64, versions: &[ObjectVersion]) -> (bool, Repair) {
        let same = self.configuration.digest() == digest;
        if same || versions.is_empty() {
            return (same, Repair::default());
        }
        (same, self.configuration.compare(versions))
    }

    fn status(&self) -> FleetStatus {
        FleetStatus {
            configuration_version: self.configuration.highest_version(),
            members: self.membership.records(),
        }
    }
}

impl Message<FleetCommand> for FleetActor {
    type Reply = ();

    async fn handle(&mut self, command: FleetCommand, _: &mut Context<Self, ()>) {
        match command {
            FleetCommand::Tick => self.tick(),
            FleetCommand::Received { datagram, source } => {
                let now = self.shared.clock.now();
                let outgoing = self.membership.receive(now, datagram, &source);
                self.send(outgoing);
            }
            FleetCommand::Apply(objects) => self.apply(objects),
            FleetCommand::ApplyListing { kind, version, objects } => {
                let changed = self.configuration.apply_listing(kind, version, objects);
                self.changed(changed);
            }
            FleetCommand::Compare { digest, versions, reply } => {
                let _ = reply.send(self.compare(digest, &versions));
            }
            FleetCommand::Digest(reply) => {
                let _ = reply.send(self.configuration.digest());
            }
            FleetCommand::Versions(reply) => {
                let _ = reply.send(self.configuration.versions());
            }
            FleetCommand::Objects(reply) => {
                let _ = reply.send(self.configuration.objects().collect());
            }
            FleetCommand::Status(reply) => {
                let _ = reply.send(self.status());
            }
            FleetCommand::Announce(state) => {
                self.membership.announce(state);
                let announce_to_all = self.membership.announce_to_all();
                self.send(announce_to_all);
            }
        }
        self.publish().await;
    }
}
