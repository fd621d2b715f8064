//! The job store against a simple oracle: each item ends once, through crashes and resends.

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

/// A store on a disk, with the messages that are still on their way to it.
struct World {
    store: JobStore,
    disk: Vec<JobRecord>,
    epoch: u64,
    now: Timestamp,
    /// Leases ever given; any of them may still be used by a paused holder.
    leases: Vec<LeasedItemRef>,
    /// No-repeat items sent to a back end, by the start marks that were granted.
    sent: HashMap<(JobId, u32), u32>,
    /// Start marks granted whose holder has not proven the item unsent.
    ended: HashSet<(u64, u32)>,
}

impl World {
    fn new() -> Self {
        let mut world = Self {
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
            let decision = world.store.accept(world.now, 1, header, 1, ITEMS, 1);
            world.write(decision.records);
        }
        world
    }

    /// Writes records, and checks that no item ends twice.
    fn write(&mut self, records: Vec<JobRecord>) {
        for record in &records {
            if let JobRecord::Ended { number, result } = record {
                assert!(self.ended.insert((*number, result.index)), "an item ended twice");
            }
        }
        self.disk.extend(records);
    }

    /// A crash and a restart: only what was written is left.
    fn restart(&mut self) {
        self.epoch += 1;
        let mut store = JobStore::new(self.epoch);
        for record in self.disk.clone() {
            store.recover(self.now, self.now.0, record);
        }
        store.recovered();
        self.store = store;
    }

    fn lease(&self, choice: u8) -> Option<LeasedItemRef> {
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
            3 => self.give_back(choice, ReturnCause::Preempted),
            4 => self.give_back(choice, ReturnCause::Failed("failed".to_owned())),
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
                let asked = self.lease(choice).into_iter().collect();
                self.store.extend(self.now, asked);
            }
        }
    }

    /// A holder asks for a start mark and sends the item once it has it. Its resends of the same
    /// request are granted again, and do not send it again.
    fn start(&mut self, choice: u8) {
        let Some(item) = self.lease(choice).filter(|item| item.job == job("once")) else { return };
        let decision = self.store.start(self.now, vec![item.clone()]);
        let fresh = !decision.records.is_empty();
        self.write(decision.records);
        if fresh {
            let sent = self.sent.entry((item.job, item.index)).or_default();
            *sent += 1;
            assert!(*sent <= 1, "a no-repeat item was sent twice");
        }
    }

    fn complete(&mut self, choice: u8) {
        let Some(item) = self.lease(choice) else { return };
        if item.job == job("once") && !self.sent.contains_key(&(item.job.clone(), item.index)) {
            return;
        }
        let result = result(item.index, ItemOutcome::Completed);
        let decision = self.store.complete(vec![CompletedItem { item, result }]);
        self.write(decision.records);
    }

    fn give_back(&mut self, choice: u8, cause: ReturnCause) {
        let Some(item) = self.lease(choice) else { return };
        let decision = self.store.give_back(vec![ReturnedItem { item, cause }]);
        self.write(decision.records);
    }

    /// In the end, at the deadline, every item of every job has ended.
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
    let mut world = World::new();
    for (kind, choice) in steps {
        world.step(kind, choice);
    }
    world.finish();
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
fn a_lease_that_lapsed_before_the_restart_gives_no_start_mark() {
    let mut world = World::new();
    let grants = world.store.lease(world.now, &service(), 2 * ITEMS);
    let item = grants.into_iter().map(|grant| grant.item).find(|item| item.job == job("once"));
    let item = item.expect("an item of the job is leased");
    world.restart();
    world.store.lease(world.now, &service(), 2 * ITEMS);
    assert!(world.store.start(world.now, vec![item]).reply.is_empty());
}

#[test]
fn an_item_proven_unsent_is_leased_again() {
    let mut world = World::new();
    let grants = world.store.lease(world.now, &service(), 2 * ITEMS);
    let item = grants.into_iter().map(|grant| grant.item).find(|item| item.job == job("once"));
    let item = item.expect("an item of the job is leased");
    assert_eq!(world.store.start(world.now, vec![item.clone()]).reply.len(), 1);
    let cause = ReturnCause::NotSent("connection refused".to_owned());
    let decision = world.store.give_back(vec![ReturnedItem { item: item.clone(), cause }]);
    assert!(matches!(&decision.records[..], [JobRecord::NotStarted { .. }]));
    let again = world.store.lease(world.now, &service(), 1);
    assert!(again.iter().any(|grant| grant.item.index == item.index));
}

#[test]
fn the_same_key_joins_and_other_content_conflicts() {
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
fn a_cancelled_job_gives_no_more_leases_and_no_start_marks() {
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
fn a_cancelled_job_ends_although_the_holder_of_a_started_item_is_dead() {
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
fn owners_are_told_once_when_items_wait_that_did_not() {
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
    store.give_back(vec![ReturnedItem { item, cause: ReturnCause::Preempted }]);
    assert_eq!(store.take_newly_ready(), vec![service()]);
}
