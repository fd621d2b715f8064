//! Order in which waiting items run.

use std::time::Duration;

use yokefall_jobstore::urgency::{DurationEstimator, Urgency};

fn urgency(age: u64, due: Option<u64>, remaining: u64) -> Urgency {
    Urgency {
        age: Duration::from_secs(age),
        due: due.map(Duration::from_secs),
        remaining: Duration::from_secs(remaining),
    }
}

fn sorted(mut items: Vec<Urgency>) -> Vec<Urgency> {
    items.sort_by(Urgency::order);
    items
}

#[test]
fn the_earliest_due_item_goes_first() {
    let (soon, later, never) =
        (urgency(10, Some(18), 4), urgency(2, Some(18), 4), urgency(30, None, 4));
    assert_eq!(sorted(vec![never, later, soon]), [soon, later, never]);
}

/// Guards against oldest-first order: under overload, all items would end just after they were due.
#[test]
fn late_items_go_last() {
    let (late, in_time) = (urgency(15, Some(18), 4), urgency(3, Some(18), 4));
    assert!(late.is_late());
    assert!(!in_time.is_late());
    assert_eq!(sorted(vec![late, in_time]), [in_time, late]);
}

#[test]
fn within_a_job_the_shortest_item_goes_first() {
    let (long, short) = (urgency(5, Some(18), 6), urgency(5, Some(18), 1));
    assert_eq!(sorted(vec![long, short]), [short, long]);
}

#[test]
fn durations_are_estimated_from_finished_items() {
    let mut estimator = DurationEstimator::default();
    assert_eq!(estimator.remaining(1_000, 0), Duration::ZERO);
    // 100 events of 20 ms for 1,000 tokens; items without tokens or output are ignored.
    estimator.observe(1_000, 100, 100, Duration::from_secs(2));
    estimator.observe(0, 100, 100, Duration::from_secs(9));
    estimator.observe(1_000, 100, 0, Duration::from_secs(9));
    assert_eq!(estimator.remaining(1_000, 0), Duration::from_secs(2));
    assert_eq!(estimator.remaining(1_000, 50), Duration::from_secs(1));
    // An item with more output than expected is assumed to have a tenth remaining.
    assert_eq!(estimator.remaining(1_000, 120), Duration::from_millis(200));
}
