//! The job store's state: jobs, item leases, attempts and outcomes.
//!
//! Every method that changes what must last returns the records to be made durable. The shell
//! sends no reply before those records are on disk; a store that cannot write stops.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};

use borsh::{BorshDeserialize, BorshSerialize};
use yokefall_peer::{
    CompletedItem, JobHeader, LeaseToken, LeasedItemRef, ReturnCause, ReturnedItem,
};
use yokefall_types::{
    ItemOutcome, ItemResult, JobId, JobProgress, JobState, RepeatPolicy, ServiceId,
};

use crate::time::Timestamp;

/// Time for which a lease holds unless extended, in milliseconds.
pub const LEASE_MS: u64 = 10_000;
/// Failed executions after which a repeatable item ends as failed.
const MAX_FAILURES: u8 = 8;

/// A job's number within its store.
pub type JobNumber = u64;

/// What must last.
#[derive(Clone, Debug, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub enum JobRecord {
    /// A job was accepted.
    Accepted {
        /// Number of the job.
        number: JobNumber,
        /// Upload under which the bodies of its items are stored.
        upload: u64,
        /// Header.
        header: JobHeader,
        /// Digest over the header and the bodies.
        digest: u64,
        /// Number of items.
        items: u32,
        /// Time of acceptance, milliseconds since 1970.
        accepted_unix_ms: u64,
    },
    /// A job was cancelled.
    Cancelled {
        /// Number of the job.
        number: JobNumber,
    },
    /// A no-repeat item may be sent to a back end from now on.
    Started {
        /// Number of the job.
        number: JobNumber,
        /// Position within the job.
        index: u32,
        /// Lease under which it starts.
        token: LeaseToken,
    },
    /// A started item was proven not to have been sent.
    NotStarted {
        /// Number of the job.
        number: JobNumber,
        /// Position within the job.
        index: u32,
    },
    /// An item ended.
    Ended {
        /// Number of the job.
        number: JobNumber,
        /// Its result.
        result: ItemResult,
    },
}

/// A reply that may be sent once the records are durable.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Decision<T> {
    /// The reply.
    pub reply: T,
    /// What must be durable first.
    pub records: Vec<JobRecord>,
}

/// Answer to a submission.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Acceptance {
    /// A new job.
    New {
        /// Items accepted.
        accepted: u32,
    },
    /// The job existed with the same content; the upload is to be discarded.
    Joined {
        /// Items accepted then.
        accepted: u32,
    },
    /// The key was used with other content; the upload is to be discarded.
    Conflict,
}

