//! The home daemon of online requests: one record a request, one answer a record.
//!
//! A record is copied to two more daemons before a no-repeat call leaves for its owner, and again
//! to others when the fleet changes; a second call with the same id joins the first.

use std::collections::{BTreeMap, BTreeSet, HashMap};

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use yokefall_peer::{HomeId, OwnerLoad, RecordCopy, RecordState};
use yokefall_types::{
    CallHeader, NodeName, Outcome, Refusal, RefusalReason, RepeatPolicy, RequestId, ServiceId,
};

use crate::fleet::{record_holders, FleetView};
use crate::router::Router;
use crate::time::Timestamp;

/// Daemons that hold copies of a record besides its home: with two, any two of the three may die
/// at once.
const COPIES: usize = 2;
/// Interval at which failed handovers are tried again, in milliseconds.
const HANDOVER_INTERVAL_MS: u64 = 500;
/// Records whose holders are compared with a changed fleet at one tick, so that a change does not
/// hold up calls.
const PLACED_PER_TICK: usize = 200;
/// Most owners that are asked to run one call.
const MAX_ATTEMPTS: u32 = 4;
/// Bounds of the first pause before a repeated execution, in milliseconds.
const BACKOFF_RANGE_MS: (u64, u64) = (10, 50);
/// Retries earned by each accepted call.
const RETRY_BUDGET_RATIO: f64 = 0.2;
/// Retries that a service may make before it has earned any, and the most it can save up.
const RETRY_BUDGET_RESERVE: f64 = 10.0;
const RETRY_BUDGET_MOST: f64 = 200.0;

/// What became of a submitted call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Submission {
    /// A new record was made.
    Accepted,
    /// A record with the same content exists; its answer is this call's answer.
    Joined,
    /// The call was refused, and no record of it was made.
    Refused(Refusal),
}

/// What the coordinator orders.
#[derive(Clone, Debug)]
pub enum CoordinatorEffect {
    /// Copy the record to another daemon; report with `copy_held` or `copy_failed`.
    Copy {
        /// The holder of the copy.
        to: NodeName,
        /// The copy.
        copy: RecordCopy,
        /// Whether it goes to a daemon that became a holder when the fleet changed.
        handover: bool,
    },
    /// Copy an ended record, with its answer, to a daemon that became a holder when the fleet
    /// changed; report like `Copy`.
    CopyEnded {
        /// The request.
        request: RequestId,
        /// The new holder.
        to: NodeName,
    },
    /// Send the call to an owner; report with `started`, then `execution_ended` or
    /// `execution_lost`.
    Execute {
        /// The request.
        request: RequestId,
        /// Number of the attempt.
        attempt: u32,
        /// The owner that is to run it.
        owner: NodeName,
    },
    /// Follow an execution ordered by another home daemon; report like `Execute`.
    Adopt {
        /// The request.
        request: RequestId,
        /// Number of the attempt.
        attempt: u32,
        /// Where it stood when the copy was made.
        state: RecordState,
    },
    /// Stop an execution.
    CancelExecution {
        /// The request.
        request: RequestId,
        /// The owner that runs it.
        owner: NodeName,
    },
    /// The record ended: tell those who wait, and the holders of copies.
    End {
        /// The request.
        request: RequestId,
        /// How it ended.
        outcome: Outcome,
        /// Holders of copies.
        holders: Vec<NodeName>,
    },
    /// The record's retention is over.
    Forget {
        /// The request.
        request: RequestId,
    },
}

#[derive(Clone, Debug, PartialEq, Eq)]
enum Stage {
    Copying { owner: NodeName },
    Executing { owner: NodeName },
    Adopting,
    Backoff { until: Timestamp },
    Ended,
}

/// One life of a daemon that holds copies.
#[derive(Clone, Debug, PartialEq, Eq)]
struct Holder {
    node: NodeName,
    incarnation: u64,
}

/// A copy held for another home daemon, and the holders that it is known or meant to have.
#[derive(Clone, Debug)]
struct HeldCopy {
    copy: RecordCopy,
    holders: Vec<Holder>,
}

