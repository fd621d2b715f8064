//! How many items may start at a service, with slots kept free for online requests.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use yokefall_core::Timestamp;
use yokefall_serving::{Backend, Balancer, Residency};

use crate::loads::Coverage;

/// Time in which a burst of online requests is taken to fill all slots of a service. As many slots
/// stay free as it fills before items are preempted, one at least.
const BURST_FILL_TIME: Duration = Duration::from_millis(1_200);
/// Time from a load report until items have been preempted for the requests in it.
const PREEMPTION_TIME: Duration = Duration::from_millis(70);
/// Part of that reserve below which items are preempted. It is well below the whole, so that an item is
/// not preempted for the next one to start.
const MIN_RESERVE_SHARE: f64 = 0.5;

/// Slots of a service's back ends.
#[derive(Clone, Copy, Debug)]
pub struct Capacity {
    /// All slots.
    pub slots: u32,
    /// Slots that nothing has.
    pub free: u32,
    /// Part of the slots that a burst of online requests fills before items are preempted.
    burst_share: f64,
    /// Part of the slots that online requests may have which no gateway has reported.
    unreported_share: f64,
}

impl Capacity {
    /// No back ends yet, where gateways report their load at an interval.
    pub fn new(report_interval: Duration) -> Self {
        let reaction = report_interval + PREEMPTION_TIME;
        let burst_share = reaction.div_duration_f64(BURST_FILL_TIME);
        Self { slots: 0, free: 0, burst_share, unreported_share: 0.0 }
    }

    /// The same where only a part of the gateways is heard.
    pub fn with_coverage(self, coverage: Coverage) -> Self {
        Self { unreported_share: coverage.unreported_slot_share(), ..self }
    }

    /// Adds a back end with requests and items in some of its slots.
    pub fn add(&mut self, slots: u32, taken: u32) {
        self.slots += slots;
        self.free += slots.saturating_sub(taken);
    }

    /// Slots that stay free when an item starts.
    pub fn reserve(&self) -> u32 {
        let slots = f64::from(self.slots);
        let burst = (slots * self.burst_share).ceil() as u32;
        let unreported = (slots * self.unreported_share).floor() as u32;
        burst.max(unreported)
    }

    /// Items that may start.
    pub fn startable_items(&self) -> u32 {
        self.free.saturating_sub(self.reserve())
    }

    /// Slots that items should give back.
    pub fn shortfall(&self) -> u32 {
        let least = (f64::from(self.reserve()) * MIN_RESERVE_SHARE).floor() as u32;
        least.saturating_sub(self.free)
    }
}

/// The back ends that an item may use: those of a service, in the regions where it may be served.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct SlotPool {
    /// The service.
    pub service: String,
    /// Where the item may be served.
    pub residency: Residency,
}

/// Free slots of one pool during a scheduling pass.
#[derive(Debug)]
pub struct ServiceSlots {
    capacity: Capacity,
    /// Back ends with a free slot.
    backends: Vec<Arc<Backend>>,
    /// Items that found no slot in this pass.
    pub queued: usize,
}

impl ServiceSlots {
    /// The slots of a service, of which these back ends have some that are free.
    pub fn new(capacity: Capacity, backends: Vec<Arc<Backend>>) -> Self {
        Self { capacity, backends, queued: 0 }
    }

    /// The slots of all its back ends.
    pub fn capacity(&self) -> &Capacity {
        &self.capacity
    }

    /// Items that may start.
    pub fn startable_items(&self) -> u32 {
        self.capacity.startable_items()
    }

    /// A back end for the next item, which takes one of its slots.
    pub fn choose(&mut self, balancer: &mut Balancer, now: Timestamp) -> Option<Arc<Backend>> {
        let backend = balancer.choose(now, &self.backends, &[], None)?;
        self.capacity.free = self.capacity.free.saturating_sub(1);
        Some(backend)
    }

    /// A back end has no free slot any more.
    pub fn remove(&mut self, id: &str) {
        self.backends.retain(|backend| backend.id != id);
    }
}

/// Free slots of the pools that a scheduling pass has met.
#[derive(Debug, Default)]
pub struct FreeSlots {
    pools: BTreeMap<SlotPool, ServiceSlots>,
}

impl FreeSlots {
    /// The slots of a pool; `find` looks for them the first time.
    pub fn of(
        &mut self,
        pool: &SlotPool,
        find: impl FnOnce() -> ServiceSlots,
    ) -> &mut ServiceSlots {
        self.pools.entry(pool.clone()).or_insert_with(find)
    }

    /// The pools that were met, with their slots, by name of the service.
    pub fn services(&self) -> impl Iterator<Item = (&String, &ServiceSlots)> {
        self.pools.iter().map(|(pool, slots)| (&pool.service, slots))
    }
}
