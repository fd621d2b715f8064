//! Which job store is the accountant of which slot. The assignment is part of the replicated log; the
//! leader renews the leases of those who are named in it, and names another one only when the lease of
//! the one before has certainly ended.

use std::collections::{BTreeMap, HashMap};

use borsh::{BorshDeserialize, BorshSerialize};
use yokefall_core::Timestamp;
use yokefall_types::rendezvous_score;

use crate::message::SlotLease;
use crate::slot::SlotId;
use crate::token_issuer::LEASE_MS;

/// Time beyond the length of a lease after which it has ended, whatever the rates of two clocks.
const LEASE_MARGIN_MS: u64 = 250;
/// Time after which a new leader assigns slots that nobody has had: job stores that start together
/// know each other by then.
const SETTLE_MS: u64 = 2_500;

/// The accountant of a slot.
#[derive(Clone, Debug, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub struct Holder {
    /// Name of the job store.
    pub name: String,
    /// Number of the assignment that gave it the slot.
    pub generation: u64,
}

/// The accountants of all slots, as the log has them.
#[derive(Clone, Debug, Default, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub struct Assignment {
    /// Rises with each change.
    pub version: u64,
    holders: BTreeMap<SlotId, Holder>,
}

/// A job store that may be an accountant.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Candidate {
    /// Its name.
    pub name: String,
    /// Zone in which it stands.
    pub zone: String,
}

impl Assignment {
    /// Puts accountants in the place of those before.
    pub fn assign(&mut self, changes: Vec<(SlotId, String)>) {
        self.version += 1;
        for (slot, name) in changes {
            self.holders.insert(slot, Holder { name, generation: self.version });
        }
    }

    /// The accountant of a slot.
    pub fn holder(&self, slot: SlotId) -> Option<&Holder> {
        self.holders.get(&slot)
    }

    /// Whether a job store is the accountant of a slot.
    pub fn is_holder(&self, slot: SlotId, name: &str) -> bool {
        self.holder(slot).is_some_and(|holder| holder.name == name)
    }

    /// Slots of one job store.
    pub fn leases_of(&self, name: &str) -> Vec<SlotLease> {
        let held = self.holders.iter().filter(|(_, holder)| holder.name == name);
        held.map(|(slot, holder)| SlotLease { slot: *slot, generation: holder.generation })
            .collect()
    }
}

/// The leader's view of leases. It lives as long as the lead: what leaders before leased has ended
/// `LEASE_MS` after their lead did, and so after this one began.
#[derive(Debug)]
pub struct LeaseManager {
    leads_since: Timestamp,
    /// Last renewal of each job store; none for one that gave its slots back.
    renewed: HashMap<String, Option<Timestamp>>,
    /// Changes that are on their way into the log.
    pending: BTreeMap<SlotId, String>,
}

impl LeaseManager {
    /// The overseer of a lead that begins now.
    pub fn new(now: Timestamp) -> Self {
        Self { leads_since: now, renewed: HashMap::new(), pending: BTreeMap::new() }
    }

    /// Renews the leases of a job store. Invariant: a slot that is on its way to another accountant is
    /// not leased to the one before any more.
    pub fn renew(&mut self, now: Timestamp, assignment: &Assignment, name: &str) -> Vec<SlotLease> {
        self.renewed.insert(name.to_owned(), Some(now));
        let mut leases = assignment.leases_of(name);
        leases.retain(|lease| self.pending.get(&lease.slot).is_none_or(|next| next == name));
        leases
    }

    /// A job store has given its slots back.
    pub fn mark_released(&mut self, name: &str) {
        self.renewed.insert(name.to_owned(), None);
    }

    /// Whether leases of a job store may still hold.
    fn may_hold(&self, now: Timestamp, name: &str) -> bool {
        let last = match self.renewed.get(name) {
            Some(None) => return false,
            Some(Some(at)) => *at,
            None => self.leads_since,
        };
        now < last.plus_millis(LEASE_MS + LEASE_MARGIN_MS)
    }

    /// Changes that are due. `candidates` are the job stores that answer, `me` is the leader, which
    /// takes slots only where there are too few others: it has work enough.
    pub fn plan(
        &mut self,
        now: Timestamp,
        assignment: &Assignment,
        candidates: &[Candidate],
        me: &str,
    ) -> Vec<(SlotId, String)> {
        if candidates.is_empty() || now < self.leads_since.plus_millis(SETTLE_MS) {
            return Vec::new();
        }
        self.pending.retain(|slot, next| {
            assignment.holder(*slot).is_none_or(|holder| holder.name != *next)
        });
        let mut planned = assignment.clone();
        let mut changes = Vec::new();
        for slot in SlotId::all() {
            let held_by = assignment.holder(slot).map(|holder| holder.name.as_str());
            let is_held = held_by.is_some_and(|name| self.may_hold(now, name));
            if is_held || self.pending.contains_key(&slot) {
                continue;
            }
            let Some(chosen) = self.choose(slot, &planned, candidates, me) else { continue };
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

    /// The best candidate for a slot: not the accountant of another part of the same limits, in a zone
    /// of its own, not the leader, and then by rendezvous hash.
    fn choose<'a>(
        &self,
        slot: SlotId,
        planned: &Assignment,
        candidates: &'a [Candidate],
        me: &str,
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
        let released = |name: &str| matches!(self.renewed.get(name), Some(None));
        let rank = |candidate: &&Candidate| {
            let name = candidate.name.as_str();
            let is_apart = !others.contains(&name);
            let has_zone = !zones.contains(&candidate.zone.as_str());
            (!released(name), is_apart, name != me, has_zone, score(name))
        };
        candidates.iter().max_by_key(rank).map(|candidate| candidate.name.as_str())
    }
}
