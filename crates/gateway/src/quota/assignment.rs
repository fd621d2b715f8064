//! Fetches the token issuers' assignment from the leader or other gateways when it may be outdated.

use std::rc::Rc;
use std::time::Duration;

use tokio::time::Instant;
use yokefall_jobstore::{CallOutcome, Reply, Request};

use super::relays::relay_gateways;
use super::token_requests::{call, REQUEST_TIMEOUT};
use crate::shared::Shared;

/// Delay before the first probe of a token issuer that did not answer: one that only lost a frame,
/// or was paused for a tenth of a second, has recovered by then.
const FIRST_PROBE_DELAY: Duration = Duration::from_millis(150);
/// Interval between later probes.
const PROBE_INTERVAL: Duration = Duration::from_millis(700);
/// Timeout for the leader to return the assignment.
const ASSIGNMENT_TIMEOUT: Duration = Duration::from_millis(600);
/// Interval at which the assignment is fetched when nothing requests it.
const ASSIGNMENT_INTERVAL: Duration = Duration::from_secs(30);
/// Minimum interval between two fetches once an assignment is known.
const REFRESH_INTERVAL: Duration = Duration::from_millis(200);
/// Interval at which a process without rate limits checks whether its configuration has some.
const LIMITS_INTERVAL: Duration = Duration::from_millis(700);
/// Interval at which a starting process checks whether it has a configuration.
const START_INTERVAL: Duration = Duration::from_millis(50);

/// Keeps the assignment current, forever.
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
        shared.quota.issuer_found.notify_waiters();
        // A job store that did not answer before may be a token issuer again.
        shared.quota.issuer_failed.notify_one();
    }
    let now = shared.quota.now();
    shared.quota.selector.borrow_mut().expire(now);
    if shared.quota.selector.borrow().assignment().version == 0 {
        tokio::time::sleep(START_INTERVAL).await;
        return;
    }
    tokio::time::sleep(REFRESH_INTERVAL).await;
    let refresh_requested = shared.quota.refresh.notified();
    // Fetches periodically even if nothing requests it.
    let _ = tokio::time::timeout(ASSIGNMENT_INTERVAL, refresh_requested).await;
}

/// Probes token issuers that did not answer until they do, forever. Rejected requests must not
/// postpone the probe, or rejections would last as long as callers keep retrying.
pub async fn probe_failing(shared: Rc<Shared>) {
    loop {
        shared.quota.issuer_failed.notified().await;
        tokio::time::sleep(FIRST_PROBE_DELAY).await;
        while !shared.quota.selector.borrow().unreachable().is_empty() {
            probe(&shared).await;
            tokio::time::sleep(PROBE_INTERVAL).await;
        }
    }
}

/// Whether any tenant has a limit; `None` if no configuration is known.
fn has_limits(shared: &Shared) -> Option<bool> {
    let catalog = shared.catalog.load();
    catalog.configuration.as_ref().map(|configuration| configuration.has_limits())
}

/// Fetches the assignment; returns whether it was obtained.
async fn refresh(shared: &Shared) -> bool {
    let deadline = Instant::now() + ASSIGNMENT_TIMEOUT;
    if let CallOutcome::Answered(Reply::TokenIssuers(assignment)) =
        shared.jobs.call(Request::TokenIssuers, deadline).await
    {
        shared.quota.selector.borrow_mut().set_assignment(assignment);
        return true;
    }
    for address in relay_gateways(shared) {
        let limit = Instant::now() + REQUEST_TIMEOUT;
        let reply = shared.jobs.call_member(address, Request::TokenIssuers, limit).await;
        if let Some(Reply::TokenIssuers(assignment)) = reply {
            shared.quota.selector.borrow_mut().set_assignment(assignment);
            return true;
        }
    }
    false
}

/// Probes all failing token issuers at once with an empty call.
async fn probe(shared: &Shared) {
    let failing = shared.quota.selector.borrow().unreachable();
    let probes = failing.iter().map(|token_issuer| async move {
        if call(shared, token_issuer, Vec::new()).await.is_some() {
            shared.quota.selector.borrow_mut().mark_reachable(token_issuer);
            shared.quota.issuer_found.notify_waiters();
        }
    });
    futures::future::join_all(probes).await;
}
