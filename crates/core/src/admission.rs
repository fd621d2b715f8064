//! Admission at the owner: which call starts on which back end, and when batch steps aside.

use std::collections::{BTreeMap, HashMap};

use yokefall_peer::OwnerLoad;
use yokefall_types::{BackendId, Priority, Refusal, RefusalReason, ServiceId};

use crate::fleet::FleetView;
use crate::time::Timestamp;

/// Number of one admitted or waiting call.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Ticket(pub u64);

/// Weight of the newest service time in its running mean.
const SERVICE_TIME_WEIGHT: f64 = 0.1;
/// Service time assumed before any was seen, in milliseconds.
const INITIAL_SERVICE_TIME_MS: f64 = 500.0;
/// Bounds of the retry hint, in milliseconds.
const RETRY_HINT_RANGE_MS: (u64, u64) = (50, 30_000);
/// Time for which a back end that failed gets no new work, in milliseconds.
const FAILURE_PAUSE_MS: u64 = 1_000;

/// What admission orders.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AdmissionEffect {
    /// Send the call to this back end now.
    Start {
        /// The call.
        ticket: Ticket,
        /// Where it runs.
        backend: BackendId,
        /// HTTP address of the back end.
        address: String,
    },
    /// Stop this running batch item at the engine and give it back.
    Yield {
        /// The item.
        ticket: Ticket,
    },
    /// The call will not be run.
    Refuse {
        /// The call.
        ticket: Ticket,
        /// The proof and the hint.
        refusal: Refusal,
    },
}

#[derive(Clone, Debug)]
struct Backend {
    service: ServiceId,
    address: String,
    slots: u32,
    leaving: bool,
    paused_until: Timestamp,
    online: u32,
    batch: u32,
}

impl Backend {
    fn accepts(&self, now: Timestamp) -> bool {
        !self.leaving && self.paused_until <= now
    }

    fn free_for_online(&self) -> u32 {
        self.slots.saturating_sub(self.online)
    }

