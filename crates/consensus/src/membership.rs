//! Changes of the membership: one voter at a time, through the log.
//!
//! From its proposal on, a change needs a quorum of the new voters. It is therefore proposed only
//! once a quorum of them has answered a message that was sent after the change was requested, and
//! withdrawn by another change if it cannot commit all the same.

use crate::log::Payload;
use crate::message::{MemberId, Members};
use crate::node::{Consensus, Millis, Role};
use crate::replication::Progress;

/// Time for the new voters to prove that they are up, in milliseconds.
const CONFIRMATION_TIMEOUT_MS: Millis = 500;

/// Time after which a proposed change is withdrawn if no quorum of the new voters responds, in
/// milliseconds: before the leader would step down for want of that quorum.
const COMMIT_TIMEOUT_MS: Millis = 500;

/// A change of the membership that made progress, for logs.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ChangeEvent {
    /// The leader proposed these members.
    Proposed(Members),
    /// No quorum of the new voters proved to be up; nothing was proposed.
    Unconfirmed(Members),
    /// No quorum of the new voters responded after the proposal; the leader proposed the previous
    /// members again.
    Withdrawn(Members),
}

/// A change of voters that waits for the new voters to prove that they are up.
#[derive(Clone, Debug)]
pub(crate) struct RequestedChange {
    members: Members,
    requested_at: Millis,
}

/// A change of voters that the leader proposed in its term and that is not committed yet.
#[derive(Clone, Debug)]
pub(crate) struct ProposedChange {
    /// The members before, which are committed.
    previous: Members,
    proposed_at: Millis,
}

/// Difference between two sets of voters.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum VoterChange {
    /// The same voters.
    None,
    /// One voter added or removed.
    One,
    /// A voter is replaced by a member of the same name with another disk.
    Successor,
    /// Any other difference.
    Many,
}

impl Consensus {
    /// Whether the membership may change now: one change at a time, and none before an entry of the
    /// leader's term is committed, or two majorities could have no common member.
    pub fn can_change_members(&self) -> bool {
        let (index, _) = self.log.members();
        self.role == Role::Leader
            && !self.transfers.has_started()
            && index <= self.commit
            && self.commit >= self.term_start
    }

    /// Requests a membership that differs from the current one in at most one voter, or that
    /// replaces a voter with a lost disk by the member that now has its name.
    /// The latter is as safe: the lost disk is in no further quorum, and with n voters, quorums of
    /// the remaining old and of the new voters, each of more than n / 2 members, share a member.
    ///
    /// Returns whether the change is allowed. A change of voters is proposed once it is confirmed.
    pub fn change_members(&mut self, now: Millis, members: Members) -> bool {
        if !self.may_change_to(&members) {
            return false;
        }
        if self.voter_change(&members) == VoterChange::None {
            self.propose_members(now, members);
            return true;
        }
        let is_same = |change: &RequestedChange| change.members == members;
        if self.requested_change.as_ref().is_some_and(is_same) {
            // Answers to the first request may still be under way.
            return true;
        }
        self.requested_change = Some(RequestedChange { members, requested_at: now });
        self.heartbeat(now);
        self.continue_change(now);
        true
    }

    fn may_change_to(&self, members: &Members) -> bool {
        let is_allowed = match self.voter_change(members) {
            VoterChange::None | VoterChange::One | VoterChange::Successor => true,
            VoterChange::Many => false,
        };
        self.can_change_members() && is_allowed && !members.voters.is_empty()
    }

    fn propose_members(&mut self, now: Millis, mut members: Members) {
        let changes_voters = self.voter_change(&members) != VoterChange::None;
        members.epoch = self.members().epoch + u64::from(changes_voters);
        if changes_voters {
            let previous = self.members().clone();
            self.proposed_change = Some(ProposedChange { previous, proposed_at: now });
        }
        self.propose_epoch(now, members);
    }

    /// Proposes members whose epoch is set.
    pub(crate) fn propose_epoch(&mut self, now: Millis, members: Members) {
        if members.epoch != self.members().epoch {
            self.pair_renewal_due = false;
        }
        self.effects.changes.push(ChangeEvent::Proposed(members.clone()));
        self.append_members(now, members);
    }

    fn append_members(&mut self, now: Millis, members: Members) {
        self.append_as_leader(now, Payload::Members(members));
        self.follow_members(now);
        self.replicate(now);
        self.advance_commit(now);
    }

