//! Execution attempts of a call, and retries where they are safe.

use rand::Rng;
use yokefall_peer::OwnerLoad;
use yokefall_types::{Outcome, Refusal, RefusalReason, RepeatPolicy, RequestId, ServiceId};

use super::record::{either_executed, Stage};
use super::{Coordinator, CoordinatorEffect, INITIAL_RETRY_TOKENS};
use crate::fleet::FleetView;
use crate::time::Timestamp;

const MAX_ATTEMPTS: u32 = 4;
/// Range of the random base of the exponential retry backoff, in milliseconds.
const BACKOFF_RANGE_MS: (u64, u64) = (10, 50);

impl Coordinator {
    /// Sends a call to its chosen owner. A resent no-repeat call is rejected if no record of the
    /// earlier call exists, since that record may have been lost after the call ran.
    ///
    /// Invariant: a no-repeat call is not sent again while `sent` is set; otherwise it could run
    /// twice.
    pub(super) fn execute(
        &mut self,
        now: Timestamp,
        view: &FleetView,
        request: &RequestId,
    ) -> Vec<CoordinatorEffect> {
        let Some(record) = self.records.get_mut(request) else { return Vec::new() };
        let Stage::Copying { owner } = record.stage.clone() else { return Vec::new() };
        if record.header.resend && record.header.repeat == RepeatPolicy::Forbidden {
            let detail = "no record of the earlier call was found; it may have run";
            let refusal = Refusal::unknown(RefusalReason::NotFound, detail);
            return self.end(now, view, request, Outcome::Refused(refusal));
        }
        record.stage = Stage::Executing { owner: owner.clone() };
        record.attempt += 1;
        record.sent = true;
        record.tried.push(owner.clone());
        self.router.sent(&owner, &record.header.service_id());
        let attempt = record.attempt;
        vec![CoordinatorEffect::Execute { request: request.clone(), attempt, owner }]
    }

    /// Handles the owner's report that a back end runs the call.
    pub fn started(&mut self, request: &RequestId, attempt: u32) {
        if let Some(record) = self.records.get_mut(request).filter(|r| r.attempt == attempt) {
            record.started = true;
        }
    }

    /// Handles the owner's report that an execution ended.
    pub fn execution_ended(
        &mut self,
        now: Timestamp,
        view: &FleetView,
        request: &RequestId,
        attempt: u32,
        outcome: Outcome,
        load: Option<OwnerLoad>,
    ) -> Vec<CoordinatorEffect> {
        if !self.finish_attempt(now, request, attempt, load) {
            return Vec::new();
        }
        match outcome {
            Outcome::Completed => self.end(now, view, request, Outcome::Completed),
            Outcome::Refused(refusal) => self.refused(now, view, request, refusal),
        }
    }

    /// Handles the loss of the owner, which may have received the call if `may_have_arrived`.
    pub fn execution_lost(
        &mut self,
        now: Timestamp,
        view: &FleetView,
        request: &RequestId,
        attempt: u32,
        may_have_arrived: bool,
        detail: String,
    ) -> Vec<CoordinatorEffect> {
        if !self.finish_attempt(now, request, attempt, None) {
            return Vec::new();
        }
        let refusal = if may_have_arrived {
            Refusal::unknown(RefusalReason::Unreachable, detail)
        } else {
            Refusal::not_run(RefusalReason::Unreachable, detail)
        };
        self.refused(now, view, request, refusal)
    }

    /// Records the end of an attempt. Returns `false` for an attempt that is no longer current.
    fn finish_attempt(
        &mut self,
        now: Timestamp,
        request: &RequestId,
        attempt: u32,
        load: Option<OwnerLoad>,
    ) -> bool {
        let Some(record) = self.records.get(request) else { return false };
        if record.attempt != attempt {
            return false;
        }
        match &record.stage {
            Stage::Executing { owner } => {
                self.router.returned(now, owner, &record.header.service_id(), load);
                true
            }
            Stage::Adopting => true,
            _ => false,
        }
    }

