//! Prefix affinity: sends requests that begin with the same prompt to the same back ends, which
//! have the prefix in memory.

use std::sync::Arc;

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::model::Backend;

/// Load, as a fraction of its slots, above which a back end gets no more requests by affinity.
const AFFINITY_LOAD_LIMIT: f64 = 0.75;
const AFFINITY_CANDIDATES: usize = 2;

pub(crate) fn has_affinity_capacity(cost: f64) -> bool {
    cost < AFFINITY_LOAD_LIMIT
}

/// The first of the back ends preferred for `key` that has capacity.
pub(crate) fn preferred<'a>(
    available: &[(f64, &'a Arc<Backend>)],
    key: u64,
) -> Option<&'a Arc<Backend>> {
    let score = |backend: &Backend| xxh3_64_with_seed(backend.id.as_bytes(), key);
    let mut ranked: Vec<(u64, f64, &'a Arc<Backend>)> =
        available.iter().map(|(cost, backend)| (score(backend), *cost, *backend)).collect();
    ranked.sort_unstable_by_key(|(score, _, _)| std::cmp::Reverse(*score));
    let candidates = ranked.iter().take(AFFINITY_CANDIDATES);
    candidates
        .filter(|(_, cost, _)| has_affinity_capacity(*cost))
        .map(|(_, _, backend)| *backend)
        .next()
}
