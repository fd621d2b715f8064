//! Which gateways clients are told of where there are more than one answer may name.
//!
//! All processes tell the clients of a zone of the same ones, so that a client that asks another process
//! keeps its connections. Clients of other zones are told of others. Names begin with their zone, so an order
//! by name would put all clients on the gateways of one zone, and the loss of that zone would take them all.

use std::cmp::Reverse;

use yokefall_serving::FleetMember;
use yokefall_types::rendezvous_score;

/// Key for clients that tell no zone.
const NO_ZONE: &str = "";

/// Puts gateways in the order in which the clients of a zone are told of them: by rendezvous score, so that
/// they keep the others where one is gone.
pub fn order<'a>(mut gateways: Vec<&'a FleetMember>, zone: Option<&str>) -> Vec<&'a FleetMember> {
    let score = rendezvous_score(zone.unwrap_or(NO_ZONE).as_bytes());
    gateways.sort_by_cached_key(|member| Reverse(score(&member.name)));
    gateways
}
