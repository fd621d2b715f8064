//! Objects of the platform's store as held by this process, with recent removals.

use std::collections::{BTreeSet, HashMap, VecDeque};
use std::sync::Arc;

use crate::source::{Change, Listing, Revision};
use crate::state_exchange::Removal;

/// Maximum number of removals retained for peers: several minutes of a fleet of 3,000 back ends
/// that are replaced once a day, or one simultaneous replacement of a sixth of them.
const MAX_REMOVALS: usize = 512;

/// An object that may have had several incarnations under one name.
pub trait Incarnated {
    /// Start of its incarnation, in milliseconds since the Unix epoch; 0 if it reports none.
    fn started_ms(&self) -> u64;

    /// Whether `other` describes an earlier incarnation. The last write of an ended incarnation may
    /// reach the store late, with a higher revision than the record of its successor.
    fn supersedes(&self, other: &Self) -> bool {
        other.started_ms() > 0 && self.started_ms() > other.started_ms()
    }

    /// Takes over what this record lacks and `other`, a record of the same name, tells of the same
    /// incarnation.
    fn complete_from(&mut self, _other: &Self) {}
}

/// An object before and after a change; `None` where it did not exist.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ObjectChange<T> {
    /// The previous value.
    pub before: Option<Arc<T>>,
    /// The new value.
    pub after: Option<Arc<T>>,
}

/// Objects of one kind by name, with their revisions.
#[derive(Debug)]
pub struct Objects<T> {
    held: HashMap<String, (Revision, Arc<T>)>,
    /// Names by revision of the last change: a peer's request costs in proportion to the changes.
    order: BTreeSet<(Revision, String)>,
    /// Revision up to which the objects are complete.
    revision: Revision,
    /// Removed objects with the revision at which the removal was observed, oldest first.
    removals: VecDeque<Removal>,
    /// Invariant: `removals` contains every removal observed after this revision. A peer that is
    /// further behind receives the whole list, as it would otherwise keep removed objects.
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

impl<T: Incarnated + PartialEq + Clone> Objects<T> {
    /// Replaces all objects and returns the changes; `None` if the list is older than the state.
    pub fn replace(&mut self, listing: Listing<T>) -> Option<Vec<ObjectChange<T>>> {
        if listing.revision < self.revision {
            return None;
        }
        // A list does not show which objects were added and removed since the previous one.
        self.removals.clear();
        self.removals_after = listing.revision;
        self.revision = listing.revision;
        let mut before = std::mem::take(&mut self.held);
        self.order.clear();
        let mut changed = Vec::new();
        for item in listing.items {
            let Some(mut value) = item.value else { continue };
            let held = before.remove(&item.name);
            if let Some((_, held)) = &held {
                value.complete_from(held);
            }
            let stays = |(revision, held): &&(Revision, Arc<T>)| {
                held.supersedes(&value) || (*revision == item.revision && **held == value)
            };
            if let Some(held) = held.as_ref().filter(stays) {
                self.insert(item.name, held.0, held.1.clone());
                continue;
            }
            let value = Arc::new(value);
            self.insert(item.name, item.revision, value.clone());
            changed.push(ObjectChange { before: held.map(|(_, held)| held), after: Some(value) });
        }
        let gone =
            before.into_values().map(|(_, held)| ObjectChange { before: Some(held), after: None });
        changed.extend(gone);
        Some(changed)
    }

    fn insert(&mut self, name: String, revision: Revision, value: Arc<T>) -> Option<Arc<T>> {
        self.order.insert((revision, name.clone()));
        let (before_at, before) = self.held.insert(name.clone(), (revision, value))?;
        if before_at != revision {
            self.order.remove(&(before_at, name));
        }
        Some(before)
    }

    fn remove_object(&mut self, name: &str) -> Option<Arc<T>> {
        let (revision, before) = self.held.remove(name)?;
        self.order.remove(&(revision, name.to_owned()));
        Some(before)
    }

    fn record_removal(&mut self, name: String, revision: Revision) {
        self.removals.push_back(Removal { name, revision });
        if self.removals.len() > MAX_REMOVALS {
            if let Some(oldest) = self.removals.pop_front() {
                self.removals_after = self.removals_after.max(oldest.revision);
            }
        }
    }

