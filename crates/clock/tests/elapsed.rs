//! The clock that includes suspension, in virtual time with simulated suspension.

use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use std::time::Duration;

use tokio::time::Instant;
use yokefall_clock::{ElapsedClock, SuspensionSource};
use yokefall_core::Timestamp;

fn simulated_clock() -> (Arc<AtomicU64>, ElapsedClock) {
    let suspended_ms = Arc::new(AtomicU64::new(7_000));
    let clock = ElapsedClock::new(SuspensionSource::Simulated(suspended_ms.clone()));
    (suspended_ms, clock)
}

#[tokio::test(start_paused = true)]
async fn it_follows_the_monotonic_clock_without_suspension() {
    let (_, clock) = simulated_clock();
    assert_eq!(clock.now(), Timestamp(0));
    tokio::time::sleep(Duration::from_millis(250)).await;
    assert_eq!(clock.now(), Timestamp(250));
}

#[tokio::test(start_paused = true)]
async fn it_includes_a_suspension_that_the_monotonic_clock_misses() {
    let (suspended, clock) = simulated_clock();
    tokio::time::sleep(Duration::from_millis(250)).await;
    let monotonic = Instant::now();
    suspended.fetch_add(5_000, Ordering::Relaxed);
    assert_eq!(monotonic.elapsed(), Duration::ZERO);
    assert_eq!(clock.now(), Timestamp(5_250));
    // A second suspension adds to the first.
    suspended.fetch_add(1_000, Ordering::Relaxed);
    assert_eq!(clock.now(), Timestamp(6_250));
}

#[tokio::test(start_paused = true)]
async fn it_never_decreases_and_ignores_skew_between_clock_readings() {
    let (suspended, clock) = simulated_clock();
    suspended.fetch_add(40, Ordering::Relaxed);
    assert_eq!(clock.now(), Timestamp(0));
    suspended.fetch_add(960, Ordering::Relaxed);
    assert_eq!(clock.now(), Timestamp(1_000));
    suspended.fetch_sub(500, Ordering::Relaxed);
    assert_eq!(clock.now(), Timestamp(1_000));
}

#[tokio::test(start_paused = true)]
async fn a_timer_waits_for_the_remaining_time() {
    let (suspended, clock) = simulated_clock();
    let lease_ends = clock.now().plus_millis(6_000);
    assert_eq!(clock.timer_at(lease_ends), Instant::now() + Duration::from_millis(6_000));
    suspended.fetch_add(5_000, Ordering::Relaxed);
    assert_eq!(clock.timer_at(lease_ends), Instant::now() + Duration::from_millis(1_000));
    suspended.fetch_add(5_000, Ordering::Relaxed);
    assert_eq!(clock.timer_at(lease_ends), Instant::now());
}

#[tokio::test]
async fn the_clocks_of_a_running_machine_show_no_suspension() {
    let clock = ElapsedClock::new(SuspensionSource::Machine);
    let before = clock.now();
    let monotonic = Instant::now();
    tokio::time::sleep(Duration::from_millis(20)).await;
    let elapsed = clock.now().millis_since(before);
    assert!(elapsed >= 19, "{elapsed}");
    // Equal to the monotonic clock, except for the time between the readings.
    let monotonic = monotonic.elapsed().as_millis() as u64;
    assert!(elapsed <= monotonic + 1, "{elapsed} of {monotonic}");
}
