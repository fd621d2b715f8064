//! Histories of a group of three machines.

use super::faults::Faults;
use super::{Mutation, Simulation, Violation};

/// Runs one history; the error holds the seed and the events.
pub fn run_history(seed: u64, faults: Faults, mutation: Mutation) -> Result<usize, Violation> {
    let mut simulation = Simulation::new(seed, 3, mutation);
    let outcome = run_history_steps(&mut simulation, faults);
    if outcome.is_err() {
        simulation.record_nodes();
    }
    let events = simulation.events.join("\n");
    outcome.map_err(|violation| format!("seed {seed}: {violation}\n{events}"))?;
    Ok(simulation.acknowledged())
}

fn run_history_steps(simulation: &mut Simulation, faults: Faults) -> Result<(), Violation> {
    simulation.run(4_000)?;
    for _ in 0..8 {
        simulation.fault(faults)?;
    }
    simulation.settle()
}

/// Runs a history in which two machines remain and are partitioned, or one loses its disk.
pub fn run_pair_history(seed: u64, mutation: Mutation) -> Result<usize, Violation> {
    let mut simulation = Simulation::new(seed, 3, mutation);
    let outcome = run_pair_steps(&mut simulation);
    if outcome.is_err() {
        simulation.record_nodes();
    }
    let events = simulation.events.join("\n");
    outcome.map_err(|violation| format!("seed {seed}: {violation}\n{events}"))?;
    Ok(simulation.acknowledged())
}

fn run_pair_steps(simulation: &mut Simulation) -> Result<(), Violation> {
    simulation.run(4_000)?;
    simulation.drain()?;
    simulation.run(6_000)?;
    let at = simulation.random_machine();
    simulation.partition_for_long(at)?;
    simulation.settle()
}
