//! The monotonic clock of a process.

use std::time::{Instant, SystemTime, UNIX_EPOCH};

use yokefall_core::Timestamp;

/// Measures time from the start of the process.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    origin: Instant,
}

impl Clock {
    /// A clock that starts now, at a time greater than zero.
    pub fn start() -> Self {
        Self { origin: Instant::now() }
    }

    /// The time now.
    pub fn now(&self) -> Timestamp {
        Timestamp(self.origin.elapsed().as_millis() as u64 + 1)
    }
}

/// Milliseconds since 1970.
pub fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |d| d.as_millis() as u64)
}
