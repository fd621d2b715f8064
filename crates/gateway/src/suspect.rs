//! Whether a request may be sent, as far as back ends ended under it before, at this gateway or another.
//!
//! Asked before each send, not once a request: a retry, a resume and the attempt of another client are the
//! same to the back end that would end.

use std::time::Duration;

use tokio::time::Instant;
use yokefall_jobstore::client::CallOutcome;
use yokefall_jobstore::{Reply, Request};
use yokefall_suspects::{Grant, SuspectStatus};

use crate::order::Order;
use crate::shared::Shared;

/// Longest wait for the leader's answer: some round trips, and an election cut short. Requests that ask are
/// few, and their callers come back.
const GRANT_TIMEOUT: Duration = Duration::from_millis(500);
/// When a caller may come back whose request could not be granted, since no leader answered.
const NO_LEADER_WAIT: Duration = Duration::from_millis(1_000);

/// Whether a request may go to a back end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Clearance {
    /// It may.
    Clear,
    /// It may go to another one.
    BackendBusy,
    /// It may not be sent before this time has passed.
    HeldBack(Duration),
}

/// The time for which a request may not be sent anywhere; `None` where it may, or where its leader decides.
pub fn held_back(shared: &Shared, order: &Order) -> Option<Duration> {
    if shared.suspects.is_empty() {
        return None;
    }
    match shared.suspects.status(&order.digest()) {
        SuspectStatus::HeldBack { wait_ms } => Some(Duration::from_millis(wait_ms)),
        SuspectStatus::Free | SuspectStatus::Isolated => None,
    }
}

/// Whether a request may go to a back end now. One that must run alone needs the word of the leader of the
/// job stores, which all gateways ask: without it nobody knows where else it runs.
pub async fn clear(shared: &Shared, order: &mut Order, backend: &str) -> Clearance {
    if shared.suspects.is_empty() {
        return Clearance::Clear;
    }
    let digest = order.digest();
    match shared.suspects.status(&digest) {
        SuspectStatus::Free => return Clearance::Clear,
        SuspectStatus::HeldBack { wait_ms } => {
            return Clearance::HeldBack(Duration::from_millis(wait_ms));
        }
        SuspectStatus::Isolated => {}
    }
    let Some(update) = shared.suspects.update_for(&digest) else { return Clearance::Clear };
    let request = Request::TrySuspect { update, backend: backend.to_owned() };
    let deadline = order.deadline.min(Instant::now() + GRANT_TIMEOUT);
    match shared.jobs.call(request, deadline).await {
        CallOutcome::Answered(Reply::TrialGrant(Grant::Granted)) => {
            order.alone = Some(shared.suspects.run_isolated(digest));
            Clearance::Clear
        }
        CallOutcome::Answered(Reply::TrialGrant(Grant::BackendBusy)) => Clearance::BackendBusy,
        CallOutcome::Answered(Reply::TrialGrant(Grant::Wait { ms })) => {
            Clearance::HeldBack(Duration::from_millis(ms))
        }
        _ => Clearance::HeldBack(NO_LEADER_WAIT),
    }
}

/// A back end answered a request whole: where ends are held against it, they had another cause.
pub fn record_answer(shared: &Shared, order: &Order) {
    if !shared.suspects.is_empty() {
        shared.suspects.record_answer(&order.digest());
    }
}
