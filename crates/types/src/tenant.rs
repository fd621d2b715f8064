//! Tenants: who sends requests, with which rank, and how many.

use borsh::{BorshDeserialize, BorshSerialize};

use crate::key::KeyDigest;
use crate::TenantName;

/// How many requests a tenant may send over all gateways: a token bucket.
#[derive(Clone, Copy, Debug, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub struct RateLimit {
    /// Requests in 1,000 seconds.
    pub per_1000_seconds: u64,
    /// Requests that may come at once beyond the rate.
    pub burst: u64,
}

/// A tenant of the configuration.
#[derive(Clone, Debug, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub struct Tenant {
    /// Name; back ends are told it.
    pub name: TenantName,
    /// Digests of its keys; each of them identifies it.
    pub keys: Vec<KeyDigest>,
    /// Rank of its requests, 0 the highest, in place of the route's; `None` where the route's holds.
    pub rank: Option<u32>,
    /// Its limit; `None` for no limit.
    pub limit: Option<RateLimit>,
    /// Regions in which its requests may be served and kept; empty for all.
    pub allowed_regions: Vec<String>,
}
