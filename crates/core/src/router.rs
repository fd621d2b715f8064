//! Choice of the owner daemon that runs an online call.

use std::collections::HashMap;

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use yokefall_peer::OwnerLoad;
use yokefall_types::{NodeName, ServiceId};

use crate::fleet::{FleetView, OwnerView};
use crate::time::Timestamp;

/// Cost added to an owner outside this daemon's zone, in parts of its slots.
const REMOTE_ZONE_COST: f64 = 0.25;
/// Age after which a reported load counts no more, in milliseconds.
const LOAD_LIFETIME_MS: u64 = 2_000;
/// Cost of an owner that failed recently.
const FAILURE_COST: f64 = 4.0;
/// Time for which a failure counts, in milliseconds.
const FAILURE_LIFETIME_MS: u64 = 1_000;

#[derive(Clone, Copy, Debug, Default)]
struct OwnerState {
    outstanding: u32,
    load: OwnerLoad,
    load_at: Option<Timestamp>,
    failed_at: Option<Timestamp>,
}

/// Power of two choices over owners, weighted by slots.
///
/// The cost of an owner is what this daemon has outstanding there plus what the owner last
/// reported, in parts of its slots. Reports come with every ended execution, so that they cost no
/// message of their own.
#[derive(Debug)]
pub struct Router {
    generator: SmallRng,
    owners: HashMap<(NodeName, ServiceId), OwnerState>,
}

impl Router {
    /// A router whose draws follow from `seed`.
    pub fn new(seed: u64) -> Self {
        Self { generator: SmallRng::seed_from_u64(seed), owners: HashMap::new() }
    }

    /// Chooses an owner that is not in `tried`.
    pub fn choose(
        &mut self,
        now: Timestamp,
        view: &FleetView,
        service: &ServiceId,
        tried: &[NodeName],
    ) -> Option<NodeName> {
        let owners = &view.services.get(service)?.owners;
        let open: Vec<&OwnerView> = owners.iter().filter(|o| !tried.contains(&o.node)).collect();
        let first = self.draw(&open)?;
        let second = self.draw(&open)?;
        let cost = |owner: &OwnerView| self.cost(now, view, service, owner);
        let chosen = if cost(second) < cost(first) { second } else { first };
        Some(chosen.node.clone())
    }

    fn draw<'a>(&mut self, owners: &[&'a OwnerView]) -> Option<&'a OwnerView> {
        let total: u32 = owners.iter().map(|owner| owner.slots).sum();
        if total == 0 {
            return owners.first().copied();
        }
        let mut point = self.generator.random_range(0..total);
        for owner in owners {
            if point < owner.slots {
                return Some(owner);
            }
            point -= owner.slots;
        }
        None
    }

    fn cost(
        &self,
        now: Timestamp,
        view: &FleetView,
        service: &ServiceId,
        owner: &OwnerView,
    ) -> f64 {
        let key = (owner.node.clone(), service.clone());
        let state = self.owners.get(&key).copied().unwrap_or_default();
        let slots = f64::from(owner.slots.max(1));
        let mut cost = f64::from(state.outstanding) / slots;
        let fresh =
            |at: Option<Timestamp>, lifetime| at.is_some_and(|at| now.millis_since(at) < lifetime);
        if fresh(state.load_at, LOAD_LIFETIME_MS) {
            let used = slots - f64::from(state.load.free_slots) + f64::from(state.load.waiting);
            cost = cost.max(used / slots);
        }
        if fresh(state.failed_at, FAILURE_LIFETIME_MS) {
            cost += FAILURE_COST;
        }
        if owner.zone != view.zone {
            cost += REMOTE_ZONE_COST;
        }
        cost
    }

    /// Notes that a call was sent to an owner.
    pub fn sent(&mut self, owner: &NodeName, service: &ServiceId) {
        self.owners.entry((owner.clone(), service.clone())).or_default().outstanding += 1;
    }

    /// Notes that a call sent to an owner came back, with the owner's load where it told it.
    pub fn returned(
        &mut self,
        now: Timestamp,
        owner: &NodeName,
        service: &ServiceId,
        load: Option<OwnerLoad>,
    ) {
        let state = self.owners.entry((owner.clone(), service.clone())).or_default();
        state.outstanding = state.outstanding.saturating_sub(1);
        match load {
            Some(load) => {
                state.load = load;
                state.load_at = Some(now);
            }
            None => state.failed_at = Some(now),
        }
    }
}
