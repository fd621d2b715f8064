//! The accountant of slots: grants tokens while its leases hold.
//!
//! Invariant: a lease is counted from before it was asked for, on a clock that stands still for no
//! one, so that it ends here before the leader may give the slot to another.

use std::collections::HashMap;

use yokefall_core::Timestamp;
use yokefall_types::TenantName;

use crate::bounds::QuotaBounds;
use crate::bucket::Bucket;
use crate::message::{SlotLease, TokenGrant, TokenRequest};
use crate::slot::SlotId;

/// Time for which slots are leased. Longer than the job stores are without a leader after its loss
/// (3.2 s on the sweep at 300 machines) and the interval between renewals together.
pub const LEASE_MS: u64 = 6_000;
/// Interval at which leases are renewed.
pub const RENEW_INTERVAL_MS: u64 = 700;

/// A slot that is leased here.
#[derive(Debug)]
struct LeasedSlot {
    generation: u64,
    /// Since when its buckets fill.
    since: Timestamp,
    buckets: HashMap<TenantName, Bucket>,
}

/// Slots of this process.
#[derive(Debug)]
pub struct TokenIssuer {
    bounds: QuotaBounds,
    slots: HashMap<SlotId, LeasedSlot>,
    leased_until: Timestamp,
    /// Whether all slots were given back for good: an answer that is on its way leases none.
    is_released: bool,
}

impl TokenIssuer {
    /// An accountant without slots.
    pub fn new(bounds: QuotaBounds) -> Self {
        Self { bounds, slots: HashMap::new(), leased_until: Timestamp(0), is_released: false }
    }

    /// The leader answered a request for renewal that was sent at `asked_at`. Returns whether other
    /// slots are held than before.
    pub fn apply_leases(
        &mut self,
        now: Timestamp,
        asked_at: Timestamp,
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
                // Its last accountant may have granted what there was: it begins empty.
                LeasedSlot { generation: lease.generation, since: now, buckets: HashMap::new() }
            });
        }
        self.leased_until = asked_at.plus_millis(LEASE_MS);
        self.forget_needless(now);
        changed
    }

    /// Gives all slots back for good.
    pub fn release(&mut self) {
        self.is_released = true;
        self.slots.clear();
    }

    /// Whether all slots were given back for good.
    pub fn is_released(&self) -> bool {
        self.is_released
    }

    /// Slots held now.
    pub fn held_slots(&self, now: Timestamp) -> usize {
        if now < self.leased_until {
            self.slots.len()
        } else {
            0
        }
    }

    /// Grants tokens.
    pub fn take(&mut self, now: Timestamp, ask: &TokenRequest) -> TokenGrant {
        if now >= self.leased_until {
            return TokenGrant::NotHeld;
        }
        let slot = SlotId::of(&ask.tenant, ask.part);
        let Some(held) = self.slots.get_mut(&slot) else { return TokenGrant::NotHeld };
        let extra = self.bounds.extra_tokens();
        let since = held.since;
        let bucket = held
            .buckets
            .entry(ask.tenant.clone())
            .or_insert_with(|| Bucket::new(since, ask.limit, ask.version, extra));
        bucket.set_limit(now, ask.limit, ask.version);
        let tokens = bucket.take(now, ask.tokens);
        TokenGrant::Granted { tokens, wait_ms: bucket.wait_ms() }
    }

    /// Drops buckets that would be the same if they were made anew.
    fn forget_needless(&mut self, now: Timestamp) {
        for held in self.slots.values_mut() {
            held.buckets.retain(|_, bucket| !bucket.is_needless(now));
        }
    }
}
