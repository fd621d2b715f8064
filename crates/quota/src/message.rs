//! What gateways, accountants and the leader of the job stores say to each other.

use borsh::{BorshDeserialize, BorshSerialize};
use yokefall_types::{RateLimit, TenantName};

use crate::slot::{Part, SlotId};

/// A gateway asks for tokens of a part of a tenant's limit.
#[derive(Clone, Debug, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub struct TokenRequest {
    /// The tenant.
    pub tenant: TenantName,
    /// The part.
    pub part: Part,
    /// The tenant's limit, as the gateway knows it.
    pub limit: RateLimit,
    /// Version of the configuration that gave the limit.
    pub version: u64,
    /// Tokens that are wanted.
    pub tokens: u32,
}

/// The answer to a `TokenRequest`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub enum TokenGrant {
    /// Tokens, maybe fewer than were wanted.
    Granted {
        /// How many.
        tokens: u32,
        /// Milliseconds until there is another one.
        wait_ms: u64,
    },
    /// The one who was asked does not hold the part.
    NotHeld,
}

/// A slot that the leader leases to an accountant.
#[derive(Clone, Copy, Debug, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub struct SlotLease {
    /// The slot.
    pub slot: SlotId,
    /// Number of its assignment; it rises each time the slot goes to another accountant.
    pub generation: u64,
}
