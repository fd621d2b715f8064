//! One member: its term, its role, what must be on disk and what is committed. `follower` handles a
//! leader's messages, `replication` implements the leader, `election` the votes, `membership` changes
//! of the members and `transfer` those of the leader.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use bytes::Bytes;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use crate::election::Candidacy;
use crate::log::{Entry, Index, Log, Payload, Snapshot, Term};
use crate::membership::{ChangeEvent, ProposedChange, RequestedChange};
use crate::message::{Body, MemberId, Members, Message};
use crate::pair::{Pair, Withdrawal};
use crate::replication::{Progress, Reply};
use crate::transfer::{TransferEvent, Transfers};

/// Time on the member's own monotonic clock, in milliseconds.
pub type Millis = u64;

/// Minimum time without a leader after which a member starts an election, in milliseconds.
pub const ELECTION_TIMEOUT_MIN_MS: Millis = 300;
/// Maximum of that time, in milliseconds.
const ELECTION_TIMEOUT_MAX_MS: Millis = 550;
/// Interval between a leader's heartbeats, in milliseconds.
pub const HEARTBEAT_INTERVAL_MS: Millis = 100;
/// Time without another leader after sending an acknowledged heartbeat, in milliseconds: less than
/// `ELECTION_TIMEOUT_MIN_MS`, when followers grant no votes, by a margin for clock rates.
pub const LEASE_MS: Millis = 240;

/// A write to the disk.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Write {
    /// Term and vote.
    State {
        /// The term.
        term: Term,
        /// The member that this member voted for in the term.
        voted_for: Option<MemberId>,
        /// Index of the newest membership entry that is known to be committed.
        committed_members_index: Index,
    },
    /// Entries, which replace any entries at their indices and after.
    Entries(Vec<Entry>),
    /// A snapshot, which replaces the entries up to it, or the whole log.
    Snapshot {
        /// The snapshot.
        snapshot: Snapshot,
        /// Whether later entries are kept.
        keep_later_entries: bool,
    },
}

/// The actions that the caller must carry out.
#[derive(Clone, Debug, Default)]
pub struct Effects {
    /// Writes in order, to be followed by a sync. The caller then calls `Consensus::writes_synced`.
    pub writes: Vec<Write>,
    /// Messages that may be sent immediately.
    pub messages: Vec<Message>,
    /// Messages that may be sent only when everything written so far is synced.
    pub messages_after_sync: Vec<Message>,
    /// A snapshot that replaces the state of the state machine, before `committed` is applied.
    pub install: Option<Snapshot>,
    /// Entries to apply, in order.
    pub committed: Vec<Entry>,
    /// Members that need a snapshot: call `Consensus::install` for each after applying `committed`.
    pub snapshot_targets: Vec<MemberId>,
    /// What became of leadership transfers, for logs and metrics.
    pub transfers: Vec<TransferEvent>,
    /// What became of membership changes, for logs.
    pub changes: Vec<ChangeEvent>,
}

/// The contents of a disk.
#[derive(Clone, Debug, Default)]
pub struct Recovered {
    /// Term.
    pub term: Term,
    /// Vote in that term.
    pub voted_for: Option<MemberId>,
    /// Index of the newest membership entry that is known to be committed.
    pub committed_members_index: Index,
    /// Snapshot.
    pub snapshot: Snapshot,
    /// Entries after it.
    pub entries: Vec<Entry>,
}

impl Recovered {
    /// Last index on the disk.
    pub fn last_index(&self) -> Index {
        self.entries.last().map_or(self.snapshot.index, |entry| entry.index)
    }
}

/// The current role of a member.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// Follows a leader or waits for one.
    Follower,
    /// Asks for pre-votes.
    Trial,
    /// Asks for votes.
    Candidate,
    /// Leads the group.
    Leader,
}

#[derive(Clone, Debug)]
pub(crate) struct Unsynced {
    pub(crate) last_index: Index,
    pub(crate) committed_members_index: Index,
    term: Term,
}

