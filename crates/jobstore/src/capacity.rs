//! How many items may start at a service while slots stay reserved for online requests.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use yokefall_core::Timestamp;
use yokefall_serving::{Backend, Balancer, Residency};

use crate::interrupted_output::InterruptedOutput;
use crate::loads::Coverage;

/// Assumed time in which a burst of online requests fills all slots of a service. The reserve is
/// the number of slots that it fills before items are preempted, at least one.
const BURST_FILL_TIME: Duration = Duration::from_millis(1_200);
/// Time from a load report until items have been preempted for the requests in it.
const PREEMPTION_TIME: Duration = Duration::from_millis(70);
/// Share of the reserve below which items are preempted. Well below one, so that an item is not
/// preempted only for another one to start.
const MIN_RESERVE_SHARE: f64 = 0.5;

/// Slots of the back ends of a service.
#[derive(Clone, Copy, Debug)]
pub struct Capacity {
    /// Total number of slots.
    pub slots: u32,
    /// Slots that are not occupied.
    pub free: u32,
    /// Share of the slots that a burst of online requests fills before items are preempted.
    burst_share: f64,
    /// Share of the slots that online requests of unreported gateways may occupy.
    unreported_share: f64,
}

impl Capacity {
    /// Creates an empty capacity for gateways that report their load at `report_interval`.
    pub fn new(report_interval: Duration) -> Self {
        let reaction = report_interval + PREEMPTION_TIME;
        let burst_share = reaction.div_duration_f64(BURST_FILL_TIME);
        Self { slots: 0, free: 0, burst_share, unreported_share: 0.0 }
    }

    /// Accounts for gateways whose load is not reported.
    pub fn with_coverage(self, coverage: Coverage) -> Self {
        Self { unreported_share: coverage.unreported_slot_share(), ..self }
    }

    /// Adds a back end with `taken` of its slots occupied.
    pub fn add(&mut self, slots: u32, taken: u32) {
        self.slots = self.slots.saturating_add(slots);
        self.free = self.free.saturating_add(slots.saturating_sub(taken));
    }

    /// Slots that must stay free when an item starts. The burst leaves one slot: a service with a
    /// single one would never run an item, and items give way to the first request.
    pub fn reserve(&self) -> u32 {
        let slots = f64::from(self.slots);
        let burst = (slots * self.burst_share).ceil() as u32;
        let burst = burst.min(self.slots.saturating_sub(1));
        let unreported = (slots * self.unreported_share).floor() as u32;
        burst.max(unreported)
    }

    /// Number of items that may start.
    pub fn startable_items(&self) -> u32 {
        self.free.saturating_sub(self.reserve())
    }

    /// Number of slots that items should release.
    pub fn shortfall(&self) -> u32 {
        let least = (f64::from(self.reserve()) * MIN_RESERVE_SHARE).floor() as u32;
        least.saturating_sub(self.free)
    }
}

/// The back ends that an item may use: those of a service in the regions that its residency allows.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct SlotPool {
    /// Name of the service.
    pub service: String,
    /// Where the item may be served.
    pub residency: Residency,
}

/// Free slots of one pool during a scheduling pass.
#[derive(Debug)]
pub struct ServiceSlots {
    capacity: Capacity,
    backends: Vec<Arc<Backend>>,
    /// Items that found no slot in this pass.
    pub queued: usize,
}

impl ServiceSlots {
    /// Creates the slots of a pool; `backends` are the back ends with a free slot.
    pub fn new(capacity: Capacity, backends: Vec<Arc<Backend>>) -> Self {
        Self { capacity, backends, queued: 0 }
    }

    /// Capacity of all its back ends.
    pub fn capacity(&self) -> &Capacity {
        &self.capacity
    }

    /// Number of items that may start.
    pub fn startable_items(&self) -> u32 {
        self.capacity.startable_items()
    }

    /// Chooses a back end for the next item, except the `excluded` ones, and occupies one of its slots.
    pub fn choose(
        &mut self,
        balancer: &mut Balancer,
        now: Timestamp,
        excluded: &[String],
    ) -> Option<Arc<Backend>> {
        let backend = balancer.choose(now, &self.backends, excluded, None)?;
        self.occupy_slot();
        Some(backend)
    }

    /// Like `choose`, among the back ends to which the output of an item fits.
    pub fn choose_fitting(
        &mut self,
        balancer: &mut Balancer,
        now: Timestamp,
        output: &InterruptedOutput,
        excluded: &[String],
    ) -> Option<Arc<Backend>> {
        let fits = |backend: &&Arc<Backend>| output.fits(backend);
        let fitting: Vec<Arc<Backend>> = self.backends.iter().filter(fits).cloned().collect();
        let backend = balancer.choose(now, &fitting, excluded, None)?;
        self.occupy_slot();
        Some(backend)
    }

    fn occupy_slot(&mut self) {
        self.capacity.free = self.capacity.free.saturating_sub(1);
    }

    /// Returns the slot of an item that does not start after all.
    pub fn vacate_slot(&mut self) {
        self.capacity.free = self.capacity.free.saturating_add(1);
    }

    /// Removes a back end that has no free slot left.
    pub fn remove(&mut self, id: &str) {
        self.backends.retain(|backend| backend.id != id);
    }
}

/// Free slots of the pools that a scheduling pass has looked up.
#[derive(Debug, Default)]
pub struct FreeSlots {
    pools: BTreeMap<SlotPool, ServiceSlots>,
}

impl FreeSlots {
    /// The slots of a pool; `find` computes them on first use.
    pub fn of(
        &mut self,
        pool: &SlotPool,
        find: impl FnOnce() -> ServiceSlots,
    ) -> &mut ServiceSlots {
        self.pools.entry(pool.clone()).or_insert_with(find)
    }

    /// The pools looked up so far, with the name of their service.
    pub fn services(&self) -> impl Iterator<Item = (&String, &ServiceSlots)> {
        self.pools.iter().map(|(pool, slots)| (&pool.service, slots))
    }
}
