//! A clock that includes the time for which the machine is suspended.
//!
//! Timers and rates measure time in which this process can run: `tokio::time::Instant`, the
//! monotonic clock, which stops during suspension. Obligations between processes (a lease, the
//! lifetime of a token, the age of received state) use time that passes for both sides:
//! `ElapsedClock`, whose readings are `Timestamp`s, so that the compiler rejects mixing the two.

use std::cell::Cell;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use std::time::Duration;

use nix::time::{clock_gettime, ClockId};
use tokio::time::Instant;
use yokefall_core::Timestamp;
use yokefall_telemetry::{EventName, LogLine};

/// Shorter than any lease or token lifetime, and far longer than the time between two readings.
const MIN_REPORTED_SUSPENSION: Duration = Duration::from_millis(100);

/// Source of the total suspension time of the machine.
#[derive(Clone, Debug, Default)]
pub enum SuspensionSource {
    /// The machine's clocks: `CLOCK_BOOTTIME` includes suspension, `CLOCK_MONOTONIC` does not.
    #[default]
    Machine,
    /// Suspension in milliseconds as set by a test, which cannot suspend the machine.
    Simulated(Arc<AtomicU64>),
}

impl SuspensionSource {
    /// Total time for which the machine has been suspended since it booted.
    pub fn suspended(&self) -> Duration {
        match self {
            SuspensionSource::Machine => suspended_by_clocks(),
            SuspensionSource::Simulated(ms) => Duration::from_millis(ms.load(Ordering::Relaxed)),
        }
    }
}

fn suspended_by_clocks() -> Duration {
    // Off by the time between the readings at most; without one of the clocks, zero.
    let monotonic = clock_gettime(ClockId::CLOCK_MONOTONIC).map(Duration::from).unwrap_or_default();
    let boottime = clock_gettime(ClockId::CLOCK_BOOTTIME).map(Duration::from).unwrap_or(monotonic);
    boottime.saturating_sub(monotonic)
}

/// Time since this clock was created, including suspension.
#[derive(Debug)]
pub struct ElapsedClock {
    origin: Instant,
    source: SuspensionSource,
    suspended_at_origin: Duration,
    /// Suspension since the origin that has been reported.
    reported: Cell<Duration>,
}

impl ElapsedClock {
    /// Creates a clock that starts at zero.
    pub fn new(source: SuspensionSource) -> Self {
        let suspended_at_origin = source.suspended();
        Self { origin: Instant::now(), source, suspended_at_origin, reported: Cell::default() }
    }

    /// The current time. Invariant: it never decreases.
    pub fn now(&self) -> Timestamp {
        let elapsed = self.origin.elapsed() + self.suspended();
        Timestamp(elapsed.as_millis() as u64)
    }

    /// Converts a past monotonic reading, assuming that the machine was not suspended since.
    pub fn at(&self, moment: Instant) -> Timestamp {
        let now = self.now();
        Timestamp(now.0.saturating_sub(moment.elapsed().as_millis() as u64))
    }

    /// The instant at which a timer for a timestamp of this clock must fire.
    pub fn timer_at(&self, moment: Timestamp) -> Instant {
        Instant::now() + Duration::from_millis(moment.millis_since(self.now()))
    }

    /// Suspension since this clock was created.
    fn suspended(&self) -> Duration {
        let suspended = self.source.suspended().saturating_sub(self.suspended_at_origin);
        let reported = self.reported.get();
        if suspended < reported + MIN_REPORTED_SUSPENSION {
            // Two clocks cannot be read at exactly the same time.
            return reported;
        }
        self.reported.set(suspended);
        let amount = suspended - reported;
        metrics::counter!("suspended_milliseconds_total").increment(amount.as_millis() as u64);
        LogLine::new(EventName::MachineSuspended)
            .field("suspended_ms", amount.as_millis() as u64)
            .write();
        suspended
    }
}
