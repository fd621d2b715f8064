//! Checks that the group serves within a bounded time while no more machines are lost than it must
//! tolerate.

use std::collections::{BTreeMap, BTreeSet};

use yokefall_consensus::{Consensus, Millis};

use super::{Simulation, Violation};

/// Time in which the group must serve after the last change of the lost machines, in milliseconds.
pub const RECOVERY_MS: Millis = 3_000;
/// Time for which a machine that is back, or new, still counts as lost, in milliseconds.
pub const CATCH_UP_MS: Millis = 4_700;
/// Number of machines that may be lost at the same time.
const TOLERATED_LOSSES: usize = 1;
/// Number of disks that must hold a command before it is acknowledged.
const COPIES: usize = 2;

/// Which machines are lost, and when the group last served.
#[derive(Debug, Default)]
pub(super) struct Availability {
    /// When each machine was last down, frozen, partitioned or without its disk.
    impaired_at: BTreeMap<usize, Millis>,
    lost: BTreeSet<usize>,
    changed_at: Millis,
    served_at: Millis,
}

impl Simulation {
    /// Machines that belong to the fleet: not those that are removed or hold nothing any more.
    fn present(&self) -> Vec<usize> {
        let cores = self.nodes.iter().filter_map(|node| node.core.as_ref());
        let newest = cores.map(Consensus::members).max_by_key(|members| members.epoch);
        let voters = newest.map(|members| &members.voters);
        let is_voter =
            |name: &str| voters.is_some_and(|voters| voters.iter().any(|voter| voter.name == name));
        let is_present = |at: &usize| {
            let node = &self.nodes[*at];
            !self.is_removed(node) && (!self.leaving.contains(&node.name) || is_voter(&node.name))
        };
        (0..self.nodes.len()).filter(is_present).collect()
    }

    /// Records that a machine has started or returned, or is impaired now.
    pub(super) fn record_impairment(&mut self, at: usize) {
        self.availability.impaired_at.insert(at, self.now);
    }

    /// The machine without which no two are partitioned, if there is one; `Err` if there is none.
    fn partitioned_machine(&self, present: &[usize]) -> Result<Option<usize>, ()> {
        let is_present =
            |pair: &&(usize, usize)| present.contains(&pair.0) && present.contains(&pair.1);
        let pairs: Vec<&(usize, usize)> = self.partitions.iter().filter(is_present).collect();
        if pairs.is_empty() {
            return Ok(None);
        }
        let isolates = |at: &usize| pairs.iter().all(|(from, to)| from == at || to == at);
        present.iter().copied().find(isolates).map(Some).ok_or(())
    }

    /// Updates the lost machines; `None` if a partition leaves no majority in touch.
    fn update_lost(&mut self, present: &[usize]) -> Option<BTreeSet<usize>> {
        let now = self.now;
        for &at in present {
            let node = &self.nodes[at];
            let impaired =
                node.core.is_none() || node.frozen_until > now || node.disk_stalled_until > now;
            if impaired {
                self.record_impairment(at);
            }
        }
        match self.partitioned_machine(present) {
            Ok(Some(at)) => self.record_impairment(at),
            Ok(None) => {}
            Err(()) => return None,
        }
        let impaired_at = &self.availability.impaired_at;
        let is_lost =
            |at: &usize| impaired_at.get(at).is_some_and(|since| now < since + CATCH_UP_MS);
        Some(present.iter().copied().filter(is_lost).collect())
    }

    /// Whether the group must be able to serve with these machines lost.
    fn is_tolerable(&self, present: &[usize], lost: &BTreeSet<usize>) -> bool {
        let pair_needs_claim = (!self.claims_available || self.claim_answers_lost)
            && self.nodes.iter().filter_map(|node| node.core.as_ref()).any(|c| c.pair().is_some());
        lost.len() <= TOLERATED_LOSSES && present.len() - lost.len() >= COPIES && !pair_needs_claim
    }

    /// Fails if nobody serves although the group could have recovered.
    pub(super) fn check_availability(&mut self) -> Result<(), Violation> {
        let present = self.present();
        let lost = self.update_lost(&present);
        let is_tolerable = lost.as_ref().is_some_and(|lost| self.is_tolerable(&present, lost));
        let lost = lost.unwrap_or_default();
        if !is_tolerable || lost != self.availability.lost {
            self.availability.changed_at = self.now;
            self.availability.lost = lost;
        }
        if self.is_served() {
            self.availability.served_at = self.now;
        }
        let Availability { changed_at, served_at, .. } = self.availability;
        if self.now <= changed_at.max(served_at) + RECOVERY_MS {
            return Ok(());
        }
        Err(format!(
            "nobody serves since {served_at}; lost since {changed_at}: {:?}",
            self.availability.lost
        ))
    }
}
