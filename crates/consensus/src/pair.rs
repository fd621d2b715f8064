//! Groups of exactly two voters.
//!
//! Neither member has a quorum alone, yet both hold everything that is committed, so that either may
//! continue alone if the other one never does. Claims that are recorded outside of the group decide:
//! each epoch of the membership can be claimed once, by one member.
//!
//! A claim can't be taken back. One that was made and not used, since its answer was lost or the
//! other member was heard again, would bind the pair to the claimant's disk for good. The pair
//! therefore moves to a new epoch, with the same voters, wherever such a claim may exist: when a
//! leader takes over, and after a leader has made a claim that it did not use. A member leaves the
//! term of its leader before it claims, so that it follows none before that has happened.
//!
//! A pair that remains after the removal of a third voter may not be committed when its leader is
//! lost. The other member can't continue alone then, since the voters before may elect a leader. With
//! the claim it stands for election among those voters, and proposes them again: nothing follows the
//! removal without the claim, and any quorum of the pair shares a member with any of theirs.
//!
//! Invariant: a member that continues alone holds the claims on all epochs from the last one that it
//! knows to be committed to its newest one. A committed epoch is on both disks, so that the epochs
//! that the two members need always have one in common.

use std::ops::RangeInclusive;

use crate::log::{Entry, Index, Payload};
use crate::membership::ChangeEvent;
use crate::message::Members;
use crate::node::{Consensus, Millis, Role};

/// A group of exactly two voters, as known to one of them.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Pair {
    /// Epoch of the newest membership that is known to be committed.
    pub committed_epoch: u64,
    /// Epoch of the newest membership, with the same voters.
    pub newest_epoch: u64,
}

impl Pair {
    /// Epochs whose claims a member needs to continue alone.
    pub fn epochs(&self) -> RangeInclusive<u64> {
        self.committed_epoch..=self.newest_epoch
    }
}

/// Permission to withdraw the removal of a voter by an election among the voters before.
#[derive(Clone, Debug)]
pub(crate) struct Withdrawal {
    /// Index of the removal.
    members_index: Index,
    previous: Members,
}

impl Consensus {
    /// The pair that this member belongs to if the group has exactly two voters, and had the same
    /// ones since its last membership that is known to be committed.
    pub fn pair(&self) -> Option<Pair> {
        let newest = self.members();
        if newest.voters.len() != 2 || !newest.voters.contains(&self.me) {
            return None;
        }
        // A membership that was never committed is no pair; its voters may have a third one.
        let committed = self.members_at(self.committed_members_index);
        let mut since = self.memberships_after(self.committed_members_index);
        let is_same = committed.voters == newest.voters
            && since.all(|members| members.voters == committed.voters);
        is_same.then_some(Pair { committed_epoch: committed.epoch, newest_epoch: newest.epoch })
    }

    fn memberships_after(&self, index: Index) -> impl Iterator<Item = &Members> {
        let indices = index.max(self.log.snapshot().index) + 1..=self.log.last_index();
        indices.filter_map(|index| match self.log.get(index) {
            Some(Entry { payload: Payload::Members(members), .. }) => Some(members),
            _ => None,
        })
    }

    /// The pair that remains after a removal that this member does not know to be committed.
    pub fn uncommitted_pair(&self) -> Option<Pair> {
        let newest = self.members();
        let committed = self.members_at(self.committed_members_index);
        let is_removal = newest.voters.len() == 2
            && committed.voters.len() == 3
            && newest.voters.contains(&self.me)
            && newest.voters.iter().all(|voter| committed.voters.contains(voter));
        let voter_changes = self
            .memberships_after(self.committed_members_index)
            .filter(|members| members.voters != committed.voters);
        let epoch = newest.epoch;
        (is_removal && voter_changes.count() == 1)
            .then_some(Pair { committed_epoch: epoch, newest_epoch: epoch })
    }

    /// Withdraws the removal that led to a pair; this member stands for election among the voters
    /// before. The caller must hold the claim on the pair.
    pub fn withdraw_uncommitted_pair(&mut self, pair: Pair) -> bool {
        if self.uncommitted_pair() != Some(pair) {
            return false;
        }
        let (members_index, _) = self.log.members();
        let previous = self.members_at(self.committed_members_index);
        self.withdrawal = Some(Withdrawal { members_index, previous });
        true
    }

    /// The voters before a removal that this member may withdraw.
    fn withdrawn_members(&self) -> Option<&Members> {
        let Withdrawal { members_index, previous } = self.withdrawal.as_ref()?;
        let (newest_index, _) = self.log.members();
        let is_valid =
            newest_index == *members_index && self.committed_members_index < newest_index;
        is_valid.then_some(previous)
    }

    /// Whether this member may withdraw a removal by its election.
    pub fn is_withdrawing(&self) -> bool {
        self.withdrawn_members().is_some()
    }

    /// The members that elect this member.
    pub(crate) fn electorate(&self) -> &Members {
        self.withdrawn_members().unwrap_or_else(|| self.members())
    }

    /// The first entry of a new leader.
    pub(crate) fn first_payload(&mut self) -> Payload {
        let Some(previous) = self.withdrawn_members().cloned() else { return Payload::Empty };
        self.withdrawal = None;
        let epoch = self.members().epoch + 1;
        let members = Members { epoch, ..previous };
        self.effects.changes.push(ChangeEvent::Withdrawn(members.clone()));
        Payload::Members(members)
    }

    /// Leaves the term in which this member last was in contact with the other one, so that it
    /// follows a leader again only in a later term. Returns whether it has, on disk.
    pub fn leave_term(&mut self, now: Millis) -> bool {
        if self.term > self.quorum_contact_term {
            return self.term_is_durable();
        }
        self.campaign(now, Role::Candidate, false);
        false
    }

    /// Records that this member is about to claim the pair to change its voters.
    pub fn record_claim_attempt(&mut self) {
        self.pair_renewal_due = true;
    }

    /// Whether the leader should move the pair to a new epoch.
    pub fn should_renew_pair(&self) -> bool {
        self.pair_renewal_due
            && self.members().voters.len() == 2
            && self.requested_change.is_none()
            && self.can_change_members()
    }

    /// Moves the pair to a new epoch, on which nobody has a claim.
    pub fn renew_pair(&mut self, now: Millis) -> bool {
        if !self.should_renew_pair() {
            return false;
        }
        let members = self.members().clone();
        let epoch = members.epoch + 1;
        self.propose_epoch(now, Members { epoch, ..members });
        true
    }

    /// Continues as the sole voter after the loss of the other member. The caller must hold the
    /// claim on the pair, without which the membership of a pair must not be changed.
    pub fn become_sole_voter(&mut self, now: Millis, pair: Pair) -> bool {
        if self.pair() != Some(pair) {
            return false;
        }
        self.become_follower(now, self.term + 1);
        self.role = Role::Candidate;
        self.voted_for = Some(self.me.clone());
        self.save_state();
        self.pending_takeover = Some(pair);
        true
    }

    pub(crate) fn lead_as_sole_voter(&mut self, now: Millis, pair: Pair) {
        if self.pair() != Some(pair) {
            return;
        }
        let learners = self.members().learners.clone();
        let epoch = pair.newest_epoch + 1;
        self.become_leader(now);
        let voters = vec![self.me.clone()];
        let entry = Entry {
            index: self.log.last_index() + 1,
            term: self.term,
            payload: Payload::Members(Members { voters, learners, epoch }),
        };
        self.append_own(vec![entry]);
        self.follow_members(now);
        self.heartbeat(now);
    }
}
