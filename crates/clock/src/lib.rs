//! Elapsed time, which counts while the machine is suspended.
//!
//! Two readings, for two questions. What a **timer** waits for, and a rate, is time in which this process could
//! run: `tokio::time::Instant`, the steady clock, which stands still while the machine is suspended. What a
//! **promise to another process** lasts (a lease, a token, the age of what was told) is time that passes for
//! both: `ElapsedClock`, whose moments are `Timestamp`s, so that the compiler refuses to mix the two.

use std::cell::Cell;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use std::time::Duration;

use nix::time::{clock_gettime, ClockId};
use tokio::time::Instant;
use yokefall_core::Timestamp;
use yokefall_telemetry::{EventName, LogLine};

/// Suspension that is told: shorter than any lease or the life of any token, and far longer than two readings
/// of the clocks are apart.
const TOLD_SUSPENSION: Duration = Duration::from_millis(100);

/// Where it is known from for how long the machine has been suspended.
#[derive(Clone, Debug, Default)]
pub enum SuspensionSource {
    /// The machine's clocks: `CLOCK_BOOTTIME` counts it and `CLOCK_MONOTONIC` does not.
    #[default]
    Machine,
    /// Milliseconds that somebody tells, for tests: a machine can't be suspended in one.
    Simulated(Arc<AtomicU64>),
}

impl SuspensionSource {
    /// How long the machine has been suspended since it was started.
    pub fn suspended(&self) -> Duration {
        match self {
            SuspensionSource::Machine => suspended_by_clocks(),
            SuspensionSource::Simulated(ms) => Duration::from_millis(ms.load(Ordering::Relaxed)),
        }
    }
}

fn suspended_by_clocks() -> Duration {
    // The clocks are read one after the other, so that the difference is never less than it is by more than
    // the time between. A kernel without one of them tells that it was never suspended.
    let steady = clock_gettime(ClockId::CLOCK_MONOTONIC).map(Duration::from).unwrap_or_default();
    let counting = clock_gettime(ClockId::CLOCK_BOOTTIME).map(Duration::from).unwrap_or(steady);
    counting.saturating_sub(steady)
}

/// Time since this clock was made, suspension included.
#[derive(Debug)]
pub struct ElapsedClock {
    origin: Instant,
    source: SuspensionSource,
    suspended_at_origin: Duration,
    /// Suspension since then that has been told.
    told: Cell<Duration>,
}

impl ElapsedClock {
    /// A clock that begins now.
    pub fn new(source: SuspensionSource) -> Self {
        let suspended_at_origin = source.suspended();
        Self { origin: Instant::now(), source, suspended_at_origin, told: Cell::default() }
    }

    /// The present moment. Invariant: it never goes back.
    pub fn now(&self) -> Timestamp {
        let elapsed = self.origin.elapsed() + self.suspended();
        Timestamp(elapsed.as_millis() as u64)
    }

    /// The moment of something that this process did so long ago by its timers, without a suspension since.
    pub fn at(&self, moment: Instant) -> Timestamp {
        let now = self.now();
        Timestamp(now.0.saturating_sub(moment.elapsed().as_millis() as u64))
    }

    /// When a timer is to go off for a moment of this clock.
    pub fn timer_at(&self, moment: Timestamp) -> Instant {
        Instant::now() + Duration::from_millis(moment.millis_since(self.now()))
    }

    /// Suspension since this clock was made.
    fn suspended(&self) -> Duration {
        let suspended = self.source.suspended().saturating_sub(self.suspended_at_origin);
        let told = self.told.get();
        if suspended < told + TOLD_SUSPENSION {
            // Two clocks are never read at quite the same moment.
            return told;
        }
        self.told.set(suspended);
        let amount = suspended - told;
        metrics::counter!("suspended_milliseconds_total").increment(amount.as_millis() as u64);
        LogLine::new(EventName::MachineSuspended)
            .field("suspended_ms", amount.as_millis() as u64)
            .write();
        suspended
    }
}
