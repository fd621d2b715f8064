//! Admission of submissions.

use yokefall_jobstore::admission::{Admission, Rejection, Usage};
use yokefall_jobstore::Submission;
use yokefall_serving::JobItem;

const EMPTY: Usage = Usage { bytes: 0, max_bytes: 1 << 20, queued_tokens: 0 };

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
fn concurrent_submissions_count_together() {
    let admission = Admission::default();
    let first = admission.reserve("job-1", &submission("h/a/", 200), EMPTY).expect("a reservation");
    let second = admission.reserve("job-2", &submission("h/a/", 100), EMPTY);
    assert_eq!(second.err(), Some(Rejection::OverQuota));
    assert!(admission.reserve("job-3", &submission("h/b/", 100), EMPTY).is_ok());
    drop(first);
    assert!(admission.reserve("job-2", &submission("h/a/", 100), EMPTY).is_ok());
}

#[test]
fn waiting_tokens_count() {
    let admission = Admission::default();
    let usage = Usage { queued_tokens: 200, ..EMPTY };
    let over = admission.reserve("job-1", &submission("h/a/", 51), usage);
    assert_eq!(over.err(), Some(Rejection::OverQuota));
    assert!(admission.reserve("job-1", &submission("h/a/", 50), usage).is_ok());
}

#[test]
fn a_resubmitted_pending_job_is_reported_as_in_progress() {
    let admission = Admission::default();
    let _first =
        admission.reserve("job-1", &submission("h/a/", 200), EMPTY).expect("a reservation");
    let again = admission.reserve("job-1", &submission("h/a/", 200), EMPTY);
    assert_eq!(again.err(), Some(Rejection::InProgress));
}

#[test]
fn memory_limits_submissions() {
    let admission = Admission::default();
    let usage = Usage { bytes: (1 << 20) - 100, ..EMPTY };
    let full = admission.reserve("job-1", &submission("h/a/", 1), usage);
    assert_eq!(full.err(), Some(Rejection::Full));
}
