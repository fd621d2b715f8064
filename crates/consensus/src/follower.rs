//! What a follower does with what a leader sends: entries, heartbeats, snapshots.

use crate::log::{Entry, Index, Snapshot, Term};
use crate::message::{Body, MemberId};
use crate::node::{Consensus, Millis, Role, Write};

impl Consensus {
    /// Whether a message comes from the leader of the present term; an old leader is told so.
    pub(crate) fn accept_leader(
        &mut self,
        now: Millis,
        from: &MemberId,
        term: Term,
        sent_at: Millis,
    ) -> bool {
        if term < self.term {
            let body = self.refused(0, 0, sent_at);
            self.send_after_sync(from.clone(), self.term, body);
            return false;
        }
        if term > self.term || self.role != Role::Follower {
            self.become_follower(now, term);
        }
        self.leader = Some(from.clone());
        self.heard_at = now;
        self.schedule_election(now);
        true
    }

    fn accepted(&self, matched: Index, sent_at: Millis) -> Body {
        let committed_members_index = self.durable_settled;
        Body::AppendReply { accepted: true, matched, refused: 0, committed_members_index, sent_at }
    }

    fn refused(&self, refused: Index, hint: Index, sent_at: Millis) -> Body {
        let committed_members_index = self.durable_settled;
        Body::AppendReply {
            accepted: false,
            matched: hint,
            refused,
            committed_members_index,
            sent_at,
        }
    }

    pub(crate) fn take_entries(
        &mut self,
        from: MemberId,
        previous: (Index, Term),
        entries: Vec<Entry>,
        commit: Index,
        sent_at: Millis,
    ) {
        let (previous_index, previous_term) = previous;
        let known = self.log.term_at(previous_index);
        let before_snapshot = previous_index < self.log.snapshot().index;
        if !before_snapshot && known != Some(previous_term) {
            // Entries that are committed match: go back to them at most.
            let hint = self.log.last_index().min(previous_index.saturating_sub(1)).max(self.commit);
            let body = self.refused(previous_index, hint, sent_at);
            self.send_after_sync(from, self.term, body);
            return;
        }
        if entries.is_empty() {
            // A heartbeat is answered at once, for what is on the disk: a slow disk must not cost
            // the leader its lease.
            let matched = previous_index.min(self.durable);
            self.commit = self.commit.max(commit.min(previous_index));
            let body = self.accepted(matched, sent_at);
            self.send(from, self.term, body);
            return;
        }
        let matched = entries.last().map_or(previous_index, |entry| entry.index);
        self.merge(entries);
        self.commit = self.commit.max(commit.min(matched));
        let body = self.accepted(matched, sent_at);
        self.send_after_sync(from, self.term, body);
    }

    fn merge(&mut self, entries: Vec<Entry>) {
        let mut fresh = Vec::new();
        for entry in entries {
            if entry.index <= self.log.snapshot().index {
                continue;
            }
            if fresh.is_empty() && self.log.term_at(entry.index) == Some(entry.term) {
                continue;
            }
            if fresh.is_empty() {
                self.truncate_from(entry.index);
            }
            self.log.push(entry.clone());
            fresh.push(entry);
        }
        if !fresh.is_empty() {
            self.effects.writes.push(Write::Entries(fresh));
        }
    }

    /// Invariant: an entry that is committed is never removed. A sync that ends later must not
    /// count for entries that took the place of removed ones.
    fn truncate_from(&mut self, index: Index) {
        debug_assert!(index > self.commit, "a committed entry would be removed");
        self.log.truncate_from(index);
        self.durable = self.durable.min(index - 1);
        for unsynced in &mut self.unsynced {
            unsynced.last_index = unsynced.last_index.min(index - 1);
        }
    }

    pub(crate) fn take_snapshot(&mut self, from: MemberId, snapshot: Snapshot, sent_at: Millis) {
        let matched = snapshot.index;
        if matched > self.commit {
            self.log.restart(&snapshot);
            self.commit = matched;
            self.applied = matched;
            self.durable = self.durable.min(matched);
            for unsynced in &mut self.unsynced {
                unsynced.last_index = unsynced.last_index.min(matched);
            }
            self.committed_members_index = self.committed_members_index.max(matched);
            self.effects.committed.clear();
            self.effects.install = Some(snapshot.clone());
            self.effects.writes.push(Write::Snapshot { snapshot, keep_rest: false });
        }
        let body = self.accepted(matched, sent_at);
        self.send_after_sync(from, self.term, body);
    }
}
