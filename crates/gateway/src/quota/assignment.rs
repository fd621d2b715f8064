//! Who the accountants are: asked for when it may have changed, of the leader or of other gateways.

use std::rc::Rc;
use std::time::Duration;

use tokio::time::Instant;
use yokefall_jobstore::{CallOutcome, Reply, Request};

use super::asks::{call, ASK_TIMEOUT};
use super::relays::relays;
use crate::shared::Shared;

/// Interval at which accountants that gave no answer are tried again.
const PROBE_INTERVAL: Duration = Duration::from_millis(700);
/// Time for the leader to tell who the accountants are.
const ASSIGNMENT_TIMEOUT: Duration = Duration::from_millis(600);
/// Interval at which that is asked for without a reason.
const ASSIGNMENT_INTERVAL: Duration = Duration::from_secs(30);
/// Shortest interval between two such questions of a process that knows an answer.
const REFRESH_INTERVAL: Duration = Duration::from_millis(200);
/// Interval at which a process that has just started looks whether it knows a configuration.
const START_INTERVAL: Duration = Duration::from_millis(50);

/// Keeps the assignment current and tries accountants that gave no answer, for ever.
pub async fn maintain(shared: Rc<Shared>) {
    loop {
        match has_limits(&shared) {
            None => tokio::time::sleep(START_INTERVAL).await,
            Some(false) => tokio::time::sleep(PROBE_INTERVAL).await,
            Some(true) => maintain_once(&shared).await,
        }
    }
}

async fn maintain_once(shared: &Shared) {
    if refresh(shared).await {
        shared.quota.found.notify_waiters();
    }
    let now = shared.quota.now();
    shared.quota.meter.borrow_mut().forget(now);
    if shared.quota.meter.borrow().assignment().version == 0 {
        tokio::time::sleep(START_INTERVAL).await;
        return;
    }
    tokio::time::sleep(REFRESH_INTERVAL).await;
    let wanted = shared.quota.refresh.notified();
    tokio::pin!(wanted);
    let rested = tokio::time::sleep(ASSIGNMENT_INTERVAL);
    tokio::pin!(rested);
    loop {
        let probing = !shared.quota.meter.borrow().failing().is_empty();
        tokio::select! {
            () = &mut wanted => return,
            () = &mut rested => return,
            () = tokio::time::sleep(PROBE_INTERVAL), if probing => probe(shared).await,
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

/// Tries accountants that gave no answer: an ask for nothing.
async fn probe(shared: &Shared) {
    let failing = shared.quota.meter.borrow().failing();
    for accountant in failing {
        if call(shared, &accountant, Vec::new()).await.is_some() {
            shared.quota.meter.borrow_mut().answered(&accountant);
            shared.quota.found.notify_waiters();
        }
    }
}
