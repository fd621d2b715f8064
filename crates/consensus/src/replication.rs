//! The leader: replication, commitment and lease.

use std::collections::VecDeque;

use bytes::Bytes;

use crate::log::{Entry, Index, Payload, Snapshot};
use crate::message::{Body, MemberId};
use crate::node::{
    Consensus, Millis, Role, ELECTION_TIMEOUT_MIN_MS, HEARTBEAT_INTERVAL_MS, LEASE_MS,
};

const MAX_APPEND_BYTES: usize = 128 * 1024;
/// Maximum number of unacknowledged messages with entries per member.
const MAX_IN_FLIGHT_APPENDS: usize = 8;
const PROBE_TIMEOUT_MS: Millis = 2_000;
/// Maximum time since the last message of a member for it to be sent a snapshot, in milliseconds.
const MAX_SILENCE_FOR_SNAPSHOT_MS: Millis = 1_000;
const SNAPSHOT_TIMEOUT_MS: Millis = 3_000;
/// Time after a snapshot was sent from which a rejected message shows that it is lost, in
/// milliseconds. Members receive in order; a message on a new connection may be faster.
const SNAPSHOT_OVERTAKING_MS: Millis = 1_000;

/// Replication state of another member.
#[derive(Clone, Debug)]
pub struct Progress {
    /// Index of the last entry that is on its disk.
    pub matched: Index,
    next: Index,
    /// Whether the last matching entry is unknown; one message is then in flight at a time.
    probing: bool,
    /// Index of the last entry of each unacknowledged message.
    in_flight: VecDeque<Index>,
    /// When the snapshot was sent that the member has not acknowledged.
    installing: Option<Millis>,
    /// When the newest entries or the newest snapshot was sent.
    sent_at: Millis,
    /// Time on the leader's clock when it sent the newest acknowledged message.
    pub(crate) acknowledged_at: Option<Millis>,
    last_contact: Millis,
    /// Index of the newest membership entry that it has recorded on disk as committed.
    pub(crate) committed_members_index: Index,
}

impl Progress {
    pub(crate) fn new(now: Millis, next: Index) -> Self {
        Self {
            matched: 0,
            next,
            probing: true,
            in_flight: VecDeque::new(),
            installing: None,
            sent_at: now,
            acknowledged_at: None,
            last_contact: now,
            committed_members_index: 0,
        }
    }

    fn accept(&mut self, matched: Index) {
        self.matched = self.matched.max(matched);
        while self.in_flight.front().is_some_and(|last| *last <= self.matched) {
            self.in_flight.pop_front();
        }
        if self.probing && self.matched + 1 >= self.next {
            self.installing = None;
            self.probing = false;
        }
        self.next = self.next.max(self.matched + 1);
    }

    /// Goes back to the index that the member proposes. Invariant: a rejection counts once, for its
    /// own message; others in flight are rejected too, and would resend the window.
    fn reject(&mut self, rejected_index: Index, hint: Index, sent_at: Millis) {
        let is_in_flight = |snapshot_at: Millis| sent_at < snapshot_at + SNAPSHOT_OVERTAKING_MS;
        if self.installing.is_some_and(is_in_flight) {
            // The snapshot that the member needs may still arrive.
            return;
        }
        let stale = if self.probing {
            rejected_index + 1 > self.next
        } else {
            rejected_index <= self.matched
        };
        if stale {
            return;
        }
        self.probing = true;
        self.installing = None;
        self.in_flight.clear();
        self.next = (hint + 1).max(self.matched + 1);
    }

    /// Gives up on a message that has been unacknowledged for so long that it must be lost.
    fn expire_lost(&mut self, now: Millis) {
        let expires_at = match self.installing {
            Some(snapshot_at) => snapshot_at + SNAPSHOT_TIMEOUT_MS,
            None => self.sent_at + PROBE_TIMEOUT_MS,
        };
        let awaits_reply = self.probing || self.installing.is_some();
        if awaits_reply && !self.in_flight.is_empty() && now >= expires_at {
            self.probing = true;
            self.in_flight.clear();
            self.installing = None;
            self.next = self.matched + 1;
        }
    }
}

/// Response of a member to an append or a snapshot.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Reply {
    pub accepted: bool,
    pub matched: Index,
    pub rejected_index: Index,
    pub committed_members_index: Index,
    pub sent_at: Millis,
}

