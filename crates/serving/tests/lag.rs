//! State digests of peers, and when a process queries the store again.

use yokefall_core::Timestamp;
use yokefall_serving::peer_sync::{LagDetector, StateDigest};

fn known(version: u64, digest: u64, revision: u64) -> StateDigest {
    StateDigest {
        version,
        backends_digest: digest,
        backends_revision: revision,
        ..StateDigest::default()
    }
}

#[test]
fn the_store_is_queried_once_a_peer_has_been_ahead_long_enough() {
    let mut detector = LagDetector::default();
    let (own, peer) = (known(1, 7, 10), known(2, 7, 10));
    assert!(!detector.is_behind(Timestamp(0), own, peer));
    assert!(!detector.is_behind(Timestamp(250), own, peer));
    assert!(detector.is_behind(Timestamp(350), own, peer));
    // Not again for every datagram.
    assert!(!detector.is_behind(Timestamp(700), own, peer));
    assert!(detector.is_behind(Timestamp(1_400), own, peer));
}

#[test]
fn an_update_that_arrives_in_time_triggers_no_query() {
    let mut detector = LagDetector::default();
    let peer = known(2, 8, 20);
    assert!(!detector.is_behind(Timestamp(0), known(1, 7, 10), peer));
    assert!(!detector.is_behind(Timestamp(600), known(2, 7, 15), peer));
    assert!(!detector.is_behind(Timestamp(700), known(2, 8, 21), peer));
}

#[test]
fn a_peer_that_is_behind_triggers_no_query() {
    let mut detector = LagDetector::default();
    let (own, peer) = (known(3, 8, 20), known(2, 7, 10));
    for now in [0, 1_000, 5_000] {
        assert!(!detector.is_behind(Timestamp(now), own, peer));
    }
}

#[test]
fn the_same_back_ends_at_another_revision_trigger_no_query() {
    let mut detector = LagDetector::default();
    for now in [0, 1_000, 5_000] {
        assert!(!detector.is_behind(Timestamp(now), known(1, 7, 10), known(1, 7, 99)));
    }
}

#[test]
fn a_single_digest_suffices_to_trigger_a_query() {
    let mut detector = LagDetector::default();
    let (own, peer) = (known(1, 7, 10), known(2, 7, 10));
    assert!(!detector.is_behind(Timestamp(100), own, peer));
    let check_at = detector.next_check().expect("a time for the next check");
    assert!(check_at > Timestamp(100) && check_at <= Timestamp(600));
    assert!(detector.is_due(check_at, own));
    // Once the process has caught up, there is nothing to wait for.
    assert!(!detector.is_due(Timestamp(5_000), known(2, 7, 11)));
    assert_eq!(detector.next_check(), None);
}
