//! Tenants with their ranks and rate limits.

use borsh::{BorshDeserialize, BorshSerialize};

use crate::key::KeyDigest;
use crate::TenantName;

/// Rate limit of a tenant across all gateways: a token bucket.
#[derive(Clone, Copy, Debug, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub struct RateLimit {
    /// Requests per 1,000 seconds.
    pub per_1000_seconds: u64,
    /// Number of requests allowed at once beyond the rate.
    pub burst: u64,
}

/// A tenant of the configuration.
#[derive(Clone, Debug, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub struct Tenant {
    /// Name, which is passed to back ends.
    pub name: TenantName,
    /// Digests of its keys; each key identifies the tenant.
    pub keys: Vec<KeyDigest>,
    /// Rank of its requests, 0 the highest; `None` to use the rank of the route.
    pub rank: Option<u32>,
    /// Rate limit; `None` if unlimited.
    pub limit: Option<RateLimit>,
    /// Regions in which its requests may be served and stored; empty for all.
    pub allowed_regions: Vec<String>,
}
