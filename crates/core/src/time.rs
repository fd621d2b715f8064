//! Timestamps of the state machines.

use std::ops::Add;
use std::time::Duration;

/// Milliseconds on a monotonic clock with a process-specific origin.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Timestamp(pub u64);

impl Timestamp {
    /// Milliseconds from `earlier` to `self`; zero if `earlier` is later.
    pub fn millis_since(self, earlier: Timestamp) -> u64 {
        self.0.saturating_sub(earlier.0)
    }

    /// The timestamp `milliseconds` after this one.
    pub fn plus_millis(self, milliseconds: u64) -> Timestamp {
        Timestamp(self.0.saturating_add(milliseconds))
    }
}

impl Add<Duration> for Timestamp {
    type Output = Timestamp;

    fn add(self, duration: Duration) -> Timestamp {
        self.plus_millis(duration.as_millis() as u64)
    }
}
