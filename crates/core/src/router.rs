//! Selection of the owner daemon that runs an online call.

use std::collections::HashMap;

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use yokefall_peer::OwnerLoad;
use yokefall_types::{NodeName, ServiceId};

use crate::fleet::{FleetView, OwnerView};
use crate::time::Timestamp;

/// Cost added to an owner outside this daemon's zone, as a fraction of its slots.
const REMOTE_ZONE_COST: f64 = 0.25;
/// Age after which a load report is ignored, in milliseconds.
const MAX_LOAD_AGE_MS: u64 = 2_000;
/// Cost added to an owner that failed recently, as a multiple of its slots.
const FAILURE_COST: f64 = 4.0;
/// Time for which a failure is taken into account, in milliseconds.
const FAILURE_PENALTY_MS: u64 = 1_000;

#[derive(Clone, Copy, Debug, Default)]
struct OwnerState {
    in_flight: u32,
    load: OwnerLoad,
    load_at: Option<Timestamp>,
    failed_at: Option<Timestamp>,
}

/// Power-of-two-choices balancer over owners, weighted by slots.
///
/// The cost of an owner is the greater of this daemon's calls in flight there and the owner's last
/// load report, as a fraction of its slots. Load reports are piggybacked on the end of every
/// execution, so that they need no messages of their own.
#[derive(Debug)]
pub struct Router {
    rng: SmallRng,
    owners: HashMap<(NodeName, ServiceId), OwnerState>,
}

impl Router {
    /// Creates a router whose random choices are determined by `seed`.
    pub fn new(seed: u64) -> Self {
        Self { rng: SmallRng::seed_from_u64(seed), owners: HashMap::new() }
    }

    /// Chooses an owner of the service that is not in `tried`.
    pub fn choose(
        &mut self,
        now: Timestamp,
        view: &FleetView,
        service: &ServiceId,
        tried: &[NodeName],
    ) -> Option<NodeName> {
        let owners = &view.services.get(service)?.owners;
        let candidates: Vec<&OwnerView> =
            owners.iter().filter(|o| !tried.contains(&o.node)).collect();
        let first = self.sample(&candidates)?;
        let second = self.sample(&candidates)?;
        let cost = |owner: &OwnerView| self.cost(now, view, service, owner);
        let chosen = if cost(second) < cost(first) { second } else { first };
        Some(chosen.node.clone())
    }

    fn sample<'a>(&mut self, owners: &[&'a OwnerView]) -> Option<&'a OwnerView> {
        let total: u32 = owners.iter().map(|owner| owner.slots).sum();
        if total == 0 {
            return owners.first().copied();
        }
        let mut point = self.rng.random_range(0..total);
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
        let mut cost = f64::from(state.in_flight) / slots;
        let is_recent = |at: Option<Timestamp>, max_age_ms| {
            at.is_some_and(|at| now.millis_since(at) < max_age_ms)
        };
        if is_recent(state.load_at, MAX_LOAD_AGE_MS) {
            let used = slots - f64::from(state.load.free_slots) + f64::from(state.load.waiting);
            cost = cost.max(used / slots);
        }
        if is_recent(state.failed_at, FAILURE_PENALTY_MS) {
            cost += FAILURE_COST;
        }
        if owner.zone != view.zone {
            cost += REMOTE_ZONE_COST;
        }
        cost
    }

    /// Records that a call was sent to an owner.
    pub fn sent(&mut self, owner: &NodeName, service: &ServiceId) {
        self.owners.entry((owner.clone(), service.clone())).or_default().in_flight += 1;
    }

    /// Records the end of a call with its owner's load report; without one, the call has failed.
    pub fn returned(
        &mut self,
        now: Timestamp,
        owner: &NodeName,
        service: &ServiceId,
        load: Option<OwnerLoad>,
    ) {
        let state = self.owners.entry((owner.clone(), service.clone())).or_default();
        state.in_flight = state.in_flight.saturating_sub(1);
        match load {
            Some(load) => {
                state.load = load;
                state.load_at = Some(now);
            }
            None => state.failed_at = Some(now),
        }
    }
}
