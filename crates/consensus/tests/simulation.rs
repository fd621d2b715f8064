//! Randomized histories of a group against an oracle: what was acknowledged stays, a position never
//! changes, and a read misses nothing. `HISTORIES` sets how many are played.

mod support;

use support::{play, play_pair, play_standby, Mutation, ALL_FAULTS};

/// Histories in CI.
const HISTORIES: u64 = 400;

fn histories() -> u64 {
    std::env::var("HISTORIES").ok().and_then(|text| text.parse().ok()).unwrap_or(HISTORIES)
}

#[test]
fn nothing_acknowledged_is_lost_under_any_fault() {
    let threads = 4;
    let total = histories();
    let play_part = move |part: u64| {
        for seed in (part..total).step_by(threads) {
            play(seed, ALL_FAULTS, Mutation::None)?;
        }
        Ok::<(), String>(())
    };
    let parts: Vec<_> =
        (0..threads as u64).map(|part| std::thread::spawn(move || play_part(part))).collect();
    for part in parts {
        part.join().expect("a part").unwrap_or_else(|violation| panic!("{violation}"));
    }
}

fn is_found(mutation: Mutation) -> bool {
    (0..histories()).any(|seed| play(seed, ALL_FAULTS, mutation).is_err())
}

#[test]
fn an_answer_before_the_sync_is_found() {
    assert!(is_found(Mutation::AnswerBeforeSync));
}

#[test]
fn a_lost_disk_that_votes_is_found() {
    assert!(is_found(Mutation::WipedDiskVotes));
}

#[test]
fn a_read_without_a_lease_is_found() {
    assert!(is_found(Mutation::ReadWithoutLease));
}

/// Histories with machines that stand by in CI.
const STANDBY_HISTORIES: u64 = 60;

#[test]
fn a_group_with_machines_that_stand_by_is_filled_from_them() {
    for seed in 0..STANDBY_HISTORIES {
        play_standby(seed).unwrap_or_else(|violation| panic!("{violation}"));
    }
}

/// Histories of a pair in CI.
const PAIR_HISTORIES: u64 = 60;

#[test]
fn a_pair_that_loses_sight_of_each_other_goes_on_as_one() {
    for seed in 0..PAIR_HISTORIES {
        play_pair(seed, Mutation::None).unwrap_or_else(|violation| panic!("{violation}"));
    }
}

#[test]
fn going_on_alone_without_a_claim_is_found() {
    let found = |seed| play_pair(seed, Mutation::AloneWithoutClaim).is_err();
    assert!((0..PAIR_HISTORIES).any(found));
}
