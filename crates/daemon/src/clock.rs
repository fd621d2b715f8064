//! The monotonic clock of a process.

use std::time::{Instant, SystemTime, UNIX_EPOCH};

use yokefall_core::Timestamp;

/// Measures time since it was started.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    origin: Instant,
}

impl Clock {
    /// Starts a clock. Its timestamps are greater than zero.
    pub fn start() -> Self {
        Self { origin: Instant::now() }
    }

    pub fn now(&self) -> Timestamp {
        Timestamp(self.origin.elapsed().as_millis() as u64 + 1)
    }
}

/// Milliseconds since the Unix epoch.
pub fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |d| d.as_millis() as u64)
}
