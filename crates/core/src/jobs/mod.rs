//! The job store's state: jobs, item leases, attempts and outcomes.
//!
//! Every method that changes durable state returns the records to persist. The caller sends no
//! reply before those records are on disk, and stops if it cannot write them.

mod ends;
mod leases;
mod record;

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};

use yokefall_peer::{JobHeader, LeaseToken};
use yokefall_types::{ItemOutcome, JobId, JobProgress, JobState, ServiceId};

pub use self::record::{Acceptance, Decision, JobNumber, JobRecord, LeaseGrant};
use crate::time::Timestamp;

/// Duration of a lease unless it is extended, in milliseconds.
pub const LEASE_MS: u64 = 10_000;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Item {
    Waiting,
    Leased {
        token: LeaseToken,
        until: Timestamp,
    },
    /// The lease expires at `until`; an answer is accepted after that, too.
    Started {
        token: LeaseToken,
        until: Timestamp,
    },
    Ended(ItemOutcome),
}

#[derive(Clone, Debug)]
struct Job {
    number: JobNumber,
    upload: u64,
    header: JobHeader,
    digest: u64,
    deadline: Timestamp,
    cancelled: bool,
    items: Vec<Item>,
    /// Number of leases granted in this epoch, by index of items that have not ended.
    attempts: HashMap<u32, u32>,
    /// Number of failures, by index of items that have not ended.
    failures: HashMap<u32, u8>,
    waiting: VecDeque<u32>,
    open_items: u32,
}

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct ReadyKey {
    priority: Reverse<u32>,
    deadline: Timestamp,
    number: JobNumber,
}

/// Jobs held by one data daemon.
///
/// Invariants: an item ends once. A no-repeat item has at most one start mark, unless the item of
/// the earlier mark was proven not sent, and is not leased while it has one.
#[derive(Debug)]
pub struct JobStore {
    epoch: u64,
    next_number: JobNumber,
    jobs: BTreeMap<JobNumber, Job>,
    numbers: HashMap<JobId, JobNumber>,
    /// Jobs with waiting items, by service.
    ready: HashMap<ServiceId, BTreeSet<ReadyKey>>,
    lease_expiries: BTreeSet<(Timestamp, JobNumber, u32)>,
    /// Services with new waiting items that have not been announced yet.
    newly_ready: BTreeSet<ServiceId>,
    deadlines: BTreeSet<(Timestamp, JobNumber)>,
    /// Number of completions that were not accepted, mostly because the item had already ended.
    pub dropped_completions: u64,
}

impl JobStore {
    /// Creates an empty store. `epoch` must exceed that of every earlier incarnation.
    pub fn new(epoch: u64) -> Self {
        Self {
            epoch,
            next_number: 1,
            jobs: BTreeMap::new(),
            numbers: HashMap::new(),
            ready: HashMap::new(),
            lease_expiries: BTreeSet::new(),
            newly_ready: BTreeSet::new(),
            deadlines: BTreeSet::new(),
            dropped_completions: 0,
        }
    }

    /// Replays a durable record. `now` and `unix_ms` are one instant on monotonic and wall clock.
    pub fn recover(&mut self, now: Timestamp, unix_ms: u64, record: JobRecord) {
        match record {
            JobRecord::Accepted { number, upload, header, digest, items, accepted_unix_ms } => {
                let ends_unix_ms = accepted_unix_ms.saturating_add(header.deadline_ms);
                let deadline = now.plus_millis(ends_unix_ms.saturating_sub(unix_ms));
                self.next_number = self.next_number.max(number + 1);
                self.insert(number, upload, header, digest, items, deadline);
            }
            JobRecord::Cancelled { number } => {
                if let Some(job) = self.jobs.get_mut(&number) {
                    job.cancelled = true;
                }
            }
            JobRecord::Started { number, index, token } => {
                // The holder may still be running the item and extend its lease.
                let until = now.plus_millis(LEASE_MS);
                self.set_item(number, index, Item::Started { token, until });
                self.lease_expiries.insert((until, number, index));
            }
            JobRecord::NotStarted { number, index } => {
                self.set_item(number, index, Item::Waiting);
            }
            JobRecord::Ended { number, result } => {
                self.set_item(number, result.index, Item::Ended(result.outcome));
            }
        }
    }

    /// Ends recovery: rebuilds the state derived from the items.
    pub fn recovered(&mut self) {
        let numbers: Vec<JobNumber> = self.jobs.keys().copied().collect();
        for number in numbers {
            let Some(job) = self.jobs.get_mut(&number) else { continue };
            let waiting = |(_, item): &(usize, &Item)| **item == Item::Waiting;
            job.waiting =
                job.items.iter().enumerate().filter(waiting).map(|(i, _)| i as u32).collect();
            job.open_items =
                job.items.iter().filter(|i| !matches!(i, Item::Ended(_))).count() as u32;
            self.refresh_ready(number);
        }
    }

