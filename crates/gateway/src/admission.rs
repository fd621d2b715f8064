//! Queues requests while back ends have no capacity and dispatches them in the order of
//! `yokefall_serving::admission`. There is one queue per service and set of regions: a request that
//! waits for one region must not delay those that may be served elsewhere.

use std::cell::{Cell, RefCell};
use std::cmp::Reverse;
use std::collections::{BTreeMap, HashMap};
use std::rc::Rc;
use std::time::Duration;

use tokio::sync::oneshot;
use tokio::time::Instant;
use yokefall_serving::admission::{load_limit, AdmissionQueue, QueueLimits, QueuedRequest};
use yokefall_serving::{Catalog, Requirements, Residency, TenantName};
use yokefall_telemetry::EventName;
use yokefall_upstream::BackendSlot;

use crate::context::RequestContext;
use crate::shared::Shared;

/// Maximum time between two checks of the queues: back ends may appear, and load reports age.
const POLL_INTERVAL: Duration = Duration::from_millis(100);

/// A queued request expired before a back end had capacity.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct QueueTimeout;

/// Channel to the task of a queued request, and the inputs for selecting a back end.
struct Waiter {
    slot_sender: oneshot::Sender<Result<Option<BackendSlot>, QueueTimeout>>,
    affinity: Option<u64>,
    target: Duration,
    host: String,
    path: String,
    tenant: Option<TenantName>,
}

/// Identifies a queue: a service, and the regions in which its requests may be served.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct QueueKey {
    /// Unrestricted requests sort last: the others can be served nowhere else.
    residency: Reverse<Residency>,
    service: String,
}

impl QueueKey {
    fn of(requirements: &Requirements) -> Self {
        Self {
            residency: Reverse(requirements.residency.clone()),
            service: requirements.service.to_owned(),
        }
    }

    fn requirements(&self) -> Requirements<'_> {
        Requirements {
            service: &self.service,
            residency: &self.residency.0,
            software_version: None,
        }
    }
}

#[derive(Default)]
struct ServiceQueue {
    queue: AdmissionQueue,
    waiters: HashMap<u64, Waiter>,
}

/// Queued requests of this gateway.
#[derive(Default)]
pub struct Admission {
    queues: RefCell<BTreeMap<QueueKey, ServiceQueue>>,
    next_ticket: Cell<u64>,
    /// Version of the configuration that the regions of queued requests are based on.
    version: Cell<u64>,
}

/// Removes a queued request when its caller disconnects.
struct RemoveOnDrop<'a> {
    shared: &'a Shared,
    ticket: u64,
}

impl Drop for RemoveOnDrop<'_> {
    fn drop(&mut self) {
        let mut queues = self.shared.admission.queues.borrow_mut();
        for service_queue in queues.values_mut() {
            service_queue.queue.remove(self.ticket);
            service_queue.waiters.remove(&self.ticket);
        }
        queues.retain(|_, service_queue| !service_queue.queue.is_empty());
    }
}

/// Waits for a slot at a back end; `None` if no back end accepts requests at all.
pub async fn admit(
    shared: &Shared,
    context: &RequestContext,
    affinity: Option<u64>,
) -> Result<Option<BackendSlot>, QueueTimeout> {
    let admission = &shared.admission;
    let target = Duration::from_millis(context.route.target_latency_ms);
    let key = QueueKey::of(&context.requirements());
    let is_first = admission.is_empty(&key);
    if !shared.policy.hold_requests
        || target.is_zero()
        || (is_first && has_capacity(shared, &context.requirements(), target))
    {
        return Ok(choose(shared, &context.requirements(), &[], affinity));
    }
    let ticket = admission.next_ticket.get();
    admission.next_ticket.set(ticket + 1);
    let limits = QueueLimits {
        rank: context.rank,
        target,
        timeout: context.deadline.duration_since(context.arrived),
    };
    let (slot_sender, slot_receiver) = oneshot::channel();
    let queued = shared.balancer.with(|_, now| QueuedRequest::new(ticket, now, limits));
    let (host, path) = (context.route.host.clone(), context.parts.uri.path().to_owned());
    let tenant = context.caller.tenant().map(|tenant| tenant.name.clone());
    admission.enqueue(key, queued, Waiter { slot_sender, affinity, target, host, path, tenant });
    // Wakes the dispatcher, since the new request may be the next to expire.
    shared.balancer.capacity_freed.notify_one();
    let began = Instant::now();
    let remove_on_drop = RemoveOnDrop { shared, ticket };
    let outcome = slot_receiver.await.unwrap_or(Err(QueueTimeout));
    drop(remove_on_drop);
    let queued_for = began.elapsed();
    metrics::histogram!("gateway_held_seconds").record(queued_for.as_secs_f64());
    context
        .log_line(EventName::RequestHeld)
        .field("held_ms", queued_for.as_millis() as u64)
        .field("sent", outcome.is_ok())
        .write();
    outcome
}

impl Admission {
    fn is_empty(&self, key: &QueueKey) -> bool {
        self.queues.borrow().get(key).is_none_or(|service_queue| service_queue.queue.is_empty())
    }

    fn enqueue(&self, key: QueueKey, queued: QueuedRequest, waiter: Waiter) {
        let mut queues = self.queues.borrow_mut();
        let service_queue = queues.entry(key).or_default();
        service_queue.queue.enqueue(queued);
        service_queue.waiters.insert(queued.ticket, waiter);
    }

