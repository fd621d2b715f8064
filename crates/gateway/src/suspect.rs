//! Decides whether a request may be sent, during which back ends terminated at any gateway, or
//! during others with a part of its prompt.
//!
//! This is checked before each send, not once per request: a retry, a resumed stream and an attempt
//! by another client put a back end at the same risk.

use std::time::Duration;

use tokio::time::Instant;
use yokefall_jobstore::client::CallOutcome;
use yokefall_jobstore::{Reply, Request};
use yokefall_suspects::{Grant, RequestSource, ResponseProgress, Restriction, SuspectStatus};
use yokefall_upstream::{BackendSlot, Framing};

use crate::context::RequestContext;
use crate::shared::Shared;

/// Timeout for the leader's answer: several round trips and a short election. Few requests need a
/// grant, and their callers retry.
const GRANT_TIMEOUT: Duration = Duration::from_millis(500);
/// Retry delay for requests that could not be granted because no leader answered.
const NO_LEADER_WAIT: Duration = Duration::from_millis(1_000);

/// Whether a request may be sent to a back end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Clearance {
    /// It may be sent.
    Clear,
    /// It may be sent to another back end.
    BackendBusy,
    /// It may not be sent before this time has passed.
    HeldBack(Duration),
}

/// How long a request may not be sent anywhere; `None` if it may be sent, or if the leader decides.
pub fn held_back(shared: &Shared, context: &RequestContext) -> Option<Duration> {
    match restriction(shared, context)?.status {
        SuspectStatus::HeldBack { wait_ms } => Some(Duration::from_millis(wait_ms)),
        SuspectStatus::Free | SuspectStatus::Isolated => None,
    }
}

fn restriction(shared: &Shared, context: &RequestContext) -> Option<Restriction> {
    if shared.suspects.is_empty() {
        return None;
    }
    shared.suspects.restriction(context.suspect_keys(), RequestSource::Client)
}

/// Checks whether a request may be sent to a back end now. A request that must run exclusively
/// needs a grant from the leader of the job stores. All gateways request it there, since only the
/// leader knows where it is running.
pub async fn clear(shared: &Shared, context: &mut RequestContext, backend: &str) -> Clearance {
    let Some(Restriction { digest, status }) = restriction(shared, context) else {
        return Clearance::Clear;
    };
    match status {
        SuspectStatus::Free => return Clearance::Clear,
        SuspectStatus::HeldBack { wait_ms } => {
            return Clearance::HeldBack(Duration::from_millis(wait_ms));
        }
        SuspectStatus::Isolated => {}
    }
    let Some(update) = shared.suspects.update_for(&digest) else { return Clearance::Clear };
    let request = Request::TrySuspect { update, backend: backend.to_owned() };
    let deadline = context.deadline.min(Instant::now() + GRANT_TIMEOUT);
    match shared.jobs.call(request, deadline).await {
        CallOutcome::Answered(Reply::TrialGrant(Grant::Granted)) => {
            context.isolated_run = Some(shared.suspects.run_isolated(digest));
            Clearance::Clear
        }
        CallOutcome::Answered(Reply::TrialGrant(Grant::BackendBusy)) => Clearance::BackendBusy,
        CallOutcome::Answered(Reply::TrialGrant(Grant::Wait { ms })) => {
            Clearance::HeldBack(Duration::from_millis(ms))
        }
        _ => Clearance::HeldBack(NO_LEADER_WAIT),
    }
}

/// Records that the connection to a back end broke off during a request.
pub async fn record_disconnect(
    shared: &Shared,
    context: &RequestContext,
    slot: &BackendSlot,
    progress: ResponseProgress,
) {
    let keys = || context.suspect_keys().clone();
    shared.suspects.record_disconnect(&slot.backend, slot.acquired_at(), progress, keys).await;
}

/// Records that a back end completed a request: crashes that were attributed to the request, or on
/// success to a part of its prompt, had another cause. A response that ended with its connection may
/// have been cut off by one.
pub fn record_answer(
    shared: &Shared,
    context: &RequestContext,
    slot: &BackendSlot,
    (framing, progress): (Framing, ResponseProgress),
    is_success: bool,
) {
    let (suspects, sent) = (&shared.suspects, slot.acquired_at());
    match (framing, is_success) {
        (Framing::Connection, _) => {
            let keys = context.suspect_keys().clone();
            suspects.record_unframed_answer(&slot.backend, sent, progress, keys, is_success);
        }
        _ if suspects.is_empty() => {}
        (_, true) => suspects.record_success(context.suspect_keys()),
        (_, false) => suspects.record_answer(context.suspect_keys().request()),
    }
}

/// Records that a successful response to a request is underway.
pub fn record_underway(shared: &Shared, context: &RequestContext) {
    if !shared.suspects.is_empty() {
        shared.suspects.record_underway(context.suspect_keys());
    }
}
