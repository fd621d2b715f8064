//! What peers tell of their knowledge, and when a process asks the store again.

use yokefall_core::Timestamp;
use yokefall_serving::peer_sync::{Comparison, StateDigest};

fn known(version: u64, digest: u64, revision: u64) -> StateDigest {
    StateDigest {
        version,
        backends_digest: digest,
        backends_revision: revision,
        ..StateDigest::default()
    }
}

#[test]
fn a_peer_that_knows_more_for_long_enough_is_believed() {
    let mut comparison = Comparison::default();
    let (own, peer) = (known(1, 7, 10), known(2, 7, 10));
    assert!(!comparison.is_behind(Timestamp(0), own, peer));
    assert!(!comparison.is_behind(Timestamp(250), own, peer));
    assert!(comparison.is_behind(Timestamp(350), own, peer));
    // Not at every datagram.
    assert!(!comparison.is_behind(Timestamp(700), own, peer));
    assert!(comparison.is_behind(Timestamp(1_400), own, peer));
}

#[test]
fn news_that_arrives_by_itself_asks_for_nothing() {
    let mut comparison = Comparison::default();
    let peer = known(2, 8, 20);
    assert!(!comparison.is_behind(Timestamp(0), known(1, 7, 10), peer));
    assert!(!comparison.is_behind(Timestamp(600), known(2, 7, 15), peer));
    assert!(!comparison.is_behind(Timestamp(700), known(2, 8, 21), peer));
}

#[test]
fn a_peer_that_is_behind_itself_changes_nothing() {
    let mut comparison = Comparison::default();
    let (own, peer) = (known(3, 8, 20), known(2, 7, 10));
    for now in [0, 1_000, 5_000] {
        assert!(!comparison.is_behind(Timestamp(now), own, peer));
    }
}

#[test]
fn the_same_back_ends_at_different_revisions_are_no_news() {
    let mut comparison = Comparison::default();
    for now in [0, 1_000, 5_000] {
        assert!(!comparison.is_behind(Timestamp(now), known(1, 7, 10), known(1, 7, 99)));
    }
}

#[test]
fn one_word_of_a_peer_is_enough_when_nothing_follows() {
    let mut comparison = Comparison::default();
    let (own, peer) = (known(1, 7, 10), known(2, 7, 10));
    assert!(!comparison.is_behind(Timestamp(100), own, peer));
    let look = comparison.next_check().expect("a time to look again");
    assert!(look > Timestamp(100) && look <= Timestamp(600));
    assert!(comparison.is_due(look, own));
    // Once it is known there is nothing to look for.
    assert!(!comparison.is_due(Timestamp(5_000), known(2, 7, 11)));
    assert_eq!(comparison.next_check(), None);
}
