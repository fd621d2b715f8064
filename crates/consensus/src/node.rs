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
pub const ELECTION_TIMEOUT_MIN_MS: Millis = 300;
/// Longest such time.
const ELECTION_TIMEOUT_MAX_MS: Millis = 550;
/// Interval between a leader's heartbeats, in milliseconds.
pub const HEARTBEAT_INTERVAL_MS: Millis = 100;
/// Time after a quorum's answered heartbeat was sent during which no other leader can exist, in
/// milliseconds. Less than `ELECTION_TIMEOUT_MIN_MS`, within which followers refuse votes: the difference
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
        settled: Index,
    },
    /// Entries; they take the place of any at their positions and after.
    Entries(Vec<Entry>),
    /// A snapshot; it takes the place of the entries up to it, or of everything.
    Snapshot {
        /// The snapshot.
        snapshot: Snapshot,
        /// Whether entries after it stay.
        keep_later_entries: bool,
    },
}

/// What the shell must do.
#[derive(Debug, Default)]
pub struct Effects {
    /// To be written, in this order, then synced. The shell calls `Consensus::persisted` after.
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
    pub installs: Vec<MemberId>,
}

/// What a disk held.
#[derive(Clone, Debug, Default)]
pub struct Recovered {
    /// Term.
    pub term: Term,
    /// Vote in it.
    pub voted_for: Option<MemberId>,
    /// Position of the newest members that are known to be committed.
    pub settled: Index,
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
    pub(crate) settled: Index,
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
    pub(crate) settled: Index,
    pub(crate) role: Role,
    pub(crate) leader: Option<MemberId>,
    pub(crate) log: Log,
    pub(crate) commit: Index,
    pub(crate) applied: Index,
    /// Last entry that is on this member's disk.
    pub(crate) durable_index: Index,
    /// What each batch of writes that is not synced yet brings to the disk.
    pub(crate) unsynced: VecDeque<Unsynced>,
    /// `settled` as far as it is on this member's disk.
    pub(crate) durable_members_index: Index,
    pub(crate) votes: BTreeSet<MemberId>,
    /// The pair that this member is about to outlive.
    pub(crate) pending_takeover: Option<Pair>,
    /// When a valid leader was last heard, or the member started.
    pub(crate) last_contact: Millis,
    election_at: Millis,
    generator: SmallRng,
    pub(crate) progress: BTreeMap<MemberId, Progress>,
    pub(crate) heartbeat_at: Millis,
    /// Entry with which the leader's term began.
    pub(crate) term_start: Index,
    /// Whether the leader has asked another member to take over.
    pub(crate) transferring_leadership: bool,
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
            settled: recovered.settled,
            durable_members_index: recovered.settled,
            role: Role::Follower,
            leader: None,
            commit: applied,
            applied,
            durable_index: log.last_index(),
            log,
            unsynced: VecDeque::new(),
            votes: BTreeSet::new(),
            pending_takeover: None,
            last_contact: now,
            election_at: 0,
            generator: SmallRng::seed_from_u64(seed),
            progress: BTreeMap::new(),
            heartbeat_at: 0,
            term_start: 0,
            transferring_leadership: false,
            effects: Effects::default(),
        };
        node.schedule_election(now);
        node
    }

    /// Begins a group whose only member is this one. The disk must be empty.
    pub fn found(&mut self, now: Millis) {
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
    pub fn settled(&self) -> Index {
        self.settled
    }

    /// Voters of the newest members that are known to be committed.
    pub fn committed_voters(&self) -> usize {
        self.members_at(self.commit).voters.len()
    }

    /// Time since a leader was heard.
    pub fn leaderless_ms(&self, now: Millis) -> Millis {
        now.saturating_sub(self.last_contact)
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
        let settled = self.settled;
        while self.applied < self.commit {
            let Some(entry) = self.log.get(self.applied + 1) else { break };
            if matches!(entry.payload, Payload::Members(_)) {
                self.settled = self.settled.max(entry.index);
            }
            self.effects.committed.push(entry.clone());
            self.applied += 1;
        }
        if self.settled > settled {
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
            self.tick_leader(now);
            return;
        }
        if now >= self.election_at && self.members().voters.contains(&self.me) {
            self.campaign(now, Role::Trial, false);
        }
    }

    /// Everything written by the oldest batch of effects that had writes is synced.
    pub fn persisted(&mut self, now: Millis) {
        let Some(Unsynced { last_index, settled, term }) = self.unsynced.pop_front() else {
            return;
        };
        self.durable_index = self.durable_index.max(last_index.min(self.log.last_index()));
        self.durable_members_index = self.durable_members_index.max(settled);
        if self.role == Role::Leader {
            self.advance_commit(now);
        }
        if self.role == Role::Candidate && term >= self.term {
            self.vote_is_durable(now);
        }
    }

    /// Notes a batch of writes; the shell calls this for each batch before it writes it.
    pub fn writing(&mut self) {
        let (last_index, settled, term) = (self.log.last_index(), self.settled, self.term);
        self.unsynced.push_back(Unsynced { last_index, settled, term });
    }

    pub(crate) fn schedule_election(&mut self, now: Millis) {
        self.election_at =
            now + self.generator.random_range(ELECTION_TIMEOUT_MIN_MS..ELECTION_TIMEOUT_MAX_MS);
    }

    pub(crate) fn save_state(&mut self) {
        let (term, voted_for, settled) = (self.term, self.voted_for.clone(), self.settled);
        self.effects.writes.push(Write::State { term, voted_for, settled });
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
        self.pending_takeover = None;
        self.progress.clear();
        self.transferring_leadership = false;
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
            Body::Vote { pre_vote, leadership_transfer, last_index, last_term } => {
                let candidacy = Candidacy { pre_vote, leadership_transfer, last_index, last_term };
                self.handle_vote_request(now, from, term, candidacy);
            }
            Body::VoteReply { pre_vote, granted } => {
                self.handle_vote_reply(now, from, term, pre_vote, granted)
            }
            Body::Append { previous_index, previous_term, entries, commit, sent_at } => {
                if self.accept_leader(now, &from, term, sent_at) {
                    let previous = (previous_index, previous_term);
                    self.handle_append(from, previous, entries, commit, sent_at);
                }
            }
            Body::Install { snapshot, sent_at } => {
                if self.accept_leader(now, &from, term, sent_at) {
                    self.handle_install(from, snapshot, sent_at);
                }
            }
            Body::AppendReply { accepted, matched, rejected_index, settled, sent_at } => {
                if term > self.term {
                    self.become_follower(now, term);
                } else if term == self.term && self.role == Role::Leader {
                    self.handle_append_reply(
                        now,
                        &from,
                        Reply { accepted, matched, rejected_index, settled, sent_at },
                    );
                }
            }
            Body::HandOver => {
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
        let (members_index, members) = self.members_with_index_at(index);
        let snapshot = Snapshot { index, term, members, members_index, state };
        self.log.compact(&snapshot);
        self.effects.writes.push(Write::Snapshot { snapshot, keep_later_entries: true });
    }

    /// Bytes of the entries that `compact` would remove.
    pub fn applied_bytes(&self) -> usize {
        self.log.bytes_up_to(self.applied)
    }

    pub(crate) fn members_at(&self, index: Index) -> Members {
        self.members_with_index_at(index).1
    }

    /// The members after a position, and the position of the entry that told them.
    pub(crate) fn members_with_index_at(&self, index: Index) -> (Index, Members) {
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