impl Consensus {
    /// Proposes a command. Returns its index, or `None` if this member is not the leader. The
    /// command takes effect only when the entry with this index and term is committed.
    pub fn propose(&mut self, now: Millis, command: Vec<u8>) -> Option<Index> {
        if self.role != Role::Leader || self.transfers.has_started() {
            return None;
        }
        Some(self.append_as_leader(now, Payload::Command(command.into())))
    }

    pub(crate) fn append_as_leader(&mut self, now: Millis, payload: Payload) -> Index {
        let index = self.log.last_index() + 1;
        self.append_own(vec![Entry { index, term: self.term, payload }]);
        self.replicate(now);
        index
    }

    /// Index of the last entry that a member is known to have on disk.
    pub fn matched(&self, member: &MemberId) -> Index {
        if *member == self.me {
            return self.durable_index;
        }
        self.progress.get(member).map_or(0, |progress| progress.matched)
    }

    /// Time since the last message of a member; zero for the leader itself.
    pub fn silent_ms(&self, now: Millis, member: &MemberId) -> Millis {
        self.progress.get(member).map_or(0, |progress| now.saturating_sub(progress.last_contact))
    }

    /// Whether a member has answered a message that this leader sent within the time of a lease.
    pub fn is_responsive(&self, now: Millis, member: &MemberId) -> bool {
        let acknowledged_at =
            self.progress.get(member).and_then(|progress| progress.acknowledged_at);
        *member == self.me || acknowledged_at.is_some_and(|at| now < at + LEASE_MS)
    }

    /// Handles the leader's deadline: sends heartbeats, or steps down if no quorum responds.
    pub(crate) fn tick_leader(&mut self, now: Millis) {
        if self.expire_transfer(now) || now < self.heartbeat_at {
            return;
        }
        self.expire_requested_change(now);
        self.withdraw_stalled_change(now);
        let quorum_contact = self.quorum_value(|progress| Some(progress.last_contact), now);
        self.quorum_contact = self.quorum_contact.max(quorum_contact.unwrap_or(0));
        self.quorum_contact_term = self.term;
        if quorum_contact.is_none_or(|contact| now > contact + 4 * ELECTION_TIMEOUT_MIN_MS) {
            self.become_follower(now, self.term);
            return;
        }
        self.heartbeat(now);
    }

    pub(crate) fn heartbeat(&mut self, now: Millis) {
        self.heartbeat_at = now + HEARTBEAT_INTERVAL_MS;
        let members: Vec<MemberId> = self.progress.keys().cloned().collect();
        for member in members {
            if let Some(progress) = self.progress.get_mut(&member) {
                progress.expire_lost(now);
            }
            if !self.send_entries(now, &member) {
                self.send_append(now, &member, Vec::new());
            }
        }
        self.advance_commit(now);
    }

    pub(crate) fn replicate(&mut self, now: Millis) {
        let members: Vec<MemberId> = self.progress.keys().cloned().collect();
        for member in members {
            self.send_entries(now, &member);
        }
        self.advance_commit(now);
    }

    /// Sends entries that a member lacks, within the window; returns whether anything was sent.
    fn send_entries(&mut self, now: Millis, member: &MemberId) -> bool {
        if !self.members().contains(member) {
            // A voter that is being removed must not get ahead of those that remain: it could not
            // be elected, and would not vote for them.
            return false;
        }
        let mut sent = false;
        while let Some(progress) = self.progress.get_mut(member) {
            let window = if progress.probing { 1 } else { MAX_IN_FLIGHT_APPENDS };
            if progress.in_flight.len() >= window || progress.next > self.log.last_index() {
                break;
            }
            if progress.next <= self.log.snapshot().index {
                // Snapshots are large and sent one at a time; silent members must not block.
                let is_responsive = now < progress.last_contact + MAX_SILENCE_FOR_SNAPSHOT_MS;
                if is_responsive
                    && self.effects.snapshot_targets.is_empty()
                    && !self.is_installing()
                {
                    self.effects.snapshot_targets.push(member.clone());
                }
                break;
            }
            progress.sent_at = now;
            let entries = self.log.from(progress.next, MAX_APPEND_BYTES);
            progress.in_flight.extend(entries.last().map(|entry| entry.index));
            self.send_append(now, member, entries);
            sent = true;
        }
        sent
    }

