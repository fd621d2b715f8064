//! Back ends by id, in versions that share what did not change.
//!
//! One thread changes the table while others read older versions of it. A change copies one part of the table and
//! the list of parts, so that its cost hardly depends on how many back ends there are; two versions are compared
//! part by part, and parts that both share are passed over.

use std::cmp::Reverse;
use std::sync::{Arc, OnceLock};

use rand::Rng;
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use crate::model::Backend;
use crate::objects::ObjectChange;

/// Parts of a table: a change copies so many pointers and those of one part, 39 at 10,000 back ends and 78 at
/// 20,000. With fewer parts, copying one would grow with the fleet; with more, copying the list would cost more than
/// a part at any size that is planned for.
const PARTS: usize = 256;

/// Back ends of one part, in the order of their ids; `None` where it has none.
type Part = Option<Arc<Vec<Arc<Backend>>>>;

/// Back ends by id.
#[derive(Clone, Debug)]
pub struct BackendTable {
    parts: Vec<Part>,
    count: usize,
    /// Slots of all of them.
    slots: u64,
    /// Most back ends in one part.
    longest: usize,
}

impl Default for BackendTable {
    fn default() -> Self {
        Self { parts: vec![None; PARTS], count: 0, slots: 0, longest: 0 }
    }
}

impl BackendTable {
    /// How many there are.
    pub fn len(&self) -> usize {
        self.count
    }

    /// Whether there is none.
    pub fn is_empty(&self) -> bool {
        self.count == 0
    }

    /// Slots of all of them together.
    pub fn slots(&self) -> u64 {
        self.slots
    }

    /// A back end by its id.
    pub fn get(&self, id: &str) -> Option<&Arc<Backend>> {
        let part = self.parts[part_of(id)].as_ref()?;
        position(part, id).ok().map(|position| &part[position])
    }

    /// Whether a back end is in the table.
    pub fn contains(&self, id: &str) -> bool {
        self.get(id).is_some()
    }

    /// All of them.
    pub fn values(&self) -> impl Iterator<Item = &Arc<Backend>> {
        self.parts.iter().flatten().flat_map(|part| part.iter())
    }

    /// Puts a back end in the place of the one with its id, if there is one.
    pub fn insert(&mut self, backend: Arc<Backend>) {
        let part = self.parts[part_of(&backend.id)].get_or_insert_default();
        let part = Arc::make_mut(part);
        self.slots += u64::from(backend.slots);
        match position(part, &backend.id) {
            Ok(position) => {
                let before = std::mem::replace(&mut part[position], backend);
                self.slots -= u64::from(before.slots);
            }
            Err(position) => {
                part.insert(position, backend);
                self.count += 1;
                self.longest = self.longest.max(part.len());
            }
        }
    }

    /// Takes a back end out.
    pub fn remove(&mut self, id: &str) {
        let slot = &mut self.parts[part_of(id)];
        let Some(part) = slot.as_mut() else { return };
        let Ok(position) = position(part, id) else { return };
        let part = Arc::make_mut(part);
        let removed = part.remove(position);
        let was_longest = part.len() + 1 == self.longest;
        if part.is_empty() {
            *slot = None;
        }
        self.count -= 1;
        self.slots -= u64::from(removed.slots);
        if was_longest {
            let lengths = self.parts.iter().flatten().map(|part| part.len());
            self.longest = lengths.max().unwrap_or(0);
        }
    }

