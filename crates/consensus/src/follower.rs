//! Handling of a leader's messages by a follower: entries, heartbeats and snapshots.

use crate::log::{Entry, Index, Snapshot, Term};
use crate::message::{Body, MemberId};
use crate::node::{Consensus, Millis, Role, Write};

impl Consensus {
    /// Whether a message is from the current term's leader; that of an older term gets a rejection.
    pub(crate) fn accept_leader(
        &mut self,
        now: Millis,
        from: &MemberId,
        term: Term,
        sent_at: Millis,
    ) -> bool {
        if term < self.term {
            let body = self.rejected(0, 0, sent_at);
            self.send_after_sync(from.clone(), self.term, body);
            return false;
        }
        if term > self.term || self.role != Role::Follower {
            self.become_follower(now, term);
        }
        self.finish_transfer(now, Some(from));
        self.leader = Some(from.clone());
        self.last_contact = now;
        self.quorum_contact = now;
        self.quorum_contact_term = term;
        self.schedule_election(now);
        true
    }

    fn accepted(&self, matched: Index, sent_at: Millis) -> Body {
        let committed_members_index = self.durable_members_index;
        Body::AppendReply {
            accepted: true,
            matched,
            rejected_index: 0,
            committed_members_index,
            sent_at,
        }
    }

    fn rejected(&self, rejected_index: Index, hint: Index, sent_at: Millis) -> Body {
        let committed_members_index = self.durable_members_index;
        Body::AppendReply {
            accepted: false,
            matched: hint,
            rejected_index,
            committed_members_index,
            sent_at,
        }
    }

    pub(crate) fn handle_append(
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
            // Committed entries always match, so the leader never has to go back beyond them.
            let hint = self.log.last_index().min(previous_index.saturating_sub(1)).max(self.commit);
            let body = self.rejected(previous_index, hint, sent_at);
            self.send_after_sync(from, self.term, body);
            return;
        }
        if entries.is_empty() {
            // Acknowledges synced entries at once: a slow disk must not cost the leader its lease.
            let matched = previous_index.min(self.durable_index);
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

    /// Invariant: committed entries stay, and syncs of removed entries do not count for
    /// replacements.
    fn truncate_from(&mut self, index: Index) {
        debug_assert!(index > self.commit, "a committed entry would be removed");
        self.log.truncate_from(index);
        self.durable_index = self.durable_index.min(index - 1);
        for unsynced in &mut self.unsynced {
            unsynced.last_index = unsynced.last_index.min(index - 1);
        }
    }

    pub(crate) fn handle_install(&mut self, from: MemberId, snapshot: Snapshot, sent_at: Millis) {
        let matched = snapshot.index;
        if matched > self.commit {
            self.log.reset(&snapshot);
            self.commit = matched;
            self.applied = matched;
            self.durable_index = self.durable_index.min(matched);
            for unsynced in &mut self.unsynced {
                unsynced.last_index = unsynced.last_index.min(matched);
            }
            self.committed_members_index = self.committed_members_index.max(matched);
            self.effects.committed.clear();
            self.effects.install = Some(snapshot.clone());
            self.effects.writes.push(Write::Snapshot { snapshot, keep_later_entries: false });
        }
        let body = self.accepted(matched, sent_at);
        self.send_after_sync(from, self.term, body);
    }
}
