//! Histories of planned work beside faults: both begin close together, in series.

use rand::Rng;
use yokefall_consensus::Millis;

use super::availability::CATCH_UP_MS;
use super::{Mutation, Simulation, Violation};

/// Number of pairs of planned work and a fault in a history.
const ROUNDS: usize = 6;
/// Time in which planned work must be done once no fault lasts any more, in milliseconds.
const WORK_LIMIT_MS: Millis = 12_000;
/// Maximum time between the start of planned work and that of the fault, in milliseconds.
const MAX_OFFSET_MS: Millis = 300;
/// Time for a planned stop to find another leader, in milliseconds.
const STOP_LIMIT_MS: Millis = 1_500;
/// Maximum number of machines.
const MAX_MACHINES: usize = 8;

/// Work that an operator plans.
#[derive(Clone, Copy, Debug)]
enum Work {
    /// A machine is drained and then removed.
    Retire(usize),
    /// A machine is removed without notice, and one with another name takes its place.
    Replace(usize),
    /// A machine is added.
    Add,
    /// A process is stopped and started again.
    Stop(usize),
}

/// A fault of one machine.
#[derive(Clone, Copy, Debug)]
enum Fault {
    None,
    Kill(usize),
    PowerOff(usize),
    Freeze(usize),
    Cut { at: usize, one_way: bool },
    LoseDisk(usize),
}

/// Runs a history of planned work beside faults.
pub fn run_planned_work_history(seed: u64) -> Result<usize, Violation> {
    let machines = 3 + (seed % 2) as usize;
    let mut simulation = Simulation::new(seed, machines, Mutation::None);
    let outcome = simulation.run_planned_work();
    outcome.map_err(|violation| {
        let text = format!("seed {seed}: {violation}");
        simulation.violation(&text)
    })?;
    Ok(simulation.acknowledged())
}

impl Simulation {
    fn run_planned_work(&mut self) -> Result<(), Violation> {
        self.run(4_000)?;
        for _ in 0..ROUNDS {
            let work = self.draw_work();
            let fault = self.draw_fault(work);
            self.claim_answers_lost = self.random.random_bool(0.2);
            let lost = if self.claim_answers_lost { ", answers to claims are lost" } else { "" };
            self.record_event(format!("{work:?} beside {fault:?}{lost}"));
            let offset = self.random.random_range(0..MAX_OFFSET_MS);
            let length = self.random.random_range(100..3_000);
            if self.random.random_bool(0.5) {
                self.begin_fault(fault, length);
                self.run(offset)?;
                self.begin_work(work);
            } else {
                self.begin_work(work);
                self.run(offset)?;
                self.begin_fault(fault, length);
            }
            self.run(length)?;
            self.end_fault(fault);
            self.claim_answers_lost = false;
            self.finish_work(work)?;
            let pause = self.draw_pause();
            self.run(pause)?;
        }
        self.settle()
    }

    fn draw_pause(&mut self) -> Millis {
        match self.random.random_range(0..3) {
            0 => 0,
            1 => self.random.random_range(0..CATCH_UP_MS),
            _ => CATCH_UP_MS + 1_000,
        }
    }

    fn draw_work(&mut self) -> Work {
        let machines =
            (0..self.nodes.len()).filter(|at| !self.is_removed(&self.nodes[*at])).count();
        let leader = self.leader().filter(|_| self.random.random_bool(0.6));
        let at = leader.unwrap_or_else(|| self.random_machine());
        let may_add = self.nodes.len() < MAX_MACHINES;
        match self.random.random_range(0..4) {
            0 if machines >= 3 => Work::Retire(at),
            // The disk of the replaced machine is lost with it.
            1 if may_add && machines >= 3 && self.may_wipe() => Work::Replace(at),
            2 if may_add => Work::Add,
            _ => Work::Stop(at),
        }
    }

