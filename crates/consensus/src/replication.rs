//! What a leader does: sends entries, counts who has them, holds its lease, changes members.

use std::collections::VecDeque;

use bytes::Bytes;

use crate::log::{Entry, Index, Payload, Snapshot};
use crate::message::{Body, MemberId, Members};
use crate::node::{Consensus, Millis, Role, ELECTION_MIN_MS, HEARTBEAT_MS, LEASE_MS};

/// Most bytes of entries in one message.
const APPEND_BYTES: usize = 128 * 1024;
/// Most messages with entries under way to one member.
const WINDOW: usize = 8;
/// Time after which an unanswered probe counts as lost, in milliseconds.
const LOST_MS: Millis = 2_000;
/// Time within which a member must have been heard to be sent a state, in milliseconds.
const INSTALL_HEARD_MS: Millis = 1_000;
/// Time after which an unanswered state counts as lost, in milliseconds.
const INSTALL_LOST_MS: Millis = 3_000;

/// How two sets of voters differ.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Difference {
    /// Not at all.
    None,
    /// One voter more or less.
    One,
    /// A voter gives way to another disk under its name.
    Successor,
    /// In any other way.
    Many,
}

/// What a leader knows of another member.
#[derive(Clone, Debug)]
pub struct Progress {
    /// Last entry that is on its disk.
    pub matched: Index,
    /// Next entry to send.
    next: Index,
    /// Whether it is not known yet which entry matches: one message is under way at a time.
    probing: bool,
    /// Last entry of each message with entries that is not answered, and when the newest was sent.
    under_way: VecDeque<Index>,
    /// Whether the state itself is under way.
    installing: bool,
    sent_at: Millis,
    /// Leader's clock when it sent the newest message that was answered.
    acknowledged_at: Option<Millis>,
    /// When anything was last heard of it.
    heard_at: Millis,
    /// Position of the newest members that its disk knows to be committed.
    committed_members_index: Index,
}

impl Progress {
    fn accept(&mut self, matched: Index) {
        self.matched = self.matched.max(matched);
        while self.under_way.front().is_some_and(|last| *last <= self.matched) {
            self.under_way.pop_front();
        }
        if self.probing && self.matched + 1 >= self.next {
            self.installing = false;
            self.probing = false;
        }
        self.next = self.next.max(self.matched + 1);
    }

    /// Goes back to where the member says that it can match. Invariant: a refusal counts once, and
    /// only for the message that it answers. Each of the others under way is refused as well; if
    /// they counted, each would have the whole window sent again.
    fn refuse(&mut self, refused: Index, hint: Index) {
        if self.installing {
            // The answer to a heartbeat: the state that it asks for is under way.
            return;
        }
        let stale = if self.probing { refused + 1 > self.next } else { refused <= self.matched };
        if stale {
            return;
        }
        self.probing = true;
        self.installing = false;
        self.under_way.clear();
        self.next = (hint + 1).max(self.matched + 1);
    }

    /// Forgets a message that was not answered for so long that it must be lost.
    fn give_up_lost(&mut self, now: Millis) {
        let patience = if self.installing { INSTALL_LOST_MS } else { LOST_MS };
        let waits = self.probing || self.installing;
        if waits && !self.under_way.is_empty() && now >= self.sent_at + patience {
            self.probing = true;
            self.under_way.clear();
            self.installing = false;
            self.next = self.matched + 1;
        }
    }
}

/// What a member answers to an append or a snapshot.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Reply {
    pub accepted: bool,
    pub matched: Index,
    pub refused: Index,
    pub committed_members_index: Index,
    pub sent_at: Millis,
}

impl Consensus {
    /// Proposes a command. Returns its position, or `None` where this member does not lead. A
    /// position is no promise: the command is in force when its entry, of the same term, is
    /// committed.
    pub fn propose(&mut self, now: Millis, command: Vec<u8>) -> Option<Index> {
        if self.role != Role::Leader || self.handing_over {
            return None;
        }
        Some(self.append_as_leader(now, Payload::Command(command.into())))
    }

    fn append_as_leader(&mut self, now: Millis, payload: Payload) -> Index {
        let index = self.log.last_index() + 1;
        self.append_own(vec![Entry { index, term: self.term, payload }]);
        self.replicate(now);
        index
    }

