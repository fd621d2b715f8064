//! Room for submissions.

use yokefall_jobstore::intake::{Intake, NotTaken, Occupied};
use yokefall_jobstore::Submission;
use yokefall_serving::JobItem;

const EMPTY: Occupied = Occupied { bytes: 0, most_bytes: 1 << 20, queued_tokens: 0 };

fn submission(queue: &str, tokens: u64) -> Submission {
    let item = JobItem {
        id: "a".into(),
        path: "/run".into(),
        headers: Vec::new(),
        body: vec![0; 1_000],
        tokens,
    };
    Submission {
        host: "h".into(),
        max_attempts: 1,
        max_queue_ms: 1_000,
        completion_target_ms: 1_000,
        queue: queue.into(),
        max_queued_tokens: Some(250),
        items: vec![item],
    }
}

#[test]
fn submissions_at_the_same_moment_count_together() {
    let intake = Intake::default();
    let first = intake.reserve("job-1", &submission("h/a/", 200), EMPTY).expect("room");
    let second = intake.reserve("job-2", &submission("h/a/", 100), EMPTY);
    assert_eq!(second.err(), Some(NotTaken::OverQuota));
    assert!(intake.reserve("job-3", &submission("h/b/", 100), EMPTY).is_ok());
    drop(first);
    assert!(intake.reserve("job-2", &submission("h/a/", 100), EMPTY).is_ok());
}

#[test]
fn what_waits_counts() {
    let intake = Intake::default();
    let occupied = Occupied { queued_tokens: 200, ..EMPTY };
    let over = intake.reserve("job-1", &submission("h/a/", 51), occupied);
    assert_eq!(over.err(), Some(NotTaken::OverQuota));
    assert!(intake.reserve("job-1", &submission("h/a/", 50), occupied).is_ok());
}

#[test]
fn a_job_under_way_is_not_refused_when_it_comes_again() {
    let intake = Intake::default();
    let _first = intake.reserve("job-1", &submission("h/a/", 200), EMPTY).expect("room");
    let again = intake.reserve("job-1", &submission("h/a/", 200), EMPTY);
    assert_eq!(again.err(), Some(NotTaken::UnderWay));
}

#[test]
fn memory_bounds_what_is_taken() {
    let intake = Intake::default();
    let occupied = Occupied { bytes: (1 << 20) - 100, ..EMPTY };
    let full = intake.reserve("job-1", &submission("h/a/", 1), occupied);
    assert_eq!(full.err(), Some(NotTaken::Full));
}