    fn is_installing(&self) -> bool {
        self.progress
            .values()
            .any(|progress| progress.installing.is_some() && !progress.in_flight.is_empty())
    }

    /// Sends `state`, as of the last applied entry, to a member that lacks compacted entries.
    pub fn install(&mut self, now: Millis, member: &MemberId, state: Bytes) {
        let index = self.applied;
        let Some(term) = self.log.term_at(index) else { return };
        let Some(progress) = self.progress.get_mut(member) else { return };
        progress.sent_at = now;
        progress.next = index + 1;
        progress.in_flight.push_back(index);
        progress.installing = Some(now);
        let (members_index, members) = self.members_with_index_at(index);
        let snapshot = Snapshot { index, term, members, members_index, state };
        self.send(member.clone(), self.term, Body::Install { snapshot, sent_at: now });
    }

    fn send_append(&mut self, now: Millis, member: &MemberId, entries: Vec<Entry>) {
        let Some(progress) = self.progress.get_mut(member) else { return };
        let snapshot_index = self.log.snapshot().index;
        let previous_index = (progress.next - 1).max(snapshot_index);
        if let Some(last) = entries.last() {
            progress.next = last.index + 1;
        }
        let previous_term = self.log.term_at(previous_index).unwrap_or(0);
        let commit = self.commit;
        let body = Body::Append { previous_index, previous_term, entries, commit, sent_at: now };
        self.send(member.clone(), self.term, body);
    }

    pub(crate) fn handle_append_reply(&mut self, now: Millis, from: &MemberId, reply: Reply) {
        let Reply { accepted, matched, rejected_index, committed_members_index, sent_at } = reply;
        let Some(progress) = self.progress.get_mut(from) else { return };
        progress.last_contact = now;
        progress.committed_members_index =
            progress.committed_members_index.max(committed_members_index);
        progress.acknowledged_at = progress.acknowledged_at.max(Some(sent_at));
        if accepted {
            progress.accept(matched);
        } else {
            progress.reject(rejected_index, matched, sent_at);
        }
        self.advance_commit(now);
        self.continue_transfer(now, from, sent_at);
        self.continue_change(now);
        self.send_entries(now, from);
    }

    /// The highest value that a quorum of voters reaches; `own` is the value of the leader.
    fn quorum_value(&self, value: impl Fn(&Progress) -> Option<u64>, own: u64) -> Option<u64> {
        let members = self.members();
        let mut values: Vec<u64> = Vec::with_capacity(members.voters.len());
        for voter in &members.voters {
            if *voter == self.me {
                values.push(own);
            } else if let Some(value) = self.progress.get(voter).and_then(&value) {
                values.push(value);
            }
        }
        values.sort_unstable_by(|left, right| right.cmp(left));
        values.get(members.quorum() - 1).copied()
    }

    /// Invariant: only entries of the leader's own term are committed by counting; earlier ones are
    /// committed along with them. An older entry that a quorum has could still be replaced.
    pub(crate) fn advance_commit(&mut self, now: Millis) {
        let quorum = self.quorum_value(|progress| Some(progress.matched), self.durable_index);
        let Some(index) = quorum else { return };
        if index <= self.commit || self.log.term_at(index) != Some(self.term) {
            return;
        }
        self.commit = index;
        let (members_index, members) = self.log.members();
        if members_index > index {
            return;
        }
        let members = members.clone();
        self.complete_change(now);
        if !members.voters.contains(&self.me) {
            self.become_follower(now, self.term);
        } else if !self.members_durably_committed() {
            // The other members learn immediately that the membership is committed.
            self.heartbeat_at = now;
        }
    }

    /// Whether no other leader can exist now.
    pub fn has_lease(&self, now: Millis) -> bool {
        if self.role != Role::Leader || self.transfers.has_started() {
            return false;
        }
        let acknowledged = self.quorum_value(|progress| progress.acknowledged_at, now);
        acknowledged.is_some_and(|at| now < at + LEASE_MS)
    }

    /// Whether reads may be served: all acknowledged entries are applied, no other leader exists.
    pub fn can_read(&self, now: Millis) -> bool {
        self.has_lease(now) && self.commit >= self.term_start
    }
}
