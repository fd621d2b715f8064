//! Admission at the owner: which call starts on which back end, and when batch items are preempted.

use std::collections::{BTreeMap, HashMap};

use yokefall_peer::OwnerLoad;
use yokefall_types::{BackendId, Priority, Refusal, RefusalReason, ServiceId};

use crate::fleet::FleetView;
use crate::time::Timestamp;

/// Identifier of a running or waiting call or batch item.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Ticket(pub u64);

/// Smoothing factor of the exponentially weighted mean service time.
const SERVICE_TIME_WEIGHT: f64 = 0.1;
/// Mean service time assumed before the first sample, in milliseconds.
const INITIAL_SERVICE_TIME_MS: f64 = 500.0;
/// Lower and upper bound of the retry hint, in milliseconds.
const RETRY_HINT_RANGE_MS: (u64, u64) = (50, 30_000);
/// Time for which a failed back end gets no new work, in milliseconds.
const FAILURE_BACKOFF_MS: u64 = 1_000;

/// An action for the caller of [`Admission`] to carry out.
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
    /// Stop this running batch item at the engine and return it to its store.
    Preempt {
        /// The item.
        ticket: Ticket,
    },
    /// Reject the call; it has not run.
    Refuse {
        /// The call.
        ticket: Ticket,
        /// The reason, the proof that the call has not run, and the retry hint.
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

    fn idle_slots(&self) -> u32 {
        self.slots.saturating_sub(self.online + self.batch)
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct QueueKey {
    priority: std::cmp::Reverse<Priority>,
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
enum TicketState {
    Waiting { service: ServiceId, key: QueueKey },
    Online { backend: BackendId, since: Timestamp },
    Batch { backend: BackendId, preemptible: bool, preempting: bool },
}

/// Slots of the back ends that this daemon owns.
///
/// Invariant: an online call waits only while online calls alone occupy every slot of the accepting
/// back ends of its service. Batch items are not counted, so online calls never wait behind them.
#[derive(Debug, Default)]
pub struct Admission {
    backends: BTreeMap<BackendId, Backend>,
    services: HashMap<ServiceId, Service>,
    tickets: HashMap<Ticket, TicketState>,
    next_ticket: u64,
}

impl Admission {
    /// Allocates the ticket of a new call or item.
    pub fn next_ticket(&mut self) -> Ticket {
        self.next_ticket += 1;
        Ticket(self.next_ticket)
    }

    /// Applies a new view. Running calls on back ends no longer owned count until they finish.
    pub fn configure(&mut self, now: Timestamp, view: &FleetView) -> Vec<AdmissionEffect> {
        for backend in self.backends.values_mut() {
            backend.leaving = true;
        }
        for owned in &view.owned {
            let previous = self.backends.get(&owned.id);
            let (online, batch) = previous.map_or((0, 0), |b| (b.online, b.batch));
            let same_address = previous.is_some_and(|b| b.address == owned.address);
            let paused_until =
                previous.filter(|_| same_address).map_or(Timestamp(0), |b| b.paused_until);
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
        self.dispatch_or_refuse_queued(now, view)
    }

    /// Rejects calls queued for services no longer owned here, and starts calls for free slots.
    fn dispatch_or_refuse_queued(
        &mut self,
        now: Timestamp,
        view: &FleetView,
    ) -> Vec<AdmissionEffect> {
        let mut effects = Vec::new();
        let services: Vec<ServiceId> = self.services.keys().cloned().collect();
        for service in services {
            if self.owns_backend_of(&service) {
                self.dispatch(now, &service, &mut effects);
                continue;
            }
            let tickets: Vec<Ticket> =
                self.services[&service].queue.keys().map(|key| key.ticket).collect();
            for ticket in tickets {
                self.cancel_waiting(ticket);
                let detail = format!("{} owns no back end of {service}", view.node);
                let refusal = Refusal::not_run(RefusalReason::NoBackend, detail);
                effects.push(AdmissionEffect::Refuse { ticket, refusal });
            }
        }
        effects
    }

    fn owns_backend_of(&self, service: &ServiceId) -> bool {
        self.backends.values().any(|b| b.service == *service && !b.leaving)
    }

    /// Handles the arrival of an online call: starts, queues, or rejects it.
    pub fn arrive(
        &mut self,
        now: Timestamp,
        ticket: Ticket,
        service: &ServiceId,
        priority: Priority,
        deadline: Timestamp,
    ) -> Vec<AdmissionEffect> {
        let mut effects = Vec::new();
        if let Some(refusal) = self.refusal_on_arrival(now, service, deadline) {
            effects.push(AdmissionEffect::Refuse { ticket, refusal });
            return effects;
        }
        let key = QueueKey { priority: std::cmp::Reverse(priority), ticket };
        if let Some(state) = self.services.get_mut(service) {
            state.queue.insert(key, deadline);
        }
        self.tickets.insert(ticket, TicketState::Waiting { service: service.clone(), key });
        self.dispatch(now, service, &mut effects);
        effects
    }

    /// Rejects an arriving call if the queue is full or too slow for its deadline, so that the
    /// caller can try another owner at once.
    fn refusal_on_arrival(
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
            return Some(refusal.retry_after(FAILURE_BACKOFF_MS as u32));
        }
        if self.best_for_online(now, service).is_some() {
            return None;
        }
        let wait_ms = self.expected_wait_ms(service, state.queue.len() as u32 + 1);
        let full = state.queue.len() >= state.queue_limit as usize;
        let too_late = now.plus_millis(wait_ms) > deadline;
        if !full && !too_late {
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
            .max_by_key(|(_, b)| (b.idle_slots(), b.free_for_online()))
            .map(|(id, _)| id.clone())
    }

    /// Starts queued calls in order of priority while some slot is not held by an online call.
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
            let ticket_state = TicketState::Online { backend: id.clone(), since: now };
            self.tickets.insert(key.ticket, ticket_state);
            let address = backend.address.clone();
            let excess = (backend.online + backend.batch).saturating_sub(backend.slots);
            effects.push(AdmissionEffect::Start {
                ticket: key.ticket,
                backend: id.clone(),
                address,
            });
            self.preempt_batch(&id, excess, effects);
        }
    }

    /// Preempts batch items on a back end until it holds no more than its slots. Items that must
    /// not be repeated keep running: the engine runs them at a lower priority.
    fn preempt_batch(&mut self, id: &BackendId, excess: u32, effects: &mut Vec<AdmissionEffect>) {
        if excess == 0 {
            return;
        }
        let mut excess = excess.saturating_sub(self.preempting_on(id));
        let mut tickets: Vec<Ticket> = self.tickets.keys().copied().collect();
        // Newest first: the newest item loses the least work.
        tickets.sort_unstable_by(|left, right| right.cmp(left));
        for ticket in tickets {
            if excess == 0 {
                return;
            }
            if let Some(TicketState::Batch { backend, preemptible: true, preempting }) =
                self.tickets.get_mut(&ticket)
            {
                if backend == id && !*preempting {
                    *preempting = true;
                    excess -= 1;
                    effects.push(AdmissionEffect::Preempt { ticket });
                }
            }
        }
    }

    fn preempting_on(&self, id: &BackendId) -> u32 {
        let is_preempting = |state: &&TicketState| {
            matches!(state, TicketState::Batch { backend, preempting: true, .. }
                if backend == id)
        };
        self.tickets.values().filter(is_preempting).count() as u32
    }

    /// Number of batch items that could start now on the back ends of a service.
    pub fn batch_capacity(&self, now: Timestamp, service: &ServiceId) -> u32 {
        let Some(state) = self.services.get(service) else { return 0 };
        if !state.queue.is_empty() {
            return 0;
        }
        let capacity = |b: &Backend| b.idle_slots().saturating_sub(state.reserved_slots);
        let accepting = self.backends.values().filter(|b| b.service == *service && b.accepts(now));
        accepting.map(capacity).sum()
    }

    /// Services that could start batch items now, with the number of items.
    pub fn services_with_batch_capacity(&self, now: Timestamp) -> Vec<(ServiceId, u32)> {
        let mut services: Vec<&ServiceId> = self.services.keys().collect();
        services.sort_unstable();
        let with_capacity =
            services.into_iter().map(|id| (id.clone(), self.batch_capacity(now, id)));
        with_capacity.filter(|(_, capacity)| *capacity > 0).collect()
    }

    /// Starts a batch item if there is capacity; otherwise returns `None` and changes nothing.
    pub fn try_start_batch(
        &mut self,
        now: Timestamp,
        ticket: Ticket,
        service: &ServiceId,
        preemptible: bool,
    ) -> Option<AdmissionEffect> {
        if self.batch_capacity(now, service) == 0 {
            return None;
        }
        let (id, _) = self
            .backends
            .iter()
            .filter(|(_, b)| b.service == *service && b.accepts(now))
            .max_by_key(|(_, b)| b.idle_slots())?;
        let id = id.clone();
        let backend = self.backends.get_mut(&id)?;
        backend.batch += 1;
        let address = backend.address.clone();
        let ticket_state =
            TicketState::Batch { backend: id.clone(), preemptible, preempting: false };
        self.tickets.insert(ticket, ticket_state);
        Some(AdmissionEffect::Start { ticket, backend: id, address })
    }

    /// Releases the slot of a call or item that ended, whatever its outcome.
    pub fn finish(&mut self, now: Timestamp, ticket: Ticket, failed: bool) -> Vec<AdmissionEffect> {
        let mut effects = Vec::new();
        let Some(ticket_state) = self.tickets.remove(&ticket) else { return effects };
        let id = match &ticket_state {
            TicketState::Waiting { service, key } => {
                if let Some(state) = self.services.get_mut(service) {
                    state.queue.remove(key);
                }
                return effects;
            }
            TicketState::Online { backend, .. } | TicketState::Batch { backend, .. } => {
                backend.clone()
            }
        };
        let Some(backend) = self.backends.get_mut(&id) else { return effects };
        match &ticket_state {
            TicketState::Batch { .. } => backend.batch = backend.batch.saturating_sub(1),
            _ => backend.online = backend.online.saturating_sub(1),
        }
        if failed {
            backend.paused_until = now.plus_millis(FAILURE_BACKOFF_MS);
        }
        let service = backend.service.clone();
        if let (TicketState::Online { since, .. }, false) = (&ticket_state, failed) {
            self.record_service_time(&service, now.millis_since(*since));
        }
        self.dispatch(now, &service, &mut effects);
        effects
    }

    fn record_service_time(&mut self, service: &ServiceId, milliseconds: u64) {
        if let Some(state) = self.services.get_mut(service) {
            let newest = milliseconds as f64;
            state.mean_service_ms += SERVICE_TIME_WEIGHT * (newest - state.mean_service_ms);
        }
    }

    /// Removes a queued call. Returns whether it was queued, which proves that it has not run.
    pub fn cancel_waiting(&mut self, ticket: Ticket) -> bool {
        let Some(TicketState::Waiting { service, key }) = self.tickets.get(&ticket).cloned() else {
            return false;
        };
        if let Some(state) = self.services.get_mut(&service) {
            state.queue.remove(&key);
        }
        self.tickets.remove(&ticket);
        true
    }

    /// Rejects queued calls past their deadline, and starts calls on back ends out of backoff.
    pub fn tick(&mut self, now: Timestamp) -> Vec<AdmissionEffect> {
        let mut effects = Vec::new();
        let services: Vec<ServiceId> = self.services.keys().cloned().collect();
        for service in services {
            let expired: Vec<Ticket> = self.services[&service]
                .queue
                .iter()
                .filter(|(_, deadline)| **deadline <= now)
                .map(|(key, _)| key.ticket)
                .collect();
            for ticket in expired {
                self.cancel_waiting(ticket);
                let detail = format!("deadline passed in the queue of {service}");
                let refusal = Refusal::not_run(RefusalReason::DeadlineExceeded, detail);
                effects.push(AdmissionEffect::Refuse { ticket, refusal });
            }
            self.dispatch(now, &service, &mut effects);
        }
        effects
    }

    /// Load report of one service, sent to home daemons.
    pub fn load(&self, now: Timestamp, service: &ServiceId) -> OwnerLoad {
        let accepting = self.backends.values().filter(|b| b.service == *service && b.accepts(now));
        OwnerLoad {
            free_slots: accepting.map(Backend::free_for_online).sum(),
            waiting: self.services.get(service).map_or(0, |s| s.queue.len() as u32),
        }
    }

    /// Number of calls and items that run or wait.
    pub fn active_tickets(&self) -> usize {
        self.tickets.len()
    }
}