    /// Handles a refused attempt: retries if safe and within budget, otherwise ends the request.
    fn refused(
        &mut self,
        now: Timestamp,
        view: &FleetView,
        request: &RequestId,
        refusal: Refusal,
    ) -> Vec<CoordinatorEffect> {
        let Some(record) = self.records.get_mut(request) else { return Vec::new() };
        let not_run = refusal.executed == Some(false);
        let ran = if record.started && !not_run { Some(true) } else { refusal.executed };
        record.earlier_executed = either_executed(record.earlier_executed, ran);
        record.sent = false;
        record.started = false;
        // Proof that this attempt did not run says nothing about earlier attempts.
        let refusal = Refusal { executed: record.earlier_executed, ..refusal };
        let may_repeat = not_run || record.header.repeat == RepeatPolicy::Allowed;
        let retryable = !matches!(
            refusal.reason,
            RefusalReason::DeadlineExceeded
                | RefusalReason::Cancelled
                | RefusalReason::Conflict
                | RefusalReason::InvalidArgument
        );
        let before_deadline = record.deadline > now;
        let attempts_left = record.attempt < MAX_ATTEMPTS;
        let service = record.header.service_id();
        if may_repeat
            && retryable
            && before_deadline
            && attempts_left
            && self.take_retry_token(&service)
        {
            return self.retry(now, view, request, refusal, not_run);
        }
        self.end(now, view, request, Outcome::Refused(refusal))
    }

    fn take_retry_token(&mut self, service: &ServiceId) -> bool {
        let tokens = self.retry_tokens.entry(service.clone()).or_insert(INITIAL_RETRY_TOKENS);
        if *tokens < 1.0 {
            return false;
        }
        *tokens -= 1.0;
        true
    }

    fn retry(
        &mut self,
        now: Timestamp,
        view: &FleetView,
        request: &RequestId,
        refusal: Refusal,
        not_run: bool,
    ) -> Vec<CoordinatorEffect> {
        let Some(record) = self.records.get_mut(request) else { return Vec::new() };
        if not_run {
            return self.execute_on_other_owner(now, view, request, refusal);
        }
        let (low, high) = BACKOFF_RANGE_MS;
        let pause = self.rng.random_range(low..=high) << record.attempt.min(4);
        record.stage = Stage::Backoff { until: now.plus_millis(pause) };
        Vec::new()
    }

    /// Sends the call to an owner not yet tried. If there is none, the refusal is final.
    fn execute_on_other_owner(
        &mut self,
        now: Timestamp,
        view: &FleetView,
        request: &RequestId,
        refusal: Refusal,
    ) -> Vec<CoordinatorEffect> {
        let Some(record) = self.records.get_mut(request) else { return Vec::new() };
        let service = record.header.service_id();
        let Some(owner) = self.router.choose(now, view, &service, &record.tried) else {
            return self.end(now, view, request, Outcome::Refused(refusal));
        };
        record.begin_attempt(owner);
        self.copy_record(now, view, request)
    }

    /// Retries a repeatable call, preferably at an owner not yet tried.
    pub(super) fn retry_after_backoff(
        &mut self,
        now: Timestamp,
        view: &FleetView,
        request: &RequestId,
    ) -> Vec<CoordinatorEffect> {
        let Some(record) = self.records.get_mut(request) else { return Vec::new() };
        let service = record.header.service_id();
        let untried = self.router.choose(now, view, &service, &record.tried);
        let owner = untried.or_else(|| self.router.choose(now, view, &service, &[]));
        let Some(owner) = owner else {
            let refusal = record.refusal(RefusalReason::NoBackend, "no live back end is left");
            return self.end(now, view, request, Outcome::Refused(refusal));
        };
        record.begin_attempt(owner);
        self.copy_record(now, view, request)
    }
}
