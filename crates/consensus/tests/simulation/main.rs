//! Randomized histories (`HISTORIES` sets how many), checked against an oracle: acknowledged
//! commands are kept, an index never changes its content, a read misses nothing, one member at most
//! has a lease, and the group serves while no more machines are lost than it must tolerate.

mod leadership_transfer;
mod membership_changes;
mod pairs;
mod support;
mod transfer_model;

use support::{
    run_history, run_pair_history, run_planned_work_history, run_standby_history, Mutation,
    Violation, ALL_FAULTS,
};

/// Number of histories in CI.
const HISTORIES: u64 = 400;
const THREADS: u64 = 4;

fn histories() -> u64 {
    std::env::var("HISTORIES").ok().and_then(|text| text.parse().ok()).unwrap_or(HISTORIES)
}

#[test]
fn acknowledged_commands_survive_any_fault() {
    run_all(histories(), |seed| run_history(seed, ALL_FAULTS, Mutation::None));
}

/// Runs histories of all seeds below `total` on a few threads; panics at the first violation.
fn run_all(total: u64, run: impl Fn(u64) -> Result<usize, Violation> + Copy + Send + 'static) {
    let run_part = move |part: u64| {
        for seed in (part..total).step_by(THREADS as usize) {
            run(seed)?;
        }
        Ok::<(), Violation>(())
    };
    let parts: Vec<_> =
        (0..THREADS).map(|part| std::thread::spawn(move || run_part(part))).collect();
    for part in parts {
        part.join().expect("a part").unwrap_or_else(|violation| panic!("{violation}"));
    }
}

fn is_detected(mutation: Mutation) -> bool {
    (0..histories()).any(|seed| run_history(seed, ALL_FAULTS, mutation).is_err())
}

#[test]
fn a_response_before_the_sync_is_detected() {
    assert!(is_detected(Mutation::RespondBeforeSync));
}

#[test]
fn a_lost_disk_that_votes_is_detected() {
    assert!(is_detected(Mutation::WipedDiskVotes));
}

#[test]
fn a_read_without_a_lease_is_detected() {
    assert!(is_detected(Mutation::ReadWithoutLease));
}

const STANDBY_HISTORIES: u64 = 60;

#[test]
fn a_group_with_standby_machines_is_filled_from_them() {
    for seed in 0..STANDBY_HISTORIES {
        run_standby_history(seed).unwrap_or_else(|violation| panic!("{violation}"));
    }
}

const PAIR_HISTORIES: u64 = 60;

#[test]
fn a_partitioned_pair_continues_as_one_group() {
    for seed in 0..PAIR_HISTORIES {
        run_pair_history(seed, Mutation::None).unwrap_or_else(|violation| panic!("{violation}"));
    }
}

#[test]
fn becoming_sole_voter_without_a_claim_is_detected() {
    let found = |seed| run_pair_history(seed, Mutation::SoleVoterWithoutClaim).is_err();
    assert!((0..PAIR_HISTORIES).any(found));
}

const PLANNED_WORK_HISTORIES: u64 = 120;

#[test]
fn planned_work_beside_faults_is_completed_and_the_group_serves() {
    let total = if histories() > HISTORIES { histories() } else { PLANNED_WORK_HISTORIES };
    run_all(total, run_planned_work_history);
}
