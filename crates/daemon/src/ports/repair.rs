//! Anti-entropy of configuration between peers: compares digests, then exchanges differing objects.

use std::sync::Arc;
use std::time::Duration;

use rand::rngs::SmallRng;
use rand::seq::IndexedRandom;
use rand::SeedableRng;
use tokio::sync::oneshot;
use yokefall_peer::{PeerReply, PeerRequest};
use yokefall_types::{NodeName, ObjectKey};

use crate::control::FleetCommand;
use crate::shared::Shared;
use crate::traffic::call_peer;

/// Interval between comparisons, each with a randomly chosen member.
const REPAIR_INTERVAL: Duration = Duration::from_secs(1);

/// Periodically compares configuration with a random member. Never returns.
pub async fn run(shared: Arc<Shared>, seed: u64) {
    let mut rng = SmallRng::seed_from_u64(seed);
    loop {
        tokio::time::sleep(REPAIR_INTERVAL).await;
        let view = shared.view.load_full();
        let others: Vec<&NodeName> =
            view.members.iter().map(|m| &m.node).filter(|node| **node != shared.node).collect();
        if let Some(peer) = others.choose(&mut rng) {
            repair_with(&shared, peer).await;
        }
    }
}

async fn repair_with(shared: &Shared, peer: &NodeName) {
    let Some(digest) = ask_fleet(shared, FleetCommand::Digest).await else { return };
    let digest_only = PeerRequest::ConfigurationDigest { digest, versions: Vec::new() };
    if let Ok(PeerReply::Repair { same: false, .. }) = call_peer(shared, peer, digest_only).await {
        exchange(shared, peer, digest).await;
    }
}

async fn ask_fleet<T>(
    shared: &Shared,
    command: impl FnOnce(oneshot::Sender<T>) -> FleetCommand,
) -> Option<T> {
    let (reply, answer) = oneshot::channel();
    shared.fleet().tell(command(reply)).await.ok()?;
    answer.await.ok()
}

async fn exchange(shared: &Shared, peer: &NodeName, digest: u64) {
    let Some(versions) = ask_fleet(shared, FleetCommand::Versions).await else { return };
    let with_versions = PeerRequest::ConfigurationDigest { digest, versions };
    let Ok(PeerReply::Repair { objects, wanted, .. }) =
        call_peer(shared, peer, with_versions).await
    else {
        return;
    };
    if !objects.is_empty() {
        let _ = shared.fleet().tell(FleetCommand::Apply(objects)).await;
    }
    if !wanted.is_empty() {
        push_objects(shared, peer, &wanted).await;
    }
}

async fn push_objects(shared: &Shared, peer: &NodeName, wanted: &[ObjectKey]) {
    let Some(mut objects) = ask_fleet(shared, FleetCommand::Objects).await else { return };
    objects.retain(|object| wanted.contains(&object.key));
    let _ = call_peer(shared, peer, PeerRequest::PushObjects(objects)).await;
}
