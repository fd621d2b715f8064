//! Report of a run: outcome counts verified against the stand-ins' ledgers, and latencies.

use hdrhistogram::Histogram;
use serde::Serialize;

/// Maximum recorded latency, in microseconds; longer ones are clamped.
const MAX_LATENCY_US: u64 = 600_000_000;
const SIGNIFICANT_DIGITS: u8 = 3;

/// Counts of requests or items. `lost` and `doubled` are derived from the stand-ins' ledgers and
/// from the answers that callers received, never from the product's own counters.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct OutcomeCounts {
    /// Accepted: not refused with the statement that nothing ran.
    pub accepted: u64,
    /// Ended with the complete correct answer.
    pub completed: u64,
    /// Refused, or ended without an answer, and truthfully reported as such.
    pub refused: u64,
    /// Ended without knowledge of whether they ran.
    pub unknown: u64,
    /// Accepted but never ended, or answered wrongly, or refused as "not run" although they ran.
    pub lost: u64,
    /// Answered twice, or run more than once although repeats are forbidden.
    pub doubled: u64,
}

impl OutcomeCounts {
    /// Adds another set of counts.
    pub fn add(&mut self, other: &OutcomeCounts) {
        self.accepted += other.accepted;
        self.completed += other.completed;
        self.refused += other.refused;
        self.unknown += other.unknown;
        self.lost += other.lost;
        self.doubled += other.doubled;
    }

    /// Whether a guarantee was violated: anything was lost or doubled.
    pub fn has_violations(&self) -> bool {
        self.lost + self.doubled > 0
    }
}

/// Latency percentiles, in milliseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct Percentiles {
    /// Median.
    pub p50: f64,
    /// 95th percentile.
    pub p95: f64,
    /// 99th percentile.
    pub p99: f64,
    /// 99.9th percentile.
    pub p999: f64,
}

/// A latency histogram.
#[derive(Clone, Debug)]
pub struct Latencies {
    histogram: Histogram<u64>,
}

impl Default for Latencies {
    fn default() -> Self {
        let histogram = Histogram::new_with_bounds(1, MAX_LATENCY_US, SIGNIFICANT_DIGITS)
            .expect("constant bounds are valid");
        Self { histogram }
    }
}

impl Latencies {
    /// Records a latency.
    pub fn record(&mut self, latency: std::time::Duration) {
        self.histogram.saturating_record(latency.as_micros().max(1) as u64);
    }

    /// Merges another histogram.
    pub fn add(&mut self, other: &Latencies) {
        let _ = self.histogram.add(&other.histogram);
    }

    /// Number of latencies recorded.
    pub fn count(&self) -> u64 {
        self.histogram.len()
    }

    /// The percentiles of all recorded latencies.
    pub fn percentiles(&self) -> Percentiles {
        let at = |quantile: f64| self.histogram.value_at_quantile(quantile) as f64 / 1_000.0;
        Percentiles { p50: at(0.5), p95: at(0.95), p99: at(0.99), p999: at(0.999) }
    }
}

/// Latencies of online requests.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct OnlineReport {
    /// From the scheduled arrival to the first token, model services only.
    pub first_token: Percentiles,
    /// From the scheduled arrival to the end of the answer, all services.
    pub whole: Percentiles,
}

/// Report of a run.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct RunReport {
    /// Online requests.
    pub requests: OutcomeCounts,
    /// Batch items.
    pub items: OutcomeCounts,
    /// Online latencies in milliseconds.
    pub online_ms: OnlineReport,
    /// Batch items completed per second while load was offered.
    pub batch_items_per_second: f64,
    /// Duration of the offered load, in seconds.
    pub seconds: f64,
    /// Seed of the arrivals.
    pub seed: u64,
    /// Whether every daemon and agent stopped without cutting off work.
    pub clean_stop: bool,
}

impl RunReport {
    /// Whether a guarantee was violated: anything was lost, doubled or cut off.
    pub fn has_violations(&self) -> bool {
        self.requests.has_violations() || self.items.has_violations() || !self.clean_stop
    }

    /// The report as a human-readable table.
    pub fn table(&self) -> String {
        let mut table = String::from(
            "           accepted  completed    refused    unknown       lost    doubled\n",
        );
        for (name, counts) in [("requests", &self.requests), ("items", &self.items)] {
            table.push_str(&format!(
                "{name:<9} {:>9}  {:>9}  {:>9}  {:>9}  {:>9}  {:>9}\n",
                counts.accepted,
                counts.completed,
                counts.refused,
                counts.unknown,
                counts.lost,
                counts.doubled,
            ));
        }
        table.push_str("\nonline ms        p50        p95        p99      p99.9\n");
        let rows = [("first token", self.online_ms.first_token), ("whole", self.online_ms.whole)];
        for (name, row) in rows {
            table.push_str(&format!(
                "{name:<11} {:>8.1}   {:>8.1}   {:>8.1}   {:>8.1}\n",
                row.p50, row.p95, row.p99, row.p999,
            ));
        }
        table.push_str(&format!("\nbatch items/s {:.1}\n", self.batch_items_per_second));
        table
    }
}
