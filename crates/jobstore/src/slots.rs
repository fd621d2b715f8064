//! Slots that items may have: those that online requests leave free at back ends where an item may be served, and
//! those that online requests get back.

use std::borrow::Cow;
use std::sync::Arc;

use yokefall_serving::{Backend, Requirements, Residency, RouteKind};

use crate::item_worker::ItemWorkers;
use crate::pool_slots::PoolSlots;
use crate::preemption::{preempted, PlacedRun};
use crate::room::{Room, ServiceSlots, SlotPool};
use crate::run::ItemSender;
use crate::runner::Runner;
use crate::running::{ItemKey, Running};

impl Runner {
    /// Back ends of a pool with a free slot, and how many items may start there.
    pub(crate) fn free_slots(&self, pool: &SlotPool) -> ServiceSlots {
        let catalog = self.worker.catalog.load();
        let room = self.room(pool);
        let requirements = Requirements { service: &pool.service, residency: &pool.residency };
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
        ServiceSlots::new(room, backends)
    }

    /// The slots that the configuration in force gives an item.
    pub(crate) fn pool_of(&self, key: &ItemKey) -> Option<SlotPool> {
        let catalog = self.worker.catalog.load();
        let (sender, path) = self.store.with_job(&key.0, |job| {
            let sender = ItemSender { host: job.host.clone(), tenant: job.tenant.clone() };
            job.open.get(&key.1).map(|open| (sender, open.item.path.clone()))
        })??;
        let route = catalog.routes.find(&sender.host, &path)?;
        let part = route.split.iter().max_by_key(|part| part.weight)?;
        let residency = catalog.residency(route, sender.tenant.as_ref());
        let service = part.service.clone();
        (route.kind == RouteKind::Batch).then_some(SlotPool { service, residency })
    }

    /// The slots of a pool. Of back ends that may take an item only those are looked at that have work: a pass comes up to
    /// fifty times a second, and before 10,000 back ends a leader that looked at all of them had a fifth of its items done.
    fn room(&self, pool: &SlotPool) -> Room {
        let catalog = self.worker.catalog.load();
        let requirements = Requirements { service: &pool.service, residency: &pool.residency };
        let coverage = self.store.loads.coverage(self.fleet.load().gateways().count());
        let room = Room::new(self.store.loads.report_interval()).heard(coverage);
        let Some(closed) = self.item_workers().closed(&requirements) else {
            // What is known is too old to tell that any of them is warm.
            return self
                .room_of_each(room, &self.item_workers().candidates(&catalog, &requirements));
        };
        let tables = self.worker.eligibility.tables(&catalog, &requirements);
        self.worker.balancer.with(|balancer, now| {
            let mut counted = PoolSlots::new(&tables);
            closed.iter().for_each(|backend| counted.leave_out(&backend.id, backend.started_ms));
            balancer.ejected(now).for_each(|(id, started_ms)| counted.leave_out(id, started_ms));
            self.store
                .loads
                .each_online(|incarnation, requests| counted.take(incarnation, requests));
            balancer
                .all_in_flight()
                .for_each(|(incarnation, items)| counted.take(&incarnation, items));
            counted.add_to(room)
        })
    }

    fn room_of_each(&self, mut room: Room, candidates: &[Arc<Backend>]) -> Room {
        self.worker.balancer.with(|balancer, now| {
            for backend in candidates.iter().filter(|backend| !balancer.is_ejected(now, backend)) {
                let online = self.reported_online(backend);
                room.add(backend.slots, online + balancer.in_flight(backend));
            }
        });
        room
    }

    /// Who may run items.
    pub(crate) fn item_workers(&self) -> ItemWorkers<'_> {
        let leader = self.store.with_core(|core, _| core.id().name.clone());
        ItemWorkers { worker: &self.worker, delegation: &self.delegation, leader }
    }

    /// Whether a back end with this many items has a free slot.
    pub(crate) fn has_free_slot(&self, backend: &Backend, items: u32) -> bool {
        self.reported_online(backend) + items < backend.slots
    }

    /// Online requests at a back end of the gateways that are heard. Those of the others are in the
    /// reserve of the service (`Coverage`), at which back end is not known.
    fn reported_online(&self, backend: &Backend) -> u32 {
        self.store.loads.online(&backend.incarnation()).unwrap_or(0)
    }

    /// Where online requests need the slots of items, the newest items are preempted.
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
        let lacking = |service: &str| {
            let pool = SlotPool { service: service.to_owned(), residency: Residency::Anywhere };
            self.room(&pool).lacking() as usize
        };
        for position in preempted(&runs, online, lacking) {
            placed[position].0.preempt();
        }
    }
}
