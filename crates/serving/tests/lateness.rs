//! Detection of a shortage of processor time.

use yokefall_serving::lateness::{CpuShortage, Lateness};

fn changes(lateness: &mut Lateness, late_ms: u64, count: usize) -> Vec<CpuShortage> {
    (0..count).filter_map(|_| lateness.record(late_ms)).collect()
}

#[test]
fn a_shortage_begins_and_ends_once() {
    let mut lateness = Lateness::default();
    assert_eq!(changes(&mut lateness, 2, 100), []);
    assert_eq!(changes(&mut lateness, 200, 100), [CpuShortage::Began]);
    assert_eq!(changes(&mut lateness, 30, 100), []);
    assert_eq!(changes(&mut lateness, 2, 100), [CpuShortage::Ended]);
}

#[test]
fn one_late_wake_up_is_no_shortage() {
    let mut lateness = Lateness::default();
    assert_eq!(changes(&mut lateness, 400, 1), []);
    assert_eq!(changes(&mut lateness, 1, 100), []);
}