    /// Back ends that differ from those of another version. One whose record was read again counts as changed, also
    /// where it says the same.
    pub fn changes_since<'a>(
        &'a self,
        before: &'a BackendTable,
    ) -> impl Iterator<Item = ObjectChange<Backend>> + 'a {
        let pairs = before.parts.iter().zip(&self.parts);
        pairs.filter(|(before, after)| !is_shared(before, after)).flat_map(part_changes)
    }

    /// Pointers that were copied to make this version from another one.
    pub fn copied_since(&self, before: &BackendTable) -> usize {
        let pairs = before.parts.iter().zip(&self.parts);
        let changed = pairs.filter(|(before, after)| !is_shared(before, after));
        self.parts.len() + changed.map(|(_, after)| length(after)).sum::<usize>()
    }

    /// One of them by chance, each as likely as any other.
    pub fn sample(&self, generator: &mut impl Rng) -> Option<&Arc<Backend>> {
        if self.count == 0 {
            return None;
        }
        // A draw that finds no back end in its place is made again, so that those of short parts are not
        // drawn more often. A part has 1.5 times the mean at 10,000 back ends at most, so that few are.
        loop {
            let part = generator.random_range(0..self.parts.len());
            let place = generator.random_range(0..self.longest);
            if let Some(backend) = self.parts[part].as_ref().and_then(|part| part.get(place)) {
                return Some(backend);
            }
        }
    }

    /// Back ends that a key prefers, the first one most. Each key has its own order, which changes by the loss of
    /// a preferred one only behind it: first the parts are ranked, then those within a part.
    pub fn preferred(&self, key: u64, count: usize) -> Vec<&Arc<Backend>> {
        let score = |part: usize| xxh3_64_with_seed(&part.to_le_bytes(), key);
        let filled =
            self.parts.iter().enumerate().filter_map(|(part, held)| Some((part, held.as_ref()?)));
        let mut ranked: Vec<(u64, &Arc<Vec<Arc<Backend>>>)> =
            filled.map(|(part, held)| (score(part), held)).collect();
        ranked.sort_unstable_by_key(|(score, _)| Reverse(*score));
        let score = |backend: &&Arc<Backend>| xxh3_64_with_seed(backend.id.as_bytes(), key);
        ranked
            .into_iter()
            .take(count)
            .filter_map(|(_, part)| part.iter().max_by_key(score))
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

/// Back ends of one kind, as a table and as a list that is made when it is asked for first.
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

    /// All of them in one piece. Made once for each version, in as many steps as there are back ends: callers that
    /// ask for each request do so where there are few.
    pub fn all(&self) -> &[Arc<Backend>] {
        self.all.get_or_init(|| self.table.values().cloned().collect())
    }
}

impl From<BackendTable> for BackendList {
    fn from(table: BackendTable) -> Self {
        Self { table, all: OnceLock::new() }
    }
}

fn part_of(id: &str) -> usize {
    xxh3_64(id.as_bytes()) as usize % PARTS
}

fn position(part: &[Arc<Backend>], id: &str) -> Result<usize, usize> {
    part.binary_search_by(|backend| backend.id.as_str().cmp(id))
}

fn length(part: &Part) -> usize {
    part.as_ref().map_or(0, |part| part.len())
}

fn is_shared(before: &Part, after: &Part) -> bool {
    match (before, after) {
        (None, None) => true,
        (Some(before), Some(after)) => Arc::ptr_eq(before, after),
        _ => false,
    }
}

/// What changed in one part, by a walk through both versions in the order of ids.
fn part_changes((before, after): (&Part, &Part)) -> Vec<ObjectChange<Backend>> {
    let mut before = before.iter().flat_map(|part| part.iter()).peekable();
    let mut after = after.iter().flat_map(|part| part.iter()).peekable();
    let mut changes = Vec::new();
    loop {
        let order = match (before.peek(), after.peek()) {
            (None, None) => return changes,
            (Some(_), None) => std::cmp::Ordering::Less,
            (None, Some(_)) => std::cmp::Ordering::Greater,
            (Some(before), Some(after)) => before.id.cmp(&after.id),
        };
        let gone = if order.is_le() { before.next() } else { None };
        let come = if order.is_ge() { after.next() } else { None };
        let is_same = gone.zip(come).is_some_and(|(gone, come)| Arc::ptr_eq(gone, come));
        if !is_same {
            changes.push(ObjectChange { before: gone.cloned(), after: come.cloned() });
        }
    }
}