    /// Moves queued requests to the queues of the regions that a new configuration allows.
    fn update_regions(&self, catalog: &Catalog) {
        if self.version.replace(catalog.version()) == catalog.version() {
            return;
        }
        let before = self.queues.take();
        for (key, ServiceQueue { mut queue, waiters }) in before {
            for (ticket, waiter) in waiters {
                let Some(queued) = queue.remove(ticket) else { continue };
                let allowed =
                    catalog.residency_at(&waiter.host, &waiter.path, waiter.tenant.as_ref());
                let residency = Reverse(allowed.unwrap_or_else(|| key.residency.0.clone()));
                self.enqueue(QueueKey { residency, service: key.service.clone() }, queued, waiter);
            }
        }
    }

    /// When the next queued request expires.
    fn next_expiry(&self) -> Option<yokefall_core::Timestamp> {
        self.queues
            .borrow()
            .values()
            .filter_map(|service_queue| service_queue.queue.next_expiry())
            .min()
    }
}

/// Whether the least loaded back ends of a service are below the load limit for a latency target.
/// True if no back end is known, so that selection reports the cause instead of queueing.
fn has_capacity(shared: &Shared, requirements: &Requirements, target: Duration) -> bool {
    let catalog = shared.catalog.load();
    shared.balancer.with(|balancer, now| {
        let Some(service_ms) = balancer.service_ms(requirements.service) else { return true };
        let sample = shared.eligibility.sample(&catalog, requirements, None, balancer.generator());
        let level = match sample {
            Some(sample) => {
                balancer.projected_online_load_of_sample(now, &sample.backends, sample.fraction)
            }
            None => balancer
                .projected_online_load(now, &shared.eligibility.candidates(&catalog, requirements)),
        };
        level.is_none_or(|level| level <= load_limit(target, service_ms))
    })
}

/// Selects a back end that is not in `tried` and acquires a slot there; `None` if there is none.
pub fn choose(
    shared: &Shared,
    requirements: &Requirements,
    tried: &[String],
    affinity: Option<u64>,
) -> Option<BackendSlot> {
    let catalog = shared.catalog.load_full();
    let backend = shared.balancer.with(|balancer, now| {
        let sample =
            shared.eligibility.sample(&catalog, requirements, affinity, balancer.generator());
        let chosen = sample.and_then(|sample| balancer.choose_from_sample(now, &sample, tried));
        chosen.or_else(|| {
            // There are few back ends, or all sampled ones are excluded because of failures.
            let candidates = shared.eligibility.candidates(&catalog, requirements);
            balancer.choose(now, &candidates, tried, affinity)
        })
    })?;
    Some(shared.balancer.take(backend))
}

/// Dispatches queued requests forever, whenever there may be capacity or a request expires.
pub async fn run(shared: Rc<Shared>) {
    loop {
        let wait = match shared.admission.next_expiry() {
            None => None,
            Some(at) => {
                let wait = shared.balancer.with(|_, now| at.millis_since(now).max(1));
                Some(Duration::from_millis(wait).min(POLL_INTERVAL))
            }
        };
        let capacity_freed = shared.balancer.capacity_freed.notified();
        match wait {
            None => capacity_freed.await,
            Some(wait) => {
                let _ = tokio::time::timeout(wait, capacity_freed).await;
            }
        }
        dispatch_queued(&shared);
    }
}

fn dispatch_queued(shared: &Shared) {
    shared.admission.update_regions(&shared.catalog.load());
    let queued: Vec<QueueKey> = shared.admission.queues.borrow().keys().cloned().collect();
    for key in queued {
        expire_queued(shared, &key);
        while dispatch_next(shared, &key) {}
    }
}

fn expire_queued(shared: &Shared, key: &QueueKey) {
    let mut queues = shared.admission.queues.borrow_mut();
    let Some(service_queue) = queues.get_mut(key) else { return };
    let expired = shared.balancer.with(|_, now| service_queue.queue.expire(now));
    for queued in expired {
        if let Some(waiter) = service_queue.waiters.remove(&queued.ticket) {
            let _ = waiter.slot_sender.send(Err(QueueTimeout));
        }
    }
}

/// Dispatches the next request of a queue. Returns whether there was capacity.
fn dispatch_next(shared: &Shared, key: &QueueKey) -> bool {
    let waiter = {
        let mut queues = shared.admission.queues.borrow_mut();
        let Some(service_queue) = queues.get_mut(key) else { return false };
        let next = shared.balancer.with(|_, now| service_queue.queue.next(now));
        let Some(queued) = next else { return false };
        let target = service_queue.waiters.get(&queued.ticket).map(|waiter| waiter.target);
        if target.is_some_and(|target| !has_capacity(shared, &key.requirements(), target)) {
            return false;
        }
        service_queue.queue.remove(queued.ticket);
        service_queue.waiters.remove(&queued.ticket)
    };
    // The caller has just disconnected.
    let Some(waiter) = waiter else { return true };
    let slot = match choose(shared, &key.requirements(), &[], waiter.affinity) {
        // No back end in the request's regions accepts requests any more: reported as `None`.
        None if key.residency.0 != Residency::Anywhere => Ok(None),
        slot => slot.map(Some).ok_or(QueueTimeout),
    };
    let _ = waiter.slot_sender.send(slot);
    true
}
