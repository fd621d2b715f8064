//! Holds requests for which back ends have no room, and sends them in the order of
//! `yokefall_serving::admission`, those of each pool of back ends by themselves: one that waits for a region
//! must not keep others waiting that may go elsewhere.

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

use crate::order::Order;
use crate::shared::Shared;

/// Longest pause between two looks at what is held: back ends may come, and loads grow old.
const LOOK_INTERVAL: Duration = Duration::from_millis(100);

/// Why a held request was not sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct GivenUp;

/// Where a held request hears of its place, and what its choice needs.
struct Waiter {
    grant: oneshot::Sender<Result<Option<BackendSlot>, GivenUp>>,
    affinity: Option<u64>,
    target: Duration,
    host: String,
    path: String,
    tenant: Option<TenantName>,
}

/// Back ends for which a request may wait: those of a service where it may be served.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Pool {
    /// Those that may go anywhere come last: others have nowhere else to go.
    residency: Reverse<Residency>,
    service: String,
}

impl Pool {
    fn of(requirements: &Requirements) -> Self {
        Self {
            residency: Reverse(requirements.residency.clone()),
            service: requirements.service.to_owned(),
        }
    }

    fn requirements(&self) -> Requirements<'_> {
        Requirements { service: &self.service, residency: &self.residency.0 }
    }
}

#[derive(Default)]
struct Holding {
    queue: AdmissionQueue,
    waiters: HashMap<u64, Waiter>,
}

/// Requests that this gateway holds, by pool.
#[derive(Default)]
pub struct Admission {
    pools: RefCell<BTreeMap<Pool, Holding>>,
    next_ticket: Cell<u64>,
    /// Version of the configuration by whose regions requests are held.
    version: Cell<u64>,
}

/// Takes a held request out when its caller leaves.
struct Leave<'a> {
    shared: &'a Shared,
    ticket: u64,
}

impl Drop for Leave<'_> {
    fn drop(&mut self) {
        let mut pools = self.shared.admission.pools.borrow_mut();
        for holding in pools.values_mut() {
            holding.queue.remove(self.ticket);
            holding.waiters.remove(&self.ticket);
        }
        pools.retain(|_, holding| !holding.queue.is_empty());
    }
}

/// Waits for a place at a back end; `None` where no back end takes work at all.
pub async fn admit(
    shared: &Shared,
    order: &Order,
    affinity: Option<u64>,
) -> Result<Option<BackendSlot>, GivenUp> {
    let admission = &shared.admission;
    let target = Duration::from_millis(order.route.target_latency_ms);
    let pool = Pool::of(&order.requirements());
    let is_first = admission.is_empty(&pool);
    if !shared.policy.hold_requests
        || target.is_zero()
        || (is_first && has_room(shared, &order.requirements(), target))
    {
        return Ok(choose(shared, &order.requirements(), &[], affinity));
    }
    let ticket = admission.next_ticket.get();
    admission.next_ticket.set(ticket + 1);
    let terms = QueueLimits {
        rank: order.rank,
        target,
        timeout: order.deadline.duration_since(order.arrived),
    };
    let (grant, granted) = oneshot::channel();
    let held = shared.balancer.with(|_, now| QueuedRequest::new(ticket, now, terms));
    let (host, path) = (order.route.host.clone(), order.parts.uri.path().to_owned());
    let tenant = order.caller.tenant().map(|tenant| tenant.name.clone());
    admission.enqueue(pool, held, Waiter { grant, affinity, target, host, path, tenant });
    // Whoever waits for room must hear of the new one, which may have to be given up first.
    shared.balancer.room.notify_one();
    let began = Instant::now();
    let leave = Leave { shared, ticket };
    let outcome = granted.await.unwrap_or(Err(GivenUp));
    drop(leave);
    let held_for = began.elapsed();
    metrics::histogram!("gateway_held_seconds").record(held_for.as_secs_f64());
    order
        .line(EventName::RequestHeld)
        .field("held_ms", held_for.as_millis() as u64)
        .field("sent", outcome.is_ok())
        .write();
    outcome
}

impl Admission {
    fn is_empty(&self, pool: &Pool) -> bool {
        self.pools.borrow().get(pool).is_none_or(|holding| holding.queue.is_empty())
    }

