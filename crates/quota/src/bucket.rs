//! Token bucket of one part of a tenant's limit. Integers avoid rounding errors: a token of the
//! whole limit is `UNITS_PER_TOKEN` units, and a part, which fills at the rate of the whole limit,
//! pays `PARTS_PER_LIMIT` times as many.

use yokefall_core::Timestamp;
use yokefall_types::RateLimit;

use crate::slot::PARTS_PER_LIMIT;

/// Units per token of a whole limit: requests per 1,000 seconds times milliseconds.
const UNITS_PER_TOKEN: u64 = 1_000_000;
const UNITS_PER_PART_TOKEN: u64 = UNITS_PER_TOKEN * PARTS_PER_LIMIT as u64;

/// Idle time before a full bucket is evicted: far longer than configurations take to spread.
const IDLE_EVICTION_MS: u64 = 60_000;

/// One part of a limit and its remaining tokens.
#[derive(Clone, Copy, Debug)]
pub struct Bucket {
    units: u64,
    updated_at: Timestamp,
    requested_at: Timestamp,
    limit: RateLimit,
    /// Version of the configuration that the limit was read from.
    version: u64,
    extra_tokens: u64,
}

impl Bucket {
    /// Creates a bucket that has been filling since `since`, starting from one token.
    pub fn new(since: Timestamp, limit: RateLimit, version: u64, extra_tokens: u64) -> Self {
        Self {
            units: UNITS_PER_PART_TOKEN,
            updated_at: since,
            requested_at: since,
            limit,
            version,
            extra_tokens,
        }
    }

    fn capacity(&self) -> u64 {
        let extra = self.extra_tokens * UNITS_PER_PART_TOKEN;
        let units = self.limit.burst.saturating_mul(UNITS_PER_TOKEN).saturating_add(extra);
        units.max(UNITS_PER_PART_TOKEN)
    }

    fn refill(&mut self, now: Timestamp) {
        let gained = self.limit.per_1000_seconds.saturating_mul(now.millis_since(self.updated_at));
        self.units = self.units.saturating_add(gained).min(self.capacity());
        self.updated_at = self.updated_at.max(now);
    }

    /// Applies a newer limit; versions only grow, so that outdated gateways cannot undo a change.
    pub fn set_limit(&mut self, now: Timestamp, limit: RateLimit, version: u64) {
        if version <= self.version {
            return;
        }
        self.refill(now);
        self.limit = limit;
        self.version = version;
        self.units = self.units.min(self.capacity());
    }

    /// Takes the available tokens, at most `wanted`.
    pub fn take(&mut self, now: Timestamp, wanted: u32) -> u32 {
        self.refill(now);
        self.requested_at = self.requested_at.max(now);
        let tokens = (self.units / UNITS_PER_PART_TOKEN).min(u64::from(wanted));
        self.units -= tokens * UNITS_PER_PART_TOKEN;
        tokens as u32
    }

    /// Time until a token is available, in milliseconds, as of the last `take`.
    pub fn wait_ms(&self) -> u64 {
        let missing = UNITS_PER_PART_TOKEN.saturating_sub(self.units);
        missing.div_ceil(self.limit.per_1000_seconds.max(1))
    }

    /// Whether a new bucket would be as full and all gateways have had time to get the limit.
    pub fn is_evictable(&mut self, now: Timestamp) -> bool {
        self.refill(now);
        self.units == self.capacity() && now.millis_since(self.requested_at) >= IDLE_EVICTION_MS
    }
}
