//! Objects of the platform's store as this process knows them, with what went lately.

use std::collections::{BTreeSet, HashMap, VecDeque};
use std::sync::Arc;

use crate::source::{Change, Listing, Revision};
use crate::state_exchange::Removal;

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

/// An object before and after a change; `None` where it was not known, or is not any more.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ObjectChange<T> {
    /// What was known.
    pub before: Option<Arc<T>>,
    /// What is known now.
    pub after: Option<Arc<T>>,
}

/// Objects of one kind by name, with the revision of each.
#[derive(Debug)]
pub struct Objects<T> {
    held: HashMap<String, (Revision, Arc<T>)>,
    /// Names by the revision of their last change: a peer that asks for what is new costs as many steps as that is.
    order: BTreeSet<(Revision, String)>,
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
        Self {
            held: HashMap::new(),
            order: BTreeSet::new(),
            revision: 0,
            removals: VecDeque::new(),
            removals_after: 0,
        }
    }
}

impl<T: Lived + PartialEq> Objects<T> {
    /// Takes a whole list, and tells what changed by it; `None` when it is older than what is held.
    pub fn replace(&mut self, listing: Listing<T>) -> Option<Vec<ObjectChange<T>>> {
        if listing.revision < self.revision {
            return None;
        }
        // A list does not tell what came and went since the one before.
        self.removals.clear();
        self.removals_after = listing.revision;
        self.revision = listing.revision;
        let mut before = std::mem::take(&mut self.held);
        self.order.clear();
        let mut changed = Vec::new();
        for item in listing.items {
            let Some(value) = item.value else { continue };
            let held = before.remove(&item.name);
            let stays = |(revision, held): &&(Revision, Arc<T>)| {
                held.outlives(&value) || (*revision == item.revision && **held == value)
            };
            if let Some(held) = held.as_ref().filter(stays) {
                self.hold(item.name, held.0, held.1.clone());
                continue;
            }
            let value = Arc::new(value);
            self.hold(item.name, item.revision, value.clone());
            changed.push(ObjectChange { before: held.map(|(_, held)| held), after: Some(value) });
        }
        let gone =
            before.into_values().map(|(_, held)| ObjectChange { before: Some(held), after: None });
        changed.extend(gone);
        Some(changed)
    }

    /// Holds an object at a revision, in the place of what was held under its name.
    fn hold(&mut self, name: String, revision: Revision, value: Arc<T>) -> Option<Arc<T>> {
        self.order.insert((revision, name.clone()));
        let (before_at, before) = self.held.insert(name.clone(), (revision, value))?;
        if before_at != revision {
            self.order.remove(&(before_at, name));
        }
        Some(before)
    }

    fn drop_object(&mut self, name: &str) -> Option<Arc<T>> {
        let (revision, before) = self.held.remove(name)?;
        self.order.remove(&(revision, name.to_owned()));
        Some(before)
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
        let names = self.order.range((revision.saturating_add(1), String::new())..);
        names.filter_map(|(changed, name)| {
            let (name, (_, value)) = self.held.get_key_value(name)?;
            Some((name, *changed, value))
        })
    }

    /// Removals that were learnt after a revision. One of an object that is back again is none: the
    /// revision at which it was learnt may be higher than that of the object's return.
    pub fn removed_after(&self, revision: Revision) -> impl Iterator<Item = &Removal> {
        let is_gone = |removal: &&Removal| !self.held.contains_key(&removal.name);
        self.removals.iter().filter(move |removal| removal.revision > revision).filter(is_gone)
    }

    /// Takes removals that a peer learnt of, and tells which were not known here. An object that changed later than
    /// that is back again.
    pub fn remove(&mut self, removals: Vec<Removal>) -> Vec<ObjectChange<T>> {
        let mut changed = Vec::new();
        for Removal { name, revision } in removals {
            let is_older = |(held, _): &(Revision, Arc<T>)| *held <= revision;
            if self.held.get(&name).is_some_and(is_older) {
                changed.push(ObjectChange { before: self.drop_object(&name), after: None });
            }
            self.note_removal(name, revision);
        }
        changed
    }

    /// Takes changes up to a revision, and tells which were new; those older than what is held are left out.
    pub fn apply(&mut self, changes: Vec<Change<T>>, revision: Revision) -> Vec<ObjectChange<T>> {
        let changed =
            changes.into_iter().filter_map(|change| self.apply_one(change, revision)).collect();
        self.revision = self.revision.max(revision);
        changed
    }

    fn apply_one(&mut self, change: Change<T>, revision: Revision) -> Option<ObjectChange<T>> {
        match change.value {
            // The removal of an object has no revision above its last change at every store.
            None => {
                let before = self.drop_object(&change.name)?;
                self.note_removal(change.name, revision);
                Some(ObjectChange { before: Some(before), after: None })
            }
            Some(value) => {
                let stays = |held: &(Revision, Arc<T>)| is_newer(held, change.revision, &value);
                if self.held.get(&change.name).is_some_and(stays) {
                    return None;
                }
                let value = Arc::new(value);
                let before = self.hold(change.name, change.revision, value.clone());
                Some(ObjectChange { before, after: Some(value) })
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

    /// How many there are.
    pub fn len(&self) -> usize {
        self.held.len()
    }

    /// Whether there is none.
    pub fn is_empty(&self) -> bool {
        self.held.is_empty()
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
