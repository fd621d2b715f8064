//! Faults, which are drawn at random and end before the next one.

use rand::Rng;
use yokefall_consensus::Millis;

use super::disk::Disk;
use super::{Mutation, Simulation, Violation};

#[derive(Clone, Copy, Debug)]
pub struct Faults {
    /// Processes are killed; disks keep everything.
    pub kills: bool,
    /// Power is lost, on one machine or on all at once.
    pub power: bool,
    /// Disks are lost, one at a time.
    pub wipes: bool,
    pub freezes: bool,
    /// Members are partitioned, in one direction or both.
    pub partitions: bool,
    pub stalls: bool,
    /// Machines are added, replaced and drained.
    pub changes: bool,
}

pub const ALL_FAULTS: Faults = Faults {
    kills: true,
    power: true,
    wipes: true,
    freezes: true,
    partitions: true,
    stalls: true,
    changes: true,
};

/// Time in which a machine must be drained if no fault is injected meanwhile, in milliseconds.
const RETIREMENT_LIMIT_MS: Millis = 10_000;

impl Simulation {
    pub fn fault(&mut self, faults: Faults) -> Result<(), Violation> {
        let length = self.random.random_range(100..3_000);
        match self.random.random_range(0..12) {
            0 if faults.kills => {
                let at = self.random_machine();
                self.record_event(format!("kill {at} for {length}"));
                self.stop(at, false);
                self.run(length)?;
                self.start(at);
            }
            1 if faults.power => {
                let at = self.random_machine();
                self.record_event(format!("power off {at} for {length}"));
                self.stop(at, true);
                self.run(length)?;
                self.start(at);
            }
            2 if faults.power => self.power_off_all(length, faults.wipes)?,
            3 if faults.wipes && self.may_wipe() => {
                let at = self.random_machine();
                self.wipe(at);
                self.run(length.min(1_000))?;
                self.start(at);
                self.wipe_allowed_at = self.now + 4_700;
            }
            4 if faults.freezes => {
                let at = self.random_machine();
                self.record_event(format!("freeze {at} for {length}"));
                self.nodes[at].frozen_until = self.now + length;
                self.run(length + 100)?;
            }
            5 if faults.partitions => self.partition(length)?,
            6 if faults.stalls => {
                let at = self.random_machine();
                self.record_event(format!("stall disk {at} for {length}"));
                let until = self.now + length;
                self.nodes[at].disk_stalled_until = until;
                for batch in &mut self.nodes[at].batches {
                    batch.ready_at = batch.ready_at.max(until);
                }
                self.run(length)?;
            }
            7 if faults.changes && self.may_wipe() && self.nodes.len() < 6 => {
                self.record_event("add a machine".into());
                self.add_node(false);
                self.run(length)?;
            }
            8 if faults.changes && self.may_wipe() && self.leaving.is_empty() => self.drain()?,
            // No pair tolerates a long partition of one and then the loss of the other's disk.
            9 if faults.partitions
                && faults.wipes
                && self.drained_count == 0
                && self.may_wipe() =>
            {
                self.partition_then_wipe(length)?;
            }
            10 if faults.stalls && faults.power => {
                self.stall_all_but_one();
                self.run(length.min(600))?;
                self.power_off_all(length, false)?;
            }
            _ => self.run(length)?,
        }
        Ok(())
    }

    /// One member misses changes; then another one loses its disk, the rest are down, and the
    /// partition heals: those two must not elect a leader with an outdated log.
    fn partition_then_wipe(&mut self, length: Millis) -> Result<(), Violation> {
        let partitioned = self.random_machine();
        let mut wiped = (partitioned + 1) % self.nodes.len();
        while self.is_removed(&self.nodes[wiped]) || wiped == partitioned {
            wiped = (wiped + 1) % self.nodes.len();
        }
        self.record_event(format!(
            "{partitioned} is partitioned, then {wiped} wiped, the others down"
        ));
        self.cut(partitioned, false);
        self.run(length)?;
        for at in (0..self.nodes.len()).filter(|at| *at != partitioned && *at != wiped) {
            self.stop(at, true);
        }
        self.wipe(wiped);
        self.wipe_allowed_at = self.now + length + 4_700;
        self.heal();
        self.run(100)?;
        self.start(wiped);
        self.run(length)?;
        for at in (0..self.nodes.len()).filter(|at| *at != partitioned && *at != wiped) {
            if !self.is_removed(&self.nodes[at]) {
                self.start(at);
            }
        }
        Ok(())
    }

