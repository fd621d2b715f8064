//! Groups of two voters, of which either may be lost while the other one can claim the pair.

use crate::support::{Mutation, Simulation, TransferDelivery, Violation, CATCH_UP_MS};

/// Start of a run, after which three machines vote, in milliseconds.
const START_MS: u64 = 4_000;
/// Time in which the group must serve once a lost machine is back, in milliseconds.
const RECOVERY_MS: u64 = 12_000;
const SEEDS: u64 = 20;

/// A leader and its follower, after the retirement of a third machine.
fn pair(seed: u64) -> Result<(Simulation, usize, usize), Violation> {
    let mut simulation = Simulation::new(seed, 3, Mutation::None);
    simulation.transfer_delivery = TransferDelivery::Prompt;
    simulation.run(START_MS)?;
    let leader = simulation.leader().ok_or("no leader")?;
    let others: Vec<usize> = (0..3).filter(|at| *at != leader).collect();
    simulation.retire(others[1]);
    simulation.run_until_drained(others[1])?;
    simulation.remove(others[1]);
    simulation.run(1_000)?;
    Ok((simulation, leader, others[0]))
}

fn lose_a_claimant(seed: u64, freeze: u64) -> Result<(), Violation> {
    let (mut simulation, leader, follower) = pair(seed)?;
    simulation.claim_answers_lost = true;
    simulation.freeze(follower, freeze);
    simulation.run(freeze + 1_000)?;
    simulation.claim_answers_lost = false;
    simulation.run(4_000)?;
    if !simulation.is_served() {
        return Err(simulation.violation("nobody serves after the freeze"));
    }
    simulation.wipe(leader);
    simulation.run(1_000)?;
    simulation.start(leader);
    simulation.run(RECOVERY_MS)?;
    match simulation.is_served() {
        true => Ok(()),
        false => Err(simulation.violation("nobody serves after the lost disk")),
    }
}

/// One of two members is gone for good and a new machine asks to join. The other one went on alone
/// only after 6 s: a disk that was lost once the new machine had had its time to catch up took the
/// only copy.
#[test]
fn a_replaced_member_of_a_pair_has_a_successor_in_time() {
    for seed in 0..SEEDS {
        for pause in [0, 1_000] {
            let outcome = (|| {
                let (mut simulation, _, follower) = pair(seed)?;
                simulation.remove(follower);
                simulation.run(pause)?;
                simulation.add_machine();
                simulation.run(CATCH_UP_MS)?;
                match simulation.is_served() {
                    true => Ok(()),
                    false => Err(simulation.violation("there is no second copy")),
                }
            })();
            outcome.unwrap_or_else(|violation: Violation| {
                panic!("seed {seed}, {pause} ms: {violation}")
            });
        }
    }
}

/// One of two members claimed the pair, heard the other one again and did not use the claim. Much
/// later the claimant lost its disk, and the other one, which held everything, could never go on.
#[test]
fn an_unused_claim_does_not_bind_the_pair_for_good() {
    for seed in 0..SEEDS {
        for freeze in [1_750, 6_500, 9_000] {
            lose_a_claimant(seed, freeze)
                .unwrap_or_else(|violation| panic!("seed {seed}, {freeze} ms: {violation}"));
        }
    }
}