#[derive(Clone, Debug)]
struct Record {
    header: CallHeader,
    digest: u64,
    deadline: Timestamp,
    stage: Stage,
    attempt: u32,
    tried: Vec<NodeName>,
    /// Daemons that were sent the copy of this attempt.
    asked: Vec<Holder>,
    /// Daemons that hold it.
    held_by: Vec<NodeName>,
    failed_holders: Vec<NodeName>,
    /// Whether the owner of this attempt may have sent the call to a back end.
    sent: bool,
    /// Whether the owner of this attempt reported that a back end runs it.
    started: bool,
    /// What is known of the attempts before this one: whether any ran.
    earlier_ran: Option<bool>,
}

impl Record {
    /// Whether the call ran, over all attempts.
    fn executed(&self) -> Option<bool> {
        let this_attempt = match (self.started, self.sent) {
            (true, _) => Some(true),
            (false, true) => None,
            (false, false) => Some(false),
        };
        either_ran(self.earlier_ran, this_attempt)
    }

    /// Another attempt, of which no daemon has a copy yet.
    fn begin_attempt(&mut self, owner: NodeName) {
        self.stage = Stage::Copying { owner };
        self.asked.clear();
        self.held_by.clear();
        self.failed_holders.clear();
    }

    fn refusal(&self, reason: RefusalReason, detail: &str) -> Refusal {
        Refusal {
            reason,
            executed: self.executed(),
            retry_after_ms: None,
            detail: detail.to_owned(),
        }
    }
}

/// Records of which this daemon is home, and copies that it holds for others.
#[derive(Debug)]
pub struct Coordinator {
    home: HomeId,
    records: HashMap<RequestId, Record>,
    /// Requests that have not ended.
    open: BTreeSet<RequestId>,
    copies: HashMap<RequestId, HeldCopy>,
    /// Handovers that are not yet acknowledged.
    handovers: usize,
    handover_at: Option<Timestamp>,
    /// Requests whose holders are still to be compared with the fleet.
    to_place: BTreeSet<RequestId>,
    /// Digest of the member list for which they are.
    placed_for: u64,
    expiry: BTreeMap<(Timestamp, u64), (RequestId, bool)>,
    next_expiry: u64,
    budgets: HashMap<ServiceId, f64>,
    router: Router,
    generator: SmallRng,
    retention_ms: u64,
}

impl Coordinator {
    /// The coordinator of one start of a daemon, which keeps ended records for `retention_ms`.
    pub fn new(home: HomeId, seed: u64, retention_ms: u64) -> Self {
        Self {
            home,
            records: HashMap::new(),
            open: BTreeSet::new(),
            copies: HashMap::new(),
            handovers: 0,
            handover_at: None,
            to_place: BTreeSet::new(),
            placed_for: 0,
            expiry: BTreeMap::new(),
            next_expiry: 0,
            budgets: HashMap::new(),
            router: Router::new(seed),
            generator: SmallRng::seed_from_u64(seed.wrapping_add(1)),
            retention_ms,
        }
    }

    /// A call arrives from an agent.
    pub fn submit(
        &mut self,
        now: Timestamp,
        view: &FleetView,
        header: CallHeader,
        digest: u64,
        body_bytes: usize,
    ) -> (Submission, Vec<CoordinatorEffect>) {
        if let Some(record) = self.records.get(&header.request) {
            return (join(record.digest, digest), Vec::new());
        }
        if let Some(held) = self.copies.get(&header.request).cloned() {
            return self.adopt_own_copy(now, header, digest, held.copy);
        }
        if let Some(refusal) = check_limits(view, &header, body_bytes) {
            return (Submission::Refused(refusal), Vec::new());
        }
        let service = header.service_id();
        let Some(owner) = self.router.choose(now, view, &service, &[]) else {
            let detail = format!("service {service} has no live back end");
            let refusal = Refusal::not_run(RefusalReason::NoBackend, detail).retry_after(1_000);
            return (Submission::Refused(refusal), Vec::new());
        };
        let budget = self.budgets.entry(service).or_insert(RETRY_BUDGET_RESERVE);
        *budget = (*budget + RETRY_BUDGET_RATIO).min(RETRY_BUDGET_MOST);
        let request = header.request.clone();
        let record = new_record(now, header, digest, Stage::Copying { owner });
        self.insert(record);
        let effects = self.copy_record(now, view, &request);
        (Submission::Accepted, effects)
    }

