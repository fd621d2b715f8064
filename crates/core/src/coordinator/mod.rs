//! The home daemon of online requests: keeps one record per request and one answer per record.
//!
//! The record of a no-repeat call is copied to two other daemons before the call is sent to its
//! owner, and handed over to new holders when the fleet changes. A second call with the same id
//! joins the first.

mod attempts;
mod copies;
mod limits;
mod record;

use std::collections::{BTreeMap, BTreeSet, HashMap};

use rand::rngs::SmallRng;
use rand::SeedableRng;
use yokefall_peer::{HomeId, RecordCopy, RecordState};
use yokefall_types::{CallHeader, NodeName, Outcome, Refusal, RefusalReason, RequestId, ServiceId};

use self::copies::other_holders;
use self::limits::{check_limits, compare_digests};
use self::record::{new_record, HeldCopy, Record, Stage};
use crate::fleet::FleetView;
use crate::router::Router;
use crate::time::Timestamp;

const RETRY_TOKENS_PER_CALL: f64 = 0.2;
const INITIAL_RETRY_TOKENS: f64 = 10.0;
const MAX_RETRY_TOKENS: f64 = 200.0;

/// Result of submitting a call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Submission {
    /// A new record was created.
    Accepted,
    /// A record with the same content exists; its answer is this call's answer.
    Joined,
    /// The call was refused without creating a record.
    Refused(Refusal),
}

/// An action for the caller of [`Coordinator`] to carry out.
#[derive(Clone, Debug)]
pub enum CoordinatorEffect {
    /// Copy the record to another daemon; answered by `copy_held` or `copy_failed`, or by
    /// `handed_over` for a handover.
    Copy {
        /// The holder of the copy.
        to: NodeName,
        /// The copy.
        copy: RecordCopy,
        /// Whether the daemon became a holder through a fleet change.
        handover: bool,
    },
    /// Copy an ended record with its answer to a daemon that became a holder through a fleet
    /// change; answered by `handed_over`.
    CopyEnded {
        /// The request.
        request: RequestId,
        /// The new holder.
        to: NodeName,
    },
    /// Send the call to an owner; answered by `started`, `execution_ended` or `execution_lost`.
    Execute {
        /// The request.
        request: RequestId,
        /// Number of the attempt.
        attempt: u32,
        /// The owner that runs it.
        owner: NodeName,
    },
    /// Follow an execution started by another home daemon; answered like `Execute`.
    Adopt {
        /// The request.
        request: RequestId,
        /// Number of the attempt.
        attempt: u32,
        /// State of the request when the copy was made.
        state: RecordState,
    },
    /// Stop an execution.
    CancelExecution {
        /// The request.
        request: RequestId,
        /// The owner that runs it.
        owner: NodeName,
    },
    /// The request ended: notify the waiting callers and the holders of copies.
    End {
        /// The request.
        request: RequestId,
        /// How it ended.
        outcome: Outcome,
        /// Holders of copies.
        holders: Vec<NodeName>,
    },
    /// The record's retention period is over: discard it.
    Expire {
        /// The request.
        request: RequestId,
    },
}

/// Records of the requests whose home this daemon is, and copies held for other home daemons.
#[derive(Debug)]
pub struct Coordinator {
    home: HomeId,
    records: HashMap<RequestId, Record>,
    open: BTreeSet<RequestId>,
    copies: HashMap<RequestId, HeldCopy>,
    /// Handovers sent but not yet acknowledged.
    handovers: usize,
    handover_retry_at: Option<Timestamp>,
    /// Requests whose holders have to be recomputed after a fleet change.
    pending_placement: BTreeSet<RequestId>,
    /// Digest of the member list for which holders were last recomputed.
    placed_members_digest: u64,
    /// Records (`true`) and copies (`false`) to discard, by time and sequence number.
    expiry: BTreeMap<(Timestamp, u64), (RequestId, bool)>,
    next_expiry: u64,
    retry_tokens: HashMap<ServiceId, f64>,
    router: Router,
    rng: SmallRng,
    retention_ms: u64,
}

