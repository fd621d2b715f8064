//! Objects of the platform's store as this process knows them, with what went lately.

use std::collections::{HashMap, VecDeque};
use std::sync::Arc;

use crate::news_exchange::Removal;
use crate::source::{Change, Listing, Revision};

/// Removals that are remembered for peers: some minutes of a fleet of 3,000 back ends that are
/// replaced once a day, or one replacement of a sixth of them at once.
const MOST_REMOVALS: usize = 512;

/// Something that an object of the store describes, which may have had several lives under one name.
pub trait Lived {
    /// When its life began, in milliseconds since the Unix epoch; 0 where it tells none.
    fn started_ms(&self) -> u64;

    /// Whether another record is of an earlier life. What an ended life wrote may reach the store late, with a
    /// higher revision than the record of the life after it.
    fn outlives(&self, other: &Self) -> bool {
        other.started_ms() > 0 && self.started_ms() > other.started_ms()
    }
}

/// Objects of one kind by name, with the revision of each.
#[derive(Debug)]
pub struct Objects<T> {
    held: HashMap<String, (Revision, Arc<T>)>,
    /// Revision up to which everything is known.
    revision: Revision,
    /// Objects that were removed, with the revision at which that was learnt, the oldest first.
    removals: VecDeque<Removal>,
    /// Invariant: every removal that was learnt after this revision is in `removals`. A peer that
    /// knows less gets the whole list; it would else keep objects that are gone.
    removals_after: Revision,
}

impl<T> Default for Objects<T> {
    fn default() -> Self {
        Self { held: HashMap::new(), revision: 0, removals: VecDeque::new(), removals_after: 0 }
    }
}

impl<T: Lived> Objects<T> {
    /// Takes a whole list. Returns false, and changes nothing, when it is older than what is held.
    pub fn replace(&mut self, listing: Listing<T>) -> bool {
        if listing.revision < self.revision {
            return false;
        }
        // A list does not tell what came and went since the one before.
        self.removals.clear();
        self.removals_after = listing.revision;
        self.revision = listing.revision;
        let mut listed = HashMap::new();
        for item in listing.items {
            let Some(value) = item.value else { continue };
            let held = self.held.remove(&item.name);
            let newer_life = held.filter(|(_, held)| held.outlives(&value));
            listed.insert(item.name, newer_life.unwrap_or((item.revision, Arc::new(value))));
        }
        self.held = listed;
        true
    }

    fn note_removal(&mut self, name: String, revision: Revision) {
        self.removals.push_back(Removal { name, revision });
        if self.removals.len() > MOST_REMOVALS {
            if let Some(oldest) = self.removals.pop_front() {
                self.removals_after = self.removals_after.max(oldest.revision);
            }
        }
    }

    /// Whether everything that changed after a revision is known here, removals included.
    pub fn covers(&self, revision: Revision) -> bool {
        revision > 0 && revision >= self.removals_after
    }

    /// Objects that changed after a revision.
    pub fn changed_after(
        &self,
        revision: Revision,
    ) -> impl Iterator<Item = (&String, Revision, &Arc<T>)> {
        let all = self.held.iter().map(|(name, (changed, value))| (name, *changed, value));
        all.filter(move |(_, changed, _)| *changed > revision)
    }

    /// Removals that were learnt after a revision. One of an object that is back again is none: the
    /// revision at which it was learnt may be higher than that of the object's return.
    pub fn removed_after(&self, revision: Revision) -> impl Iterator<Item = &Removal> {
        let is_gone = |removal: &&Removal| !self.held.contains_key(&removal.name);
        self.removals.iter().filter(move |removal| removal.revision > revision).filter(is_gone)
    }

    /// Takes removals that a peer learnt of. An object that changed later than that is back again.
    pub fn remove(&mut self, removals: Vec<Removal>) {
        for Removal { name, revision } in removals {
            let is_older = |(held, _): &(Revision, Arc<T>)| *held <= revision;
            if self.held.get(&name).is_some_and(is_older) {
                self.held.remove(&name);
            }
            self.note_removal(name, revision);
        }
    }

    /// Takes changes up to a revision; those older than what is held are left out.
    pub fn apply(&mut self, changes: Vec<Change<T>>, revision: Revision) {
        for change in changes {
            self.apply_one(change, revision);
        }
        self.revision = self.revision.max(revision);
    }

    fn apply_one(&mut self, change: Change<T>, revision: Revision) {
        match change.value {
            // The removal of an object has no revision above its last change at every store.
            None => {
                if self.held.remove(&change.name).is_some() {
                    self.note_removal(change.name, revision);
                }
            }
            Some(value) => {
                let stays = |held: &(Revision, Arc<T>)| is_newer(held, change.revision, &value);
                if !self.held.get(&change.name).is_some_and(stays) {
                    self.held.insert(change.name, (change.revision, Arc::new(value)));
                }
            }
        }
    }

    /// Another process holds just the same at a higher revision: so does this one.
    pub fn confirm(&mut self, revision: Revision) {
        self.revision = self.revision.max(revision);
    }

    /// The objects by name, with the revision of each.
    pub fn named(&self) -> impl Iterator<Item = (&String, Revision, &Arc<T>)> {
        self.held.iter().map(|(name, (revision, value))| (name, *revision, value))
    }

    /// Revision up to which everything is known.
    pub fn revision(&self) -> Revision {
        self.revision
    }

    /// The objects.
    pub fn values(&self) -> impl Iterator<Item = &Arc<T>> {
        self.held.values().map(|(_, value)| value)
    }
}

/// Whether what is held is newer than what is told: of a later life, else at a revision that is not lower.
fn is_newer<T: Lived>(held: &(Revision, Arc<T>), told_at: Revision, told: &T) -> bool {
    let (revision, held) = held;
    held.outlives(told) || (*revision >= told_at && !told.outlives(held))
}
