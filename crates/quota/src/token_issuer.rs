//! Token issuer: grants tokens of the leased slots while the leases are valid.
//!
//! Invariant: a lease is counted from before it was requested, on a clock that includes suspension
//! of the machine, so that it expires here before the leader may assign the slot to another issuer.

use std::collections::HashMap;

use yokefall_core::Timestamp;
use yokefall_types::TenantName;

use crate::bounds::QuotaBounds;
use crate::bucket::Bucket;
use crate::message::{SlotLease, TokenGrant, TokenRequest};
use crate::slot::SlotId;

/// Duration of a slot lease. It exceeds the time for which the job stores have no leader after its
/// loss (3.2 s with 300 machines) plus the renewal interval.
pub const LEASE_MS: u64 = 6_000;
/// Interval between lease renewals.
pub const RENEW_INTERVAL_MS: u64 = 700;

/// A slot that this process holds a lease for.
#[derive(Debug)]
struct LeasedSlot {
    generation: u64,
    /// Time from which its buckets fill.
    since: Timestamp,
    buckets: HashMap<TenantName, Bucket>,
}

/// The slots leased to this process.
#[derive(Debug)]
pub struct TokenIssuer {
    bounds: QuotaBounds,
    slots: HashMap<SlotId, LeasedSlot>,
    leased_until: Timestamp,
    /// Whether all slots were released for good: renewal responses in transit lease none.
    is_released: bool,
}

impl TokenIssuer {
    /// Creates an issuer without slots.
    pub fn new(bounds: QuotaBounds) -> Self {
        Self { bounds, slots: HashMap::new(), leased_until: Timestamp(0), is_released: false }
    }

    /// Applies the response to a renewal; returns whether the set of held slots changed.
    pub fn apply_leases(
        &mut self,
        now: Timestamp,
        requested_at: Timestamp,
        leases: &[SlotLease],
    ) -> bool {
        if self.is_released {
            return false;
        }
        let before = self.slots.len();
        let is_leased = |slot: &SlotId, held: &LeasedSlot| {
            leases.iter().any(|lease| lease.slot == *slot && lease.generation == held.generation)
        };
        self.slots.retain(|slot, held| is_leased(slot, held));
        let mut changed = self.slots.len() != before;
        for lease in leases {
            self.slots.entry(lease.slot).or_insert_with(|| {
                changed = true;
                // The previous issuer may have granted all tokens, so the slot starts empty.
                LeasedSlot { generation: lease.generation, since: now, buckets: HashMap::new() }
            });
        }
        self.leased_until = requested_at.plus_millis(LEASE_MS);
        self.evict_idle_buckets(now);
        changed
    }

    /// Releases all slots for good.
    pub fn release(&mut self) {
        self.is_released = true;
        self.slots.clear();
    }

    /// Whether all slots were released for good: renewal responses in transit lease none.
    pub fn is_released(&self) -> bool {
        self.is_released
    }

    /// Number of slots held now.
    pub fn held_slots(&self, now: Timestamp) -> usize {
        if now < self.leased_until {
            self.slots.len()
        } else {
            0
        }
    }

    /// Grants tokens.
    pub fn take(&mut self, now: Timestamp, token_request: &TokenRequest) -> TokenGrant {
        if now >= self.leased_until {
            return TokenGrant::NotHeld;
        }
        let slot = SlotId::of(&token_request.tenant, token_request.part);
        let Some(held) = self.slots.get_mut(&slot) else { return TokenGrant::NotHeld };
        let extra = self.bounds.extra_tokens();
        let since = held.since;
        let bucket = held.buckets.entry(token_request.tenant.clone()).or_insert_with(|| {
            Bucket::new(since, token_request.limit, token_request.version, extra)
        });
        bucket.set_limit(now, token_request.limit, token_request.version);
        let tokens = bucket.take(now, token_request.tokens);
        TokenGrant::Granted { tokens, wait_ms: bucket.wait_ms() }
    }

    /// Evicts buckets that a new bucket would be equal to.
    fn evict_idle_buckets(&mut self, now: Timestamp) {
        for held in self.slots.values_mut() {
            held.buckets.retain(|_, bucket| !bucket.is_evictable(now));
        }
    }
}
