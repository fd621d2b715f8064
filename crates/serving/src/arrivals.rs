//! Arrival rates of requests to a service.

use yokefall_core::Timestamp;

/// Averaging time of this process's own arrival rate, in milliseconds: well below the length of a
/// burst. Load reports sum the rates of all gateways, so the sum is accurate where each is not.
const RATE_WINDOW_MS: f64 = 500.0;
/// Averaging time, in milliseconds, of the rate from which arrivals at other processes are
/// inferred: a shorter average takes two requests in a row for a burst.
const INFERRED_RATE_WINDOW_MS: f64 = 2_000.0;
/// Lifetime of a reported rate, in milliseconds; load reports repeat it every half second.
const REPORTED_RATE_LIFETIME_MS: u64 = 1_500;

/// Rate of this process's own requests to a service.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Arrivals {
    at: Timestamp,
    per_ms: f64,
    /// The rate averaged over `INFERRED_RATE_WINDOW_MS`.
    pub(crate) steady_per_ms: f64,
}

impl Arrivals {
    /// A rate of zero, measured from `at` on.
    pub(crate) fn since(at: Timestamp) -> Self {
        Self { at, ..Self::default() }
    }

    pub(crate) fn record(&mut self, now: Timestamp) {
        let elapsed = now.millis_since(self.at) as f64;
        self.per_ms = self.per_ms(now) + 1.0 / RATE_WINDOW_MS;
        self.steady_per_ms = self.steady_per_ms * (-elapsed / INFERRED_RATE_WINDOW_MS).exp()
            + 1.0 / INFERRED_RATE_WINDOW_MS;
        self.at = now;
    }

    pub(crate) fn per_ms(&self, now: Timestamp) -> f64 {
        self.per_ms * (-(now.millis_since(self.at) as f64) / RATE_WINDOW_MS).exp()
    }
}

/// Reported rate of the requests of all processes to a service.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ReportedRate {
    pub(crate) at: Timestamp,
    pub(crate) per_ms: f64,
}

impl ReportedRate {
    pub(crate) fn is_recent(&self, now: Timestamp) -> bool {
        now.millis_since(self.at) < REPORTED_RATE_LIFETIME_MS
    }
}