    /// Stalls every disk but one for longer than the fault that follows.
    fn stall_all_but_one(&mut self) {
        let spared = self.random_machine();
        self.record_event(format!("stall every disk but {spared}"));
        let until = self.now + 1_000;
        for at in (0..self.nodes.len()).filter(|at| *at != spared) {
            self.nodes[at].disk_stalled_until = until;
            for batch in &mut self.nodes[at].batches {
                batch.ready_at = batch.ready_at.max(until);
            }
        }
    }

    /// Loses the disk of a machine, which stops.
    pub fn wipe(&mut self, at: usize) {
        self.record_event(format!("wipe {at}"));
        self.stop(at, true);
        let incarnation = self.nodes[at].disk.incarnation;
        self.nodes[at].disk = Disk::default();
        if self.mutation == Mutation::WipedDiskVotes {
            self.nodes[at].disk.incarnation = incarnation;
        }
    }

    fn power_off_all(&mut self, length: Millis, wipes: bool) -> Result<(), Violation> {
        let wiped = (wipes && self.may_wipe() && self.random.random_bool(0.5))
            .then(|| self.random_machine());
        self.record_event(format!("power off all, wiped {wiped:?}"));
        for at in 0..self.nodes.len() {
            self.stop(at, true);
        }
        if let Some(at) = wiped {
            self.wipe(at);
            self.wipe_allowed_at = self.now + length + 4_700;
        }
        self.run(length)?;
        for at in 0..self.nodes.len() {
            if !self.is_removed(&self.nodes[at]) {
                self.start(at);
            }
        }
        Ok(())
    }

    /// Partitions a machine from all others, or only what it sends.
    pub fn cut(&mut self, at: usize, one_way: bool) {
        for other in (0..self.nodes.len()).filter(|other| *other != at) {
            self.partitions.insert((at, other));
            if !one_way {
                self.partitions.insert((other, at));
            }
        }
    }

    /// Ends all partitions.
    pub fn heal(&mut self) {
        self.partitions.clear();
    }

    fn partition(&mut self, length: Millis) -> Result<(), Violation> {
        let one_way = self.random.random_bool(0.3);
        let split = self.random.random_range(1..self.nodes.len());
        self.record_event(format!("partition at {split} one way {one_way} for {length}"));
        for left in 0..split {
            for right in split..self.nodes.len() {
                self.partitions.insert((left, right));
                if !one_way {
                    self.partitions.insert((right, left));
                }
            }
        }
        self.run(length)?;
        self.heal();
        Ok(())
    }

    /// Drains a machine; once it is out of the group its disk is erased.
    pub(super) fn drain(&mut self) -> Result<(), Violation> {
        let at = self.random_machine();
        let name = self.nodes[at].name.clone();
        self.record_event(format!("drain {at}"));
        self.leaving.push(name.clone());
        let until = self.now + RETIREMENT_LIMIT_MS;
        while self.now < until {
            self.run(5)?;
            if self.is_drained(at) {
                self.stop(at, true);
                self.nodes[at].disk = Disk::default();
                self.record_event(format!("drained {at}"));
                self.drained_count = 1;
                return self.lose_another();
            }
        }
        Err(format!("{at} is never drained"))
    }

    /// Immediately afterwards another machine loses its disk or is replaced under another name.
    fn lose_another(&mut self) -> Result<(), Violation> {
        let pause = self.random.random_range(1..400).max(200) - 199;
        self.run(pause)?;
        let at = self.random_machine();
        if self.nodes[at].core.is_none() || !self.may_wipe() {
            return Ok(());
        }
        if self.random.random_bool(0.3) {
            return self.partition_for_long(at);
        }
        self.wipe(at);
        self.wipe_allowed_at = self.now + 4_700;
        self.claims_available = self.random.random_bool(0.7);
        self.run(1_500)?;
        if self.random.random_bool(0.5) {
            self.start(at);
        } else {
            self.record_event(format!("{at} is lost, a new machine joins"));
            self.removed.push(self.nodes[at].name.clone());
            self.add_node(false);
        }
        self.run(2_000)?;
        self.claims_available = true;
        self.run(6_000)
    }

    /// Partitions one member for so long that the members of a pair give up on each other.
    pub(super) fn partition_for_long(&mut self, at: usize) -> Result<(), Violation> {
        self.record_event(format!("{at} is partitioned for long"));
        self.cut(at, false);
        self.run(8_000)?;
        self.heal();
        self.run(3_000)
    }
}
