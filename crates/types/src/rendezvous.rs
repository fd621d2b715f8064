//! Rendezvous hashing, which maps keys to nodes.

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::NodeName;

/// Returns the function that scores nodes for `key` by name; the highest score comes first.
pub fn rendezvous_score(key: &[u8]) -> impl Fn(&str) -> u64 {
    let seed = xxh3_64_with_seed(key, 0);
    move |node| xxh3_64_with_seed(node.as_bytes(), seed)
}

/// Orders `nodes` by their rendezvous score for `key`, highest first.
/// All processes compute the same order of a set; when a node leaves, only its own keys move.
pub fn rendezvous_order<'a>(
    key: &[u8],
    nodes: impl IntoIterator<Item = &'a NodeName>,
) -> Vec<&'a NodeName> {
    let score = rendezvous_score(key);
    let mut scored: Vec<(u64, &NodeName)> =
        nodes.into_iter().map(|n| (score(n.as_str()), n)).collect();
    scored.sort_unstable_by(|left, right| right.cmp(left));
    scored.into_iter().map(|(_, node)| node).collect()
}
