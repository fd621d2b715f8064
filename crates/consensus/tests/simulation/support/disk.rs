//! A disk that loses what was not synced.

use yokefall_consensus::{Entry, Message, Millis, Recovered, Write};

/// Contents of a disk: all writes, and how many of them are synced.
#[derive(Clone, Debug, Default)]
pub struct Disk {
    pub incarnation: u64,
    pub writes: Vec<Write>,
    pub synced: usize,
}

impl Disk {
    /// Writes that are synced at once.
    pub fn write_synced(&mut self, writes: Vec<Write>) {
        self.writes.extend(writes);
        self.synced = self.writes.len();
    }

    pub fn recover(&self) -> Recovered {
        let mut recovered = Recovered::default();
        for write in &self.writes {
            match write {
                Write::State { term, voted_for, committed_members_index } => {
                    recovered.committed_members_index = *committed_members_index;
                    recovered.term = *term;
                    recovered.voted_for = voted_for.clone();
                }
                Write::Entries(entries) => {
                    let first = entries[0].index;
                    recovered.entries.retain(|entry: &Entry| entry.index < first);
                    recovered.entries.extend(entries.iter().cloned());
                }
                Write::Snapshot { snapshot, keep_later_entries } => {
                    let keep = |entry: &Entry| *keep_later_entries && entry.index > snapshot.index;
                    recovered.entries.retain(keep);
                    recovered.snapshot = snapshot.clone();
                }
            }
        }
        recovered
    }
}

#[derive(Debug)]
pub(super) struct Batch {
    /// Number of writes on the disk once this batch is synced.
    pub until: usize,
    pub has_writes: bool,
    pub after_sync: Vec<Message>,
    pub ready_at: Millis,
}
