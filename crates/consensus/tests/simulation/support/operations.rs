//! What scripted tests do to machines, and what they ask.

use yokefall_consensus::{Consensus, Millis};

use super::{Simulation, Violation, CATCH_UP_MS};

/// Time in which a machine must be asked to take over leadership, in milliseconds.
const TRANSFER_LIMIT_MS: Millis = 3_000;

impl Simulation {
    /// Kills a process; its disk keeps everything.
    pub fn kill(&mut self, at: usize) {
        self.record_event(format!("kill {at}"));
        self.stop(at, false);
    }

    /// Requests the retirement of a machine.
    pub fn retire(&mut self, at: usize) {
        self.record_event(format!("retire {at}"));
        self.leaving.push(self.nodes[at].name.clone());
    }

    /// The machine that leads, if any.
    pub fn leader(&self) -> Option<usize> {
        self.leaders().into_iter().max_by_key(|&at| self.nodes[at].core.as_ref().map(|c| c.term()))
    }

    /// Whether a member may answer requests and accept commands.
    pub fn is_served(&self) -> bool {
        let serves =
            |core: &Consensus| core.can_read(self.now) && core.committed_voters() > self.voters / 2;
        self.leaders().iter().any(|&at| self.nodes[at].core.as_ref().is_some_and(serves))
    }

    /// Whether a retired machine holds no data of the group any more.
    pub fn is_drained(&self, at: usize) -> bool {
        let name = &self.nodes[at].name;
        self.leaders().iter().any(|&leader| {
            self.nodes[leader].core.as_ref().is_some_and(|core| {
                core.can_read(self.now)
                    && core.can_change_members()
                    && core.members_durably_committed()
                    && !core.members().all().any(|member| member.name == *name)
            })
        })
    }

    /// The machine that was last asked to take over leadership.
    pub fn transfer_target(&self) -> Option<usize> {
        self.transfer_target
    }

    /// Runs until a retired machine holds no data of the group any more.
    pub fn run_until_drained(&mut self, at: usize) -> Result<(), Violation> {
        let end = self.now + CATCH_UP_MS;
        while !self.is_drained(at) {
            if self.now >= end {
                return Err(self.violation("the machine is not drained"));
            }
            self.run(1)?;
        }
        Ok(())
    }

    /// Adds a machine with an empty disk.
    pub fn add_machine(&mut self) {
        self.record_event("add a machine".into());
        self.add_node(false);
    }

    /// Removes a machine for good.
    pub fn remove(&mut self, at: usize) {
        self.record_event(format!("remove {at}"));
        self.stop(at, true);
        self.removed.push(self.nodes[at].name.clone());
    }

    /// Freezes a process for a time in milliseconds.
    pub fn freeze(&mut self, at: usize, length: Millis) {
        self.record_event(format!("freeze {at} for {length}"));
        self.nodes[at].frozen_until = self.now + length;
    }

    /// Runs until the leader's newest membership, committed or not, lacks a machine.
    pub fn run_until_removal(&mut self, at: usize) -> Result<(), Violation> {
        let name = self.nodes[at].name.clone();
        let end = self.now + CATCH_UP_MS;
        while self.now < end {
            self.run(1)?;
            let leader = self.leader().and_then(|leader| self.nodes[leader].core.as_ref());
            if leader.is_some_and(|core| !core.members().all().any(|member| member.name == name)) {
                return Ok(());
            }
        }
        Err(self.violation("the machine is not removed"))
    }

    /// Runs until a machine is asked to take over leadership.
    pub fn run_until_transfer(&mut self) -> Result<(), Violation> {
        let end = self.now + TRANSFER_LIMIT_MS;
        while self.transfer_target.is_none() && self.now < end {
            self.run(1)?;
        }
        Ok(())
    }

    /// Starts a process unless it runs or its machine was removed.
    pub fn start_if_down(&mut self, at: usize) {
        if self.nodes[at].core.is_none() && !self.is_removed(&self.nodes[at]) {
            self.start(at);
        }
    }
}
