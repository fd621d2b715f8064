//! Detects a shortage of processor time by how late timers fire.

use yokefall_telemetry::{EventName, Line};

/// Weight of one wake-up in the mean lateness: averages over about ten wake-ups, some seconds when
/// idle.
const WEIGHT: f64 = 0.1;
/// Mean lateness, in milliseconds, from which a process counts as short of processor time: half of
/// the shortest heartbeat interval of the replicated log.
const SHORT_MS: f64 = 50.0;
/// Mean lateness, in milliseconds, below which the shortage has ended.
const ENOUGH_MS: f64 = 10.0;

/// Timer lateness of one loop.
#[derive(Debug, Default)]
pub struct Lateness {
    mean_ms: f64,
    is_short: bool,
}

/// A change that is reported to operators.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Shortage {
    /// The process is short of processor time.
    Began,
    /// The process has enough processor time again.
    Ended,
}

impl Lateness {
    /// Records that the loop woke `late_ms` after its timer was due.
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

    /// Records a wake-up, exports it as a metric, and logs the begin and the end of a shortage.
    pub fn note_and_tell(&mut self, late_ms: u64) {
        metrics::histogram!("loop_lateness_seconds").record(late_ms as f64 / 1_000.0);
        if let Some(shortage) = self.note(late_ms) {
            Line::new(EventName::ProcessorShort)
                .field("short", shortage == Shortage::Began)
                .field("mean_late_ms", self.mean_ms as u64)
                .write();
        }
    }
}
