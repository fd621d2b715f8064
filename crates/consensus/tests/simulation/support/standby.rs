//! Histories of a group with machines on standby.

use rand::Rng;

use super::{Mutation, Node, Simulation, Violation};

/// Number of machines, of which five vote and the others stand by; two disks may be lost at once.
const STANDBY_MACHINES: usize = 9;
const STANDBY_VOTERS: usize = 5;

pub fn run_standby_history(seed: u64) -> Result<usize, Violation> {
    let mut simulation = Simulation::new(seed, STANDBY_MACHINES, Mutation::None);
    simulation.voters = STANDBY_VOTERS;
    let outcome = run_standby_steps(&mut simulation);
    if outcome.is_err() {
        simulation.record_nodes();
    }
    let events = simulation.events.join("\n");
    outcome.map_err(|violation| format!("seed {seed}: {violation}\n{events}"))?;
    Ok(simulation.acknowledged())
}

fn run_standby_steps(simulation: &mut Simulation) -> Result<(), Violation> {
    simulation.run(6_000)?;
    simulation.check_voters()?;
    for _ in 0..3 {
        match simulation.random.random_range(0..3) {
            0 => simulation.lose_two_disks_and_all_power()?,
            1 => simulation.lose_one_for_good()?,
            _ => simulation.drain_and_wipe_two()?,
        }
        simulation.run(7_000)?;
        simulation.check_voters()?;
    }
    simulation.settle()
}

impl Simulation {
    /// Checks that the voters are as many as desired and that standby machines hold nothing.
    fn check_voters(&self) -> Result<(), Violation> {
        let Some(&leader) = self.leaders().first() else { return Err("no leader".into()) };
        let Some(core) = self.nodes[leader].core.as_ref() else { return Ok(()) };
        let members = core.members();
        if members.voters.len() == self.voters && members.learners.is_empty() {
            return Ok(());
        }
        Err(format!("{} voters and {} learners", members.voters.len(), members.learners.len()))
    }

    /// A random machine that votes, according to any member.
    fn random_voter(&mut self) -> usize {
        loop {
            let at = self.random_machine();
            let name = self.nodes[at].name.clone();
            let votes = |node: &Node| {
                let core = node.core.as_ref();
                core.is_some_and(|core| core.members().voters.iter().any(|v| v.name == name))
            };
            if self.nodes.iter().any(votes) {
                return at;
            }
        }
    }

    fn lose_two_disks_and_all_power(&mut self) -> Result<(), Violation> {
        let lost = [self.random_voter(), self.random_voter()];
        self.record_event(format!("power off all, wiped {lost:?}"));
        (0..self.nodes.len()).for_each(|at| self.stop(at, true));
        lost.into_iter().for_each(|at| self.wipe(at));
        self.run(500)?;
        self.start_all();
        Ok(())
    }

    fn start_all(&mut self) {
        for at in 0..self.nodes.len() {
            if self.nodes[at].core.is_none() && !self.is_removed(&self.nodes[at]) {
                self.start(at);
            }
        }
    }

    fn lose_one_for_good(&mut self) -> Result<(), Violation> {
        let at = self.random_voter();
        self.record_event(format!("{at} is lost, a new machine joins"));
        self.stop(at, true);
        self.removed.push(self.nodes[at].name.clone());
        self.run(1_000)?;
        self.add_node(false);
        Ok(())
    }

    /// Drains a voter; once that could be reported, two others lose their disks.
    fn drain_and_wipe_two(&mut self) -> Result<(), Violation> {
        let at = self.random_voter();
        let name = self.nodes[at].name.clone();
        self.record_event(format!("drain {at}"));
        self.leaving.push(name.clone());
        for _ in 0..2_000 {
            self.run(5)?;
            // Also between proposals: a leader with a new command cannot transfer leadership.
            self.change_members()?;
            let out = self.leaders().iter().any(|&leader| {
                self.nodes[leader].core.as_ref().is_some_and(|core| {
                    core.can_change_members()
                        && core.members_durably_committed()
                        && !core.members().all().any(|member| member.name == name)
                })
            });
            if out {
                self.stop(at, true);
                self.removed.push(name);
                let lost = [self.random_voter(), self.random_voter()];
                lost.into_iter().for_each(|lost| self.wipe(lost));
                self.run(800)?;
                self.start_all();
                return Ok(());
            }
        }
        let describe = |&leader: &usize| {
            let core = self.nodes[leader].core.as_ref()?;
            let durably_committed = core.members_durably_committed();
            Some(format!(
                "{}: may change {}, committed durably {durably_committed}",
                core.id(),
                core.can_change_members()
            ))
        };
        let leaders: Vec<String> = self.leaders().iter().filter_map(describe).collect();
        Err(format!("{name} is never removed; {leaders:?}"))
    }
}