    fn draw_fault(&mut self, work: Work) -> Fault {
        let at = self.random_machine();
        let replaced = matches!(work, Work::Replace(_));
        let worked_on = match work {
            Work::Retire(worked) | Work::Replace(worked) | Work::Stop(worked) => worked == at,
            Work::Add => false,
        };
        match self.random.random_range(0..6) {
            _ if worked_on && replaced => Fault::None,
            0 => Fault::Kill(at),
            1 => Fault::PowerOff(at),
            2 => Fault::Freeze(at),
            3 => Fault::Cut { at, one_way: self.random.random_bool(0.4) },
            4 if !replaced && !worked_on && self.may_wipe() => Fault::LoseDisk(at),
            _ => Fault::None,
        }
    }

    fn begin_work(&mut self, work: Work) {
        match work {
            Work::Retire(at) => self.retire(at),
            Work::Replace(at) => {
                self.stop(at, true);
                self.removed.push(self.nodes[at].name.clone());
                self.wipe_allowed_at = self.now + CATCH_UP_MS;
                self.add_node(false);
            }
            Work::Add => self.add_node(false),
            Work::Stop(at) => {
                self.stopping.insert(at, self.now + STOP_LIMIT_MS);
            }
        }
    }

    fn begin_fault(&mut self, fault: Fault, length: Millis) {
        match fault {
            Fault::None => {}
            Fault::Kill(at) => self.stop(at, false),
            Fault::PowerOff(at) => self.stop(at, true),
            Fault::Freeze(at) => self.nodes[at].frozen_until = self.now + length,
            Fault::Cut { at, one_way } => self.cut(at, one_way),
            Fault::LoseDisk(at) => {
                self.wipe(at);
                self.wipe_allowed_at = self.now + length + CATCH_UP_MS;
            }
        }
    }

    fn end_fault(&mut self, fault: Fault) {
        self.heal();
        if let Fault::Kill(at) | Fault::PowerOff(at) | Fault::LoseDisk(at) = fault {
            self.start_if_down(at);
        }
    }

    fn finish_work(&mut self, work: Work) -> Result<(), Violation> {
        let until = self.now + WORK_LIMIT_MS;
        while !self.is_done(work) {
            if self.now >= until {
                return Err(format!("{work:?} is not completed"));
            }
            self.run(5)?;
        }
        self.record_event(format!("{work:?} is done"));
        match work {
            Work::Retire(at) => {
                self.stop(at, true);
                self.removed.push(self.nodes[at].name.clone());
            }
            Work::Stop(at) => self.start_if_down(at),
            Work::Replace(_) | Work::Add => {}
        }
        Ok(())
    }

    fn is_done(&self, work: Work) -> bool {
        match work {
            Work::Retire(at) => self.is_drained(at),
            Work::Replace(at) => {
                let name = &self.nodes[at].name;
                self.is_served()
                    && self.leaders().iter().any(|&leader| {
                        let core = self.nodes[leader].core.as_ref();
                        core.is_some_and(|core| {
                            !core.members().all().any(|member| member.name == *name)
                        })
                    })
            }
            Work::Add => true,
            Work::Stop(at) => !self.stopping.contains_key(&at),
        }
    }

    /// A process that is stopped as planned ends once another one leads, or after a time.
    pub(super) fn continue_planned_stops(&mut self) -> Result<(), Violation> {
        let stopping: Vec<(usize, Millis)> =
            self.stopping.iter().map(|(at, end)| (*at, *end)).collect();
        for (at, end) in stopping {
            if self.nodes[at].frozen_until > self.now {
                continue;
            }
            let Some(core) = self.nodes[at].core.as_mut() else { continue };
            let follows = core.leader().is_some_and(|leader| leader != core.id());
            if follows || self.now >= end {
                self.record_event(format!("{at} stops"));
                self.stop(at, false);
                continue;
            }
            let voters = core.members().voters.clone();
            core.transfer_leadership(self.now, &voters);
            self.carry_out(at)?;
        }
        Ok(())
    }
}
