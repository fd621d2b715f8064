//! Finds out whether a process gets enough processor time: how late its timers wake it.

use yokefall_telemetry::{EventName, LogLine};

/// Weight of one wake-up in the mean lateness: about ten of them, some seconds at rest.
const WEIGHT: f64 = 0.1;
/// Mean lateness in milliseconds from which a process counts as short of processor time: half of the
/// shortest interval between two heartbeats of the replicated log.
const SHORT_MS: f64 = 50.0;
/// Mean lateness in milliseconds below which it no longer does.
const ENOUGH_MS: f64 = 10.0;

/// Lateness of one loop.
#[derive(Debug, Default)]
pub struct Lateness {
    mean_ms: f64,
    is_short: bool,
}

/// A change that an operator should know of.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Shortage {
    /// The process has become short of processor time.
    Began,
    /// It has enough again.
    Ended,
}

impl Lateness {
    /// The loop woke this much later than its timer said.
    pub fn note(&mut self, late_ms: u64) -> Option<Shortage> {
        self.mean_ms += (late_ms as f64 - self.mean_ms) * WEIGHT;
        let was_short = self.is_short;
        self.is_short = self.mean_ms >= if was_short { ENOUGH_MS } else { SHORT_MS };
        match (was_short, self.is_short) {
            (false, true) => Some(Shortage::Began),
            (true, false) => Some(Shortage::Ended),
            _ => None,
        }
    }

    /// The same, told as a metric, and as a line where it begins or ends.
    pub fn record_and_report(&mut self, late_ms: u64) {
        metrics::histogram!("loop_lateness_seconds").record(late_ms as f64 / 1_000.0);
        if let Some(shortage) = self.note(late_ms) {
            LogLine::new(EventName::ProcessorShort)
                .field("short", shortage == Shortage::Began)
                .field("mean_late_ms", self.mean_ms as u64)
                .write();
        }
    }
}
