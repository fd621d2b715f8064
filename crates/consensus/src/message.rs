//! Members, and what they say to each other.

use std::fmt;

use borsh::{BorshDeserialize, BorshSerialize};

use crate::log::{Entry, Index, Snapshot, Term};
use crate::node::Millis;

/// A member: a machine's name and the identity of the disk that it votes from.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, BorshSerialize, BorshDeserialize)]
pub struct MemberId {
    /// Name of the machine's process.
    pub name: String,
    /// Drawn when the disk was empty; a lost disk has another one.
    pub incarnation: u64,
}

impl fmt::Display for MemberId {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}/{:x}", self.name, self.incarnation)
    }
}

/// Who belongs to the group.
#[derive(Clone, Debug, Default, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub struct Members {
    /// Members that vote and count for a quorum.
    pub voters: Vec<MemberId>,
    /// Members that only receive the log.
    pub learners: Vec<MemberId>,
    /// Grows with each change of the voters. Committed members of one epoch have the same voters.
    pub epoch: u64,
}

impl Members {
    /// Whether a member belongs to the group.
    pub fn contains(&self, member: &MemberId) -> bool {
        self.voters.contains(member) || self.learners.contains(member)
    }

    /// Voters that must agree.
    pub fn quorum(&self) -> usize {
        self.voters.len() / 2 + 1
    }

    /// Every member.
    pub fn all(&self) -> impl Iterator<Item = &MemberId> {
        self.voters.iter().chain(&self.learners)
    }
}

/// A message between two members.
#[derive(Clone, Debug, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub struct Message {
    /// The sender.
    pub from: MemberId,
    /// The receiver; another disk at the same address must not take it.
    pub to: MemberId,
    /// Term of the sender, or the one that a pre-vote asks about.
    pub term: Term,
    /// Content.
    pub body: Body,
}

/// Content of a message.
#[derive(Clone, Debug, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub enum Body {
    /// Asks for a vote, or whether one would be given.
    Vote {
        /// Whether the term has not begun: nothing is recorded.
        trial: bool,
        /// Whether the leader itself asked for this election.
        handed_over: bool,
        /// Last entry of the candidate.
        last_index: Index,
        /// Its term.
        last_term: Term,
    },
    /// Answers a vote.
    VoteReply {
        /// Whether the question was a trial.
        trial: bool,
        /// Whether the vote is given.
        granted: bool,
    },
    /// Entries, or none as a heartbeat.
    Append {
        /// Entry before the first.
        previous_index: Index,
        /// Its term.
        previous_term: Term,
        /// The entries.
        entries: Vec<Entry>,
        /// Entry up to which the leader knows a quorum to agree.
        commit: Index,
        /// Clock of the leader, echoed.
        sent_at: Millis,
    },
    /// Answers an append or a snapshot.
    AppendReply {
        /// Whether the entry before matched and all is on disk.
        accepted: bool,
        /// Last entry that matches; after a refusal, where to try again.
        matched: Index,
        /// After a refusal, the entry that did not match: an answer to a message that the leader has
        /// given up tells it nothing.
        refused: Index,
        /// Position of the newest members that the sender's disk knows to be committed.
        committed_members_index: Index,
        /// Clock of the leader as it was sent.
        sent_at: Millis,
    },
    /// The state up to an entry that the leader's log no longer has.
    Install {
        /// The state.
        snapshot: Snapshot,
        /// Clock of the leader, echoed.
        sent_at: Millis,
    },
    /// Asks the receiver to stand for election at once.
    TransferLeadership,
}
