//! Capacity for items beside online requests.

mod support;

use std::sync::Arc;
use std::time::Duration;

use support::backend;
use yokefall_core::Timestamp;
use yokefall_jobstore::capacity::{Capacity, ServiceSlots};
use yokefall_jobstore::loads::report_interval;
use yokefall_serving::{Balancer, Policy};

fn capacity(back_ends: u32, taken: u32, interval_ms: u64) -> Capacity {
    let mut capacity = Capacity::new(Duration::from_millis(interval_ms));
    for _ in 0..back_ends {
        capacity.add(10, taken);
    }
    capacity
}

#[test]
fn the_reserve_covers_a_burst_until_items_are_preempted() {
    // 20 ms to report and 70 ms to preempt are 0.075 of the time in which a burst fills all slots.
    assert_eq!(capacity(10, 0, 20).startable_items(), 100 - 8);
    // The later load is reported, the larger the reserve.
    assert_eq!(capacity(10, 0, 100).startable_items(), 100 - 15);
}

#[test]
fn items_are_preempted_only_below_half_of_the_reserve() {
    // 10 of 100 slots are free, and the reserve is 8.
    assert_eq!((capacity(10, 9, 20).startable_items(), capacity(10, 9, 20).shortfall()), (2, 0));
    assert_eq!((capacity(10, 10, 20).startable_items(), capacity(10, 10, 20).shortfall()), (0, 4));
    assert_eq!((capacity(10, 14, 20).startable_items(), capacity(10, 14, 20).shortfall()), (0, 4));
}

#[test]
fn a_service_of_one_back_end_keeps_a_slot_free() {
    assert_eq!(capacity(1, 0, 20).startable_items(), 9);
    assert_eq!(capacity(1, 9, 20).startable_items(), 0);
}

/// Seen: the only slot of a service was reserved for online requests for good.
#[test]
fn the_only_slot_of_a_service_may_run_an_item() {
    for interval_ms in [20, 100, 5_000] {
        let with_a_slot = |taken| {
            let mut capacity = Capacity::new(Duration::from_millis(interval_ms));
            capacity.add(1, taken);
            capacity
        };
        assert_eq!(with_a_slot(0).startable_items(), 1);
        assert_eq!((with_a_slot(1).startable_items(), with_a_slot(1).shortfall()), (0, 0));
    }
}

#[test]
fn report_rate_of_a_job_store_is_bounded() {
    for gateways in [1, 6, 25, 80, 550] {
        let interval = report_interval(gateways);
        assert!((20..=100).contains(&interval.as_millis()), "{gateways}: {interval:?}");
    }
    assert_eq!(report_interval(6), Duration::from_millis(24));
}

/// Seen: items that were placed and then not started took the slots of those behind them.
#[test]
fn a_slot_of_an_item_that_does_not_start_is_free_for_the_next_one() {
    let mut slots = ServiceSlots::new(capacity(1, 8, 20), vec![Arc::new(backend(0, 10))]);
    let mut balancer = Balancer::new(String::new(), 1, Policy::default());
    assert!(slots.choose(&mut balancer, Timestamp(0), &[]).is_some());
    assert_eq!(slots.startable_items(), 0);
    slots.vacate_slot();
    assert_eq!(slots.startable_items(), 1);
    assert!(slots.choose(&mut balancer, Timestamp(0), &["i-0".to_owned()]).is_none());
    assert_eq!(slots.startable_items(), 1);
}