    fn insert(&mut self, record: Record) {
        self.open.insert(record.header.request.clone());
        self.records.insert(record.header.request.clone(), record);
    }

    /// This daemon held the copy, and becomes home: it follows the execution that the former home
    /// ordered, so that nothing is run twice.
    fn adopt_own_copy(
        &mut self,
        now: Timestamp,
        header: CallHeader,
        digest: u64,
        copy: RecordCopy,
    ) -> (Submission, Vec<CoordinatorEffect>) {
        if copy.digest != digest {
            return (join(copy.digest, digest), Vec::new());
        }
        let request = header.request.clone();
        let mut record = new_record(now, header, digest, Stage::Adopting);
        record.sent = true;
        record.attempt = 1;
        self.insert(record);
        let effect = CoordinatorEffect::Adopt { request, attempt: 1, state: copy.state };
        (Submission::Joined, vec![effect])
    }

    /// Sends the copies of a record, and the call itself where it need not wait for them.
    fn copy_record(
        &mut self,
        now: Timestamp,
        view: &FleetView,
        request: &RequestId,
    ) -> Vec<CoordinatorEffect> {
        let Some(record) = self.records.get_mut(request) else { return Vec::new() };
        let Stage::Copying { owner } = record.stage.clone() else { return Vec::new() };
        let mut effects = Vec::new();
        for holder in other_holders(view, request, &record.failed_holders) {
            if record.asked.contains(&holder) {
                continue;
            }
            let copy = running_copy(&self.home, record, owner.clone());
            effects.push(CoordinatorEffect::Copy {
                to: holder.node.clone(),
                copy,
                handover: false,
            });
            record.asked.push(holder);
        }
        effects.extend(self.execute_if_held(now, view, request));
        effects
    }

    /// Sends the call to its owner once enough copies are held. A repeatable call does not wait. A
    /// fleet of one runs the call all the same; a no-repeat call whose other holders are all out
    /// of reach is refused, since it could run again elsewhere.
    fn execute_if_held(
        &mut self,
        now: Timestamp,
        view: &FleetView,
        request: &RequestId,
    ) -> Vec<CoordinatorEffect> {
        let Some(record) = self.records.get(request) else { return Vec::new() };
        let holders = other_holders(view, request, &record.failed_holders);
        let held = holders.iter().filter(|holder| record.held_by.contains(&holder.node)).count();
        // Members that are leaving hold nothing new, so that the last to stay is alone.
        let alone = holders.is_empty() && record.failed_holders.is_empty();
        let enough = !holders.is_empty() && held == holders.len();
        if alone || enough || record.header.repeat == RepeatPolicy::Allowed {
            return self.execute(now, view, request);
        }
        if !holders.is_empty() {
            return Vec::new();
        }
        let detail = "no other daemon could hold the record of a no-repeat call";
        let refusal = record.refusal(RefusalReason::Unreachable, detail).retry_after(1_000);
        self.end(now, view, request, Outcome::Refused(refusal))
    }

