//! Detects a shortage of processor time by how late timers fire.

use yokefall_telemetry::{EventName, LogLine};

/// Weight of one wake-up in the mean lateness: averages over about ten, some seconds when idle.
const SAMPLE_WEIGHT: f64 = 0.1;
/// Mean lateness, in milliseconds, from which a process counts as short of processor time: half of
/// the shortest heartbeat interval of the replicated log.
const SHORTAGE_LATENESS_MS: f64 = 50.0;
/// Mean lateness, in milliseconds, below which the shortage has ended.
const RECOVERED_LATENESS_MS: f64 = 10.0;

/// Timer lateness of one loop.
#[derive(Debug, Default)]
pub struct Lateness {
    mean_ms: f64,
    is_short: bool,
}

/// A change that is reported to operators.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CpuShortage {
    /// The process is short of processor time.
    Began,
    /// The process has enough processor time again.
    Ended,
}

impl Lateness {
    /// Records that the loop woke `late_ms` after its timer was due.
    pub fn record(&mut self, late_ms: u64) -> Option<CpuShortage> {
        self.mean_ms += (late_ms as f64 - self.mean_ms) * SAMPLE_WEIGHT;
        let was_short = self.is_short;
        self.is_short =
            self.mean_ms >= if was_short { RECOVERED_LATENESS_MS } else { SHORTAGE_LATENESS_MS };
        match (was_short, self.is_short) {
            (false, true) => Some(CpuShortage::Began),
            (true, false) => Some(CpuShortage::Ended),
            _ => None,
        }
    }

    /// Records a wake-up, exports it as a metric, and logs the begin and the end of a shortage.
    pub fn record_and_report(&mut self, late_ms: u64) {
        metrics::histogram!("loop_lateness_seconds").record(late_ms as f64 / 1_000.0);
        if let Some(shortage) = self.record(late_ms) {
            LogLine::new(EventName::ProcessorShort)
                .field("short", shortage == CpuShortage::Began)
                .field("mean_late_ms", self.mean_ms as u64)
                .write();
        }
    }
}
