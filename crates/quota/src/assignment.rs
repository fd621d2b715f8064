//! Assignment of slots to job stores. It is in the replicated log; the leader renews the leases,
//! and reassigns a slot only when the previous lease has certainly expired.

use std::collections::{BTreeMap, HashMap};

use borsh::{BorshDeserialize, BorshSerialize};
use yokefall_core::Timestamp;
use yokefall_types::rendezvous_score;

use crate::message::SlotLease;
use crate::slot::SlotId;
use crate::token_issuer::LEASE_MS;

/// Time added to a lease before it counts as expired, which covers clocks of different rates.
const LEASE_MARGIN_MS: u64 = 250;
/// Time for which a new leader assigns no slots, while job stores discover each other.
const STARTUP_GRACE_MS: u64 = 2_500;

/// The token issuer of a slot.
#[derive(Clone, Debug, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub struct Holder {
    /// Name of the job store.
    pub name: String,
    /// Version of the assignment that gave it the slot.
    pub generation: u64,
}

/// The token issuers of all slots, as recorded in the log.
#[derive(Clone, Debug, Default, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub struct Assignment {
    /// Grows with each change.
    pub version: u64,
    holders: BTreeMap<SlotId, Holder>,
}

/// A job store that slots may be assigned to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Candidate {
    /// Its name.
    pub name: String,
    /// Zone of the job store.
    pub zone: String,
}

impl Assignment {
    /// Assigns slots to new issuers.
    pub fn assign(&mut self, changes: Vec<(SlotId, String)>) {
        self.version += 1;
        for (slot, name) in changes {
            self.holders.insert(slot, Holder { name, generation: self.version });
        }
    }

    /// The token issuer of a slot.
    pub fn holder(&self, slot: SlotId) -> Option<&Holder> {
        self.holders.get(&slot)
    }

    /// Whether a job store is the token issuer of a slot.
    pub fn is_holder(&self, slot: SlotId, name: &str) -> bool {
        self.holder(slot).is_some_and(|holder| holder.name == name)
    }

    /// Leases of one job store.
    pub fn leases_of(&self, name: &str) -> Vec<SlotLease> {
        let held = self.holders.iter().filter(|(_, holder)| holder.name == name);
        held.map(|(slot, holder)| SlotLease { slot: *slot, generation: holder.generation })
            .collect()
    }
}

/// The leader's view of leases, kept for one term only: leases of earlier leaders expire `LEASE_MS`
/// after the end of their term, which was before this term began.
#[derive(Debug)]
pub struct LeaseManager {
    leader_since: Timestamp,
    /// Last renewal of each job store; `None` for one that released its slots.
    last_renewals: HashMap<String, Option<Timestamp>>,
    /// Changes that are proposed but not yet applied.
    pending: BTreeMap<SlotId, String>,
}

impl LeaseManager {
    /// Creates the lease manager of a leader whose term begins now.
    pub fn new(now: Timestamp) -> Self {
        Self { leader_since: now, last_renewals: HashMap::new(), pending: BTreeMap::new() }
    }

    /// Renews a job store's leases. Invariant: a slot with a pending move is not leased again.
    pub fn renew(&mut self, now: Timestamp, assignment: &Assignment, name: &str) -> Vec<SlotLease> {
        self.last_renewals.insert(name.to_owned(), Some(now));
        let mut leases = assignment.leases_of(name);
        leases.retain(|lease| self.pending.get(&lease.slot).is_none_or(|next| next == name));
        leases
    }

    /// Records that a job store released its slots.
    pub fn mark_released(&mut self, name: &str) {
        self.last_renewals.insert(name.to_owned(), None);
    }

    fn may_hold_lease(&self, now: Timestamp, name: &str) -> bool {
        let last = match self.last_renewals.get(name) {
            Some(None) => return false,
            Some(Some(at)) => *at,
            None => self.leader_since,
        };
        now < last.plus_millis(LEASE_MS + LEASE_MARGIN_MS)
    }

    /// Changes that are due. `candidates` are the reachable job stores; `leader` is this process,
    /// which gets slots only if there are too few others, since it has the load of leading.
    pub fn plan(
        &mut self,
        now: Timestamp,
        assignment: &Assignment,
        candidates: &[Candidate],
        leader: &str,
    ) -> Vec<(SlotId, String)> {
        if candidates.is_empty() || now < self.leader_since.plus_millis(STARTUP_GRACE_MS) {
            return Vec::new();
        }
        self.pending.retain(|slot, next| {
            assignment.holder(*slot).is_none_or(|holder| holder.name != *next)
        });
        let mut planned = assignment.clone();
        let mut changes = Vec::new();
        for slot in SlotId::all() {
            let held_by = assignment.holder(slot).map(|holder| holder.name.as_str());
            let is_held = held_by.is_some_and(|name| self.may_hold_lease(now, name));
            if is_held || self.pending.contains_key(&slot) {
                continue;
            }
            let Some(chosen) = self.choose(slot, &planned, candidates, leader) else { continue };
            if held_by == Some(chosen) {
                continue;
            }
            let change = (slot, chosen.to_owned());
            planned.assign(vec![change.clone()]);
            self.pending.insert(slot, change.1.clone());
            changes.push(change);
        }
        changes
    }

    /// The best candidate for a slot: one that holds no other part of the same limits, in a zone
    /// that holds none either, not the leader, and then by rendezvous hash.
    fn choose<'a>(
        &self,
        slot: SlotId,
        planned: &Assignment,
        candidates: &'a [Candidate],
        leader: &str,
    ) -> Option<&'a str> {
        let others = SlotId::all().filter(|other| other.shard == slot.shard && *other != slot);
        let others: Vec<&str> =
            others.filter_map(|other| planned.holder(other)).map(|h| h.name.as_str()).collect();
        let zone_of = |name: &str| {
            let found = candidates.iter().find(|candidate| candidate.name == name);
            found.map(|candidate| candidate.zone.as_str())
        };
        let zones: Vec<&str> = others.iter().filter_map(|name| zone_of(name)).collect();
        let score = rendezvous_score(&slot.key());
        let has_released = |name: &str| matches!(self.last_renewals.get(name), Some(None));
        let rank = |candidate: &&Candidate| {
            let name = candidate.name.as_str();
            let holds_no_sibling = !others.contains(&name);
            let zone_is_unused = !zones.contains(&candidate.zone.as_str());
            (!has_released(name), holds_no_sibling, name != leader, zone_is_unused, score(name))
        };
        candidates.iter().max_by_key(rank).map(|candidate| candidate.name.as_str())
    }
}
