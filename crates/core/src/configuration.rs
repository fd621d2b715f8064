//! The configuration in force at one daemon: objects whose versions only increase.

use std::collections::BTreeMap;

use xxhash_rust::xxh3::xxh3_64;
use yokefall_peer::{ObjectVersion, VersionedObject};
use yokefall_types::{Declaration, Kind, ObjectKey};

#[derive(Clone, Debug)]
struct Entry {
    version: u64,
    value: Option<Declaration>,
}

/// Objects by key, each at the highest version received.
///
/// Invariant: the version of a key never decreases. Otherwise a slow peer or a restarted reader
/// could revert an accepted change.
#[derive(Clone, Debug, Default)]
pub struct ConfigurationStore {
    entries: BTreeMap<ObjectKey, Entry>,
}

/// The difference between this store and another one, in both directions.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Repair {
    /// Objects that are missing or older at the other side.
    pub objects: Vec<VersionedObject>,
    /// Keys of objects that are missing or older at this side.
    pub wanted: Vec<ObjectKey>,
}

impl ConfigurationStore {
    /// Stores an object if it is newer than the one held. Returns whether it was.
    pub fn apply(&mut self, object: VersionedObject) -> bool {
        let held = self.entries.get(&object.key).map_or(0, |entry| entry.version);
        if object.version <= held {
            return false;
        }
        let entry = Entry { version: object.version, value: object.value };
        self.entries.insert(object.key, entry);
        true
    }

    /// Applies a complete listing of one kind at `list_version`. Objects of that kind that are not
    /// listed are deleted unless they are newer. Returns the objects that changed.
    pub fn apply_listing(
        &mut self,
        kind: Kind,
        list_version: u64,
        listed: Vec<VersionedObject>,
    ) -> Vec<VersionedObject> {
        let present: std::collections::BTreeSet<ObjectKey> =
            listed.iter().map(|object| object.key.clone()).collect();
        let deleted = self
            .entries
            .iter()
            .filter(|(key, entry)| {
                key.kind == kind && entry.value.is_some() && !present.contains(key)
            })
            .filter(|(_, entry)| entry.version <= list_version)
            .map(|(key, _)| VersionedObject {
                key: key.clone(),
                version: list_version,
                value: None,
            });
        let candidates: Vec<VersionedObject> = deleted.collect();
        candidates.into_iter().chain(listed).filter(|object| self.apply(object.clone())).collect()
    }

    /// The object with this key, including deleted objects.
    pub fn get(&self, key: &ObjectKey) -> Option<VersionedObject> {
        let entry = self.entries.get(key)?;
        Some(VersionedObject {
            key: key.clone(),
            version: entry.version,
            value: entry.value.clone(),
        })
    }

    /// All objects in order of key, including deleted objects.
    pub fn objects(&self) -> impl Iterator<Item = VersionedObject> + '_ {
        self.entries.iter().map(|(key, entry)| VersionedObject {
            key: key.clone(),
            version: entry.version,
            value: entry.value.clone(),
        })
    }

    /// The live declarations of one kind.
    pub fn live(&self, kind: Kind) -> impl Iterator<Item = (&ObjectKey, &Declaration)> + '_ {
        self.entries
            .iter()
            .filter(move |(key, _)| key.kind == kind)
            .filter_map(|(key, entry)| entry.value.as_ref().map(|value| (key, value)))
    }

    /// The highest version among all kinds but machines; zero if there is none.
    pub fn highest_version(&self) -> u64 {
        let declared = self.entries.iter().filter(|(key, _)| key.kind != Kind::Machine);
        declared.map(|(_, entry)| entry.version).max().unwrap_or(0)
    }

    /// Order-independent digest over all keys and versions. Equal stores have equal digests.
    pub fn digest(&self) -> u64 {
        let hash = |(key, entry): (&ObjectKey, &Entry)| {
            xxh3_64(format!("{key}@{}", entry.version).as_bytes())
        };
        self.entries.iter().map(hash).fold(0u64, u64::wrapping_add)
    }

    /// The version of every key.
    pub fn versions(&self) -> Vec<ObjectVersion> {
        let version = |(key, entry): (&ObjectKey, &Entry)| ObjectVersion {
            key: key.clone(),
            version: entry.version,
        };
        self.entries.iter().map(version).collect()
    }

    /// Computes the difference to a store that holds these versions.
    pub fn compare(&self, theirs: &[ObjectVersion]) -> Repair {
        let held: BTreeMap<&ObjectKey, u64> = theirs.iter().map(|v| (&v.key, v.version)).collect();
        let newer_here = |object: &VersionedObject| {
            held.get(&object.key).is_none_or(|version| *version < object.version)
        };
        let newer_there = |theirs: &&ObjectVersion| {
            self.entries.get(&theirs.key).is_none_or(|entry| entry.version < theirs.version)
        };
        Repair {
            objects: self.objects().filter(newer_here).collect(),
            wanted: theirs.iter().filter(newer_there).map(|v| v.key.clone()).collect(),
        }
    }
}