    /// Sends a call to the owner chosen for it. A no-repeat call that may have been sent before is
    /// not run where no record of the earlier call was found: the record may have been lost.
    ///
    /// Invariant: a no-repeat call passes here at most once after `sent` is set; otherwise it
    /// could run twice.
    fn execute(
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

    /// A daemon holds the copy now; it tells what it held before.
    pub fn copy_held(
        &mut self,
        now: Timestamp,
        view: &FleetView,
        request: &RequestId,
        holder: &NodeName,
        held_before: Option<RecordCopy>,
    ) -> Vec<CoordinatorEffect> {
        let Some(record) = self.records.get_mut(request) else { return Vec::new() };
        record.held_by.push(holder.clone());
        if !matches!(record.stage, Stage::Copying { .. }) {
            return Vec::new();
        }
        let Some(copy) = held_before else {
            return self.execute_if_held(now, view, request);
        };
        if copy.digest != record.digest {
            let detail = "request_id: used before with other content";
            let refusal = record.refusal(RefusalReason::Conflict, detail);
            return self.end(now, view, request, Outcome::Refused(refusal));
        }
        record.stage = Stage::Adopting;
        record.sent = true;
        record.attempt += 1;
        let attempt = record.attempt;
        vec![CoordinatorEffect::Adopt { request: request.clone(), attempt, state: copy.state }]
    }

    /// A daemon could not hold the copy: another is asked.
    pub fn copy_failed(
        &mut self,
        now: Timestamp,
        view: &FleetView,
        request: &RequestId,
        holder: &NodeName,
    ) -> Vec<CoordinatorEffect> {
        let Some(record) = self.records.get_mut(request) else { return Vec::new() };
        if !matches!(record.stage, Stage::Copying { .. }) {
            return Vec::new();
        }
        record.failed_holders.push(holder.clone());
        self.copy_record(now, view, request)
    }

    /// A handover was acknowledged, or failed and is tried again.
    pub fn handed_over(
        &mut self,
        now: Timestamp,
        request: &RequestId,
        holder: &NodeName,
        acknowledged: bool,
    ) {
        self.handovers = self.handovers.saturating_sub(1);
        if acknowledged {
            return;
        }
        if let Some(record) = self.records.get_mut(request) {
            record.asked.retain(|asked| asked.node != *holder);
        }
        if let Some(held) = self.copies.get_mut(request) {
            held.holders.retain(|known| known.node != *holder);
        }
        self.handover_at = Some(now.plus_millis(HANDOVER_INTERVAL_MS));
    }

    /// The fleet changed: records go to the daemons that hold them from now on, some at every tick.
    /// Without it, one restart after another would leave no copy, though no two daemons were ever
    /// down at once.
    pub fn view_changed(&mut self, view: &FleetView) {
        if self.placed_for != view.members_digest {
            self.placed_for = view.members_digest;
            self.place_all();
        }
    }

    fn place_all(&mut self) {
        let requests = self.records.keys().chain(self.copies.keys());
        self.to_place = requests.cloned().collect();
    }

    /// Hands over the next records whose holders may have changed.
    fn place_some(&mut self, view: &FleetView) -> Vec<CoordinatorEffect> {
        let mut effects = Vec::new();
        for _ in 0..PLACED_PER_TICK {
            let Some(request) = self.to_place.pop_first() else { break };
            effects.extend(self.place_record(view, &request));
            effects.extend(self.place_copy(view, &request));
        }
        self.handovers += effects.len();
        effects
    }

    fn place_record(&mut self, view: &FleetView, request: &RequestId) -> Vec<CoordinatorEffect> {
        let Some(record) = self.records.get_mut(request) else { return Vec::new() };
        // The other stages send copies of their own, or follow another home's execution.
        if !matches!(record.stage, Stage::Ended | Stage::Executing { .. }) {
            return Vec::new();
        }
        let holders = other_holders(view, request, &[]);
        let fresh = holders.iter().filter(|holder| !record.asked.contains(holder));
        let hand_over = |holder: &Holder| {
            let to = holder.node.clone();
            match &record.stage {
                Stage::Executing { owner } => {
                    let copy = running_copy(&self.home, record, owner.clone());
                    CoordinatorEffect::Copy { to, copy, handover: true }
                }
                _ => CoordinatorEffect::CopyEnded { request: request.clone(), to },
            }
        };
        let effects = fresh.map(hand_over).collect();
        record.asked = holders;
        effects
    }

    fn place_copy(&mut self, view: &FleetView, request: &RequestId) -> Vec<CoordinatorEffect> {
        let Some(held) = self.copies.get_mut(request) else { return Vec::new() };
        let holders = holders_of_copy(view, request);
        let fresh = holders.iter().filter(|holder| !held.holders.contains(holder));
        let hand_over = |holder: &Holder| CoordinatorEffect::Copy {
            to: holder.node.clone(),
            copy: held.copy.clone(),
            handover: true,
        };
        let effects = fresh.map(hand_over).collect();
        held.holders = holders;
        effects
    }

    /// Handovers that are not yet acknowledged.
    pub fn open_handovers(&self) -> usize {
        self.handovers + self.to_place.len() + usize::from(self.handover_at.is_some())
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

    /// Cancels a request. Returns whether it had not ended.
    pub fn cancel(
        &mut self,
        now: Timestamp,
        view: &FleetView,
        request: &RequestId,
    ) -> (bool, Vec<CoordinatorEffect>) {
        let Some(record) = self.records.get(request) else { return (false, Vec::new()) };
        if record.stage == Stage::Ended {
            return (false, Vec::new());
        }
        let refusal = record.refusal(RefusalReason::Cancelled, "cancelled by its caller");
        (true, self.stop(now, view, request, refusal))
    }

    /// Ends a request without an answer, and stops its execution.
    fn stop(
        &mut self,
        now: Timestamp,
        view: &FleetView,
        request: &RequestId,
        refusal: Refusal,
    ) -> Vec<CoordinatorEffect> {
        let mut effects = Vec::new();
        let Some(record) = self.records.get(request) else { return effects };
        if let Stage::Executing { owner } = &record.stage {
            let owner = owner.clone();
            self.router.returned(now, &owner, &record.header.service_id(), None);
            effects.push(CoordinatorEffect::CancelExecution { request: request.clone(), owner });
        }
        effects.extend(self.end(now, view, request, Outcome::Refused(refusal)));
        effects
    }

    fn end(
        &mut self,
        now: Timestamp,
        view: &FleetView,
        request: &RequestId,
        outcome: Outcome,
    ) -> Vec<CoordinatorEffect> {
        let Some(record) = self.records.get_mut(request) else { return Vec::new() };
        record.stage = Stage::Ended;
        self.open.remove(request);
        let holders = other_holders(view, request, &[]);
        record.asked.clone_from(&holders);
        let holders = holders.into_iter().map(|holder| holder.node).collect();
        self.expire_at(now.plus_millis(self.retention_ms), request.clone(), true);
        vec![CoordinatorEffect::End { request: request.clone(), outcome, holders }]
    }

    fn expire_at(&mut self, at: Timestamp, request: RequestId, record: bool) {
        self.next_expiry += 1;
        self.expiry.insert((at, self.next_expiry), (request, record));
    }

    /// This start of this daemon.
    pub fn home(&self) -> &HomeId {
        &self.home
    }

    /// Holds a copy for another home daemon. Returns what this daemon, as holder or as home, held
    /// before from any other home: that home may have run the call.
    pub fn hold(
        &mut self,
        now: Timestamp,
        view: &FleetView,
        copy: RecordCopy,
    ) -> Option<RecordCopy> {
        let request = copy.request.clone();
        if let Some(record) = self.records.get(&request) {
            let state = RecordState::Running { owner: view.node.clone() };
            let (digest, repeat) = (record.digest, record.header.repeat);
            return Some(RecordCopy { request, home: self.home.clone(), digest, repeat, state });
        }
        let before = self.copies.get(&request).map(|held| held.copy.clone());
        let ended = |c: &RecordCopy| !matches!(c.state, RecordState::Running { .. });
        if before.as_ref().is_some_and(|held| ended(held) && !ended(&copy)) {
            return before;
        }
        // What another home may have run stays known until an end takes its place: were it
        // replaced and this reply lost, the next reply would hide that the call may have run.
        let foreign = before.filter(|held| held.home != copy.home);
        if foreign.is_some() && !ended(&copy) {
            return foreign;
        }
        let holders = holders_of_copy(view, &request);
        self.copies.insert(request.clone(), HeldCopy { copy, holders });
        let longest = yokefall_types::limits::MAX_CALL_DEADLINE_MS + self.retention_ms;
        self.expire_at(now.plus_millis(longest), request, false);
        foreign
    }

    /// The copy held of a request.
    pub fn copy_of(&self, request: &RequestId) -> Option<&RecordCopy> {
        self.copies.get(request).map(|held| &held.copy)
    }

    /// Whether this daemon is home of a request.
    pub fn is_home_of(&self, request: &RequestId) -> bool {
        self.records.contains_key(request)
    }

    /// Requests that have not ended.
    pub fn open_requests(&self) -> usize {
        self.open.len()
    }

    /// Records and copies held.
    pub fn held(&self) -> (usize, usize) {
        (self.records.len(), self.copies.len())
    }

    /// Repeats what has paused, ends what is late, forgets what is old.
    pub fn tick(&mut self, now: Timestamp, view: &FleetView) -> Vec<CoordinatorEffect> {
        let mut effects = Vec::new();
        let requests: Vec<RequestId> = self.open.iter().cloned().collect();
        for request in requests {
            let Some(record) = self.records.get(&request) else { continue };
            if record.deadline <= now {
                let refusal = record.refusal(RefusalReason::DeadlineExceeded, "deadline passed");
                effects.extend(self.stop(now, view, &request, refusal));
            } else if matches!(record.stage, Stage::Backoff { until } if until <= now) {
                effects.extend(self.repeat(now, view, &request));
            }
        }
        if self.handover_at.is_some_and(|at| at <= now) {
            self.handover_at = None;
            self.place_all();
        }
        effects.extend(self.place_some(view));
        effects.extend(self.forget(now));
        effects
    }

    /// Runs a repeatable call again, on another owner where there is one.
    fn repeat(
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

    fn forget(&mut self, now: Timestamp) -> Vec<CoordinatorEffect> {
        let mut effects = Vec::new();
        while let Some(entry) = self.expiry.first_entry() {
            if entry.key().0 > now {
                break;
            }
            let (request, is_record) = entry.remove();
            if is_record {
                self.records.remove(&request);
                effects.push(CoordinatorEffect::Forget { request });
            } else {
                self.copies.remove(&request);
            }
        }
        effects
    }
}

fn new_record(now: Timestamp, header: CallHeader, digest: u64, stage: Stage) -> Record {
    let deadline = now.plus_millis(header.deadline_ms);
    Record {
        header,
        digest,
        deadline,
        stage,
        attempt: 0,
        tried: Vec::new(),
        asked: Vec::new(),
        held_by: Vec::new(),
        failed_holders: Vec::new(),
        sent: false,
        started: false,
        earlier_ran: Some(false),
    }
}

/// Whether either of two attempts ran: known only when one is known to have, or both not to have.
fn either_ran(left: Option<bool>, right: Option<bool>) -> Option<bool> {
    match (left, right) {
        (Some(true), _) | (_, Some(true)) => Some(true),
        (Some(false), Some(false)) => Some(false),
        _ => None,
    }
}

/// The daemons besides this one that should hold copies of a record.
fn other_holders(view: &FleetView, request: &RequestId, failed: &[NodeName]) -> Vec<Holder> {
    let holders = record_holders(request, &view.members).into_iter();
    let others = holders.filter(|node| *node != view.node && !failed.contains(node));
    holder_lives(view, others.take(COPIES))
}

/// The daemons besides this one that should hold a record of another home.
fn holders_of_copy(view: &FleetView, request: &RequestId) -> Vec<Holder> {
    let holders = record_holders(request, &view.members).into_iter().take(COPIES + 1);
    holder_lives(view, holders.filter(|node| *node != view.node))
}

fn holder_lives(view: &FleetView, nodes: impl Iterator<Item = NodeName>) -> Vec<Holder> {
    let life = |node: NodeName| {
        let incarnation = view.member(&node)?.incarnation;
        Some(Holder { node, incarnation })
    };
    nodes.filter_map(life).collect()
}

fn running_copy(home: &HomeId, record: &Record, owner: NodeName) -> RecordCopy {
    RecordCopy {
        request: record.header.request.clone(),
        home: home.clone(),
        digest: record.digest,
        repeat: record.header.repeat,
        state: RecordState::Running { owner },
    }
}

fn join(held: u64, given: u64) -> Submission {
    if held == given {
        return Submission::Joined;
    }
    let detail = "request_id: used before with other content";
    Submission::Refused(Refusal::not_run(RefusalReason::Conflict, detail))
}

fn check_limits(view: &FleetView, header: &CallHeader, body_bytes: usize) -> Option<Refusal> {
    let service = header.service_id();
    let invalid = |detail: String| Some(Refusal::not_run(RefusalReason::InvalidArgument, detail));
    let Some(declared) = view.services.get(&service) else {
        let detail = format!("service: {service} is not declared");
        return Some(Refusal::not_run(RefusalReason::UnknownService, detail));
    };
    let most_bytes = declared.spec.max_prompt_bytes as usize;
    if body_bytes > most_bytes {
        return invalid(format!("prompt: {body_bytes} bytes, {service} takes {most_bytes}"));
    }
    if header.max_tokens > declared.spec.max_tokens {
        let most = declared.spec.max_tokens;
        return invalid(format!("max_tokens: {}, {service} gives {most}", header.max_tokens));
    }
    None
}
