//! How many requests arrive at a service.

use yokefall_core::Timestamp;

/// Time over which the rate of own arrivals is averaged, in milliseconds: well below the length of a
/// wave. Reports add the rates of all gateways up, so that the sum is exact where each is not.
const RATE_MS: f64 = 500.0;
/// The same where arrivals at others are only inferred from this process's own: an average over a
/// shorter time takes two requests in a row for a wave.
const INFERRED_RATE_MS: f64 = 2_000.0;
/// Time for which the reported arrivals of all processes count, in milliseconds; load reports repeat
/// them each half second.
const REPORTED_RATE_LIFETIME_MS: u64 = 1_500;

/// Rate of own requests to a service.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Arrivals {
    at: Timestamp,
    per_ms: f64,
    /// The same, averaged over a longer time.
    pub(crate) steady_per_ms: f64,
}

impl Arrivals {
    /// None yet.
    pub(crate) fn since(at: Timestamp) -> Self {
        Self { at, ..Self::default() }
    }

    /// Notes a request.
    pub(crate) fn note(&mut self, now: Timestamp) {
        let elapsed = now.millis_since(self.at) as f64;
        self.per_ms = self.per_ms(now) + 1.0 / RATE_MS;
        self.steady_per_ms =
            self.steady_per_ms * (-elapsed / INFERRED_RATE_MS).exp() + 1.0 / INFERRED_RATE_MS;
        self.at = now;
    }

    /// Requests in a millisecond.
    pub(crate) fn per_ms(&self, now: Timestamp) -> f64 {
        self.per_ms * (-(now.millis_since(self.at) as f64) / RATE_MS).exp()
    }
}

/// Requests of all processes to a service.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ReportedRate {
    pub(crate) at: Timestamp,
    pub(crate) per_ms: f64,
}

impl ReportedRate {
    /// Whether it still counts.
    pub(crate) fn is_recent(&self, now: Timestamp) -> bool {
        now.millis_since(self.at) < REPORTED_RATE_LIFETIME_MS
    }
}
