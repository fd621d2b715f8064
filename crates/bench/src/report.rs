//! What a run reports: counts from the independent ledgers, and latencies.

use hdrhistogram::Histogram;
use serde::Serialize;

/// Greatest latency recorded, in microseconds.
const MAX_LATENCY_US: u64 = 600_000_000;
/// Significant digits of a latency.
const SIGNIFICANT_DIGITS: u8 = 3;

/// Counts of requests or items. Lost and doubled come from the stand-ins' ledgers and from what
/// callers saw, never from the product's own counters.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct OutcomeCounts {
    /// Taken on: not refused with the proof that nothing ran.
    pub accepted: u64,
    /// Ended with the whole right answer.
    pub completed: u64,
    /// Refused or ended without an answer, and said so truthfully.
    pub refused: u64,
    /// Ended without it being known whether they ran.
    pub unknown: u64,
    /// Accepted, and neither an answer nor an end was ever told, or the answer was wrong, or a
    /// refusal that proved "not run" was false.
    pub lost: u64,
    /// Answered twice, or run more than once although marked no-repeat.
    pub doubled: u64,
}

impl OutcomeCounts {
    /// Adds another count.
    pub fn add(&mut self, other: &OutcomeCounts) {
        self.accepted += other.accepted;
        self.completed += other.completed;
        self.refused += other.refused;
        self.unknown += other.unknown;
        self.lost += other.lost;
        self.doubled += other.doubled;
    }

    /// Whether a promise was broken.
    pub fn has_violations(&self) -> bool {
        self.lost + self.doubled > 0
    }
}

/// Latencies at the percentiles that are reported, in milliseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct Percentiles {
    /// Median.
    pub p50: f64,
    /// 95 in 100.
    pub p95: f64,
    /// 99 in 100.
    pub p99: f64,
    /// 999 in 1,000.
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

    /// Adds another histogram.
    pub fn add(&mut self, other: &Latencies) {
        let _ = self.histogram.add(&other.histogram);
    }

    /// Number of latencies recorded.
    pub fn count(&self) -> u64 {
        self.histogram.len()
    }

    /// The percentiles that are reported.
    pub fn percentiles(&self) -> Percentiles {
        let at = |quantile: f64| self.histogram.value_at_quantile(quantile) as f64 / 1_000.0;
        Percentiles { p50: at(0.5), p95: at(0.95), p99: at(0.99), p999: at(0.999) }
    }
}

/// Latencies of online requests.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct OnlineReport {
    /// From the intended arrival to the first token, model services only.
    pub first_token: Percentiles,
    /// From the intended arrival to the end, all services.
    pub whole: Percentiles,
}

/// What a whole run reports.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct RunReport {
    /// Online requests.
    pub requests: OutcomeCounts,
    /// Batch items.
    pub items: OutcomeCounts,
    /// Online latencies in milliseconds.
    pub online_ms: OnlineReport,
    /// Batch items completed a second, while load was offered.
    pub batch_items_per_second: f64,
    /// Time for which load was offered, in seconds.
    pub seconds: f64,
    /// Seed of the arrivals.
    pub seed: u64,
    /// Whether every process stopped with nothing cut off.
    pub clean_stop: bool,
}

impl RunReport {
    /// Whether a promise was broken.
    pub fn has_violations(&self) -> bool {
        self.requests.has_violations() || self.items.has_violations() || !self.clean_stop
    }

    /// The report as a table for people.
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
