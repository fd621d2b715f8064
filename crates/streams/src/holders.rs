//! Selects the gateways that keep the record of a stream.

use yokefall_serving::FleetMember;
use yokefall_types::rendezvous_score;

use crate::origin::StreamKey;

/// Number of gateways that keep a record besides the one that began the stream.
pub const RECORD_COPIES: usize = 2;
/// Number of gateways asked for a record: views of the fleet differ for some seconds after a change
/// of the members, in which those that hold it may be preceded by others.
pub const QUERIED_GATEWAYS: usize = 4;

/// Orders gateways by their preference for a stream, the same for all processes with the same view.
/// The second one is in another zone than the first, if there is any, as a zone may be lost.
pub fn preferred<'a>(
    key: &StreamKey,
    gateways: impl Iterator<Item = &'a FleetMember>,
) -> Vec<&'a FleetMember> {
    let score = rendezvous_score(key.as_bytes());
    let mut ordered: Vec<&FleetMember> = gateways.collect();
    ordered.sort_by_cached_key(|gateway| (std::cmp::Reverse(score(&gateway.name)), &gateway.name));
    let other_zone = ordered.iter().position(|gateway| gateway.zone != ordered[0].zone);
    if let Some(position) = other_zone {
        ordered[1..=position].rotate_right(1);
    }
    ordered
}
