//! One member: its terms, its role, what must be on disk and what was committed. What a follower does with
//! entries is in `follower`, what a leader does in `replication`, votes in `election`.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use bytes::Bytes;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use crate::election::Candidacy;
use crate::log::{Entry, Index, Log, Payload, Snapshot, Term};
use crate::message::{Body, MemberId, Members, Message};
use crate::replication::{Progress, Reply};

/// Milliseconds on the member's own steady clock.
pub type Millis = u64;

/// Least time without a leader after which a member stands for election, in milliseconds.
pub const ELECTION_MIN_MS: Millis = 300;
/// Longest such time.
const ELECTION_MAX_MS: Millis = 550;
/// Interval between a leader's heartbeats, in milliseconds.
pub const HEARTBEAT_MS: Millis = 100;
/// Time after a quorum's answered heartbeat was sent during which no other leader can exist, in
/// milliseconds. Less than `ELECTION_MIN_MS`, within which followers refuse votes: the difference
/// is what clocks may differ in speed over that time.
pub const LEASE_MS: Millis = 240;

/// What must be on disk.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Write {
    /// Term and vote.
    State {
        /// The term.
        term: Term,
        /// Who got the vote of this member in it.
        voted_for: Option<MemberId>,
        /// Position of the newest members that are known to be committed.
        committed_members_index: Index,
    },
    /// Entries; they take the place of any at their positions and after.
    Entries(Vec<Entry>),
    /// A snapshot; it takes the place of the entries up to it, or of everything.
    Snapshot {
        /// The snapshot.
        snapshot: Snapshot,
        /// Whether entries after it stay.
        keep_rest: bool,
    },
}

/// What the shell must do.
#[derive(Debug, Default)]
pub struct Effects {
    /// To be written, in this order, then synced. The shell calls `Consensus::writes_synced` after.
    pub writes: Vec<Write>,
    /// May be sent at once.
    pub messages: Vec<Message>,
    /// May be sent only when everything written so far is synced.
    pub messages_after_sync: Vec<Message>,
    /// A state to put in the place of the state machine's, before `committed`.
    pub install: Option<Snapshot>,
    /// Entries to apply, in order.
    pub committed: Vec<Entry>,
    /// Members that need the whole state. After `committed` is applied the shell calls
    /// `Consensus::install` for each with the state.
    pub snapshot_targets: Vec<MemberId>,
}

/// What a disk held.
#[derive(Clone, Debug, Default)]
pub struct Recovered {
    /// Term.
    pub term: Term,
    /// Vote in it.
    pub voted_for: Option<MemberId>,
    /// Position of the newest members that are known to be committed.
    pub committed_members_index: Index,
    /// Snapshot.
    pub snapshot: Snapshot,
    /// Entries after it.
    pub entries: Vec<Entry>,
}

/// Two voters that are a whole group, by the epoch of the members.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Pair {
    /// The epoch.
    pub epoch: u64,
}

impl Recovered {
    /// Last position that the disk held.
    pub fn last_index(&self) -> Index {
        self.entries.last().map_or(self.snapshot.index, |entry| entry.index)
    }
}

/// What a member does at present.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// Follows a leader, or waits for one.
    Follower,
    /// Asks whether an election could be won.
    Trial,
    /// Stands for election.
    Candidate,
    /// Leads.
    Leader,
}

#[derive(Debug)]
pub(crate) struct Unsynced {
    pub(crate) last_index: Index,
    pub(crate) committed_members_index: Index,
    term: Term,
}

/// A member of the group.
#[derive(Debug)]
pub struct Consensus {
    pub(crate) me: MemberId,
    pub(crate) term: Term,
    pub(crate) voted_for: Option<MemberId>,
    /// Position of the newest members that are known to be committed. It is kept on disk: a member
    /// that returns alone must know whether the members that it sees were ever in force.
    pub(crate) committed_members_index: Index,
    pub(crate) role: Role,
    pub(crate) leader: Option<MemberId>,
    pub(crate) log: Log,
    pub(crate) commit: Index,
    pub(crate) applied: Index,
    /// Last entry that is on this member's disk.
    pub(crate) durable: Index,
    /// What each batch of writes that is not synced yet brings to the disk.
    pub(crate) unsynced: VecDeque<Unsynced>,
    /// `committed_members_index` as far as it is on this member's disk.
    pub(crate) durable_settled: Index,
    pub(crate) votes: BTreeSet<MemberId>,
    /// The pair that this member is about to outlive.
    pub(crate) alone: Option<Pair>,
    /// When a valid leader was last heard, or the member started.
    pub(crate) heard_at: Millis,
    election_at: Millis,
    generator: SmallRng,
    pub(crate) progress: BTreeMap<MemberId, Progress>,
    pub(crate) heartbeat_at: Millis,
    /// Entry with which the leader's term began.
    pub(crate) term_start: Index,
    /// Whether the leader has asked another member to take over.
    pub(crate) handing_over: bool,
    pub(crate) effects: Effects,
}