/// A member of the group.
#[derive(Clone, Debug)]
pub struct Consensus {
    pub(crate) me: MemberId,
    pub(crate) term: Term,
    pub(crate) voted_for: Option<MemberId>,
    /// Index of the newest committed membership entry, on disk for a member that restarts alone.
    pub(crate) committed_members_index: Index,
    pub(crate) role: Role,
    pub(crate) leader: Option<MemberId>,
    pub(crate) log: Log,
    pub(crate) commit: Index,
    pub(crate) applied: Index,
    pub(crate) durable_index: Index,
    /// What each batch of writes that is not synced yet adds to the disk.
    pub(crate) unsynced: VecDeque<Unsynced>,
    pub(crate) durable_members_index: Index,
    pub(crate) votes: BTreeSet<MemberId>,
    /// The pair of which this member is about to become the sole voter.
    pub(crate) pending_takeover: Option<Pair>,
    /// When the last message of a valid leader arrived, or this member started.
    pub(crate) last_contact: Millis,
    /// When this member last was in a group with a quorum: it heard a leader, or led with a quorum
    /// that responded.
    pub(crate) quorum_contact: Millis,
    /// Term in which that was.
    pub(crate) quorum_contact_term: Term,
    /// The newest term that is on disk.
    durable_term: Term,
    election_at: Millis,
    generator: SmallRng,
    pub(crate) progress: BTreeMap<MemberId, Progress>,
    pub(crate) heartbeat_at: Millis,
    pub(crate) term_start: Index,
    pub(crate) transfers: Transfers,
    /// Whether a claim on the pair may exist that nobody has used.
    pub(crate) pair_renewal_due: bool,
    pub(crate) withdrawal: Option<Withdrawal>,
    pub(crate) requested_change: Option<RequestedChange>,
    pub(crate) proposed_change: Option<ProposedChange>,
    pub(crate) effects: Effects,
}

impl Consensus {
    /// Creates a member from the contents of its disk. `seed` determines its random numbers.
    pub fn new(me: MemberId, recovered: Recovered, now: Millis, seed: u64) -> Self {
        let log = Log::new(recovered.snapshot, recovered.entries);
        let applied = log.snapshot().index;
        // A snapshot has only committed entries.
        let committed_members_index =
            recovered.committed_members_index.max(log.snapshot().members_index);
        let mut node = Self {
            me,
            term: recovered.term,
            voted_for: recovered.voted_for,
            committed_members_index,
            durable_members_index: committed_members_index,
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
            quorum_contact: now,
            quorum_contact_term: recovered.term,
            durable_term: recovered.term,
            election_at: 0,
            generator: SmallRng::seed_from_u64(seed),
            progress: BTreeMap::new(),
            heartbeat_at: 0,
            term_start: 0,
            transfers: Transfers::default(),
            pair_renewal_due: false,
            withdrawal: None,
            requested_change: None,
            proposed_change: None,
            effects: Effects::default(),
        };
        node.schedule_election(now);
        node
    }

    /// Starts a group whose only member is this one. The disk must be empty.
    pub fn bootstrap(&mut self, now: Millis) {
        if self.log.last_index() > 0 {
            return;
        }
        let members = Members { voters: vec![self.me.clone()], learners: Vec::new(), epoch: 1 };
        let payload = Payload::Members(members);
        self.append_own(vec![Entry { index: 1, term: 0, payload }]);
        self.election_at = now;
    }

    /// The id of this member.
    pub fn id(&self) -> &MemberId {
        &self.me
    }

    /// Its current role.
    pub fn role(&self) -> Role {
        self.role
    }

    /// Its term.
    pub fn term(&self) -> Term {
        self.term
    }

    /// The member that this member voted for in its term.
    pub fn voted_for(&self) -> Option<&MemberId> {
        self.voted_for.as_ref()
    }

    /// The leader, if it is known.
    pub fn leader(&self) -> Option<&MemberId> {
        self.leader.as_ref()
    }

    /// The newest membership in the log, committed or not.
    pub fn members(&self) -> &Members {
        self.log.members().1
    }

    /// Index of the newest membership entry that is known to be committed.
    pub fn committed_members_index(&self) -> Index {
        self.committed_members_index
    }

    /// Number of voters of the newest membership that is known to be committed.
    pub fn committed_voters(&self) -> usize {
        self.members_at(self.commit).voters.len()
    }

    /// Time since this member heard a leader, or a quorum while it was the leader.
    pub fn isolated_ms(&self, now: Millis) -> Millis {
        now.saturating_sub(self.quorum_contact)
    }

    /// Index of the last entry that is known to be committed.
    pub fn commit_index(&self) -> Index {
        self.commit
    }

    /// The log.
    pub fn log(&self) -> &Log {
        &self.log
    }

