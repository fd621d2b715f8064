//! Slots, assigned to token issuers: one part of the limits of all tenants of one shard.

use borsh::{BorshDeserialize, BorshSerialize};
use xxhash_rust::xxh3::xxh3_64;
use yokefall_types::TenantName;

/// Number of parts of each limit. With three, a third of the limit is still granted after the loss
/// of two issuers; more parts would divide small limits into fractions of a request.
pub const PARTS_PER_LIMIT: u8 = 3;
/// Number of shards of tenants. With three parts there are 48 slots, so that at 23,000 requests per
/// second one slot takes about 500 token requests per second.
pub const SHARD_COUNT: u8 = 16;

/// One part of a limit.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, BorshSerialize, BorshDeserialize,
)]
pub struct Part(pub u8);

/// One part of the limits of one shard's tenants.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, BorshSerialize, BorshDeserialize,
)]
pub struct SlotId {
    /// The shard.
    pub shard: u8,
    /// The part.
    pub part: Part,
}

impl SlotId {
    /// The slot that holds a part of a tenant's limit.
    pub fn of(tenant: &TenantName, part: Part) -> Self {
        let hash = xxh3_64(tenant.as_str().as_bytes());
        Self { shard: (hash % u64::from(SHARD_COUNT)) as u8, part }
    }

    /// All slots.
    pub fn all() -> impl Iterator<Item = SlotId> {
        (0..SHARD_COUNT).flat_map(|shard| {
            (0..PARTS_PER_LIMIT).map(move |part| SlotId { shard, part: Part(part) })
        })
    }

    /// Key of the slot for rendezvous hashing.
    pub(crate) fn key(self) -> [u8; 2] {
        [self.shard, self.part.0]
    }
}

/// The order in which a gateway tries a tenant's parts; it differs so that all are used evenly.
pub fn part_order(gateway: &str, tenant: &TenantName) -> impl Iterator<Item = Part> {
    let name = [gateway.as_bytes(), b"/", tenant.as_str().as_bytes()].concat();
    let first = (xxh3_64(&name) % u64::from(PARTS_PER_LIMIT)) as u8;
    (0..PARTS_PER_LIMIT).map(move |step| Part((first + step) % PARTS_PER_LIMIT))
}
