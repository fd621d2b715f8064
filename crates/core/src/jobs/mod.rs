//! The job store's state: jobs, item leases, attempts and outcomes.
//!
//! Every method that changes what must last returns the records to be made durable. The shell
//! sends no reply before those records are on disk; a store that cannot write stops.

mod ends;
mod leases;
mod record;

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};

use yokefall_peer::{JobHeader, LeaseToken};
use yokefall_types::{ItemOutcome, JobId, JobProgress, JobState, ServiceId};

pub use self::record::{Acceptance, Decision, JobNumber, JobRecord, LeaseGrant};
use crate::time::Timestamp;

/// Time for which a lease holds unless extended, in milliseconds.
pub const LEASE_MS: u64 = 10_000;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Item {
    Waiting,
    Leased {
        token: LeaseToken,
        until: Timestamp,
    },
    /// `until` is when its holder is given up; its answer is taken all the same.
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
    attempts: HashMap<u32, u32>,
    failures: HashMap<u32, u8>,
    waiting: VecDeque<u32>,
    open: u32,
}

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Order {
    priority: Reverse<u32>,
    deadline: Timestamp,
    number: JobNumber,
}

/// Jobs held by one data daemon.
///
/// Invariants: an item ends once; a no-repeat item has at most one start mark that was not taken
/// back by proof, and is not leased while it has one.
#[derive(Debug)]
pub struct JobStore {
    epoch: u64,
    next_number: JobNumber,
    jobs: BTreeMap<JobNumber, Job>,
    numbers: HashMap<JobId, JobNumber>,
    /// Jobs with waiting items, by service.
    ready: HashMap<ServiceId, BTreeSet<Order>>,
    lapses: BTreeSet<(Timestamp, JobNumber, u32)>,
    /// Services whose waiting items nobody has been told of.
    untold: BTreeSet<ServiceId>,
    deadlines: BTreeSet<(Timestamp, JobNumber)>,
    /// Completions that came after the item had ended, dropped.
    pub dropped_completions: u64,
}

impl JobStore {
    /// An empty store. `epoch` must be greater than that of every earlier start of this store.
    pub fn new(epoch: u64) -> Self {
        Self {
            epoch,
            next_number: 1,
            jobs: BTreeMap::new(),
            numbers: HashMap::new(),
            ready: HashMap::new(),
            lapses: BTreeSet::new(),
            untold: BTreeSet::new(),
            deadlines: BTreeSet::new(),
            dropped_completions: 0,
        }
    }

    /// Replays one durable record at start. `now` and `unix_ms` are the same moment on both clocks.
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
                // The holder may still run and extend.
                let until = now.plus_millis(LEASE_MS);
                self.set_item(number, index, Item::Started { token, until });
                self.lapses.insert((until, number, index));
            }
            JobRecord::NotStarted { number, index } => {
                self.set_item(number, index, Item::Waiting);
            }
            JobRecord::Ended { number, result } => {
                self.set_item(number, result.index, Item::Ended(result.outcome));
            }
        }
    }

    /// Ends recovery: rebuilds what follows from the items' states.
    pub fn recovered(&mut self) {
        let numbers: Vec<JobNumber> = self.jobs.keys().copied().collect();
        for number in numbers {
            let Some(job) = self.jobs.get_mut(&number) else { continue };
            let waiting = |(_, item): &(usize, &Item)| **item == Item::Waiting;
            job.waiting =
                job.items.iter().enumerate().filter(waiting).map(|(i, _)| i as u32).collect();
            job.open = job.items.iter().filter(|i| !matches!(i, Item::Ended(_))).count() as u32;
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
            open: items,
        };
        self.jobs.insert(number, job);
        self.refresh_ready(number);
    }

    /// Accepts an uploaded job, or joins the one with the same key.
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

    /// The number under which a job's results are stored, and its count of items.
    pub fn number_of(&self, id: &JobId) -> Option<(JobNumber, u32)> {
        self.job(id).map(|job| (job.number, job.items.len() as u32))
    }

    /// Progress of a job.
    pub fn progress(&self, id: &JobId) -> Option<JobProgress> {
        let job = self.job(id)?;
        let count = |wanted: &dyn Fn(&Item) -> bool| job.items.iter().filter(|i| wanted(i)).count();
        let ended = |outcome: ItemOutcome| count(&|item| *item == Item::Ended(outcome)) as u32;
        let running = |item: &Item| matches!(item, Item::Leased { .. } | Item::Started { .. });
        let state = match (job.open, job.cancelled) {
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

    /// Takes back lapsed leases and ends jobs past their deadline.
    pub fn tick(&mut self, now: Timestamp) -> Vec<JobRecord> {
        let mut records = Vec::new();
        while let Some((until, number, index)) = self.lapses.first().copied() {
            if until > now {
                break;
            }
            self.lapses.pop_first();
            self.lapse(now, number, index, &mut records);
        }
        while let Some((deadline, number)) = self.deadlines.first().copied() {
            if deadline > now {
                break;
            }
            self.deadlines.pop_first();
            self.end_late(number, &mut records);
        }
        records
    }

    fn refresh_ready(&mut self, number: JobNumber) {
        let Some(job) = self.jobs.get(&number) else { return };
        let service =
            ServiceId { partner: job.header.job.partner.clone(), name: job.header.service.clone() };
        let order =
            Order { priority: Reverse(job.header.priority), deadline: job.deadline, number };
        let orders = self.ready.entry(service.clone()).or_default();
        if job.waiting.is_empty() || job.cancelled {
            orders.remove(&order);
            return;
        }
        if orders.is_empty() {
            self.untold.insert(service);
        }
        orders.insert(order);
    }

    /// Services that had no waiting items, and have some now, since the last call.
    pub fn take_newly_ready(&mut self) -> Vec<ServiceId> {
        std::mem::take(&mut self.untold).into_iter().collect()
    }

    /// Jobs held, and items that have not ended.
    pub fn size(&self) -> (usize, u64) {
        (self.jobs.len(), self.jobs.values().map(|job| u64::from(job.open)).sum())
    }
}
