//! Whether datagrams may be old.
//!
//! What failed: a process that was frozen for 10 s read, when it was woken, what had been sent to it before, and took
//! the age that stood in it for the present one.

use yokefall_core::Timestamp;
use yokefall_serving::stall_detector::StallDetector;

#[test]
fn what_is_read_after_a_freeze_is_of_unknown_age_until_all_was_read() {
    let mut stall_detector = StallDetector::default();
    stall_detector.start_wait(Timestamp(1_000), 400);
    stall_detector.record_wakeup(Timestamp(1_300));
    assert!(stall_detector.delay_ms().is_some());
    stall_detector.start_wait(Timestamp(1_300), 400);
    stall_detector.record_wakeup(Timestamp(11_300));
    assert_eq!(stall_detector.delay_ms(), None);
    stall_detector.start_wait(Timestamp(11_300), 400);
    stall_detector.record_wakeup(Timestamp(11_301));
    assert_eq!(stall_detector.delay_ms(), None, "others may wait behind the first");
    stall_detector.drained();
    assert!(stall_detector.delay_ms().is_some());
}

#[test]
fn a_freeze_at_work_counts_like_one_in_a_wait() {
    let mut stall_detector = StallDetector::default();
    stall_detector.record_wakeup(Timestamp(1_000));
    stall_detector.record_wakeup(Timestamp(9_000));
    assert_eq!(stall_detector.delay_ms(), None);
}
