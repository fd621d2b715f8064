//! The clock that counts suspension, in virtual time with a suspension that is told.

use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use std::time::Duration;

use tokio::time::Instant;
use yokefall_clock::{ElapsedClock, SuspensionSource};
use yokefall_core::Timestamp;

fn told() -> (Arc<AtomicU64>, ElapsedClock) {
    let ms = Arc::new(AtomicU64::new(7_000));
    let clock = ElapsedClock::new(SuspensionSource::Simulated(ms.clone()));
    (ms, clock)
}

#[tokio::test(start_paused = true)]
async fn it_runs_with_the_steady_clock_while_the_machine_runs() {
    let (_, clock) = told();
    assert_eq!(clock.now(), Timestamp(0));
    tokio::time::sleep(Duration::from_millis(250)).await;
    assert_eq!(clock.now(), Timestamp(250));
}

#[tokio::test(start_paused = true)]
async fn it_counts_a_suspension_that_the_steady_clock_does_not_see() {
    let (suspended, clock) = told();
    tokio::time::sleep(Duration::from_millis(250)).await;
    let steady = Instant::now();
    suspended.fetch_add(5_000, Ordering::Relaxed);
    assert_eq!(steady.elapsed(), Duration::ZERO);
    assert_eq!(clock.now(), Timestamp(5_250));
    // A second one counts beside the first.
    suspended.fetch_add(1_000, Ordering::Relaxed);
    assert_eq!(clock.now(), Timestamp(6_250));
}

#[tokio::test(start_paused = true)]
async fn it_never_goes_back_and_does_not_take_a_late_reading_for_a_suspension() {
    let (suspended, clock) = told();
    suspended.fetch_add(40, Ordering::Relaxed);
    assert_eq!(clock.now(), Timestamp(0));
    suspended.fetch_add(960, Ordering::Relaxed);
    assert_eq!(clock.now(), Timestamp(1_000));
    suspended.fetch_sub(500, Ordering::Relaxed);
    assert_eq!(clock.now(), Timestamp(1_000));
}

#[tokio::test(start_paused = true)]
async fn a_timer_for_one_of_its_moments_waits_for_what_is_left() {
    let (suspended, clock) = told();
    let lease_ends = clock.now().plus_millis(6_000);
    assert_eq!(clock.timer_at(lease_ends), Instant::now() + Duration::from_millis(6_000));
    suspended.fetch_add(5_000, Ordering::Relaxed);
    assert_eq!(clock.timer_at(lease_ends), Instant::now() + Duration::from_millis(1_000));
    suspended.fetch_add(5_000, Ordering::Relaxed);
    assert_eq!(clock.timer_at(lease_ends), Instant::now());
}

#[tokio::test]
async fn the_clocks_of_this_machine_tell_no_suspension_while_it_runs() {
    let clock = ElapsedClock::new(SuspensionSource::Machine);
    let before = clock.now();
    let steady = Instant::now();
    tokio::time::sleep(Duration::from_millis(20)).await;
    let elapsed = clock.now().millis_since(before);
    assert!(elapsed >= 19, "{elapsed}");
    // What the steady clock saw, but for a reading between.
    let steady = steady.elapsed().as_millis() as u64;
    assert!(elapsed <= steady + 1, "{elapsed} of {steady}");
}