impl Coordinator {
    /// The coordinator of one daemon incarnation. Ended records are kept for `retention_ms`.
    pub fn new(home: HomeId, seed: u64, retention_ms: u64) -> Self {
        Self {
            home,
            records: HashMap::new(),
            open: BTreeSet::new(),
            copies: HashMap::new(),
            handovers: 0,
            handover_retry_at: None,
            pending_placement: BTreeSet::new(),
            placed_members_digest: 0,
            expiry: BTreeMap::new(),
            next_expiry: 0,
            retry_tokens: HashMap::new(),
            router: Router::new(seed),
            rng: SmallRng::seed_from_u64(seed.wrapping_add(1)),
            retention_ms,
        }
    }

    /// Accepts, joins or refuses a call from an agent.
    pub fn submit(
        &mut self,
        now: Timestamp,
        view: &FleetView,
        header: CallHeader,
        digest: u64,
        body_bytes: usize,
    ) -> (Submission, Vec<CoordinatorEffect>) {
        if let Some(record) = self.records.get(&header.request) {
            return (compare_digests(record.digest, digest), Vec::new());
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
        let tokens = self.retry_tokens.entry(service).or_insert(INITIAL_RETRY_TOKENS);
        *tokens = (*tokens + RETRY_TOKENS_PER_CALL).min(MAX_RETRY_TOKENS);
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

    /// Takes over as home of a request of which this daemon holds a copy. It follows the execution
    /// that the previous home started, so that the call does not run twice.
    fn adopt_own_copy(
        &mut self,
        now: Timestamp,
        header: CallHeader,
        digest: u64,
        copy: RecordCopy,
    ) -> (Submission, Vec<CoordinatorEffect>) {
        if copy.digest != digest {
            return (compare_digests(copy.digest, digest), Vec::new());
        }
        let request = header.request.clone();
        let mut record = new_record(now, header, digest, Stage::Adopting);
        record.sent = true;
        record.attempt = 1;
        self.insert(record);
        let effect = CoordinatorEffect::Adopt { request, attempt: 1, state: copy.state };
        (Submission::Joined, vec![effect])
    }

    /// Cancels a request. Returns `false` if it is unknown or has already ended.
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
        record.copied_to.clone_from(&holders);
        let holders = holders.into_iter().map(|holder| holder.node).collect();
        self.expire_at(now.plus_millis(self.retention_ms), request.clone(), true);
        vec![CoordinatorEffect::End { request: request.clone(), outcome, holders }]
    }

    fn expire_at(&mut self, at: Timestamp, request: RequestId, is_record: bool) {
        self.next_expiry += 1;
        self.expiry.insert((at, self.next_expiry), (request, is_record));
    }

    /// Name and incarnation of this daemon.
    pub fn home(&self) -> &HomeId {
        &self.home
    }

    /// Whether this daemon is home of a request.
    pub fn is_home_of(&self, request: &RequestId) -> bool {
        self.records.contains_key(request)
    }

    /// Number of requests that have not ended.
    pub fn open_requests(&self) -> usize {
        self.open.len()
    }

    /// Number of records and of copies held.
    pub fn record_counts(&self) -> (usize, usize) {
        (self.records.len(), self.copies.len())
    }

    /// Retries calls after their backoff, ends overdue requests, and hands over or expires records.
    pub fn tick(&mut self, now: Timestamp, view: &FleetView) -> Vec<CoordinatorEffect> {
        let mut effects = Vec::new();
        let requests: Vec<RequestId> = self.open.iter().cloned().collect();
        for request in requests {
            let Some(record) = self.records.get(&request) else { continue };
            if record.deadline <= now {
                let refusal = record.refusal(RefusalReason::DeadlineExceeded, "deadline passed");
                effects.extend(self.stop(now, view, &request, refusal));
            } else if matches!(record.stage, Stage::Backoff { until } if until <= now) {
                effects.extend(self.retry_after_backoff(now, view, &request));
            }
        }
        if self.handover_retry_at.is_some_and(|at| at <= now) {
            self.handover_retry_at = None;
            self.schedule_placement();
        }
        effects.extend(self.place_next(view));
        effects.extend(self.remove_expired(now));
        effects
    }

    fn remove_expired(&mut self, now: Timestamp) -> Vec<CoordinatorEffect> {
        let mut effects = Vec::new();
        while let Some(entry) = self.expiry.first_entry() {
            if entry.key().0 > now {
                break;
            }
            let (request, is_record) = entry.remove();
            if is_record {
                self.records.remove(&request);
                effects.push(CoordinatorEffect::Expire { request });
            } else {
                self.copies.remove(&request);
            }
        }
        effects
    }
}
