//! Rendezvous hashing: which of several nodes holds a key.

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::NodeName;

/// The function that scores each node for `key` by its name: the node with the greatest score comes
/// first.
pub fn rendezvous_score(key: &[u8]) -> impl Fn(&str) -> u64 {
    let seed = xxh3_64_with_seed(key, 0);
    move |node| xxh3_64_with_seed(node.as_bytes(), seed)
}

/// Orders `nodes` by their rendezvous score for `key`, greatest first.
///
/// Every process computes the same order from the same set. When a node leaves, only the keys for
/// which it came first move.
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
