//! Detection of datagrams that may be old.
//!
//! Guards against a process that was frozen for 10 s reading datagrams from before, after it wakes,
//! and taking the ages stated in them as current.

use yokefall_core::Timestamp;
use yokefall_serving::backlog::Backlog;

#[test]
fn datagrams_read_after_a_freeze_are_of_unknown_age_until_all_are_read() {
    let mut backlog = Backlog::default();
    backlog.waits(Timestamp(1_000), 400);
    backlog.woken(Timestamp(1_300));
    assert!(backlog.delay_ms().is_some());
    backlog.waits(Timestamp(1_300), 400);
    backlog.woken(Timestamp(11_300));
    assert_eq!(backlog.delay_ms(), None);
    backlog.waits(Timestamp(11_300), 400);
    backlog.woken(Timestamp(11_301));
    assert_eq!(backlog.delay_ms(), None, "others may wait behind the first");
    backlog.drained();
    assert!(backlog.delay_ms().is_some());
}

#[test]
fn a_freeze_between_waits_counts_as_well() {
    let mut backlog = Backlog::default();
    backlog.woken(Timestamp(1_000));
    backlog.woken(Timestamp(9_000));
    assert_eq!(backlog.delay_ms(), None);
}
