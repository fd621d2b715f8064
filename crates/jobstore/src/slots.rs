//! Slots for items: those that online requests leave free, and those returned to online requests.

use std::borrow::Cow;
use std::sync::Arc;

use yokefall_serving::{Backend, Requirements, Residency, RouteKind};

use crate::capacity::{Capacity, ServiceSlots, SlotPool};
use crate::item_waits::WaitCause;
use crate::item_worker::ItemWorkers;
use crate::pool_slots::PoolSlots;
use crate::preemption::{preempted, PlacedRun};
use crate::run::ItemSender;
use crate::runner::Runner;
use crate::running::{ItemKey, Running};

impl Runner {
    /// Back ends of a pool with a free slot, and how many items may start there.
    pub(crate) fn free_slots(&self, pool: &SlotPool) -> ServiceSlots {
        let catalog = self.worker.catalog.load();
        let capacity = self.capacity(pool);
        let requirements = Requirements {
            service: &pool.service,
            residency: &pool.residency,
            software_version: None,
        };
        let workers = self.item_workers();
        let backends = self.worker.balancer.with(|balancer, now| {
            let sample = workers.sample(&catalog, &requirements, balancer.generator());
            let candidates = match sample {
                Some(sample) => Cow::Owned(sample.backends),
                None => workers.candidates(&catalog, &requirements),
            };
            let is_free = |backend: &&Arc<Backend>| {
                let items = balancer.in_flight(backend);
                self.has_free_slot(backend, items) && !balancer.is_ejected(now, backend)
            };
            candidates.iter().filter(is_free).cloned().collect()
        });
        ServiceSlots::new(capacity, backends)
    }

    /// The slot pool that the current configuration assigns to an open item.
    pub(crate) fn pool_of(&self, (job, index): &ItemKey) -> Result<SlotPool, WaitCause> {
        let catalog = self.worker.catalog.load();
        if catalog.configuration.is_none() {
            return Err(WaitCause::NoConfiguration);
        }
        let target = self.store.with_job(job, |job| {
            let sender = ItemSender { host: job.host.clone(), tenant: job.tenant.clone() };
            job.open.get(index).map(|open| (sender, open.item.path.clone()))
        });
        let (sender, path) = target.flatten().ok_or(WaitCause::Ended)?;
        let route = catalog.routes.find(&sender.host, &path).ok_or(WaitCause::NoRoute)?;
        if route.kind != RouteKind::Batch {
            return Err(WaitCause::NoBatchRoute);
        }
        let residency = catalog.residency(route, sender.tenant.as_ref());
        let parts = route.split.iter().filter(|part| part.weight > 0);
        let part =
            parts.max_by_key(|part| (catalog.has_ready(&part.service, &residency), part.weight));
        let service = part.ok_or(WaitCause::NoService)?.service.clone();
        Ok(SlotPool { service, residency })
    }

    /// Only back ends with work are examined one by one: there are up to fifty passes a second, and
    /// with 10,000 back ends a leader that examined all completed only a fifth of its items.
    fn capacity(&self, pool: &SlotPool) -> Capacity {
        let catalog = self.worker.catalog.load();
        let requirements = Requirements {
            service: &pool.service,
            residency: &pool.residency,
            software_version: None,
        };
        let coverage = self.store.loads.coverage(self.fleet.load().gateways().count());
        let capacity = Capacity::new(self.store.loads.report_interval()).with_coverage(coverage);
        let Some(closed) = self.item_workers().closed(&requirements) else {
            // The platform data is too old to consider any back end warm.
            return self.capacity_of_each(
                capacity,
                &self.item_workers().candidates(&catalog, &requirements),
            );
        };
        let tables = self.worker.eligibility.tables(&catalog, &requirements);
        self.worker.balancer.with(|balancer, now| {
            let mut counted = PoolSlots::new(&tables);
            closed.iter().for_each(|backend| counted.exclude(&backend.id, backend.started_ms));
            balancer.ejected(now).for_each(|(id, started_ms)| counted.exclude(id, started_ms));
            self.store
                .loads
                .for_each_online(|incarnation, requests| counted.occupy(incarnation, requests));
            balancer
                .all_in_flight()
                .for_each(|(incarnation, items)| counted.occupy(&incarnation, items));
            counted.add_to(capacity)
        })
    }

    fn capacity_of_each(&self, mut capacity: Capacity, candidates: &[Arc<Backend>]) -> Capacity {
        self.worker.balancer.with(|balancer, now| {
            for backend in candidates.iter().filter(|backend| !balancer.is_ejected(now, backend)) {
                let online = self.reported_online(backend);
                capacity.add(backend.slots, online + balancer.in_flight(backend));
            }
        });
        capacity
    }

    pub(crate) fn item_workers(&self) -> ItemWorkers<'_> {
        let leader = self.store.with_core(|core, _| core.id().name.clone());
        ItemWorkers { worker: &self.worker, delegation: &self.delegation, leader }
    }

    pub(crate) fn has_free_slot(&self, backend: &Backend, items: u32) -> bool {
        self.reported_online(backend) + items < backend.slots
    }

    /// Online requests of the reporting gateways at a back end. Those of other gateways are covered
    /// by the reserve of the service (see `Coverage`), since their back ends are not known.
    fn reported_online(&self, backend: &Backend) -> u32 {
        self.store.loads.online(&backend.incarnation()).unwrap_or(0)
    }

    /// Preempts the newest items if online requests need their slots.
    pub(crate) fn preempt(&self) {
        if !self.options.policy.give_way {
            return;
        }
        let running = self.running.borrow();
        let placed: Vec<(&Running, &Arc<Backend>)> = running
            .values()
            .filter_map(|run| run.backend.as_ref().map(|backend| (run, backend)))
            .collect();
        let runs: Vec<PlacedRun> = placed.iter().map(|(run, backend)| run.at(backend)).collect();
        let online = |backend: &Backend| self.reported_online(backend);
        let shortfall = |service: &str| {
            let pool = SlotPool { service: service.to_owned(), residency: Residency::Anywhere };
            self.capacity(&pool).shortfall() as usize
        };
        for position in preempted(&runs, online, shortfall) {
            placed[position].0.preempt();
        }
    }
}
