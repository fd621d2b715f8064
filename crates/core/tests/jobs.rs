//! Checks the job store against a simple model: each item ends once, across crashes and resends.

mod support;

use std::collections::{HashMap, HashSet};

use quickcheck::{Gen, QuickCheck};
use support::{service, PARTNER, SERVICE};
use yokefall_core::jobs::{Acceptance, JobRecord, JobStore, LEASE_MS};
use yokefall_core::Timestamp;
use yokefall_peer::{CompletedItem, JobHeader, LeasedItemRef, ReturnCause, ReturnedItem};
use yokefall_types::{
    ItemOutcome, ItemResult, JobId, JobState, PartnerName, RepeatPolicy, ServiceName, TenantName,
};

const SEED: u64 = 47;
const ITEMS: u32 = 4;
const DEADLINE_MS: u64 = 200_000;

fn job(key: &str) -> JobId {
    JobId { partner: PartnerName::new(PARTNER), tenant: TenantName::new("tenant"), key: key.into() }
}

fn job_header(key: &str, repeat: RepeatPolicy) -> JobHeader {
    JobHeader {
        job: job(key),
        service: ServiceName::new(SERVICE),
        priority: 0,
        repeat,
        deadline_ms: DEADLINE_MS,
        max_tokens: 8,
    }
}

fn result(index: u32, outcome: ItemOutcome) -> ItemResult {
    ItemResult { index, outcome, attempt: 0, body: Vec::new() }
}

/// A job store with its durable records, and the leases whose messages may still arrive.
struct Simulation {
    store: JobStore,
    disk: Vec<JobRecord>,
    epoch: u64,
    now: Timestamp,
    /// All leases ever granted; a paused holder may still use any of them.
    leases: Vec<LeasedItemRef>,
    /// Number of times each no-repeat item was sent to a back end, counted by granted start marks.
    sent: HashMap<(JobId, u32), u32>,
    ended: HashSet<(u64, u32)>,
}

impl Simulation {
    fn new() -> Self {
        let mut simulation = Self {
            store: JobStore::new(1),
            disk: Vec::new(),
            epoch: 1,
            now: Timestamp(1),
            leases: Vec::new(),
            sent: HashMap::new(),
            ended: HashSet::new(),
        };
        for (key, repeat) in [("once", RepeatPolicy::Forbidden), ("any", RepeatPolicy::Allowed)] {
            let header = job_header(key, repeat);
            let decision = simulation.store.accept(simulation.now, 1, header, 1, ITEMS, 1);
            simulation.write(decision.records);
        }
        simulation
    }

    /// Persists records, and checks that no item ends twice.
    fn write(&mut self, records: Vec<JobRecord>) {
        for record in &records {
            if let JobRecord::Ended { number, result } = record {
                assert!(self.ended.insert((*number, result.index)), "an item ended twice");
            }
        }
        self.disk.extend(records);
    }

    /// A crash and a restart: only persisted records remain.
    fn restart(&mut self) {
        self.epoch += 1;
        let mut store = JobStore::new(self.epoch);
        for record in self.disk.clone() {
            store.recover(self.now, self.now.0, record);
        }
        store.recovered();
        self.store = store;
    }

    /// A lease chosen among all leases ever granted.
    fn pick(&self, choice: u8) -> Option<LeasedItemRef> {
        let length = self.leases.len().max(1);
        self.leases.get(choice as usize % length).cloned()
    }

    fn step(&mut self, kind: u8, choice: u8) {
        match kind % 8 {
            0 => {
                let grants = self.store.lease(self.now, &service(), 1 + u32::from(choice % 3));
                self.leases.extend(grants.into_iter().map(|grant| grant.item));
            }
            1 => self.start(choice),
            2 => self.complete(choice),
            3 => self.return_items(choice, ReturnCause::Preempted),
            4 => self.return_items(choice, ReturnCause::Failed("failed".to_owned())),
            5 => {
                self.now = self.now.plus_millis(u64::from(choice) * LEASE_MS / 100);
                let records = self.store.tick(self.now);
                self.write(records);
            }
            6 if choice % 4 == 0 => self.restart(),
            7 if choice % 16 == 0 => {
                let decision = self.store.cancel(self.now, &job("once"));
                self.write(decision.records);
            }
            _ => {
                let requested = self.pick(choice).into_iter().collect();
                self.store.extend(self.now, requested);
            }
        }
    }

    /// A holder requests a start mark and sends the item once the mark is granted. Resends of the
    /// same request are granted again but do not send the item again.
    fn start(&mut self, choice: u8) {
        let Some(item) = self.pick(choice).filter(|item| item.job == job("once")) else { return };
        let decision = self.store.start(self.now, vec![item.clone()]);
        let newly_started = !decision.records.is_empty();
        self.write(decision.records);
        if newly_started {
            let sent = self.sent.entry((item.job, item.index)).or_default();
            *sent += 1;
            assert!(*sent <= 1, "a no-repeat item was sent twice");
        }
    }

    fn complete(&mut self, choice: u8) {
        let Some(item) = self.pick(choice) else { return };
        if item.job == job("once") && !self.sent.contains_key(&(item.job.clone(), item.index)) {
            return;
        }
        let result = result(item.index, ItemOutcome::Completed);
        let decision = self.store.complete(vec![CompletedItem { item, result }]);
        self.write(decision.records);
    }

    fn return_items(&mut self, choice: u8, cause: ReturnCause) {
        let Some(item) = self.pick(choice) else { return };
        let decision = self.store.return_items(vec![ReturnedItem { item, cause }]);
        self.write(decision.records);
    }

