//! Digests of member lists, by which lists that differ are found and mended part by part.

use xxhash_rust::xxh3::xxh3_64_with_seed;
use yokefall_types::NodeName;

use super::message::MemberRecord;

/// Parts of the member list that are compared one by one in a repair, so that one change costs
/// one part of the list and not the whole.
pub(super) const REPAIR_BUCKETS: usize = 32;
/// Place of the state within the seed of a record's hash, above any incarnation.
const STATE_SHIFT: u32 = 60;

pub(super) fn bucket_of(node: &NodeName) -> usize {
    xxh3_64_with_seed(node.as_str().as_bytes(), 0) as usize % REPAIR_BUCKETS
}

pub(super) fn record_hash(record: &MemberRecord) -> u64 {
    let seed = record.incarnation ^ ((record.state as u64) << STATE_SHIFT);
    xxh3_64_with_seed(record.node.as_str().as_bytes(), seed)
}
