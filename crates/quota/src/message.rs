//! Messages between gateways, token issuers and the leader of the job stores.

use borsh::{BorshDeserialize, BorshSerialize};
use yokefall_types::{RateLimit, TenantName};

use crate::slot::{Part, SlotId};

/// Request of a gateway for tokens of a part of a tenant's limit.
#[derive(Clone, Debug, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub struct TokenRequest {
    /// The tenant.
    pub tenant: TenantName,
    /// The part.
    pub part: Part,
    /// The tenant's limit in the gateway's configuration.
    pub limit: RateLimit,
    /// Version of the configuration that the limit was read from.
    pub version: u64,
    /// Number of tokens requested.
    pub tokens: u32,
}

/// Response to a `TokenRequest`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub enum TokenGrant {
    /// Tokens, possibly fewer than requested.
    Granted {
        /// Number of tokens.
        tokens: u32,
        /// Time until the next token is available, in milliseconds.
        wait_ms: u64,
    },
    /// The receiver does not hold the part.
    NotHeld,
}

/// Lease of a slot, from the leader to a token issuer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub struct SlotLease {
    /// The slot.
    pub slot: SlotId,
    /// Generation of the assignment; it grows each time the slot moves to another issuer.
    pub generation: u64,
}
