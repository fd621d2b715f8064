//! Numbers at the edges of their types, from records of back ends, submissions and the configuration.
//!
//! Guards against sums that overflow: tests stop at an overflow, and a release build goes on with a
//! small number instead of a large one.

mod support;

use std::sync::Arc;
use std::time::Duration;

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use support::backend;
use yokefall_jobstore::admission::{Admission, Rejection, Usage};
use yokefall_jobstore::capacity::{Capacity, ServiceSlots};
use yokefall_jobstore::pool_slots::PoolSlots;
use yokefall_jobstore::urgency::{DurationEstimator, WaitingJob};
use yokefall_jobstore::Submission;
use yokefall_serving::backend_table::BackendTable;
use yokefall_serving::{Backend, BackendIncarnation, JobItem};

const SEEDS: std::ops::Range<u64> = 0..200;
/// Fixed part of the seeds.
const SEED: u64 = 81;

/// A number near an edge of `u64`, or anywhere.
fn edge(generator: &mut StdRng) -> u64 {
    let distance = generator.random_range(0..3);
    match generator.random_range(0..5) {
        0 => distance,
        1 => u64::MAX - distance,
        2 => u64::from(u32::MAX) - distance,
        3 => u64::from(u32::MAX) + distance,
        _ => generator.random(),
    }
}

/// The same for `u32`.
fn small_edge(generator: &mut StdRng) -> u32 {
    u32::try_from(edge(generator)).unwrap_or(u32::MAX)
}

fn submission(tokens: &[u64]) -> Submission {
    let item = |tokens: &u64| JobItem {
        id: "a".into(),
        path: "/run".into(),
        headers: Vec::new(),
        body: Vec::new(),
        tokens: *tokens,
    };
    Submission {
        host: "h".into(),
        max_attempts: u32::MAX,
        max_queue_ms: u64::MAX,
        completion_target_ms: u64::MAX,
        queue: "h/".into(),
        max_queued_tokens: Some(1_000),
        items: tokens.iter().map(item).collect(),
    }
}

#[test]
fn slots_are_counted_without_overflow() {
    for seed in SEEDS {
        let generator = &mut StdRng::seed_from_u64(SEED + seed);
        let all: Vec<Arc<Backend>> =
            (0..4).map(|number| Arc::new(backend(number, small_edge(generator)))).collect();
        let table: BackendTable = all.iter().collect();
        let tables = [&table];
        let mut counted = PoolSlots::new(&tables);
        counted.exclude("i-0", 1);
        let second = BackendIncarnation { id: "i-1".into(), started_ms: 1 };
        counted.occupy(&second, small_edge(generator));
        let interval = Duration::from_millis(edge(generator));
        let capacity = counted.add_to(Capacity::new(interval));
        assert!(capacity.free <= capacity.slots, "seed {seed}: {capacity:?}");
        let expected: u64 = all[1..].iter().map(|backend| u64::from(backend.slots)).sum();
        assert_eq!(capacity.slots, u32::try_from(expected).unwrap_or(u32::MAX), "seed {seed}");
        let mut slots = ServiceSlots::new(capacity, all);
        slots.vacate_slot();
        assert!(slots.startable_items() <= slots.capacity().free);
        slots.capacity().shortfall();
    }
}

#[test]
fn tokens_of_submissions_are_limited_without_overflow() {
    for seed in SEEDS {
        let generator = &mut StdRng::seed_from_u64(SEED + seed);
        let admission = Admission::default();
        let queued_tokens = edge(generator);
        let usage = Usage { bytes: 0, max_bytes: 1 << 20, queued_tokens };
        let tokens = [edge(generator), edge(generator)];
        let sum = tokens.iter().map(|tokens| u128::from(*tokens)).sum::<u128>();
        let reserved = admission.reserve("job-1", &submission(&tokens), usage).err();
        let is_over = sum + u128::from(queued_tokens) > 1_000;
        assert_eq!(reserved, is_over.then_some(Rejection::OverQuota), "seed {seed}");
    }
}

#[test]
fn items_of_any_size_are_ordered() {
    for seed in SEEDS {
        let generator = &mut StdRng::seed_from_u64(SEED + seed);
        let mut estimator = DurationEstimator::default();
        let run = (edge(generator), edge(generator), edge(generator), edge(generator));
        estimator.observe(run.0, run.1, run.2, Duration::from_millis(run.3));
        let remaining = estimator.remaining(edge(generator), edge(generator));
        let mut job = || WaitingJob {
            id: "job-1".into(),
            age: Duration::from_millis(edge(generator)),
            due: Some(Duration::from_millis(edge(generator))),
        };
        let (left, right) = (job(), job());
        left.is_late(remaining);
        assert_eq!(left.order(&right, false), right.order(&left, false).reverse(), "seed {seed}");
    }
}
