//! Leadership transfers whose target, or whose request, is lost or late.

use crate::support::{Mutation, Simulation, TransferDelivery, Violation, CATCH_UP_MS};

/// Start of a run, after which three machines vote, in milliseconds.
const START_MS: u64 = 4_000;
/// Maximum time without service if a transfer fails, in milliseconds: an election in its place.
const MAX_PAUSE_MS: u64 = 1_000;
const SEEDS: u64 = 20;

fn group(
    seed: u64,
    delivery: TransferDelivery,
) -> Result<(Simulation, usize, Vec<usize>), Violation> {
    let mut simulation = Simulation::new(seed, 3, Mutation::None);
    simulation.transfer_delivery = delivery;
    simulation.run(START_MS)?;
    let leader = simulation.leader().ok_or("no leader")?;
    let others = (0..3).filter(|at| *at != leader).collect();
    Ok((simulation, leader, others))
}

/// Runs for a while; fails if the group is without service for longer than `MAX_PAUSE_MS` at once.
fn run_served(simulation: &mut Simulation, milliseconds: u64) -> Result<(), Violation> {
    let mut pause = 0;
    for _ in 0..milliseconds {
        simulation.run(1)?;
        pause = if simulation.is_served() { 0 } else { pause + 1 };
        if pause > MAX_PAUSE_MS {
            return Err(simulation.violation("nobody serves"));
        }
    }
    Ok(())
}

/// Retires the leader while a follower is killed, which returns after a second.
fn retire_beside_a_kill(seed: u64, follower: usize, offset: u64) -> Result<(), Violation> {
    let (mut simulation, leader, others) = group(seed, TransferDelivery::Prompt)?;
    // Both followers have every entry, so that either may be asked to take over.
    simulation.is_idle = true;
    simulation.run(100)?;
    simulation.kill(others[follower]);
    simulation.run(offset)?;
    simulation.retire(leader);
    run_served(&mut simulation, 1_000)?;
    simulation.start(others[follower]);
    run_served(&mut simulation, CATCH_UP_MS)?;
    match simulation.is_drained(leader) {
        true => Ok(()),
        false => Err(simulation.violation("the leader is not retired")),
    }
}

/// The leader was retired while a follower was killed: it handed its leadership to that follower,
/// never took it back, and no job could be read again.
#[test]
fn leadership_is_not_lost_to_a_follower_that_was_just_killed() {
    for seed in 0..SEEDS {
        for follower in 0..2 {
            for offset in [0, 2, 50, 99] {
                retire_beside_a_kill(seed, follower, offset).unwrap_or_else(|violation| {
                    panic!("seed {seed}, follower {follower}, {offset} ms: {violation}")
                });
            }
        }
    }
}

/// The group was without a leader for good if the request to take over did not arrive, or its
/// target died before it could take over.
#[test]
fn a_leader_takes_over_again_if_the_target_of_a_transfer_is_lost() {
    for seed in 0..SEEDS {
        for delivery in [TransferDelivery::Lost, TransferDelivery::Late(5)] {
            let outcome = (|| {
                let (mut simulation, leader, _) = group(seed, delivery)?;
                simulation.retire(leader);
                simulation.run_until_transfer()?;
                let target = simulation.transfer_target().ok_or("no transfer")?;
                if delivery != TransferDelivery::Lost {
                    simulation.kill(target);
                }
                simulation.transfer_delivery = TransferDelivery::Prompt;
                run_served(&mut simulation, 1_000)?;
                simulation.start_if_down(target);
                run_served(&mut simulation, CATCH_UP_MS)?;
                match simulation.is_drained(leader) {
                    true => Ok(()),
                    false => Err(simulation.violation("the leader is not retired")),
                }
            })();
            outcome.unwrap_or_else(|violation: Violation| {
                panic!("seed {seed}, {delivery:?}: {violation}")
            });
        }
    }
}

/// Partitions the leader just before a late request to take over arrives, so that the leader hears
/// nothing of the election that the request starts.
fn request_arrives_beside_a_partition(seed: u64, delay: u64, lead: u64) -> Result<(), Violation> {
    let (mut simulation, leader, _) = group(seed, TransferDelivery::Late(delay))?;
    simulation.retire(leader);
    simulation.run_until_transfer()?;
    simulation.transfer_delivery = TransferDelivery::Prompt;
    simulation.run(delay - lead)?;
    simulation.cut(leader, false);
    simulation.run(MAX_PAUSE_MS)?;
    simulation.heal();
    run_served(&mut simulation, MAX_PAUSE_MS)
}

/// A request to take over that arrives after the leader has taken leadership back must not give
/// two leases: each run checks leases and reads in every millisecond.
#[test]
fn a_late_request_to_take_over_gives_no_second_lease() {
    for seed in 0..SEEDS {
        for delay in [250, 299, 301, 305, 310, 330, 400, 1_000] {
            for lead in [1, 10, 50, 150] {
                request_arrives_beside_a_partition(seed, delay, lead).unwrap_or_else(|violation| {
                    panic!("seed {seed}, {delay} ms, {lead} ms: {violation}")
                });
            }
        }
    }
}

/// The next transfer after a failed one must not ask the same voter again.
#[test]
fn the_transfer_after_a_failed_one_asks_another_voter() {
    for seed in 0..SEEDS {
        let outcome = (|| {
            let (mut simulation, leader, _) = group(seed, TransferDelivery::Lost)?;
            simulation.retire(leader);
            simulation.run_until_transfer()?;
            let first = simulation.transfer_target();
            simulation.run(MAX_PAUSE_MS)?;
            let second = simulation.transfer_target();
            match first == second {
                true => Err(simulation.violation("the same voter is asked")),
                false => Ok(()),
            }
        })();
        outcome.unwrap_or_else(|violation: Violation| panic!("seed {seed}: {violation}"));
    }
}