    /// Whether members may be changed now: one change at a time, and none before an entry of the
    /// leader's own term is committed. Two majorities without a common member could exist else.
    pub fn can_change_members(&self) -> bool {
        let (index, _) = self.log.members();
        self.role == Role::Leader
            && !self.handing_over
            && index <= self.commit
            && self.commit >= self.term_start
    }

    /// Proposes new members that differ from the present ones in one voter at most, or in a voter
    /// whose disk is lost and the member that has its name now.
    ///
    /// The second is as safe as the first: the lost disk is in no quorum any more, and with n voters
    /// a quorum of the others before and one after, of more than n / 2 each, share a member.
    pub fn change_members(&mut self, now: Millis, mut members: Members) -> bool {
        let difference = self.difference(&members);
        let grows = difference != Difference::None;
        members.epoch = self.members().epoch + u64::from(grows);
        let allowed = match difference {
            Difference::None | Difference::One | Difference::Successor => true,
            Difference::Many => false,
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

    /// How the voters of new members differ from the present ones.
    pub fn difference(&self, members: &Members) -> Difference {
        let present = &self.members().voters;
        let added: Vec<&MemberId> =
            members.voters.iter().filter(|voter| !present.contains(voter)).collect();
        let removed: Vec<&MemberId> =
            present.iter().filter(|voter| !members.voters.contains(voter)).collect();
        match (added.as_slice(), removed.as_slice()) {
            ([], []) => Difference::None,
            ([_], []) | ([], [_]) => Difference::One,
            ([new], [old]) if new.name == old.name => Difference::Successor,
            _ => Difference::Many,
        }
    }

    /// Keeps one record of progress for each other member.
    pub(crate) fn follow_members(&mut self, now: Millis) {
        let members = self.members().clone();
        let next = self.log.last_index() + 1;
        self.progress.retain(|member, _| members.contains(member));
        for member in members.all().filter(|member| **member != self.me) {
            self.progress.entry(member.clone()).or_insert(Progress {
                matched: 0,
                next,
                probing: true,
                under_way: VecDeque::new(),
                installing: false,
                sent_at: now,
                acknowledged_at: None,
                heard_at: now,
                committed_members_index: 0,
            });
        }
    }

    /// What the leader knows of a member.
    pub fn matched(&self, member: &MemberId) -> Index {
        if *member == self.me {
            return self.durable;
        }
        self.progress.get(member).map_or(0, |progress| progress.matched)
    }

    /// Time since a member was heard; zero for the leader itself.
    pub fn silent_ms(&self, now: Millis, member: &MemberId) -> Millis {
        self.progress.get(member).map_or(0, |progress| now.saturating_sub(progress.heard_at))
    }

    /// Leader's deadlines: heartbeats, and giving up where no quorum answers.
    pub(crate) fn lead(&mut self, now: Millis) {
        if now < self.heartbeat_at {
            return;
        }
        let quorum_heard = self.quorum_value(|progress| Some(progress.heard_at), now);
        if quorum_heard.is_none_or(|heard| now > heard + 4 * ELECTION_MIN_MS) {
            self.become_follower(now, self.term);
            return;
        }
        self.heartbeat(now);
    }

    /// Sends an append to every member, with entries or without.
    pub(crate) fn heartbeat(&mut self, now: Millis) {
        self.heartbeat_at = now + HEARTBEAT_MS;
        let members: Vec<MemberId> = self.progress.keys().cloned().collect();
        for member in members {
            if let Some(progress) = self.progress.get_mut(&member) {
                progress.give_up_lost(now);
            }
            if !self.send_entries(now, &member) {
                self.send_append(now, &member, Vec::new());
            }
        }
        self.advance_commit(now);
    }

    fn replicate(&mut self, now: Millis) {
        let members: Vec<MemberId> = self.progress.keys().cloned().collect();
        for member in members {
            self.send_entries(now, &member);
        }
        self.advance_commit(now);
    }

    /// Sends what a member lacks, as far as the window allows. Returns whether anything was sent.
    fn send_entries(&mut self, now: Millis, member: &MemberId) -> bool {
        let mut sent = false;
        while let Some(progress) = self.progress.get_mut(member) {
            let window = if progress.probing { 1 } else { WINDOW };
            if progress.under_way.len() >= window || progress.next > self.log.last_index() {
                break;
            }
            if progress.next <= self.log.snapshot().index {
                // One at a time: the state is large, and each is a copy of it under way. One that is
                // not heard would keep it from the others.
                let is_heard = now < progress.heard_at + INSTALL_HEARD_MS;
                if is_heard && self.effects.snapshot_targets.is_empty() && !self.is_installing() {
                    self.effects.snapshot_targets.push(member.clone());
                }
                break;
            }
            progress.sent_at = now;
            let entries = self.log.from(progress.next, APPEND_BYTES);
            progress.under_way.extend(entries.last().map(|entry| entry.index));
            self.send_append(now, member, entries);
            sent = true;
        }
        sent
    }

    /// Whether a state is under way to a member that may still take it.
    fn is_installing(&self) -> bool {
        self.progress.values().any(|progress| progress.installing && !progress.under_way.is_empty())
    }

    /// Sends a member the state after the last applied entry, which `state` must be: the log no
    /// longer has what the member lacks.
    pub fn install(&mut self, now: Millis, member: &MemberId, state: Bytes) {
        let index = self.applied;
        let Some(term) = self.log.term_at(index) else { return };
        let Some(progress) = self.progress.get_mut(member) else { return };
        progress.sent_at = now;
        progress.next = index + 1;
        progress.under_way.push_back(index);
        progress.installing = true;
        let (members_index, members) = self.members_told_at(index);
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

    /// A member answered.
    pub(crate) fn take_reply(&mut self, now: Millis, from: &MemberId, reply: Reply) {
        let Reply { accepted, matched, refused, committed_members_index, sent_at } = reply;
        let Some(progress) = self.progress.get_mut(from) else { return };
        progress.heard_at = now;
        progress.committed_members_index =
            progress.committed_members_index.max(committed_members_index);
        progress.acknowledged_at = progress.acknowledged_at.max(Some(sent_at));
        if accepted {
            progress.accept(matched);
        } else {
            progress.refuse(refused, matched);
        }
        self.advance_commit(now);
        self.send_entries(now, from);
    }

    /// The highest value that a quorum of voters reaches; the leader's own is `own`.
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

    /// Invariant: only an entry of the leader's own term is committed by counting; those before it
    /// follow. An older one that a quorum has could still be replaced.
    pub(crate) fn advance_commit(&mut self, now: Millis) {
        let quorum = self.quorum_value(|progress| Some(progress.matched), self.durable);
        let Some(index) = quorum else { return };
        if index <= self.commit || self.log.term_at(index) != Some(self.term) {
            return;
        }
        self.commit = index;
        let (members_index, members) = self.log.members();
        if members_index > index {
            return;
        }
        if !members.voters.contains(&self.me) {
            self.become_follower(now, self.term);
        } else if !self.members_durably_committed() {
            // Others hear at once that the members are in force.
            self.heartbeat_at = now;
        }
    }

    /// Whether the disk of every voter knows that the present members are committed. Until then one
    /// that is left alone could not tell whether they ever were.
    pub fn members_durably_committed(&self) -> bool {
        let (position, members) = self.log.members();
        let committed_members_index = |voter: &MemberId| match self.progress.get(voter) {
            Some(progress) => progress.committed_members_index >= position,
            None => *voter == self.me && self.durable_settled >= position,
        };
        self.role == Role::Leader && members.voters.iter().all(committed_members_index)
    }

    /// Whether no other leader can exist now.
    pub fn has_lease(&self, now: Millis) -> bool {
        if self.role != Role::Leader || self.handing_over {
            return false;
        }
        let acknowledged = self.quorum_value(|progress| progress.acknowledged_at, now);
        acknowledged.is_some_and(|at| now < at + LEASE_MS)
    }

    /// Whether the applied state may answer a read: everything that any leader acknowledged before
    /// is applied here, and no other leader can exist.
    pub fn can_read(&self, now: Millis) -> bool {
        self.has_lease(now) && self.commit >= self.term_start
    }

    /// Asks a voter to take over. The lease ends with the asking.
    pub fn transfer_leadership(&mut self, now: Millis, to: &MemberId) -> bool {
        let votes = self.members().voters.contains(to) && *to != self.me;
        if self.role != Role::Leader || !votes || self.matched(to) < self.log.last_index() {
            return false;
        }
        self.handing_over = true;
        self.heartbeat_at = now + HEARTBEAT_MS;
        self.send(to.clone(), self.term, Body::TransferLeadership);
        true
    }
}