    /// Takes the actions that accumulated since the last call.
    pub fn take_effects(&mut self) -> Effects {
        self.collect_committed();
        std::mem::take(&mut self.effects)
    }

    fn collect_committed(&mut self) {
        let previous = self.committed_members_index;
        while self.applied < self.commit {
            let Some(entry) = self.log.get(self.applied + 1) else { break };
            if matches!(entry.payload, Payload::Members(_)) {
                self.committed_members_index = self.committed_members_index.max(entry.index);
            }
            self.effects.committed.push(entry.clone());
            self.applied += 1;
        }
        if self.committed_members_index > previous {
            self.save_state();
        }
    }

    /// When `tick` must be called.
    pub fn next_deadline(&self) -> Millis {
        if self.role == Role::Leader {
            let transfer_deadline = self.transfers.deadline().unwrap_or(Millis::MAX);
            return self.heartbeat_at.min(transfer_deadline);
        }
        if self.members().voters.contains(&self.me) {
            return self.election_at;
        }
        Millis::MAX
    }

    /// Handles the passage of time.
    pub fn tick(&mut self, now: Millis) {
        if self.role == Role::Leader {
            self.tick_leader(now);
            return;
        }
        if now >= self.election_at && self.members().voters.contains(&self.me) {
            self.campaign(now, Role::Trial, false);
        }
    }

    /// Must be called when the writes of the oldest unsynced batch are synced.
    pub fn writes_synced(&mut self, now: Millis) {
        let Some(Unsynced { last_index, committed_members_index, term }) =
            self.unsynced.pop_front()
        else {
            return;
        };
        self.durable_index = self.durable_index.max(last_index.min(self.log.last_index()));
        self.durable_members_index = self.durable_members_index.max(committed_members_index);
        self.durable_term = self.durable_term.max(term);
        if self.role == Role::Leader {
            self.advance_commit(now);
        }
        if self.role == Role::Candidate && term >= self.term {
            self.vote_is_durable(now);
        }
    }

    /// Must be called for each batch of writes before it is written.
    pub fn writes_started(&mut self) {
        let (last_index, committed_members_index, term) =
            (self.log.last_index(), self.committed_members_index, self.term);
        self.unsynced.push_back(Unsynced { last_index, committed_members_index, term });
    }

    /// Whether the current term is on disk.
    pub(crate) fn term_is_durable(&self) -> bool {
        self.durable_term >= self.term
    }

    pub(crate) fn schedule_election(&mut self, now: Millis) {
        self.election_at =
            now + self.generator.random_range(ELECTION_TIMEOUT_MIN_MS..ELECTION_TIMEOUT_MAX_MS);
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
        self.pending_takeover = None;
        self.progress.clear();
        self.withdraw_transfer_request();
        self.requested_change = None;
        self.proposed_change = None;
        self.schedule_election(now);
    }

    pub(crate) fn send(&mut self, to: MemberId, term: Term, body: Body) {
        self.effects.messages.push(Message { from: self.me.clone(), to, term, body });
    }

    pub(crate) fn send_after_sync(&mut self, to: MemberId, term: Term, body: Body) {
        self.effects.messages_after_sync.push(Message { from: self.me.clone(), to, term, body });
    }

    /// Handles a received message.
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
            Body::AppendReply {
                accepted,
                matched,
                rejected_index,
                committed_members_index,
                sent_at,
            } => {
                if term > self.term {
                    self.become_follower(now, term);
                } else if term == self.term && self.role == Role::Leader {
                    self.handle_append_reply(
                        now,
                        &from,
                        Reply {
                            accepted,
                            matched,
                            rejected_index,
                            committed_members_index,
                            sent_at,
                        },
                    );
                }
            }
            Body::TransferLeadership => {
                let is_voter = self.members().voters.contains(&self.me);
                if term == self.term && is_voter && self.role == Role::Follower {
                    self.campaign(now, Role::Candidate, true);
                }
            }
        }
    }

    /// Replaces the log up to the last applied entry by a snapshot with this state.
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

    /// Size of the entries that `compact` would remove, in bytes.
    pub fn applied_bytes(&self) -> usize {
        self.log.bytes_up_to(self.applied)
    }

    pub(crate) fn members_at(&self, index: Index) -> Members {
        self.members_with_index_at(index).1
    }

    /// The membership at an index, and the index of the entry that set it.
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
