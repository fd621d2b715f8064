//! Ranks gateways for the clients of a zone, for fleets with more of them than fit in a response.
//!
//! All processes announce the same gateways to the clients of a zone, so that a client that
//! queries another process keeps its connections. Clients of other zones get other gateways. Names
//! start with the zone, so sorting by name would put all clients on the gateways of one zone, and
//! the loss of that zone would affect all of them.

use std::cmp::Reverse;

use yokefall_serving::FleetMember;
use yokefall_types::rendezvous_score;

/// Key for clients that announce no zone.
const UNKNOWN_ZONE: &str = "";

/// Ranks gateways for a zone by rendezvous score: the others keep their order when one is gone.
pub fn rank_for_zone<'a>(
    mut gateways: Vec<&'a FleetMember>,
    zone: Option<&str>,
) -> Vec<&'a FleetMember> {
    let score = rendezvous_score(zone.unwrap_or(UNKNOWN_ZONE).as_bytes());
    gateways.sort_by_cached_key(|member| Reverse(score(&member.name)));
    gateways
}
