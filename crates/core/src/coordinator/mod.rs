//! The home daemon of online requests: one record a request, one answer a record.
//!
//! A record is copied to two more daemons before a no-repeat call leaves for its owner, and again
//! to others when the fleet changes; a second call with the same id joins the first.

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
use self::limits::{check_limits, join};
use self::record::{new_record, HeldCopy, Record, Stage};
use crate::fleet::FleetView;
use crate::router::Router;
use crate::time::Timestamp;

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