impl Consensus {
    /// A member from what its disk held. Its draws follow from `seed`.
    pub fn new(me: MemberId, recovered: Recovered, now: Millis, seed: u64) -> Self {
        let log = Log::new(recovered.snapshot, recovered.entries);
        let applied = log.snapshot().index;
        let mut node = Self {
            me,
            term: recovered.term,
            voted_for: recovered.voted_for,
            committed_members_index: recovered.committed_members_index,
            durable_settled: recovered.committed_members_index,
            role: Role::Follower,
            leader: None,
            commit: applied,
            applied,
            durable: log.last_index(),
            log,
            unsynced: VecDeque::new(),
            votes: BTreeSet::new(),
            alone: None,
            heard_at: now,
            election_at: 0,
            generator: SmallRng::seed_from_u64(seed),
            progress: BTreeMap::new(),
            heartbeat_at: 0,
            term_start: 0,
            handing_over: false,
            effects: Effects::default(),
        };
        node.schedule_election(now);
        node
    }

    /// Begins a group whose only member is this one. The disk must be empty.
    pub fn bootstrap(&mut self, now: Millis) {
        if self.log.last_index() > 0 {
            return;
        }
        let members = Members { voters: vec![self.me.clone()], learners: Vec::new(), epoch: 1 };
        let payload = Payload::Members(members);
        self.append_own(vec![Entry { index: 1, term: 0, payload }]);
        self.election_at = now;
    }

    /// This member.
    pub fn id(&self) -> &MemberId {
        &self.me
    }

    /// What it does at present.
    pub fn role(&self) -> Role {
        self.role
    }

    /// Its term.
    pub fn term(&self) -> Term {
        self.term
    }

    /// Who got this member's vote in its term.
    pub fn voted_for(&self) -> Option<&MemberId> {
        self.voted_for.as_ref()
    }

    /// The leader, as far as known.
    pub fn leader(&self) -> Option<&MemberId> {
        self.leader.as_ref()
    }

    /// The members of the group, by the newest entry that tells them.
    pub fn members(&self) -> &Members {
        self.log.members().1
    }

    /// Position of the newest members that are known to be committed.
    pub fn committed_members_index(&self) -> Index {
        self.committed_members_index
    }

    /// Voters of the newest members that are known to be committed.
    pub fn committed_voters(&self) -> usize {
        self.members_at(self.commit).voters.len()
    }

    /// Time since a leader was heard.
    pub fn leaderless_ms(&self, now: Millis) -> Millis {
        now.saturating_sub(self.heard_at)
    }

    /// Last entry that a quorum is known to have.
    pub fn commit_index(&self) -> Index {
        self.commit
    }

    /// The log.
    pub fn log(&self) -> &Log {
        &self.log
    }

    /// What must be done since the last call.
    pub fn take_effects(&mut self) -> Effects {
        self.collect_committed();
        std::mem::take(&mut self.effects)
    }

    fn collect_committed(&mut self) {
        let committed_members_index = self.committed_members_index;
        while self.applied < self.commit {
            let Some(entry) = self.log.get(self.applied + 1) else { break };
            if matches!(entry.payload, Payload::Members(_)) {
                self.committed_members_index = self.committed_members_index.max(entry.index);
            }
            self.effects.committed.push(entry.clone());
            self.applied += 1;
        }
        if self.committed_members_index > committed_members_index {
            self.save_state();
        }
    }

    /// When `tick` has something to do.
    pub fn next_deadline(&self) -> Millis {
        if self.role == Role::Leader {
            return self.heartbeat_at;
        }
        if self.members().voters.contains(&self.me) {
            return self.election_at;
        }
        Millis::MAX
    }

    /// Time has passed.
    pub fn tick(&mut self, now: Millis) {
        if self.role == Role::Leader {
            self.lead(now);
            return;
        }
        if now >= self.election_at && self.members().voters.contains(&self.me) {
            self.campaign(now, Role::Trial, false);
        }
    }

    /// Everything written by the oldest batch of effects that had writes is synced.
    pub fn writes_synced(&mut self, now: Millis) {
        let Some(Unsynced { last_index, committed_members_index, term }) =
            self.unsynced.pop_front()
        else {
            return;
        };
        self.durable = self.durable.max(last_index.min(self.log.last_index()));
        self.durable_settled = self.durable_settled.max(committed_members_index);
        if self.role == Role::Leader {
            self.advance_commit(now);
        }
        if self.role == Role::Candidate && term >= self.term {
            self.vote_is_durable(now);
        }
    }