    /// Proposes the previous members again if a quorum of them responds but none of the new ones.
    ///
    /// Safe although the change is not committed: the previous members are committed, this leader
    /// has committed an entry of its term with them, and any quorum of theirs shares a member with
    /// any quorum of the change. No third set of voters is possible before this entry is committed.
    pub(crate) fn withdraw_stalled_change(&mut self, now: Millis) {
        let Some(ProposedChange { previous, proposed_at }) = &self.proposed_change else { return };
        let is_stalled = now >= proposed_at + COMMIT_TIMEOUT_MS
            && !self.quorum_responds(now, self.members())
            && self.quorum_responds(now, previous);
        if !is_stalled {
            return;
        }
        let epoch = self.members().epoch + 1;
        let members = Members { epoch, ..previous.clone() };
        self.proposed_change = None;
        self.effects.changes.push(ChangeEvent::Withdrawn(members.clone()));
        self.append_members(now, members);
    }

    /// Ends contact with members that a committed change has removed.
    pub(crate) fn complete_change(&mut self, now: Millis) {
        if self.proposed_change.take().is_some() {
            self.follow_members(now);
        }
    }

    /// Proposes the requested change if a quorum of the new voters has proved to be up.
    pub(crate) fn continue_change(&mut self, now: Millis) {
        let Some(RequestedChange { members, requested_at }) = &self.requested_change else {
            return;
        };
        if !self.quorum_has_answered_since(members, *requested_at) {
            return;
        }
        let members = members.clone();
        self.requested_change = None;
        if self.may_change_to(&members) {
            self.propose_members(now, members);
        }
    }

    /// Withdraws the requested change if it was not confirmed in time.
    pub(crate) fn expire_requested_change(&mut self, now: Millis) {
        let is_expired =
            |change: &mut RequestedChange| now >= change.requested_at + CONFIRMATION_TIMEOUT_MS;
        if let Some(RequestedChange { members, .. }) = self.requested_change.take_if(is_expired) {
            self.effects.changes.push(ChangeEvent::Unconfirmed(members));
        }
    }

    /// Whether a quorum has answered messages sent at `since` or later. A voter to which nothing is
    /// replicated yet cannot answer and is taken to be up.
    fn quorum_has_answered_since(&self, members: &Members, since: Millis) -> bool {
        let has_answered = |voter: &&MemberId| match self.progress.get(voter) {
            Some(progress) => progress.acknowledged_at.is_some_and(|at| at >= since),
            None => true,
        };
        members.voters.iter().filter(has_answered).count() >= members.quorum()
    }

    /// Whether a quorum of these members responds, so that a change to them can commit.
    pub fn quorum_responds(&self, now: Millis, members: &Members) -> bool {
        let responsive = members.voters.iter().filter(|voter| self.is_responsive(now, voter));
        responsive.count() >= members.quorum()
    }

    /// Compares the voters of a new membership with the current ones.
    pub fn voter_change(&self, members: &Members) -> VoterChange {
        let present = &self.members().voters;
        let added: Vec<&MemberId> =
            members.voters.iter().filter(|voter| !present.contains(voter)).collect();
        let removed: Vec<&MemberId> =
            present.iter().filter(|voter| !members.voters.contains(voter)).collect();
        match (added.as_slice(), removed.as_slice()) {
            ([], []) => VoterChange::None,
            ([_], []) | ([], [_]) => VoterChange::One,
            ([new], [old]) if new.name == old.name => VoterChange::Successor,
            _ => VoterChange::Many,
        }
    }

    pub(crate) fn follow_members(&mut self, now: Millis) {
        let members = self.members().clone();
        let next = self.log.last_index() + 1;
        // Voters that an uncommitted change removes are needed if it is withdrawn: they get
        // heartbeats, and no entries.
        let previous = self.proposed_change.as_ref().map(|change| &change.previous);
        self.progress.retain(|member, _| {
            members.contains(member) || previous.is_some_and(|previous| previous.contains(member))
        });
        self.transfers.retain_members(&members);
        for member in members.all().filter(|member| **member != self.me) {
            self.progress.entry(member.clone()).or_insert_with(|| Progress::new(now, next));
        }
    }

    /// Whether every voter has recorded on disk that the current membership is committed. Until
    /// then, a voter that is left alone could not tell whether it ever was.
    pub fn members_durably_committed(&self) -> bool {
        let (members_index, members) = self.log.members();
        let has_recorded = |voter: &MemberId| match self.progress.get(voter) {
            Some(progress) => progress.committed_members_index >= members_index,
            None => *voter == self.me && self.durable_members_index >= members_index,
        };
        self.role == Role::Leader && members.voters.iter().all(has_recorded)
    }
}
