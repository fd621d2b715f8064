//! Members, and the messages between them.

use std::fmt;

use borsh::{BorshDeserialize, BorshSerialize};

use crate::log::{Entry, Index, Snapshot, Term};
use crate::node::Millis;

/// A member: the name of a machine and the identity of the disk that it votes from.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, BorshSerialize, BorshDeserialize)]
pub struct MemberId {
    /// Name of the machine's process.
    pub name: String,
    /// Random number drawn for an empty disk, so that a replacement of a lost disk has another one.
    pub incarnation: u64,
}

impl fmt::Display for MemberId {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}/{:x}", self.name, self.incarnation)
    }
}

/// The members of the group.
#[derive(Clone, Debug, Default, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub struct Members {
    /// Members that vote and count towards a quorum.
    pub voters: Vec<MemberId>,
    /// Members that only receive the log.
    pub learners: Vec<MemberId>,
    /// Grows with each change of voters; committed memberships of one epoch have the same voters.
    pub epoch: u64,
}

impl Members {
    /// Whether a member belongs to the group.
    pub fn contains(&self, member: &MemberId) -> bool {
        self.voters.contains(member) || self.learners.contains(member)
    }

    /// Number of voters that must agree.
    pub fn quorum(&self) -> usize {
        self.voters.len() / 2 + 1
    }

    /// All members.
    pub fn all(&self) -> impl Iterator<Item = &MemberId> {
        self.voters.iter().chain(&self.learners)
    }
}

/// A message between two members.
#[derive(Clone, Debug, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub struct Message {
    /// The sender.
    pub from: MemberId,
    /// The receiver; a member with another disk at the same address must not accept the message.
    pub to: MemberId,
    /// Term of the sender; in a pre-vote, the term that it asks about.
    pub term: Term,
    /// The payload.
    pub body: Body,
}

/// Content of a message.
#[derive(Clone, Debug, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub enum Body {
    /// Requests a vote, or asks whether one would be given.
    Vote {
        /// Whether this is a pre-vote: the term has not started and nothing is recorded.
        pre_vote: bool,
        /// Whether the leader requested this election, or stands itself after a failed transfer.
        leadership_transfer: bool,
        /// Last entry of the candidate.
        last_index: Index,
        /// Its term.
        last_term: Term,
    },
    /// Response to a vote request.
    VoteReply {
        /// Whether it responds to a pre-vote.
        pre_vote: bool,
        /// Whether the vote is granted.
        granted: bool,
    },
    /// Log entries, or none for a heartbeat.
    Append {
        /// Index of the entry before the first.
        previous_index: Index,
        /// Its term.
        previous_term: Term,
        /// The entries.
        entries: Vec<Entry>,
        /// Index up to which the leader knows entries to be committed.
        commit: Index,
        /// Time on the leader's clock, echoed in the response.
        sent_at: Millis,
    },
    /// Response to an append or a snapshot.
    AppendReply {
        /// Whether the previous entry matched and all entries are on disk.
        accepted: bool,
        /// Index of the last matching entry; in a rejection, where to try again.
        matched: Index,
        /// In a rejection, the index that did not match; the leader ignores outdated ones.
        rejected_index: Index,
        /// Index of the newest membership entry that the sender has recorded on disk as committed.
        committed_members_index: Index,
        /// Time on the leader's clock when it sent the message.
        sent_at: Millis,
    },
    /// The state up to an entry that is no longer in the leader's log.
    Install {
        /// The state.
        snapshot: Snapshot,
        /// Time on the leader's clock, echoed in the response.
        sent_at: Millis,
    },
    /// Asks the receiver to start an election immediately.
    TransferLeadership,
}
