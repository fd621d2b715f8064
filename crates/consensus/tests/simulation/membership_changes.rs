//! Changes of voters beside the loss of a machine that the change needs.

use crate::support::{Mutation, Simulation, TransferDelivery, Violation, CATCH_UP_MS, RECOVERY_MS};

/// Start of a run, after which three machines vote, in milliseconds.
const START_MS: u64 = 4_000;
const SEEDS: u64 = 20;

/// A leader and its two followers, in a group that serves.
fn group(seed: u64) -> Result<(Simulation, usize, [usize; 2]), Violation> {
    let mut simulation = Simulation::new(seed, 3, Mutation::None);
    simulation.transfer_delivery = TransferDelivery::Prompt;
    simulation.run(START_MS)?;
    let leader = simulation.leader().ok_or("no leader")?;
    let others: Vec<usize> = (0..3).filter(|at| *at != leader).collect();
    Ok((simulation, leader, [others[0], others[1]]))
}

/// Retires a follower, or the leader, while a follower is down. Nobody may notice.
fn retire_while_a_follower_is_down(seed: u64, retires_leader: bool) -> Result<(), Violation> {
    let (mut simulation, leader, [first, second]) = group(seed)?;
    let retired = if retires_leader { leader } else { first };
    simulation.is_idle = true;
    simulation.run(100)?;
    simulation.kill(second);
    simulation.retire(retired);
    for _ in 0..2_000 {
        simulation.run(1)?;
        if !simulation.is_served() {
            return Err(simulation.violation("nobody serves"));
        }
    }
    simulation.start(second);
    simulation.run(CATCH_UP_MS)?;
    match simulation.is_drained(retired) {
        true => Ok(()),
        false => Err(simulation.violation("the machine is not retired")),
    }
}

/// A machine was retired while one of the two others was down: the leader removed it at once, could
/// not commit that without the one that was down, and nobody served until that one was back.
#[test]
fn a_voter_is_not_removed_while_the_group_needs_it() {
    for seed in 0..SEEDS {
        retire_while_a_follower_is_down(seed, false)
            .unwrap_or_else(|violation| panic!("seed {seed}: {violation}"));
    }
}

/// Loses the disk of the leader in the moment in which it removes a follower.
fn lose_the_leader_beside_its_removal(seed: u64, delay: u64) -> Result<(), Violation> {
    let (mut simulation, leader, [retired, _]) = group(seed)?;
    simulation.retire(retired);
    simulation.run_until_removal(retired)?;
    simulation.run(delay)?;
    simulation.wipe(leader);
    simulation.run(1_000)?;
    simulation.start(leader);
    simulation.run(CATCH_UP_MS + RECOVERY_MS)?;
    if !simulation.is_served() {
        return Err(simulation.violation("nobody serves"));
    }
    simulation.run(CATCH_UP_MS)?;
    match simulation.is_drained(retired) {
        true => Ok(()),
        false => Err(simulation.violation("the machine is not retired")),
    }
}

/// The leader lost its disk just after it had proposed to remove one of three voters. Of the two that
/// were to remain the other one had the removal, did not know whether it was committed, and could
/// neither be elected nor claim the pair.
#[test]
fn a_removal_outlives_the_leader_that_proposed_it() {
    for seed in 0..SEEDS {
        for delay in 0..8 {
            lose_the_leader_beside_its_removal(seed, delay)
                .unwrap_or_else(|violation| panic!("seed {seed}, {delay} ms: {violation}"));
        }
    }
}

/// Stops a follower for good; later another machine loses its disk and returns.
fn lose_a_disk_after_a_departure(seed: u64, loses_leader: bool) -> Result<(), Violation> {
    let (mut simulation, leader, [departed, other]) = group(seed)?;
    simulation.remove(departed);
    simulation.run(CATCH_UP_MS)?;
    let lost = if loses_leader { leader } else { other };
    simulation.wipe(lost);
    simulation.run(1_000)?;
    simulation.start(lost);
    simulation.run(CATCH_UP_MS + RECOVERY_MS)?;
    match simulation.is_served() {
        true => Ok(()),
        false => Err(simulation.violation("nobody serves")),
    }
}

/// A machine was stopped for good, and nothing took its place. It remained one of three voters, and
/// the group never served again once one of the two others had lost its disk.
#[test]
fn a_voter_that_is_gone_for_good_is_removed() {
    for seed in 0..SEEDS {
        for loses_leader in [false, true] {
            lose_a_disk_after_a_departure(seed, loses_leader)
                .unwrap_or_else(|violation| panic!("seed {seed}, {loses_leader}: {violation}"));
        }
    }
}

/// Loses the disk of one follower in the moment in which the leader removes the other one.
fn lose_a_disk_beside_a_removal(seed: u64, delay: u64) -> Result<(), Violation> {
    let (mut simulation, _, [retired, lost]) = group(seed)?;
    simulation.retire(retired);
    simulation.run_until_removal(retired)?;
    simulation.run(delay)?;
    simulation.wipe(lost);
    simulation.run(1_000)?;
    simulation.start(lost);
    simulation.run(RECOVERY_MS)?;
    if !simulation.is_served() {
        return Err(simulation.violation("nobody serves"));
    }
    simulation.run(CATCH_UP_MS)?;
    match simulation.is_drained(retired) {
        true => Ok(()),
        false => Err(simulation.violation("the machine is not retired")),
    }
}

/// A machine was retired while another one lost its disk: the removal needed the lost disk to
/// commit, nobody took it back, and the group never served again.
#[test]
fn a_removal_that_cannot_commit_is_withdrawn() {
    for seed in 0..SEEDS {
        for delay in 0..4 {
            lose_a_disk_beside_a_removal(seed, delay)
                .unwrap_or_else(|violation| panic!("seed {seed}, {delay} ms: {violation}"));
        }
    }
}
