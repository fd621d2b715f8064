//! Slots: what is assigned to accountants. A slot is one part of the limits of the tenants that hash
//! to one shard.

use borsh::{BorshDeserialize, BorshSerialize};
use xxhash_rust::xxh3::xxh3_64;
use yokefall_types::TenantName;

/// Parts of each limit. Two accountants may be lost and a third of the limit is still granted; more
/// parts would divide small limits into fractions of a request.
pub const PARTS_PER_LIMIT: u8 = 3;
/// Shards of tenants: with three parts 48 slots, so that at 23,000 requests a second (letter 1) one
/// slot takes about 500 asks a second.
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
    /// The slot of a part of a tenant's limit.
    pub fn of(tenant: &TenantName, part: Part) -> Self {
        let hash = xxh3_64(tenant.as_str().as_bytes());
        Self { shard: (hash % u64::from(SHARD_COUNT)) as u8, part }
    }

    /// Every slot.
    pub fn all() -> impl Iterator<Item = SlotId> {
        (0..SHARD_COUNT).flat_map(|shard| {
            (0..PARTS_PER_LIMIT).map(move |part| SlotId { shard, part: Part(part) })
        })
    }

    /// Bytes that name it in a rendezvous hash.
    pub(crate) fn key(self) -> [u8; 2] {
        [self.shard, self.part.0]
    }
}

/// The parts of a tenant's limit in the order in which a gateway asks for them. Gateways begin with
/// different parts, so that all are used evenly.
pub fn part_order(gateway: &str, tenant: &TenantName) -> impl Iterator<Item = Part> {
    let name = [gateway.as_bytes(), b"/", tenant.as_str().as_bytes()].concat();
    let first = (xxh3_64(&name) % u64::from(PARTS_PER_LIMIT)) as u8;
    (0..PARTS_PER_LIMIT).map(move |step| Part((first + step) % PARTS_PER_LIMIT))
}