    fn enqueue(&self, pool: Pool, held: QueuedRequest, waiter: Waiter) {
        let mut pools = self.pools.borrow_mut();
        let holding = pools.entry(pool).or_default();
        holding.queue.enqueue(held);
        holding.waiters.insert(held.ticket, waiter);
    }

    /// Moves what is held to the pools that a new configuration lets it use.
    fn follow_regions(&self, catalog: &Catalog) {
        if self.version.replace(catalog.version()) == catalog.version() {
            return;
        }
        let before = self.pools.take();
        for (pool, Holding { mut queue, waiters }) in before {
            for (ticket, waiter) in waiters {
                let Some(held) = queue.remove(ticket) else { continue };
                let now = catalog.residency_at(&waiter.host, &waiter.path, waiter.tenant.as_ref());
                let residency = Reverse(now.unwrap_or_else(|| pool.residency.0.clone()));
                self.enqueue(Pool { residency, service: pool.service.clone() }, held, waiter);
            }
        }
    }

    /// When a request is given up next.
    fn next_expiry(&self) -> Option<yokefall_core::Timestamp> {
        self.pools.borrow().values().filter_map(|holding| holding.queue.next_expiry()).min()
    }
}

/// Whether the emptiest back ends of a service are below the load up to which requests with a target
/// are sent. Where none is known to live, requests are not held: the choice says what is wrong.
fn has_room(shared: &Shared, requirements: &Requirements, target: Duration) -> bool {
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

/// A place at a back end of a service that is not in `tried`; `None` where there is none.
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
            // There are few of them, or all that were drawn are left out for failures.
            let candidates = shared.eligibility.candidates(&catalog, requirements);
            balancer.choose(now, &candidates, tried, affinity)
        })
    })?;
    Some(shared.balancer.take(backend))
}

/// Sends what is held, for ever: whenever there may be room, and when a request is given up.
pub async fn run(shared: Rc<Shared>) {
    loop {
        let wait = match shared.admission.next_expiry() {
            None => None,
            Some(at) => {
                let wait = shared.balancer.with(|_, now| at.millis_since(now).max(1));
                Some(Duration::from_millis(wait).min(LOOK_INTERVAL))
            }
        };
        let room = shared.balancer.room.notified();
        match wait {
            None => room.await,
            Some(wait) => {
                let _ = tokio::time::timeout(wait, room).await;
            }
        }
        send_held(&shared);
    }
}

fn send_held(shared: &Shared) {
    shared.admission.follow_regions(&shared.catalog.load());
    let held: Vec<Pool> = shared.admission.pools.borrow().keys().cloned().collect();
    for pool in held {
        give_up(shared, &pool);
        while send_next(shared, &pool) {}
    }
}

fn give_up(shared: &Shared, pool: &Pool) {
    let mut pools = shared.admission.pools.borrow_mut();
    let Some(holding) = pools.get_mut(pool) else { return };
    let expired = shared.balancer.with(|_, now| holding.queue.expire(now));
    for held in expired {
        if let Some(waiter) = holding.waiters.remove(&held.ticket) {
            let _ = waiter.grant.send(Err(GivenUp));
        }
    }
}

/// Sends the next held request of a pool. Returns whether there was room.
fn send_next(shared: &Shared, pool: &Pool) -> bool {
    let waiter = {
        let mut pools = shared.admission.pools.borrow_mut();
        let Some(holding) = pools.get_mut(pool) else { return false };
        let next = shared.balancer.with(|_, now| holding.queue.next(now));
        let Some(held) = next else { return false };
        let target = holding.waiters.get(&held.ticket).map(|waiter| waiter.target);
        if target.is_some_and(|target| !has_room(shared, &pool.requirements(), target)) {
            return false;
        }
        holding.queue.remove(held.ticket);
        holding.waiters.remove(&held.ticket)
    };
    // One whose caller has just left has no waiter any more.
    let Some(waiter) = waiter else { return true };
    let slot = match choose(shared, &pool.requirements(), &[], waiter.affinity) {
        // No back end takes work in its regions any more: it is to be told that.
        None if pool.residency.0 != Residency::Anywhere => Ok(None),
        slot => slot.map(Some).ok_or(GivenUp),
    };
    let _ = waiter.grant.send(slot);
    true
}