    fn free_of_all(&self) -> u32 {
        self.slots.saturating_sub(self.online + self.batch)
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct QueueKey {
    order: std::cmp::Reverse<Priority>,
    ticket: Ticket,
}

#[derive(Clone, Debug)]
struct Service {
    queue: BTreeMap<QueueKey, Timestamp>,
    queue_limit: u32,
    reserved_slots: u32,
    mean_service_ms: f64,
}

#[derive(Clone, Debug)]
enum Holding {
    Waiting { service: ServiceId, key: QueueKey },
    Online { backend: BackendId, since: Timestamp },
    Batch { backend: BackendId, yieldable: bool, yielding: bool },
}

/// Slots of the back ends that this daemon owns.
///
/// Invariant: an online call waits only while online calls alone fill every accepting back end of
/// its service. Were batch counted, online would wait behind batch.
#[derive(Debug, Default)]
pub struct Admission {
    backends: BTreeMap<BackendId, Backend>,
    services: HashMap<ServiceId, Service>,
    holdings: HashMap<Ticket, Holding>,
    next_ticket: u64,
}

impl Admission {
    /// A number for a new call.
    pub fn next_ticket(&mut self) -> Ticket {
        self.next_ticket += 1;
        Ticket(self.next_ticket)
    }

    /// Takes over a new view. Calls that run on back ends no longer owned run on; they are
    /// counted until they finish.
    pub fn configure(&mut self, now: Timestamp, view: &FleetView) -> Vec<AdmissionEffect> {
        for backend in self.backends.values_mut() {
            backend.leaving = true;
        }
        for owned in &view.owned {
            let held = self.backends.get(&owned.id);
            let (online, batch) = held.map_or((0, 0), |b| (b.online, b.batch));
            let same_address = held.is_some_and(|b| b.address == owned.address);
            let paused_until =
                held.filter(|_| same_address).map_or(Timestamp(0), |b| b.paused_until);
            let backend = Backend {
                service: owned.service.clone(),
                address: owned.address.clone(),
                slots: owned.slots,
                leaving: owned.leaving,
                paused_until,
                online,
                batch,
            };
            self.backends.insert(owned.id.clone(), backend);
        }
        self.backends.retain(|_, backend| !backend.leaving || backend.online + backend.batch > 0);
        for (id, service) in &view.services {
            let state = self.services.entry(id.clone()).or_insert_with(|| Service {
                queue: BTreeMap::new(),
                queue_limit: 0,
                reserved_slots: 0,
                mean_service_ms: INITIAL_SERVICE_TIME_MS,
            });
            state.queue_limit = service.spec.queue_limit;
            state.reserved_slots = service.spec.reserved_slots;
        }
        self.refuse_orphans(now, view)
    }

    /// Refuses what waits for a service of which this daemon owns nothing any more, and starts
    /// what newly fits.
    fn refuse_orphans(&mut self, now: Timestamp, view: &FleetView) -> Vec<AdmissionEffect> {
        let mut effects = Vec::new();
        let services: Vec<ServiceId> = self.services.keys().cloned().collect();
        for service in services {
            if self.owns_any(&service) {
                self.dispatch(now, &service, &mut effects);
                continue;
            }
            let tickets: Vec<Ticket> =
                self.services[&service].queue.keys().map(|key| key.ticket).collect();
            for ticket in tickets {
                self.withdraw(ticket);
                let detail = format!("{} owns no back end of {service}", view.node);
                let refusal = Refusal::not_run(RefusalReason::NoBackend, detail);
                effects.push(AdmissionEffect::Refuse { ticket, refusal });
            }
        }
        effects
    }

    fn owns_any(&self, service: &ServiceId) -> bool {
        self.backends.values().any(|b| b.service == *service && !b.leaving)
    }

    /// An online call arrives. It starts, waits, or is refused at once.
    pub fn arrive(
        &mut self,
        now: Timestamp,
        ticket: Ticket,
        service: &ServiceId,
        priority: Priority,
        deadline: Timestamp,
    ) -> Vec<AdmissionEffect> {
        let mut effects = Vec::new();
        if let Some(refusal) = self.refusal_at_arrival(now, service, deadline) {
            effects.push(AdmissionEffect::Refuse { ticket, refusal });
            return effects;
        }
        let key = QueueKey { order: std::cmp::Reverse(priority), ticket };
        if let Some(state) = self.services.get_mut(service) {
            state.queue.insert(key, deadline);
        }
        self.holdings.insert(ticket, Holding::Waiting { service: service.clone(), key });
        self.dispatch(now, service, &mut effects);
        effects
    }

    /// Decides at once whether waiting would be in vain, so that the caller can go elsewhere.
    fn refusal_at_arrival(
        &self,
        now: Timestamp,
        service: &ServiceId,
        deadline: Timestamp,
    ) -> Option<Refusal> {
        let Some(state) = self.services.get(service) else {
            let detail = format!("service {service} is not declared");
            return Some(Refusal::not_run(RefusalReason::UnknownService, detail));
        };
        if !self.backends.values().any(|b| b.service == *service && b.accepts(now)) {
            let detail = format!("no accepting back end of {service} here");
            let refusal = Refusal::not_run(RefusalReason::NoBackend, detail);
            return Some(refusal.retry_after(FAILURE_PAUSE_MS as u32));
        }
        if self.best_for_online(now, service).is_some() {
            return None;
        }
        let wait_ms = self.expected_wait_ms(service, state.queue.len() as u32 + 1);
        let full = state.queue.len() >= state.queue_limit as usize;
        let in_vain = now.plus_millis(wait_ms) > deadline;
        if !full && !in_vain {
            return None;
        }
        let detail =
            format!("{} calls of {service} wait, {wait_ms} ms expected", state.queue.len());
        let (low, high) = RETRY_HINT_RANGE_MS;
        let hint = wait_ms.clamp(low, high) as u32;
        Some(Refusal::not_run(RefusalReason::Overloaded, detail).retry_after(hint))
    }

    fn expected_wait_ms(&self, service: &ServiceId, position: u32) -> u64 {
        let slots: u32 =
            self.backends.values().filter(|b| b.service == *service).map(|b| b.slots).sum();
        let mean = self.services.get(service).map_or(0.0, |s| s.mean_service_ms);
        (mean * f64::from(position) / f64::from(slots.max(1))) as u64
    }

    fn best_for_online(&self, now: Timestamp, service: &ServiceId) -> Option<BackendId> {
        self.backends
            .iter()
            .filter(|(_, b)| b.service == *service && b.accepts(now) && b.free_for_online() > 0)
            .max_by_key(|(_, b)| (b.free_of_all(), b.free_for_online()))
            .map(|(id, _)| id.clone())
    }

    /// Starts waiting calls, highest class first, while online calls leave a slot.
    fn dispatch(
        &mut self,
        now: Timestamp,
        service: &ServiceId,
        effects: &mut Vec<AdmissionEffect>,
    ) {
        while let Some(key) =
            self.services.get(service).and_then(|s| s.queue.keys().next().copied())
        {
            let Some(id) = self.best_for_online(now, service) else { return };
            if let Some(state) = self.services.get_mut(service) {
                state.queue.remove(&key);
            }
            let Some(backend) = self.backends.get_mut(&id) else { return };
            backend.online += 1;
            let holding = Holding::Online { backend: id.clone(), since: now };
            self.holdings.insert(key.ticket, holding);
            let address = backend.address.clone();
            let over = (backend.online + backend.batch).saturating_sub(backend.slots);
            effects.push(AdmissionEffect::Start {
                ticket: key.ticket,
                backend: id.clone(),
                address,
            });
            self.yield_batch(&id, over, effects);
        }
    }

    /// Orders batch items on a back end to stop until no more than its slots are held. Items that
    /// must not be repeated stay: the engine runs them at a lower priority.
    fn yield_batch(&mut self, id: &BackendId, over: u32, effects: &mut Vec<AdmissionEffect>) {
        if over == 0 {
            return;
        }
        let mut over = over.saturating_sub(self.yielding_on(id));
        let mut tickets: Vec<Ticket> = self.holdings.keys().copied().collect();
        // The newest item has the least work to lose.
        tickets.sort_unstable_by(|left, right| right.cmp(left));
        for ticket in tickets {
            if over == 0 {
                return;
            }
            if let Some(Holding::Batch { backend, yieldable: true, yielding }) =
                self.holdings.get_mut(&ticket)
            {
                if backend == id && !*yielding {
                    *yielding = true;
                    over -= 1;
                    effects.push(AdmissionEffect::Yield { ticket });
                }
            }
        }
    }

    fn yielding_on(&self, id: &BackendId) -> u32 {
        let yields = |h: &&Holding| matches!(h, Holding::Batch { backend, yielding: true, .. } if backend == id);
        self.holdings.values().filter(yields).count() as u32
    }

    /// Batch items that could start now on the back ends of a service.
    pub fn batch_room(&self, now: Timestamp, service: &ServiceId) -> u32 {
        let Some(state) = self.services.get(service) else { return 0 };
        if !state.queue.is_empty() {
            return 0;
        }
        let room = |b: &Backend| b.free_of_all().saturating_sub(state.reserved_slots);
        let open = self.backends.values().filter(|b| b.service == *service && b.accepts(now));
        open.map(room).sum()
    }

    /// Services with batch room now.
    pub fn services_with_room(&self, now: Timestamp) -> Vec<(ServiceId, u32)> {
        let mut services: Vec<&ServiceId> = self.services.keys().collect();
        services.sort_unstable();
        let with_room = services.into_iter().map(|id| (id.clone(), self.batch_room(now, id)));
        with_room.filter(|(_, room)| *room > 0).collect()
    }

    /// Tries to start a batch item. Without room there is no effect and nothing is held.
    pub fn offer_batch(
        &mut self,
        now: Timestamp,
        ticket: Ticket,
        service: &ServiceId,
        yieldable: bool,
    ) -> Option<AdmissionEffect> {
        if self.batch_room(now, service) == 0 {
            return None;
        }
        let (id, _) = self
            .backends
            .iter()
            .filter(|(_, b)| b.service == *service && b.accepts(now))
            .max_by_key(|(_, b)| b.free_of_all())?;
        let id = id.clone();
        let backend = self.backends.get_mut(&id)?;
        backend.batch += 1;
        let address = backend.address.clone();
        let holding = Holding::Batch { backend: id.clone(), yieldable, yielding: false };
        self.holdings.insert(ticket, holding);
        Some(AdmissionEffect::Start { ticket, backend: id, address })
    }

    /// A started call or item ended, however.
    pub fn finish(&mut self, now: Timestamp, ticket: Ticket, failed: bool) -> Vec<AdmissionEffect> {
        let mut effects = Vec::new();
        let Some(holding) = self.holdings.remove(&ticket) else { return effects };
        let id = match &holding {
            Holding::Waiting { service, key } => {
                if let Some(state) = self.services.get_mut(service) {
                    state.queue.remove(key);
                }
                return effects;
            }
            Holding::Online { backend, .. } | Holding::Batch { backend, .. } => backend.clone(),
        };
        let Some(backend) = self.backends.get_mut(&id) else { return effects };
        match &holding {
            Holding::Batch { .. } => backend.batch = backend.batch.saturating_sub(1),
            _ => backend.online = backend.online.saturating_sub(1),
        }
        if failed {
            backend.paused_until = now.plus_millis(FAILURE_PAUSE_MS);
        }
        let service = backend.service.clone();
        if let (Holding::Online { since, .. }, false) = (&holding, failed) {
            self.learn_service_time(&service, now.millis_since(*since));
        }
        self.dispatch(now, &service, &mut effects);
        effects
    }

    fn learn_service_time(&mut self, service: &ServiceId, milliseconds: u64) {
        if let Some(state) = self.services.get_mut(service) {
            let newest = milliseconds as f64;
            state.mean_service_ms += SERVICE_TIME_WEIGHT * (newest - state.mean_service_ms);
        }
    }

    /// Removes a waiting call. Returns whether it was waiting, which proves that it never ran.
    pub fn withdraw(&mut self, ticket: Ticket) -> bool {
        let Some(Holding::Waiting { service, key }) = self.holdings.get(&ticket).cloned() else {
            return false;
        };
        if let Some(state) = self.services.get_mut(&service) {
            state.queue.remove(&key);
        }
        self.holdings.remove(&ticket);
        true
    }

    /// Refuses calls whose deadline has passed, and starts what fits after a pause.
    pub fn tick(&mut self, now: Timestamp) -> Vec<AdmissionEffect> {
        let mut effects = Vec::new();
        let services: Vec<ServiceId> = self.services.keys().cloned().collect();
        for service in services {
            let late: Vec<Ticket> = self.services[&service]
                .queue
                .iter()
                .filter(|(_, deadline)| **deadline <= now)
                .map(|(key, _)| key.ticket)
                .collect();
            for ticket in late {
                self.withdraw(ticket);
                let detail = format!("deadline passed in the queue of {service}");
                let refusal = Refusal::not_run(RefusalReason::DeadlineExceeded, detail);
                effects.push(AdmissionEffect::Refuse { ticket, refusal });
            }
            self.dispatch(now, &service, &mut effects);
        }
        effects
    }

    /// Load of one service, for the senders.
    pub fn load(&self, now: Timestamp, service: &ServiceId) -> OwnerLoad {
        let open = self.backends.values().filter(|b| b.service == *service && b.accepts(now));
        OwnerLoad {
            free_slots: open.map(Backend::free_for_online).sum(),
            waiting: self.services.get(service).map_or(0, |s| s.queue.len() as u32),
        }
    }

    /// Calls and items that run or wait.
    pub fn busy(&self) -> usize {
        self.holdings.len()
    }
}
