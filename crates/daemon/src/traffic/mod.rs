//! Execution of calls and items, and transfer of their bytes.

pub mod batch;
pub mod buffer;
pub mod execution;
pub mod home;
pub mod items;
pub mod uploads;

use std::time::Duration;

use yokefall_peer::{PeerError, PeerReply, PeerRequest, PeerStep};
use yokefall_types::NodeName;

use crate::shared::Shared;

const PEER_TIMEOUT: Duration = Duration::from_secs(3);

/// Sends a request to a member and waits for its single reply.
pub async fn call_peer(
    shared: &Shared,
    node: &NodeName,
    request: PeerRequest,
) -> Result<PeerReply, PeerError> {
    let Some(address) = shared.address_of(node) else { return Err(not_a_member(node)) };
    shared.peers.call(address, request, PEER_TIMEOUT).await
}

/// The error of a request to a node that is not a live member. Nothing was sent.
pub fn not_a_member(node: &NodeName) -> PeerError {
    PeerError {
        step: PeerStep::Connect,
        peer: std::net::SocketAddr::from(([0, 0, 0, 0], 0)),
        cause: format!("{node} is not a live member"),
    }
}
