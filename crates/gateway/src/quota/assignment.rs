//! Who the accountants are: asked for when it may have changed, of the leader or of other gateways.

use std::rc::Rc;
use std::time::Duration;

use tokio::time::Instant;
use yokefall_jobstore::{CallOutcome, Reply, Request};

use super::asks::{call, ASK_TIMEOUT};
use super::relays::relays;
use crate::shared::Shared;

/// Pause before an accountant that gave no answer is tried again for the first time: one that has only
/// lost a frame, or stood still for a tenth of a second, is back by then.
const FIRST_PROBE_PAUSE: Duration = Duration::from_millis(150);
/// Interval at which it is tried after that.
const PROBE_INTERVAL: Duration = Duration::from_millis(700);
/// Time for the leader to tell who the accountants are.
const ASSIGNMENT_TIMEOUT: Duration = Duration::from_millis(600);
/// Interval at which that is asked for without a reason.
const ASSIGNMENT_INTERVAL: Duration = Duration::from_secs(30);
/// Shortest interval between two such questions of a process that knows an answer.
const REFRESH_INTERVAL: Duration = Duration::from_millis(200);
/// Interval at which a process whose configuration limits nobody looks whether that has changed.
const LIMITS_INTERVAL: Duration = Duration::from_millis(700);
/// Interval at which a process that has just started looks whether it knows a configuration.
const START_INTERVAL: Duration = Duration::from_millis(50);

/// Keeps the assignment current, for ever.
pub async fn maintain(shared: Rc<Shared>) {
    loop {
        match has_limits(&shared) {
            None => tokio::time::sleep(START_INTERVAL).await,
            Some(false) => tokio::time::sleep(LIMITS_INTERVAL).await,
            Some(true) => maintain_once(&shared).await,
        }
    }
}

async fn maintain_once(shared: &Shared) {
    if refresh(shared).await {
        shared.quota.found.notify_waiters();
        // One that did not answer before may be an accountant again.
        shared.quota.failed.notify_one();
    }
    let now = shared.quota.now();
    shared.quota.meter.borrow_mut().expire(now);
    if shared.quota.meter.borrow().assignment().version == 0 {
        tokio::time::sleep(START_INTERVAL).await;
        return;
    }
    tokio::time::sleep(REFRESH_INTERVAL).await;
    let wanted = shared.quota.refresh.notified();
    // Without a reason it is asked for now and then all the same.
    let _ = tokio::time::timeout(ASSIGNMENT_INTERVAL, wanted).await;
}

/// Tries accountants that gave no answer until they answer, for ever. On a schedule of its own: were it
/// put off by each request that is refused meanwhile, refusals would last for as long as callers ask.
pub async fn try_failing(shared: Rc<Shared>) {
    loop {
        shared.quota.failed.notified().await;
        tokio::time::sleep(FIRST_PROBE_PAUSE).await;
        while !shared.quota.meter.borrow().unreachable().is_empty() {
            probe(&shared).await;
            tokio::time::sleep(PROBE_INTERVAL).await;
        }
    }
}

/// Whether any tenant has a limit; `None` where no configuration is known.
fn has_limits(shared: &Shared) -> Option<bool> {
    let catalog = shared.catalog.load();
    catalog.configuration.as_ref().map(|configuration| configuration.has_limits())
}

/// Asks who the accountants are; returns whether somebody told it.
async fn refresh(shared: &Shared) -> bool {
    let deadline = Instant::now() + ASSIGNMENT_TIMEOUT;
    if let CallOutcome::Answered(Reply::Accountants(assignment)) =
        shared.jobs.call(Request::Accountants, deadline).await
    {
        shared.quota.meter.borrow_mut().set_assignment(assignment);
        return true;
    }
    for address in relays(shared) {
        let limit = Instant::now() + ASK_TIMEOUT;
        let reply = shared.jobs.call_member(address, Request::Accountants, limit).await;
        if let Some(Reply::Accountants(assignment)) = reply {
            shared.quota.meter.borrow_mut().set_assignment(assignment);
            return true;
        }
    }
    false
}

/// Tries all accountants that gave no answer at once: an ask for nothing.
async fn probe(shared: &Shared) {
    let failing = shared.quota.meter.borrow().unreachable();
    let tries = failing.iter().map(|token_issuer| async move {
        if call(shared, token_issuer, Vec::new()).await.is_some() {
            shared.quota.meter.borrow_mut().mark_reachable(token_issuer);
            shared.quota.found.notify_waiters();
        }
    });
    futures::future::join_all(tries).await;
}
