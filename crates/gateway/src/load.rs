//! Tells the job store what this gateway has in flight, and hears what everybody has: items of jobs
//! give way to online requests, and gateways act as one.

use std::rc::Rc;
use std::time::Duration;

use tokio::time::Instant;
use yokefall_jobstore::{BackendCount, CallOutcome, Reply, Request};

use crate::shared::Shared;

/// Pause between two tellings while requests come and go.
const INTERVAL: Duration = Duration::from_millis(100);
/// Longest pause while requests are in flight.
const LONGEST_INTERVAL: Duration = Duration::from_millis(500);
/// Tellings after which back ends that are gone are forgotten.
const TELLINGS_TO_FORGET: u32 = 256;
/// Time for one telling.
const CALL_TIME: Duration = Duration::from_millis(300);

/// Tells for ever.
pub async fn tell(shared: Rc<Shared>, gateway: String) {
    let mut told_anything = false;
    let mut tellings: u32 = 0;
    loop {
        if told_anything {
            let changed = shared.places.changed.notified();
            let _ = tokio::time::timeout(LONGEST_INTERVAL, changed).await;
        } else {
            shared.places.changed.notified().await;
        }
        tokio::time::sleep(INTERVAL).await;
        let counts = counts(&shared);
        told_anything = !counts.is_empty();
        let request = Request::Load { gateway: gateway.clone(), counts };
        let outcome = shared.jobs.call(request, Instant::now() + CALL_TIME).await;
        if let CallOutcome::Answered(Reply::Totals(totals)) = outcome {
            hear(&shared, &totals);
        }
        tellings += 1;
        if tellings % TELLINGS_TO_FORGET == 0 {
            forget_gone(&shared);
        }
    }
}

/// Drops what is held of back ends that nobody knows any more.
fn forget_gone(shared: &Shared) {
    let catalog = shared.catalog.load();
    shared.pool.retain(|id| catalog.is_ready(id));
    shared.places.with(|balancer, _| balancer.retain(|id| catalog.is_ready(id)));
}

fn counts(shared: &Shared) -> Vec<BackendCount> {
    shared.places.with(|balancer, _| {
        let count = |(backend, requests): (&str, u32)| BackendCount {
            backend: backend.to_owned(),
            requests,
        };
        balancer.all_in_flight().map(count).collect()
    })
}

fn hear(shared: &Shared, totals: &[BackendCount]) {
    let gateways = shared.fleet.load().gateways().count();
    let totals = totals.iter().map(|count| (count.backend.as_str(), count.requests));
    shared.places.with(|balancer, now| {
        balancer.set_choosers(gateways);
        balancer.heard_totals(now, totals);
    });
}