    /// Whether all changes after a revision are known here, including removals.
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

    /// Removals observed after a revision, except of objects that exist again: the revision at
    /// which a removal was observed may be higher than that at which the object was re-created.
    pub fn removed_after(&self, revision: Revision) -> impl Iterator<Item = &Removal> {
        let is_gone = |removal: &&Removal| !self.held.contains_key(&removal.name);
        self.removals.iter().filter(move |removal| removal.revision > revision).filter(is_gone)
    }

    /// Applies a peer's removals, returns the new ones; objects changed later (re-created) stay.
    pub fn remove(&mut self, removals: Vec<Removal>) -> Vec<ObjectChange<T>> {
        let mut changed = Vec::new();
        for Removal { name, revision } in removals {
            let is_older = |(held, _): &(Revision, Arc<T>)| *held <= revision;
            if self.held.get(&name).is_some_and(is_older) {
                changed.push(ObjectChange { before: self.remove_object(&name), after: None });
            }
            self.record_removal(name, revision);
        }
        changed
    }

    /// Applies changes up to a revision and returns those that took effect, ignoring outdated ones.
    pub fn apply(&mut self, changes: Vec<Change<T>>, revision: Revision) -> Vec<ObjectChange<T>> {
        let changed =
            changes.into_iter().filter_map(|change| self.apply_one(change, revision)).collect();
        self.revision = self.revision.max(revision);
        changed
    }

    fn apply_one(&mut self, change: Change<T>, revision: Revision) -> Option<ObjectChange<T>> {
        match change.value {
            // Not every store assigns a removal a revision above that of the object's last change.
            None => {
                let before = self.remove_object(&change.name)?;
                self.record_removal(change.name, revision);
                Some(ObjectChange { before: Some(before), after: None })
            }
            Some(mut value) => {
                if let Some(held) = self.held.get(&change.name) {
                    if is_newer(held, change.revision, &value) {
                        return self.complete_one(change.name, &value);
                    }
                    value.complete_from(&held.1);
                }
                let value = Arc::new(value);
                let before = self.insert(change.name, change.revision, value.clone());
                Some(ObjectChange { before, after: Some(value) })
            }
        }
    }

    /// Completes records that are held, of whatever revision, and returns those that changed.
    pub fn complete<'a>(
        &mut self,
        records: impl Iterator<Item = (&'a str, &'a T)>,
    ) -> Vec<ObjectChange<T>>
    where
        T: 'a,
    {
        records.filter_map(|(name, record)| self.complete_one(name.to_owned(), record)).collect()
    }

    fn complete_one(&mut self, name: String, record: &T) -> Option<ObjectChange<T>> {
        let (revision, held) = self.held.get(&name)?;
        let (revision, mut completed) = (*revision, T::clone(held));
        completed.complete_from(record);
        if completed == **held {
            return None;
        }
        let completed = Arc::new(completed);
        let before = self.insert(name, revision, completed.clone());
        Some(ObjectChange { before, after: Some(completed) })
    }

    /// Raises the revision because another process holds the same objects at a higher one.
    pub fn confirm(&mut self, revision: Revision) {
        self.revision = self.revision.max(revision);
    }

    /// Iterates over the objects with names and revisions.
    pub fn named(&self) -> impl Iterator<Item = (&String, Revision, &Arc<T>)> {
        self.held.iter().map(|(name, (revision, value))| (name, *revision, value))
    }

    /// Number of objects.
    pub fn len(&self) -> usize {
        self.held.len()
    }

    /// Whether there are no objects.
    pub fn is_empty(&self) -> bool {
        self.held.is_empty()
    }

    /// Revision up to which the objects are complete.
    pub fn revision(&self) -> Revision {
        self.revision
    }

    /// Iterates over the objects.
    pub fn values(&self) -> impl Iterator<Item = &Arc<T>> {
        self.held.values().map(|(_, value)| value)
    }
}

/// Whether the held object is of a later incarnation, or of the same and at no lower revision.
fn is_newer<T: Incarnated>(held: &(Revision, Arc<T>), reported_at: Revision, reported: &T) -> bool {
    let (revision, held) = held;
    held.supersedes(reported) || (*revision >= reported_at && !reported.supersedes(held))
}
