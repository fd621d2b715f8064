//! Evaluates the membership policy as the job store does.

use yokefall_consensus::policy::{
    leaves_pair, may_become_sole_voter, needs_claim, next_step, should_become_sole_voter,
    should_withdraw_pair, DesiredMembership, Step,
};
use yokefall_consensus::{MemberId, Pair, Zones};

use super::{zone, Mutation, Node, Simulation, Violation};

impl Simulation {
    pub(super) fn change_members(&mut self) -> Result<(), Violation> {
        let now = self.now;
        let reachable = |node: &Node| node.core.is_some() && node.frozen_until <= now;
        for at in self.leaders() {
            let Some(core) = self.nodes[at].core.as_ref() else { continue };
            // As in the job store: a leader without a lease changes nothing.
            if !core.can_read(now) {
                continue;
            }
            let mut joining = Vec::new();
            for (other, node) in self.nodes.iter().enumerate() {
                let Some(id) = node.core.as_ref().map(|core| core.id().clone()) else { continue };
                let is_received = reachable(node) && !self.partitions.contains(&(other, at));
                if is_received && !core.members().contains(&id) && !self.leaving.contains(&id.name)
                {
                    joining.push(id);
                }
            }
            let zones = Zones::new(
                self.nodes.iter().enumerate().map(|(n, node)| (node.name.clone(), zone(n))),
            );
            let leaving = self.leaving.clone();
            let desired = DesiredMembership { joining, leaving, voters: self.voters, zones };
            let step = next_step(core, self.now, &desired);
            let pair = core.pair().filter(|_| match &step {
                Step::Change(members) => needs_claim(core, members),
                Step::Idle | Step::RenewPair | Step::TransferLeadership(_) => false,
            });
            let leaves_pair = matches!(&step, Step::Change(members) if leaves_pair(core, members));
            if leaves_pair && !self.claims_available {
                continue;
            }
            let Some(core) = self.nodes[at].core.as_mut() else { continue };
            if pair.is_some() {
                core.record_claim_attempt();
            }
            if !self.claim(at, pair) {
                continue;
            }
            let Some(core) = self.nodes[at].core.as_mut() else { continue };
            match step {
                Step::Idle => {}
                Step::RenewPair => {
                    core.renew_pair(self.now);
                }
                Step::Change(members) => {
                    core.change_members(self.now, members);
                }
                Step::TransferLeadership(candidates) => {
                    core.transfer_leadership(self.now, &candidates);
                }
            }
            self.carry_out(at)?;
        }
        self.withdraw_removals()?;
        self.become_sole_voter()
    }

    fn withdraw_removals(&mut self) -> Result<(), Violation> {
        for at in 0..self.nodes.len() {
            if self.nodes[at].frozen_until > self.now {
                continue;
            }
            let Some(core) = self.nodes[at].core.as_mut() else { continue };
            let has_left = should_withdraw_pair(core, self.now) && core.leave_term(self.now);
            let pair = core.uncommitted_pair().filter(|_| has_left);
            self.carry_out(at)?;
            let Some(pair) = pair.filter(|pair| self.claim(at, Some(*pair))) else { continue };
            if let Some(core) = self.nodes[at].core.as_mut() {
                core.withdraw_uncommitted_pair(pair);
            }
        }
        Ok(())
    }

    /// Whether a member has the claim on a pair; without a pair no claim is needed.
    fn claim(&mut self, at: usize, pair: Option<Pair>) -> bool {
        let Some(pair) = pair else { return true };
        if self.mutation == Mutation::SoleVoterWithoutClaim {
            return true;
        }
        let Some(me) = self.nodes[at].core.as_ref().map(|core| core.id().to_string()) else {
            return false;
        };
        if !self.claims_available {
            return false;
        }
        pair.epochs().all(|epoch| {
            let is_mine = *self.claims.entry(epoch).or_insert(me.clone()) == me;
            is_mine && !self.claim_answers_lost
        })
    }

    fn become_sole_voter(&mut self) -> Result<(), Violation> {
        let joining: Vec<MemberId> = self
            .nodes
            .iter()
            .filter_map(|node| node.core.as_ref())
            .filter(|core| !core.members().contains(core.id()))
            .map(|core| core.id().clone())
            .collect();
        for at in 0..self.nodes.len() {
            if self.nodes[at].frozen_until > self.now {
                continue;
            }
            let Some(core) = self.nodes[at].core.as_ref() else { continue };
            if !may_become_sole_voter(core, self.now) {
                continue;
            }
            let Some(core) = self.nodes[at].core.as_mut() else { continue };
            let has_left = core.leave_term(self.now);
            self.carry_out(at)?;
            let Some(core) = self.nodes[at].core.as_ref().filter(|_| has_left) else { continue };
            let remaining_pair =
                core.pair().filter(|_| should_become_sole_voter(core, self.now, &joining));
            let Some(pair) = remaining_pair else {
                continue;
            };
            if !self.claim(at, Some(pair)) {
                continue;
            }
            if let Some(core) = self.nodes[at].core.as_mut() {
                core.become_sole_voter(self.now, pair);
            }
            self.record_event(format!("{at} becomes the sole voter"));
            self.carry_out(at)?;
        }
        Ok(())
    }
}
