//! Detection of datagrams that may be old.
//!
//! Guards against a process that was frozen for 10 s reading datagrams from before, after it wakes,
//! and taking the ages stated in them as current.

use yokefall_core::Timestamp;
use yokefall_serving::stall_detector::StallDetector;

#[test]
fn datagrams_read_after_a_freeze_are_of_unknown_age_until_all_are_read() {
    let mut stall_detector = StallDetector::default();
    stall_detector.start_wait(Timestamp(1_000), 400);
    stall_detector.record_wakeup(Timestamp(1_300));
    assert!(stall_detector.delay_ms().is_some());
    stall_detector.start_wait(Timestamp(1_300), 400);
    stall_detector.record_wakeup(Timestamp(11_300));
    assert_eq!(stall_detector.delay_ms(), None);
    stall_detector.start_wait(Timestamp(11_300), 400);
    stall_detector.record_wakeup(Timestamp(11_301));
    assert_eq!(stall_detector.delay_ms(), None, "more datagrams may be waiting");
    stall_detector.record_drained();
    assert!(stall_detector.delay_ms().is_some());
}

#[test]
fn a_freeze_between_waits_counts_as_well() {
    let mut stall_detector = StallDetector::default();
    stall_detector.record_wakeup(Timestamp(1_000));
    stall_detector.record_wakeup(Timestamp(9_000));
    assert_eq!(stall_detector.delay_ms(), None);
}
