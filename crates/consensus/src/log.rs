//! Log entries, and the part of the log that is held in memory.

use std::collections::VecDeque;
use std::sync::Arc;

use borsh::{BorshDeserialize, BorshSerialize};
use bytes::Bytes;

use crate::message::Members;

/// Number of an election term.
pub type Term = u64;
/// Index in the log, starting at 1.
pub type Index = u64;

/// Payload of an entry.
#[derive(Clone, Debug, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub enum Payload {
    /// No payload; marks the start of a term.
    Empty,
    /// A command, whose bytes the log, the disk writer and the connections share.
    Command(Arc<[u8]>),
    /// The membership from this entry on.
    Members(Members),
}

/// An entry of the log.
#[derive(Clone, Debug, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub struct Entry {
    /// Index.
    pub index: Index,
    /// Term of the leader that created it.
    pub term: Term,
    /// Payload.
    pub payload: Payload,
}

const ENTRY_OVERHEAD_BYTES: usize = 32;

impl Entry {
    /// Approximate size, in bytes.
    pub fn bytes(&self) -> usize {
        match &self.payload {
            Payload::Command(command) => command.len() + ENTRY_OVERHEAD_BYTES,
            Payload::Empty | Payload::Members(_) => ENTRY_OVERHEAD_BYTES,
        }
    }
}

/// The state after an entry, which replaces the entries up to it.
#[derive(Clone, Debug, Default, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub struct Snapshot {
    /// Index of the last entry that it includes.
    pub index: Index,
    /// Term of that entry.
    pub term: Term,
    /// Membership after that entry.
    pub members: Members,
    /// Index of the entry that set the membership.
    pub members_index: Index,
    /// Encoded state of the state machine.
    pub state: Bytes,
}

impl Snapshot {
    /// The snapshot's metadata without the state, which the log does not need to hold.
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

/// The entries after a snapshot, and its metadata: the state machine holds the state to be sent.
#[derive(Clone, Debug, Default)]
pub struct Log {
    snapshot: Snapshot,
    entries: VecDeque<Entry>,
    bytes: usize,
}

impl Log {
    /// Creates a log from the contents of a disk.
    pub fn new(snapshot: Snapshot, entries: Vec<Entry>) -> Self {
        let bytes = entries.iter().map(Entry::bytes).sum();
        Self { snapshot: snapshot.position(), entries: entries.into(), bytes }
    }

    /// Metadata of the snapshot before the first entry.
    pub fn snapshot(&self) -> &Snapshot {
        &self.snapshot
    }

    /// Size of the entries, in bytes.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Size of the entries up to an index, in bytes.
    pub fn bytes_up_to(&self, index: Index) -> usize {
        let included = self.entries.iter().take_while(|entry| entry.index <= index);
        included.map(Entry::bytes).sum()
    }

    /// Last index.
    pub fn last_index(&self) -> Index {
        self.snapshot.index + self.entries.len() as u64
    }

    /// Term of the last entry.
    pub fn last_term(&self) -> Term {
        self.entries.back().map_or(self.snapshot.term, |entry| entry.term)
    }

    /// Term of the entry at an index; `None` if the log does not contain it.
    pub fn term_at(&self, index: Index) -> Option<Term> {
        if index == self.snapshot.index {
            return Some(self.snapshot.term);
        }
        self.get(index).map(|entry| entry.term)
    }

    /// The entry at an index.
    pub fn get(&self, index: Index) -> Option<&Entry> {
        let offset = index.checked_sub(self.snapshot.index + 1)?;
        self.entries.get(offset as usize)
    }

    /// Entries from an index on, up to `limit` bytes but at least one.
    pub fn from(&self, index: Index, limit: usize) -> Vec<Entry> {
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

    /// Appends an entry.
    pub fn push(&mut self, entry: Entry) {
        self.bytes += entry.bytes();
        self.entries.push_back(entry);
    }

    /// Removes all entries from an index on.
    pub fn truncate_from(&mut self, index: Index) {
        while self.last_index() >= index {
            let Some(entry) = self.entries.pop_back() else { return };
            self.bytes -= entry.bytes();
        }
    }

    /// Replaces the entries up to a snapshot.
    pub fn compact(&mut self, snapshot: &Snapshot) {
        while self.entries.front().is_some_and(|entry| entry.index <= snapshot.index) {
            if let Some(entry) = self.entries.pop_front() {
                self.bytes -= entry.bytes();
            }
        }
        self.snapshot = snapshot.position();
    }

    /// Replaces the whole log by a snapshot.
    pub fn reset(&mut self, snapshot: &Snapshot) {
        self.entries.clear();
        self.bytes = 0;
        self.snapshot = snapshot.position();
    }

    /// The newest membership in the log and the index of its entry.
    pub fn members(&self) -> (Index, &Members) {
        for entry in self.entries.iter().rev() {
            if let Payload::Members(members) = &entry.payload {
                return (entry.index, members);
            }
        }
        (self.snapshot.members_index, &self.snapshot.members)
    }
}
