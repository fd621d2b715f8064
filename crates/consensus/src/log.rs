//! Entries, and the part of the log that is held in memory.

use std::collections::VecDeque;
use std::sync::Arc;

use borsh::{BorshDeserialize, BorshSerialize};
use bytes::Bytes;

use crate::message::Members;

/// Number of an election.
pub type Term = u64;
/// Position in the log, from 1.
pub type Index = u64;

/// What an entry holds.
#[derive(Clone, Debug, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub enum Payload {
    /// Nothing: begins a term.
    Empty,
    /// A command of the replicated state machine; the log, the disk and the links share its bytes.
    Command(Arc<[u8]>),
    /// The members from this entry on.
    Members(Members),
}

/// An entry of the log.
#[derive(Clone, Debug, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub struct Entry {
    /// Position.
    pub index: Index,
    /// Term of the leader that wrote it.
    pub term: Term,
    /// Content.
    pub payload: Payload,
}

/// Overhead of an entry beside its command, in bytes.
const ENTRY_OVERHEAD_BYTES: usize = 32;

impl Entry {
    /// About its size, in bytes.
    pub fn bytes(&self) -> usize {
        match &self.payload {
            Payload::Command(command) => command.len() + ENTRY_OVERHEAD_BYTES,
            Payload::Empty | Payload::Members(_) => ENTRY_OVERHEAD_BYTES,
        }
    }
}

/// The state after an entry, which takes the place of the entries up to it.
#[derive(Clone, Debug, Default, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub struct Snapshot {
    /// Last entry in it.
    pub index: Index,
    /// Its term.
    pub term: Term,
    /// The members after it.
    pub members: Members,
    /// Position of the entry that told them.
    pub members_index: Index,
    /// The state machine.
    pub state: Bytes,
}

impl Snapshot {
    /// The same position without the state, which the log does not need to hold.
    pub fn position(&self) -> Self {
        Self {
            index: self.index,
            term: self.term,
            members: self.members.clone(),
            members_index: self.members_index,
            state: Bytes::new(),
        }
    }
}

/// Entries after a snapshot. Of the snapshot only its position is held: the state machine has the
/// state, and whoever needs it is sent the present one.
#[derive(Clone, Debug, Default)]
pub struct Log {
    snapshot: Snapshot,
    entries: VecDeque<Entry>,
    bytes: usize,
}

impl Log {
    /// A log from what a disk held.
    pub fn new(snapshot: Snapshot, entries: Vec<Entry>) -> Self {
        let bytes = entries.iter().map(Entry::bytes).sum();
        Self { snapshot: snapshot.position(), entries: entries.into(), bytes }
    }

    /// Position of the snapshot before the first entry.
    pub fn snapshot(&self) -> &Snapshot {
        &self.snapshot
    }

    /// Bytes of the entries.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Bytes of the entries up to a position.
    pub fn bytes_up_to(&self, index: Index) -> usize {
        let applied = self.entries.iter().take_while(|entry| entry.index <= index);
        applied.map(Entry::bytes).sum()
    }

    /// Last position.
    pub fn last_index(&self) -> Index {
        self.snapshot.index + self.entries.len() as u64
    }

    /// Term of the last position.
    pub fn last_term(&self) -> Term {
        self.entries.back().map_or(self.snapshot.term, |entry| entry.term)
    }

    /// Term of a position; `None` where the log does not reach, or reaches no longer.
    pub fn term_at(&self, index: Index) -> Option<Term> {
        if index == self.snapshot.index {
            return Some(self.snapshot.term);
        }
        self.get(index).map(|entry| entry.term)
    }

    /// The entry at a position.
    pub fn get(&self, index: Index) -> Option<&Entry> {
        let offset = index.checked_sub(self.snapshot.index + 1)?;
        self.entries.get(offset as usize)
    }

    /// Entries from a position on, up to `limit` bytes but one at least.
    pub fn entries_from(&self, index: Index, limit: usize) -> Vec<Entry> {
        let mut taken = Vec::new();
        let mut bytes = 0;
        let mut index = index;
        while let Some(entry) = self.get(index) {
            bytes += entry.bytes();
            if !taken.is_empty() && bytes > limit {
                break;
            }
            taken.push(entry.clone());
            index += 1;
        }
        taken
    }

    /// Adds an entry at the end.
    pub fn push(&mut self, entry: Entry) {
        self.bytes += entry.bytes();
        self.entries.push_back(entry);
    }

    /// Removes every entry from a position on.
    pub fn truncate_from(&mut self, index: Index) {
        while self.last_index() >= index {
            let Some(entry) = self.entries.pop_back() else { return };
            self.bytes -= entry.bytes();
        }
    }

    /// Puts a snapshot in the place of the entries up to it.
    pub fn compact(&mut self, snapshot: &Snapshot) {
        while self.entries.front().is_some_and(|entry| entry.index <= snapshot.index) {
            if let Some(entry) = self.entries.pop_front() {
                self.bytes -= entry.bytes();
            }
        }
        self.snapshot = snapshot.position();
    }

    /// Puts a snapshot in the place of everything.
    pub fn reset(&mut self, snapshot: &Snapshot) {
        self.entries.clear();
        self.bytes = 0;
        self.snapshot = snapshot.position();
    }

    /// The newest members in the log, and the position that holds them.
    pub fn members(&self) -> (Index, &Members) {
        for entry in self.entries.iter().rev() {
            if let Payload::Members(members) = &entry.payload {
                return (entry.index, members);
            }
        }
        (self.snapshot.members_index, &self.snapshot.members)
    }
}