    fn set_item(&mut self, number: JobNumber, index: u32, state: Item) {
        if let Some(item) = self.jobs.get_mut(&number).and_then(|j| j.items.get_mut(index as usize))
        {
            *item = state;
        }
    }

    fn insert(
        &mut self,
        number: JobNumber,
        upload: u64,
        header: JobHeader,
        digest: u64,
        items: u32,
        deadline: Timestamp,
    ) {
        self.numbers.insert(header.job.clone(), number);
        self.deadlines.insert((deadline, number));
        let job = Job {
            number,
            upload,
            header,
            digest,
            deadline,
            cancelled: false,
            items: vec![Item::Waiting; items as usize],
            attempts: HashMap::new(),
            failures: HashMap::new(),
            waiting: (0..items).collect(),
            open_items: items,
        };
        self.jobs.insert(number, job);
        self.refresh_ready(number);
    }

    /// Accepts an uploaded job, or joins the job with the same key.
    pub fn accept(
        &mut self,
        now: Timestamp,
        unix_ms: u64,
        header: JobHeader,
        digest: u64,
        items: u32,
        upload: u64,
    ) -> Decision<Acceptance> {
        if let Some(job) = self.job(&header.job) {
            let accepted = job.items.len() as u32;
            let same = job.digest == digest;
            let reply = if same { Acceptance::Joined { accepted } } else { Acceptance::Conflict };
            return Decision { reply, records: Vec::new() };
        }
        let number = self.next_number;
        self.next_number += 1;
        let deadline = now.plus_millis(header.deadline_ms);
        self.insert(number, upload, header.clone(), digest, items, deadline);
        let record = JobRecord::Accepted {
            number,
            upload,
            header,
            digest,
            items,
            accepted_unix_ms: unix_ms,
        };
        Decision { reply: Acceptance::New { accepted: items }, records: vec![record] }
    }

    fn job(&self, id: &JobId) -> Option<&Job> {
        self.jobs.get(self.numbers.get(id)?)
    }

    /// The number under which a job's results are stored, and its number of items.
    pub fn number_of(&self, id: &JobId) -> Option<(JobNumber, u32)> {
        self.job(id).map(|job| (job.number, job.items.len() as u32))
    }

    /// Progress of a job.
    pub fn progress(&self, id: &JobId) -> Option<JobProgress> {
        let job = self.job(id)?;
        let count = |wanted: &dyn Fn(&Item) -> bool| job.items.iter().filter(|i| wanted(i)).count();
        let ended = |outcome: ItemOutcome| count(&|item| *item == Item::Ended(outcome)) as u32;
        let running = |item: &Item| matches!(item, Item::Leased { .. } | Item::Started { .. });
        let state = match (job.open_items, job.cancelled) {
            (0, true) => JobState::Cancelled,
            (0, false) => JobState::Ended,
            _ => JobState::Running,
        };
        Some(JobProgress {
            state,
            accepted: job.items.len() as u32,
            running: count(&running) as u32,
            completed: ended(ItemOutcome::Completed),
            failed: ended(ItemOutcome::Failed) + ended(ItemOutcome::DeadlineExceeded),
            cancelled: ended(ItemOutcome::Cancelled),
            unknown: ended(ItemOutcome::OutcomeUnknown),
        })
    }

    /// Handles expired leases and ends jobs past their deadline.
    pub fn tick(&mut self, now: Timestamp) -> Vec<JobRecord> {
        let mut records = Vec::new();
        while let Some((until, number, index)) = self.lease_expiries.first().copied() {
            if until > now {
                break;
            }
            self.lease_expiries.pop_first();
            self.expire_lease(now, number, index, &mut records);
        }
        while let Some((deadline, number)) = self.deadlines.first().copied() {
            if deadline > now {
                break;
            }
            self.deadlines.pop_first();
            self.end_past_deadline(number, &mut records);
        }
        records
    }

    fn refresh_ready(&mut self, number: JobNumber) {
        let Some(job) = self.jobs.get(&number) else { return };
        let service =
            ServiceId { partner: job.header.job.partner.clone(), name: job.header.service.clone() };
        let key =
            ReadyKey { priority: Reverse(job.header.priority), deadline: job.deadline, number };
        let ready_jobs = self.ready.entry(service.clone()).or_default();
        if job.waiting.is_empty() || job.cancelled {
            ready_jobs.remove(&key);
            return;
        }
        if ready_jobs.is_empty() {
            self.newly_ready.insert(service);
        }
        ready_jobs.insert(key);
    }

    /// Takes the services whose waiting items became non-empty since the last call.
    pub fn take_newly_ready(&mut self) -> Vec<ServiceId> {
        std::mem::take(&mut self.newly_ready).into_iter().collect()
    }

    /// Number of jobs, and of items that have not ended.
    pub fn size(&self) -> (usize, u64) {
        (self.jobs.len(), self.jobs.values().map(|job| u64::from(job.open_items)).sum())
    }
}
