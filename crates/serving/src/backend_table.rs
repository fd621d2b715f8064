//! Persistent map of back ends by id, whose versions share unchanged shards.
//!
//! One thread changes the table while others read older versions. A change copies one shard and the
//! list of shards, so that its cost hardly depends on the number of back ends. Two versions are
//! compared shard by shard, and shards that both share are skipped.

use std::cmp::Reverse;
use std::sync::{Arc, OnceLock};

use rand::Rng;
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use crate::model::Backend;
use crate::objects::ObjectChange;

/// Number of shards. A change copies this many pointers and those of one shard: 39 at 10,000 back
/// ends and 78 at 20,000. With fewer shards, the copy of one would grow with the fleet; with more,
/// copying the list would cost more than a shard at every supported fleet size.
const SHARDS: usize = 256;

/// Back ends of one shard, ordered by id; `None` if it has none.
type Shard = Option<Arc<Vec<Arc<Backend>>>>;

/// Back ends by id.
#[derive(Clone, Debug)]
pub struct BackendTable {
    shards: Vec<Shard>,
    count: usize,
    slots: u64,
    max_shard_len: usize,
}

impl Default for BackendTable {
    fn default() -> Self {
        Self { shards: vec![None; SHARDS], count: 0, slots: 0, max_shard_len: 0 }
    }
}

impl BackendTable {
    /// Number of back ends.
    pub fn len(&self) -> usize {
        self.count
    }

    /// Whether the table is empty.
    pub fn is_empty(&self) -> bool {
        self.count == 0
    }

    /// Total slots of all back ends.
    pub fn slots(&self) -> u64 {
        self.slots
    }

    /// The back end with this id.
    pub fn get(&self, id: &str) -> Option<&Arc<Backend>> {
        let shard = self.shards[shard_of(id)].as_ref()?;
        position(shard, id).ok().map(|position| &shard[position])
    }

    /// Whether the table contains this id.
    pub fn contains(&self, id: &str) -> bool {
        self.get(id).is_some()
    }

    /// All back ends.
    pub fn values(&self) -> impl Iterator<Item = &Arc<Backend>> {
        self.shards.iter().flatten().flat_map(|shard| shard.iter())
    }

    /// Inserts a back end, replacing the one with the same id.
    pub fn insert(&mut self, backend: Arc<Backend>) {
        let shard = self.shards[shard_of(&backend.id)].get_or_insert_default();
        let shard = Arc::make_mut(shard);
        self.slots += u64::from(backend.slots);
        match position(shard, &backend.id) {
            Ok(position) => {
                let before = std::mem::replace(&mut shard[position], backend);
                self.slots -= u64::from(before.slots);
            }
            Err(position) => {
                shard.insert(position, backend);
                self.count += 1;
                self.max_shard_len = self.max_shard_len.max(shard.len());
            }
        }
    }

    /// Removes a back end.
    pub fn remove(&mut self, id: &str) {
        let slot = &mut self.shards[shard_of(id)];
        let Some(shard) = slot.as_mut() else { return };
        let Ok(position) = position(shard, id) else { return };
        let shard = Arc::make_mut(shard);
        let removed = shard.remove(position);
        let was_largest = shard.len() + 1 == self.max_shard_len;
        if shard.is_empty() {
            *slot = None;
        }
        self.count -= 1;
        self.slots -= u64::from(removed.slots);
        if was_largest {
            let lengths = self.shards.iter().flatten().map(|shard| shard.len());
            self.max_shard_len = lengths.max().unwrap_or(0);
        }
    }