    /// Notes a batch of writes; the shell calls this for each batch before it writes it.
    pub fn writes_started(&mut self) {
        let (last_index, committed_members_index, term) =
            (self.log.last_index(), self.committed_members_index, self.term);
        self.unsynced.push_back(Unsynced { last_index, committed_members_index, term });
    }

    pub(crate) fn schedule_election(&mut self, now: Millis) {
        self.election_at = now + self.generator.random_range(ELECTION_MIN_MS..ELECTION_MAX_MS);
    }

    pub(crate) fn save_state(&mut self) {
        let (term, voted_for, committed_members_index) =
            (self.term, self.voted_for.clone(), self.committed_members_index);
        self.effects.writes.push(Write::State { term, voted_for, committed_members_index });
    }

    pub(crate) fn append_own(&mut self, entries: Vec<Entry>) {
        for entry in &entries {
            self.log.push(entry.clone());
        }
        self.effects.writes.push(Write::Entries(entries));
    }

    pub(crate) fn become_follower(&mut self, now: Millis, term: Term) {
        if term > self.term {
            self.term = term;
            self.voted_for = None;
            self.leader = None;
            self.save_state();
        }
        self.role = Role::Follower;
        self.votes.clear();
        self.alone = None;
        self.progress.clear();
        self.handing_over = false;
        self.schedule_election(now);
    }

    pub(crate) fn send(&mut self, to: MemberId, term: Term, body: Body) {
        self.effects.messages.push(Message { from: self.me.clone(), to, term, body });
    }

    pub(crate) fn send_after_sync(&mut self, to: MemberId, term: Term, body: Body) {
        self.effects.messages_after_sync.push(Message { from: self.me.clone(), to, term, body });
    }

    /// A message arrived.
    pub fn receive(&mut self, now: Millis, message: Message) {
        if message.to != self.me {
            return;
        }
        let Message { from, term, body, .. } = message;
        match body {
            Body::Vote { trial, handed_over, last_index, last_term } => {
                let candidacy = Candidacy { trial, handed_over, last_index, last_term };
                self.answer_vote(now, from, term, candidacy);
            }
            Body::VoteReply { trial, granted } => self.take_vote(now, from, term, trial, granted),
            Body::Append { previous_index, previous_term, entries, commit, sent_at } => {
                if self.accept_leader(now, &from, term, sent_at) {
                    let previous = (previous_index, previous_term);
                    self.take_entries(from, previous, entries, commit, sent_at);
                }
            }
            Body::Install { snapshot, sent_at } => {
                if self.accept_leader(now, &from, term, sent_at) {
                    self.take_snapshot(from, snapshot, sent_at);
                }
            }
            Body::AppendReply { accepted, matched, refused, committed_members_index, sent_at } => {
                if term > self.term {
                    self.become_follower(now, term);
                } else if term == self.term && self.role == Role::Leader {
                    self.take_reply(
                        now,
                        &from,
                        Reply { accepted, matched, refused, committed_members_index, sent_at },
                    );
                }
            }
            Body::TransferLeadership => {
                let votes = self.members().voters.contains(&self.me);
                if term == self.term && votes && self.role == Role::Follower {
                    self.campaign(now, Role::Candidate, true);
                }
            }
        }
    }

    /// Puts the state after the last applied entry in the place of the entries up to it.
    pub fn compact(&mut self, state: Bytes) {
        let index = self.applied;
        let Some(term) = self.log.term_at(index) else { return };
        if index <= self.log.snapshot().index {
            return;
        }
        let (members_index, members) = self.members_told_at(index);
        let snapshot = Snapshot { index, term, members, members_index, state };
        self.log.compact(&snapshot);
        self.effects.writes.push(Write::Snapshot { snapshot, keep_rest: true });
    }

    /// Bytes of the entries that `compact` would remove.
    pub fn applied_bytes(&self) -> usize {
        self.log.bytes_up_to(self.applied)
    }

    pub(crate) fn members_at(&self, index: Index) -> Members {
        self.members_told_at(index).1
    }

    /// The members after a position, and the position of the entry that told them.
    pub(crate) fn members_told_at(&self, index: Index) -> (Index, Members) {
        let mut at = index;
        while at > self.log.snapshot().index {
            if let Some(Entry { payload: Payload::Members(members), .. }) = self.log.get(at) {
                return (at, members.clone());
            }
            at -= 1;
        }
        let snapshot = self.log.snapshot();
        (snapshot.members_index, snapshot.members.clone())
    }
}
