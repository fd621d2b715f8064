//! Holds requests for which back ends have no room, and sends them in the order of
//! `yokefall_serving::admission`.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use tokio::sync::oneshot;
use tokio::time::Instant;
use yokefall_serving::admission::{load_limit, Held, HoldQueue, Terms};
use yokefall_serving::{Need, Residency};
use yokefall_telemetry::EventName;
use yokefall_upstream::Place;

use crate::order::Order;
use crate::shared::Shared;

/// Longest pause between two looks at what is held: back ends may come, and loads grow old.
const LOOK_INTERVAL: Duration = Duration::from_millis(100);

/// Why a held request was not sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct GivenUp;

/// Where a held request hears of its place, and what its choice needs.
struct Waiter {
    grant: oneshot::Sender<Result<Place, GivenUp>>,
    affinity: Option<u64>,
    target: Duration,
    residency: Residency,
}

#[derive(Default)]
struct Service {
    queue: HoldQueue,
    waiters: HashMap<u64, Waiter>,
}

/// Requests that this gateway holds, by service.
#[derive(Default)]
pub struct Admission {
    services: RefCell<HashMap<String, Service>>,
    next_ticket: Cell<u64>,
}

/// Takes a held request out when its caller leaves.
struct Leave<'a> {
    shared: &'a Shared,
    service: &'a str,
    ticket: u64,
}

impl Drop for Leave<'_> {
    fn drop(&mut self) {
        let mut services = self.shared.admission.services.borrow_mut();
        if let Some(service) = services.get_mut(self.service) {
            service.queue.remove(self.ticket);
            service.waiters.remove(&self.ticket);
        }
    }
}

/// Waits for a place at a back end; `None` where no back end takes work at all.
pub async fn admit(
    shared: &Shared,
    order: &Order,
    affinity: Option<u64>,
) -> Result<Option<Place>, GivenUp> {
    let admission = &shared.admission;
    let target = Duration::from_millis(order.route.target_latency_ms);
    let is_first = admission.is_empty(&order.service);
    if !shared.policy.hold_requests
        || target.is_zero()
        || (is_first && has_room(shared, &order.need(), target))
    {
        return Ok(choose(shared, &order.need(), &[], affinity));
    }
    let ticket = admission.next_ticket.get();
    admission.next_ticket.set(ticket + 1);
    let terms =
        Terms { rank: order.rank, target, time: order.deadline.duration_since(order.arrived) };
    let (grant, granted) = oneshot::channel();
    let held = shared.places.with(|_, now| Held::new(ticket, now, terms));
    let residency = order.residency.clone();
    admission.hold(&order.service, held, Waiter { grant, affinity, target, residency });
    // Whoever waits for room must hear of the new one, which may have to be given up first.
    shared.places.room.notify_one();
    let began = Instant::now();
    let leave = Leave { shared, service: &order.service, ticket };
    let outcome = granted.await.unwrap_or(Err(GivenUp));
    drop(leave);
    let held_for = began.elapsed();
    metrics::histogram!("gateway_held_seconds").record(held_for.as_secs_f64());
    order
        .line(EventName::RequestHeld)
        .field("held_ms", held_for.as_millis() as u64)
        .field("sent", outcome.is_ok())
        .write();
    outcome.map(Some)
}

impl Admission {
    fn is_empty(&self, service: &str) -> bool {
        self.services.borrow().get(service).is_none_or(|service| service.queue.is_empty())
    }

    fn hold(&self, service: &str, held: Held, waiter: Waiter) {
        let mut services = self.services.borrow_mut();
        let service = services.entry(service.to_owned()).or_default();
        service.queue.hold(held);
        service.waiters.insert(held.ticket, waiter);
    }

    /// When a request is given up next.
    fn next_expiry(&self) -> Option<yokefall_core::Timestamp> {
        self.services.borrow().values().filter_map(|service| service.queue.next_expiry()).min()
    }
}

/// Whether the emptiest back ends of a service are below the load up to which requests with a target
/// are sent. Where none is known to live, requests are not held: the choice says what is wrong.
fn has_room(shared: &Shared, need: &Need, target: Duration) -> bool {
    let catalog = shared.catalog.load();
    let candidates = shared.eligibility.candidates(&catalog, need);
    shared.places.with(|balancer, now| {
        let Some(service_ms) = balancer.service_ms(need.service) else { return true };
        let level = balancer.online_level(now, &candidates);
        level.is_none_or(|level| level <= load_limit(target, service_ms))
    })
}

/// A place at a back end of a service that is not in `tried`; `None` where there is none.
pub fn choose(
    shared: &Shared,
    need: &Need,
    tried: &[String],
    affinity: Option<u64>,
) -> Option<Place> {
    let catalog = shared.catalog.load_full();
    let candidates = shared.eligibility.candidates(&catalog, need);
    let backend =
        shared.places.with(|balancer, now| balancer.choose(now, &candidates, tried, affinity))?;
    Some(shared.places.take(backend))
}

/// Sends what is held, for ever: whenever there may be room, and when a request is given up.
pub async fn run(shared: Rc<Shared>) {
    loop {
        let wait = match shared.admission.next_expiry() {
            None => None,
            Some(at) => {
                let wait = shared.places.with(|_, now| at.millis_since(now).max(1));
                Some(Duration::from_millis(wait).min(LOOK_INTERVAL))
            }
        };
        let room = shared.places.room.notified();
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
    let names: Vec<String> = {
        let services = shared.admission.services.borrow();
        let held = services.iter().filter(|(_, service)| !service.queue.is_empty());
        held.map(|(name, _)| name.clone()).collect()
    };
    for name in names {
        give_up(shared, &name);
        while send_next(shared, &name) {}
    }
}

fn give_up(shared: &Shared, name: &str) {
    let mut services = shared.admission.services.borrow_mut();
    let Some(service) = services.get_mut(name) else { return };
    let expired = shared.places.with(|_, now| service.queue.expire(now));
    for held in expired {
        if let Some(waiter) = service.waiters.remove(&held.ticket) {
            let _ = waiter.grant.send(Err(GivenUp));
        }
    }
}

/// Sends the next held request of a service. Returns whether there was room.
fn send_next(shared: &Shared, name: &str) -> bool {
    let waiter = {
        let mut services = shared.admission.services.borrow_mut();
        let Some(service) = services.get_mut(name) else { return false };
        let next = shared.places.with(|_, now| service.queue.next(now));
        let Some(held) = next else { return false };
        let lacks_room = service.waiters.get(&held.ticket).is_some_and(|waiter| {
            let need = Need { service: name, residency: &waiter.residency };
            !has_room(shared, &need, waiter.target)
        });
        if lacks_room {
            return false;
        }
        service.queue.remove(held.ticket);
        service.waiters.remove(&held.ticket)
    };
    // One whose caller has just left has no waiter any more.
    let Some(waiter) = waiter else { return true };
    let need = Need { service: name, residency: &waiter.residency };
    let place = choose(shared, &need, &[], waiter.affinity).ok_or(GivenUp);
    let _ = waiter.grant.send(place);
    true
}