    /// Back ends that differ from another version's; one read again counts even if it is equal.
    pub fn changes_since<'a>(
        &'a self,
        before: &'a BackendTable,
    ) -> impl Iterator<Item = ObjectChange<Backend>> + 'a {
        let pairs = before.shards.iter().zip(&self.shards);
        pairs.filter(|(before, after)| !is_shared(before, after)).flat_map(shard_changes)
    }

    /// Number of pointers copied to derive this version from another one.
    pub fn copied_since(&self, before: &BackendTable) -> usize {
        let pairs = before.shards.iter().zip(&self.shards);
        let changed = pairs.filter(|(before, after)| !is_shared(before, after));
        self.shards.len() + changed.map(|(_, after)| length(after)).sum::<usize>()
    }

    /// A back end chosen uniformly at random.
    pub fn sample(&self, generator: &mut impl Rng) -> Option<&Arc<Backend>> {
        if self.count == 0 {
            return None;
        }
        // Empty positions are drawn again, or back ends in small shards would be drawn more often.
        // The largest shard is at most 1.5 times the mean at 10,000 back ends, so few are rejected.
        loop {
            let shard = generator.random_range(0..self.shards.len());
            let position = generator.random_range(0..self.max_shard_len);
            if let Some(backend) = self.shards[shard].as_ref().and_then(|shard| shard.get(position))
            {
                return Some(backend);
            }
        }
    }

    /// The `count` back ends preferred for a key, best first: rendezvous hashing of shards, then
    /// within a shard. The loss of a preferred back end changes only the order behind it.
    pub fn preferred(&self, key: u64, count: usize) -> Vec<&Arc<Backend>> {
        let score = |shard: usize| xxh3_64_with_seed(&shard.to_le_bytes(), key);
        let filled = self
            .shards
            .iter()
            .enumerate()
            .filter_map(|(index, shard)| Some((index, shard.as_ref()?)));
        let mut ranked: Vec<(u64, &Arc<Vec<Arc<Backend>>>)> =
            filled.map(|(index, shard)| (score(index), shard)).collect();
        ranked.sort_unstable_by_key(|(score, _)| Reverse(*score));
        let score = |backend: &&Arc<Backend>| xxh3_64_with_seed(backend.id.as_bytes(), key);
        ranked
            .into_iter()
            .take(count)
            .filter_map(|(_, shard)| shard.iter().max_by_key(score))
            .collect()
    }
}

impl<'a> FromIterator<&'a Arc<Backend>> for BackendTable {
    fn from_iter<I: IntoIterator<Item = &'a Arc<Backend>>>(backends: I) -> Self {
        let mut table = Self::default();
        backends.into_iter().for_each(|backend| table.insert(backend.clone()));
        table
    }
}

/// Back ends of one kind, as a table and as a list that is built on first use.
#[derive(Debug, Default)]
pub struct BackendList {
    table: BackendTable,
    all: OnceLock<Vec<Arc<Backend>>>,
}

impl BackendList {
    /// The back ends by id.
    pub fn table(&self) -> &BackendTable {
        &self.table
    }

    /// All back ends, listed once per version in linear time; use it per request only where few.
    pub fn all(&self) -> &[Arc<Backend>] {
        self.all.get_or_init(|| self.table.values().cloned().collect())
    }
}

impl From<BackendTable> for BackendList {
    fn from(table: BackendTable) -> Self {
        Self { table, all: OnceLock::new() }
    }
}

fn shard_of(id: &str) -> usize {
    xxh3_64(id.as_bytes()) as usize % SHARDS
}

fn position(shard: &[Arc<Backend>], id: &str) -> Result<usize, usize> {
    shard.binary_search_by(|backend| backend.id.as_str().cmp(id))
}

fn length(shard: &Shard) -> usize {
    shard.as_ref().map_or(0, |shard| shard.len())
}

fn is_shared(before: &Shard, after: &Shard) -> bool {
    match (before, after) {
        (None, None) => true,
        (Some(before), Some(after)) => Arc::ptr_eq(before, after),
        _ => false,
    }
}

/// Changes within one shard, by merging both versions in the order of ids.
fn shard_changes((before, after): (&Shard, &Shard)) -> Vec<ObjectChange<Backend>> {
    let mut before = before.iter().flat_map(|shard| shard.iter()).peekable();
    let mut after = after.iter().flat_map(|shard| shard.iter()).peekable();
    let mut changes = Vec::new();
    loop {
        let order = match (before.peek(), after.peek()) {
            (None, None) => return changes,
            (Some(_), None) => std::cmp::Ordering::Less,
            (None, Some(_)) => std::cmp::Ordering::Greater,
            (Some(before), Some(after)) => before.id.cmp(&after.id),
        };
        let removed = if order.is_le() { before.next() } else { None };
        let added = if order.is_ge() { after.next() } else { None };
        let is_same =
            removed.zip(added).is_some_and(|(removed, added)| Arc::ptr_eq(removed, added));
        if !is_same {
            changes.push(ObjectChange { before: removed.cloned(), after: added.cloned() });
        }
    }
}
