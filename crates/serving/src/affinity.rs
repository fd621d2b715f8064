//! Which back end gets requests that begin with the same prompt, so that it holds that in memory.

use std::sync::Arc;

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::model::Backend;

/// Load, in parts of its slots, above which a back end loses requests that prefer it.
const AFFINITY_LOAD_LIMIT: f64 = 0.75;
/// Back ends that a prefix prefers.
const AFFINITY_CANDIDATES: usize = 2;

/// Whether a back end with a cost keeps the requests that prefer it.
pub(crate) fn has_room(cost: f64) -> bool {
    cost < AFFINITY_LOAD_LIMIT
}

/// The first of the back ends that a key prefers that has room.
pub(crate) fn preferred<'a>(
    open: &[(f64, &'a Arc<Backend>)],
    key: u64,
) -> Option<&'a Arc<Backend>> {
    let score = |backend: &Backend| xxh3_64_with_seed(backend.id.as_bytes(), key);
    let mut ranked: Vec<(u64, f64, &'a Arc<Backend>)> =
        open.iter().map(|(cost, backend)| (score(backend), *cost, *backend)).collect();
    ranked.sort_unstable_by_key(|(score, _, _)| std::cmp::Reverse(*score));
    let few = ranked.iter().take(AFFINITY_CANDIDATES);
    few.filter(|(_, cost, _)| has_room(*cost)).map(|(_, _, backend)| *backend).next()
}
