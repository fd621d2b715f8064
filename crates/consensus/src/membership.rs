//! Changes of the membership: one voter at a time, through the log.

use crate::log::Payload;
use crate::message::{MemberId, Members};
use crate::node::{Consensus, Millis, Role};
use crate::replication::Progress;

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

    /// Proposes a membership that differs from the current one in at most one voter, or that
    /// replaces a voter with a lost disk by the member that now has its name.
    /// The latter is as safe: the lost disk is in no further quorum, and with n voters, quorums of
    /// the remaining old and of the new voters, each of more than n / 2 members, share a member.
    pub fn change_members(&mut self, now: Millis, mut members: Members) -> bool {
        let voter_change = self.voter_change(&members);
        let changes_voters = voter_change != VoterChange::None;
        members.epoch = self.members().epoch + u64::from(changes_voters);
        let allowed = match voter_change {
            VoterChange::None | VoterChange::One | VoterChange::Successor => true,
            VoterChange::Many => false,
        };
        if !self.can_change_members() || !allowed || members.voters.is_empty() {
            return false;
        }
        self.append_as_leader(now, Payload::Members(members));
        self.follow_members(now);
        self.replicate(now);
        self.advance_commit(now);
        true
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
        self.progress.retain(|member, _| members.contains(member));
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