    /// After the deadline, every item of every job has ended.
    fn finish(&mut self) {
        self.now = self.now.plus_millis(DEADLINE_MS + 1);
        let records = self.store.tick(self.now);
        self.write(records);
        for key in ["once", "any"] {
            let progress = self.store.progress(&job(key)).expect("the job is held");
            assert_ne!(progress.state, JobState::Running);
            let ends = progress.completed + progress.failed + progress.cancelled + progress.unknown;
            assert_eq!(ends, ITEMS);
        }
    }
}

fn every_item_ends_once(steps: Vec<(u8, u8)>) -> bool {
    let mut simulation = Simulation::new();
    for (kind, choice) in steps {
        simulation.step(kind, choice);
    }
    simulation.finish();
    true
}

#[test]
fn items_end_once_and_no_repeat_items_are_sent_once() {
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(150, SEED))
        .tests(2_000)
        .quickcheck(every_item_ends_once as fn(Vec<(u8, u8)>) -> bool);
}

#[test]
fn a_lease_from_before_a_restart_gets_no_start_mark() {
    let mut simulation = Simulation::new();
    let grants = simulation.store.lease(simulation.now, &service(), 2 * ITEMS);
    let item = grants.into_iter().map(|grant| grant.item).find(|item| item.job == job("once"));
    let item = item.expect("an item of the job is leased");
    simulation.restart();
    simulation.store.lease(simulation.now, &service(), 2 * ITEMS);
    assert!(simulation.store.start(simulation.now, vec![item]).reply.is_empty());
}

#[test]
fn an_item_proven_not_sent_is_leased_again() {
    let mut simulation = Simulation::new();
    let grants = simulation.store.lease(simulation.now, &service(), 2 * ITEMS);
    let item = grants.into_iter().map(|grant| grant.item).find(|item| item.job == job("once"));
    let item = item.expect("an item of the job is leased");
    assert_eq!(simulation.store.start(simulation.now, vec![item.clone()]).reply.len(), 1);
    let cause = ReturnCause::NotSent("connection refused".to_owned());
    let decision = simulation.store.return_items(vec![ReturnedItem { item: item.clone(), cause }]);
    assert!(matches!(&decision.records[..], [JobRecord::NotStarted { .. }]));
    let again = simulation.store.lease(simulation.now, &service(), 1);
    assert!(again.iter().any(|grant| grant.item.index == item.index));
}

#[test]
fn a_job_with_the_same_key_joins_or_conflicts_by_content() {
    let mut store = JobStore::new(1);
    let header = job_header("key", RepeatPolicy::Allowed);
    let accept = |store: &mut JobStore, digest| {
        store.accept(Timestamp(1), 1, header.clone(), digest, ITEMS, 1).reply
    };
    assert_eq!(accept(&mut store, 5), Acceptance::New { accepted: ITEMS });
    assert_eq!(accept(&mut store, 5), Acceptance::Joined { accepted: ITEMS });
    assert_eq!(accept(&mut store, 6), Acceptance::Conflict);
}

#[test]
fn a_cancelled_job_grants_no_leases_and_no_start_marks() {
    let mut store = JobStore::new(1);
    let header = job_header("once", RepeatPolicy::Forbidden);
    store.accept(Timestamp(1), 1, header, 1, ITEMS, 1);
    let held = store.lease(Timestamp(1), &service(), 1);
    let progress = store.cancel(Timestamp(1), &job("once")).reply.expect("the job is held");
    assert_eq!((progress.state, progress.cancelled), (JobState::Cancelled, ITEMS));
    assert!(store.lease(Timestamp(2), &service(), ITEMS).is_empty());
    let held: Vec<LeasedItemRef> = held.into_iter().map(|grant| grant.item).collect();
    assert!(store.start(Timestamp(2), held.clone()).reply.is_empty());
    assert!(store.extend(Timestamp(2), held).is_empty());
}

#[test]
fn a_cancelled_job_ends_when_the_holder_of_a_started_item_has_failed() {
    let mut store = JobStore::new(1);
    let header = job_header("once", RepeatPolicy::Forbidden);
    store.accept(Timestamp(1), 1, header, 1, ITEMS, 1);
    let held = store.lease(Timestamp(1), &service(), 1);
    let held: Vec<LeasedItemRef> = held.into_iter().map(|grant| grant.item).collect();
    assert_eq!(store.start(Timestamp(1), held).reply.len(), 1);
    let progress = store.cancel(Timestamp(2), &job("once")).reply.expect("the job is held");
    assert_eq!(progress.state, JobState::Running, "the holder may still report");
    store.tick(Timestamp(2 + LEASE_MS));
    let progress = store.progress(&job("once")).expect("the job is held");
    assert_eq!((progress.state, progress.unknown), (JobState::Cancelled, 1));
}

#[test]
fn newly_waiting_items_are_announced_once() {
    let mut store = JobStore::new(1);
    let accept = |store: &mut JobStore, key: &str| {
        let header = job_header(key, RepeatPolicy::Allowed);
        store.accept(Timestamp(1), 1, header, 1, ITEMS, 1);
    };
    accept(&mut store, "first");
    accept(&mut store, "second");
    assert_eq!(store.take_newly_ready(), vec![service()]);
    assert!(store.take_newly_ready().is_empty());
    let grants = store.lease(Timestamp(1), &service(), 2 * ITEMS);
    let item = grants[0].item.clone();
    store.return_items(vec![ReturnedItem { item, cause: ReturnCause::Preempted }]);
    assert_eq!(store.take_newly_ready(), vec![service()]);
}
