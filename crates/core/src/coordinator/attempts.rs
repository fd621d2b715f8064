//! Attempts of a call: sent to an owner, ended, and sent again where that is safe.

use rand::Rng;
use yokefall_peer::OwnerLoad;
use yokefall_types::{Outcome, Refusal, RefusalReason, RepeatPolicy, RequestId, ServiceId};

use super::record::{either_ran, Stage};
use super::{Coordinator, CoordinatorEffect, RETRY_BUDGET_RESERVE};
use crate::fleet::FleetView;
use crate::time::Timestamp;

/// Most owners that are asked to run one call.
const MAX_ATTEMPTS: u32 = 4;
/// Bounds of the first pause before a repeated execution, in milliseconds.
const BACKOFF_RANGE_MS: (u64, u64) = (10, 50);

impl Coordinator {
    /// Sends a call to the owner chosen for it. A no-repeat call that may have been sent before is
    /// not run where no record of the earlier call was found: the record may have been lost.
    ///
    /// Invariant: a no-repeat call passes here at most once after `sent` is set; otherwise it
    /// could run twice.
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

    /// The owner reports that a back end runs the call.
    pub fn started(&mut self, request: &RequestId, attempt: u32) {
        if let Some(record) = self.records.get_mut(request).filter(|r| r.attempt == attempt) {
            record.started = true;
        }
    }

    /// An execution ended, as its owner tells.
    pub fn execution_ended(
        &mut self,
        now: Timestamp,
        view: &FleetView,
        request: &RequestId,
        attempt: u32,
        outcome: Outcome,
        load: Option<OwnerLoad>,
    ) -> Vec<CoordinatorEffect> {
        if !self.settle(now, request, attempt, load) {
            return Vec::new();
        }
        match outcome {
            Outcome::Completed => self.end(now, view, request, Outcome::Completed),
            Outcome::Refused(refusal) => self.refused(now, view, request, refusal),
        }
    }

    /// The owner was lost. `reached` tells whether the order can have reached it.
    pub fn execution_lost(
        &mut self,
        now: Timestamp,
        view: &FleetView,
        request: &RequestId,
        attempt: u32,
        reached: bool,
        detail: String,
    ) -> Vec<CoordinatorEffect> {
        if !self.settle(now, request, attempt, None) {
            return Vec::new();
        }
        let refusal = if reached {
            Refusal::unknown(RefusalReason::Unreachable, detail)
        } else {
            Refusal::not_run(RefusalReason::Unreachable, detail)
        };
        self.refused(now, view, request, refusal)
    }

    /// Notes the end of an attempt. Returns `false` for an attempt that no longer counts.
    fn settle(
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

    /// An attempt was refused: run again where that is safe and within the budget, else end.
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
        record.earlier_ran = either_ran(record.earlier_ran, ran);
        record.sent = false;
        record.started = false;
        // Proof that this attempt did not run says nothing of those before it.
        let refusal = Refusal { executed: record.earlier_ran, ..refusal };
        let safe = not_run || record.header.repeat == RepeatPolicy::Allowed;
        let sensible = !matches!(
            refusal.reason,
            RefusalReason::DeadlineExceeded
                | RefusalReason::Cancelled
                | RefusalReason::Conflict
                | RefusalReason::InvalidArgument
        );
        let in_time = record.deadline > now;
        let in_count = record.attempt < MAX_ATTEMPTS;
        let service = record.header.service_id();
        if safe && sensible && in_time && in_count && self.spend_retry(&service) {
            return self.retry(now, view, request, refusal, not_run);
        }
        self.end(now, view, request, Outcome::Refused(refusal))
    }

    fn spend_retry(&mut self, service: &ServiceId) -> bool {
        let budget = self.budgets.entry(service.clone()).or_insert(RETRY_BUDGET_RESERVE);
        if *budget < 1.0 {
            return false;
        }
        *budget -= 1.0;
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
            return self.execute_elsewhere(now, view, request, refusal);
        }
        let (low, high) = BACKOFF_RANGE_MS;
        let pause = self.generator.random_range(low..=high) << record.attempt.min(4);
        record.stage = Stage::Backoff { until: now.plus_millis(pause) };
        Vec::new()
    }

    /// Sends the call to an owner not yet tried; without one the refusal is final.
    fn execute_elsewhere(
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

    /// Runs a repeatable call again, on another owner where there is one.
    pub(super) fn repeat(
        &mut self,
        now: Timestamp,
        view: &FleetView,
        request: &RequestId,
    ) -> Vec<CoordinatorEffect> {
        let Some(record) = self.records.get_mut(request) else { return Vec::new() };
        let service = record.header.service_id();
        let elsewhere = self.router.choose(now, view, &service, &record.tried);
        let owner = elsewhere.or_else(|| self.router.choose(now, view, &service, &[]));
        let Some(owner) = owner else {
            let refusal = record.refusal(RefusalReason::NoBackend, "no live back end is left");
            return self.end(now, view, request, Outcome::Refused(refusal));
        };
        record.begin_attempt(owner);
        self.copy_record(now, view, request)
    }
}