/// An item leased to a holder; its body is stored under `upload` and the item's index.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LeaseGrant {
    /// The item and its lease.
    pub item: LeasedItemRef,
    /// Upload under which its body is stored.
    pub upload: u64,
    /// Header of its job.
    pub header: JobHeader,
    /// Milliseconds until the job's deadline.
    pub deadline_ms: u64,
}

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

    /// Leases waiting items of a service: by the job's priority, then its deadline.
    pub fn lease(&mut self, now: Timestamp, service: &ServiceId, most: u32) -> Vec<LeaseGrant> {
        let mut grants = Vec::new();
        while (grants.len() as u32) < most {
            let first = self.ready.get(service).and_then(|orders| orders.first());
            let Some(number) = first.map(|order| order.number) else { break };
            match self.lease_one(now, number) {
                Some(grant) => grants.push(grant),
                None => self.refresh_ready(number),
            }
        }
        grants
    }

    fn lease_one(&mut self, now: Timestamp, number: JobNumber) -> Option<LeaseGrant> {
        let epoch = self.epoch;
        let job = self.jobs.get_mut(&number)?;
        let index = job.waiting.pop_front()?;
        let attempt = job.attempts.entry(index).or_insert(0);
        *attempt += 1;
        let token = LeaseToken { epoch, attempt: *attempt };
        let until = now.plus_millis(LEASE_MS);
        job.items[index as usize] = Item::Leased { token, until };
        let grant = LeaseGrant {
            item: LeasedItemRef { job: job.header.job.clone(), index, token },
            upload: job.upload,
            header: job.header.clone(),
            deadline_ms: job.deadline.millis_since(now),
        };
        let exhausted = job.waiting.is_empty();
        self.lapses.insert((until, number, index));
        if exhausted {
            self.refresh_ready(number);
        }
        Some(grant)
    }

    /// Marks no-repeat items as started where their lease still holds. The same order again is
    /// granted again: its holder starts an item once.
    pub fn start(
        &mut self,
        now: Timestamp,
        items: Vec<LeasedItemRef>,
    ) -> Decision<Vec<LeasedItemRef>> {
        let mut granted = Vec::new();
        let mut records = Vec::new();
        for item in items {
            let Some(number) = self.numbers.get(&item.job).copied() else { continue };
            let Some(job) = self.jobs.get_mut(&number).filter(|job| !job.cancelled) else {
                continue;
            };
            let Some(state) = job.items.get_mut(item.index as usize) else { continue };
            match *state {
                Item::Leased { token, until } if token == item.token && until > now => {
                    *state = Item::Started { token, until };
                    records.push(JobRecord::Started { number, index: item.index, token });
                    granted.push(item);
                }
                Item::Started { token, .. } if token == item.token => granted.push(item),
                _ => {}
            }
        }
        Decision { reply: granted, records }
    }

    /// Extends leases that hold. Items not granted must stop.
    pub fn extend(&mut self, now: Timestamp, items: Vec<LeasedItemRef>) -> Vec<LeasedItemRef> {
        items.into_iter().filter(|item| self.extend_one(now, item)).collect()
    }

    fn extend_one(&mut self, now: Timestamp, item: &LeasedItemRef) -> bool {
        let Some(number) = self.numbers.get(&item.job).copied() else { return false };
        let Some(job) = self.jobs.get_mut(&number).filter(|job| !job.cancelled) else {
            return false;
        };
        match job.items.get_mut(item.index as usize) {
            Some(Item::Leased { token, until } | Item::Started { token, until })
                if *token == item.token =>
            {
                self.lapses.remove(&(*until, number, item.index));
                *until = now.plus_millis(LEASE_MS);
                self.lapses.insert((*until, number, item.index));
                true
            }
            _ => false,
        }
    }

    /// Takes back items that did not complete.
    pub fn give_back(&mut self, items: Vec<ReturnedItem>) -> Decision<()> {
        let mut records = Vec::new();
        for returned in items {
            let item = &returned.item;
            let Some(number) = self.numbers.get(&item.job).copied() else { continue };
            let Some(job) = self.jobs.get(&number) else { continue };
            let state = job.items.get(item.index as usize).copied();
            match (state, returned.cause) {
                (Some(Item::Leased { token, until }), cause) if token == item.token => {
                    self.lapses.remove(&(until, number, item.index));
                    self.wait_again(number, item.index, cause, &mut records);
                }
                (Some(Item::Started { token, until }), cause @ ReturnCause::NotSent(_))
                    if token == item.token =>
                {
                    self.lapses.remove(&(until, number, item.index));
                    records.push(JobRecord::NotStarted { number, index: item.index });
                    self.wait_again(number, item.index, cause, &mut records);
                }
                _ => {}
            }
        }
        Decision { reply: (), records }
    }

    /// Puts an item back in the queue, or ends it where the job was cancelled or it failed too
    /// often.
    fn wait_again(
        &mut self,
        number: JobNumber,
        index: u32,
        cause: ReturnCause,
        records: &mut Vec<JobRecord>,
    ) {
        let Some(job) = self.jobs.get_mut(&number) else { return };
        if job.cancelled {
            self.end_item(number, index, ItemOutcome::Cancelled, Vec::new(), records);
            return;
        }
        if let ReturnCause::Failed(detail) | ReturnCause::NotSent(detail) = cause {
            let failures = job.failures.entry(index).or_insert(0);
            *failures += 1;
            if *failures >= MAX_FAILURES {
                self.end_item(number, index, ItemOutcome::Failed, detail.into_bytes(), records);
                return;
            }
        }
        job.items[index as usize] = Item::Waiting;
        job.waiting.push_back(index);
        self.refresh_ready(number);
    }

    /// Takes results. The first completion of an item wins; later ones are dropped and counted.
    pub fn complete(&mut self, items: Vec<CompletedItem>) -> Decision<()> {
        let mut records = Vec::new();
        for completed in items {
            if !self.complete_one(completed, &mut records) {
                self.dropped_completions += 1;
            }
        }
        Decision { reply: (), records }
    }

    fn complete_one(&mut self, completed: CompletedItem, records: &mut Vec<JobRecord>) -> bool {
        let item = completed.item;
        let Some(number) = self.numbers.get(&item.job).copied() else { return false };
        let Some(job) = self.jobs.get(&number) else { return false };
        let no_repeat = job.header.repeat == RepeatPolicy::Forbidden;
        let accepted = match job.items.get(item.index as usize) {
            None | Some(Item::Ended(_)) => false,
            Some(Item::Started { token, .. }) => *token == item.token,
            Some(_) => !no_repeat,
        };
        if !accepted {
            return false;
        }
        let result = ItemResult {
            index: item.index,
            attempt: item.token.attempt,
            outcome: completed.result.outcome,
            body: completed.result.body,
        };
        self.end_with(number, result, records);
        true
    }

    fn end_item(
        &mut self,
        number: JobNumber,
        index: u32,
        outcome: ItemOutcome,
        body: Vec<u8>,
        records: &mut Vec<JobRecord>,
    ) {
        let attempts = self.jobs.get(&number).and_then(|job| job.attempts.get(&index));
        let attempt = attempts.copied().unwrap_or(0);
        self.end_with(number, ItemResult { index, outcome, attempt, body }, records);
    }

    fn end_with(&mut self, number: JobNumber, result: ItemResult, records: &mut Vec<JobRecord>) {
        let Some(job) = self.jobs.get_mut(&number) else { return };
        let index = result.index;
        match job.items[index as usize] {
            Item::Ended(_) => return,
            Item::Leased { until, .. } | Item::Started { until, .. } => {
                self.lapses.remove(&(until, number, index));
            }
            Item::Waiting => job.waiting.retain(|waiting| *waiting != index),
        }
        job.items[index as usize] = Item::Ended(result.outcome);
        job.open -= 1;
        job.attempts.remove(&index);
        job.failures.remove(&index);
        records.push(JobRecord::Ended { number, result });
        self.refresh_ready(number);
    }

    /// Cancels a job: what is not started ends at once; what is started ends when its holder
    /// reports, or is given up.
    pub fn cancel(&mut self, now: Timestamp, id: &JobId) -> Decision<Option<JobProgress>> {
        let mut records = Vec::new();
        let Some(number) = self.numbers.get(id).copied() else {
            return Decision { reply: None, records };
        };
        if let Some(job) = self.jobs.get_mut(&number).filter(|j| !j.cancelled && j.open > 0) {
            job.cancelled = true;
            job.waiting.clear();
            records.push(JobRecord::Cancelled { number });
            self.end_unstarted(number, ItemOutcome::Cancelled, &mut records);
            self.end_given_up(now, number, &mut records);
        }
        Decision { reply: self.progress(id), records }
    }

    fn end_unstarted(
        &mut self,
        number: JobNumber,
        outcome: ItemOutcome,
        records: &mut Vec<JobRecord>,
    ) {
        let Some(job) = self.jobs.get(&number) else { return };
        let unstarted = |item: &Item| matches!(item, Item::Waiting | Item::Leased { .. });
        let indexes: Vec<u32> =
            (0..job.items.len() as u32).filter(|i| unstarted(&job.items[*i as usize])).collect();
        for index in indexes {
            self.end_item(number, index, outcome, Vec::new(), records);
        }
    }

    /// Ends the started items of a cancelled job whose holder is given up: nobody waits for their
    /// answer any more.
    fn end_given_up(&mut self, now: Timestamp, number: JobNumber, records: &mut Vec<JobRecord>) {
        let Some(job) = self.jobs.get(&number) else { return };
        let given_up = |item: &Item| matches!(item, Item::Started { until, .. } if *until <= now);
        let indexes: Vec<u32> =
            (0..job.items.len() as u32).filter(|i| given_up(&job.items[*i as usize])).collect();
        for index in indexes {
            self.end_item(number, index, ItemOutcome::OutcomeUnknown, Vec::new(), records);
        }
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

    /// A lease lapsed. An item that was not started waits again; one that was is never sent again,
    /// and its answer is taken until the deadline unless its job was cancelled.
    fn lapse(
        &mut self,
        now: Timestamp,
        number: JobNumber,
        index: u32,
        records: &mut Vec<JobRecord>,
    ) {
        let Some(job) = self.jobs.get(&number) else { return };
        match job.items[index as usize] {
            Item::Leased { .. } => {
                self.wait_again(number, index, ReturnCause::Yielded, records);
            }
            Item::Started { .. } if job.cancelled => self.end_given_up(now, number, records),
            _ => {}
        }
    }

    fn end_late(&mut self, number: JobNumber, records: &mut Vec<JobRecord>) {
        let Some(job) = self.jobs.get_mut(&number) else { return };
        job.waiting.clear();
        let outcome =
            if job.cancelled { ItemOutcome::Cancelled } else { ItemOutcome::DeadlineExceeded };
        self.end_unstarted(number, outcome, records);
        let Some(job) = self.jobs.get(&number) else { return };
        let started = |i: &u32| matches!(job.items[*i as usize], Item::Started { .. });
        let indexes: Vec<u32> = (0..job.items.len() as u32).filter(started).collect();
        for index in indexes {
            self.end_item(number, index, ItemOutcome::OutcomeUnknown, Vec::new(), records);
        }
    }

    fn refresh_ready(&mut self, number: JobNumber) {
        let Some(job) = self.jobs.get(&number) else { return };
        let service =
            ServiceId { partner: job.header.job.partner.clone(), name: job.header.service.clone() };
        let order =
            Order { priority: Reverse(job.header.priority), deadline: job.deadline, number };
        let orders = self.ready.entry(service).or_default();
        if job.waiting.is_empty() || job.cancelled {
            orders.remove(&order);
        } else {
            orders.insert(order);
        }
    }

    /// Jobs held, and items that have not ended.
    pub fn size(&self) -> (usize, u64) {
        (self.jobs.len(), self.jobs.values().map(|job| u64::from(job.open)).sum())
    }
}
