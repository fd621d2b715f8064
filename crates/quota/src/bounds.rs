//! Tolerance beyond a limit that operators configure, and the token parameters derived from it.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::slot::PARTS_PER_LIMIT;

/// Fraction of the overage for the token lifetime; the rest covers clock rates and transit times.
const TOKEN_LIFETIME_FRACTION: f64 = 0.8;
/// Fraction of the fixed tolerance by which buckets exceed the burst. The rest covers one initial
/// token per restarted issuer, and gateways that stall between checking a token and sending.
const EXTRA_TOKENS_FRACTION: f64 = 0.6;
/// Minimum lifetime of a token: a round trip between zones plus a scheduling stall.
const MIN_TOKEN_LIFETIME: Duration = Duration::from_millis(150);

/// In any window a tenant sends at most (rate x window + burst) x (1 + overage) + slack requests.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct QuotaBounds {
    /// Length of the window, in seconds.
    pub window_seconds: f64,
    /// Tolerated fraction beyond the limit.
    pub overage: f64,
    /// Number of requests tolerated on top of that.
    pub slack: u32,
}

impl Default for QuotaBounds {
    fn default() -> Self {
        Self { window_seconds: 5.0, overage: 0.1, slack: 20 }
    }
}

impl QuotaBounds {
    /// Time within which a token must be spent; the overage covers those granted before a window.
    pub fn token_lifetime(&self) -> Duration {
        let tolerated = self.window_seconds * self.overage * TOKEN_LIFETIME_FRACTION;
        Duration::from_secs_f64(tolerated).max(MIN_TOKEN_LIFETIME)
    }

    /// Number of tokens by which the bucket of each part exceeds its share of the burst.
    pub fn extra_tokens(&self) -> u64 {
        (f64::from(self.slack) * EXTRA_TOKENS_FRACTION / f64::from(PARTS_PER_LIMIT)) as u64
    }

    /// Maximum number of requests of a tenant in one window.
    pub fn max_requests_in_window(&self, limit: yokefall_types::RateLimit) -> f64 {
        let limit =
            limit.per_1000_seconds as f64 / 1_000.0 * self.window_seconds + limit.burst as f64;
        limit * (1.0 + self.overage) + f64::from(self.slack)
    }

    /// Checks all values; an error holds the key, the value and the accepted range.
    pub fn validate(&self) -> Result<(), (&'static str, String, &'static str)> {
        if !(0.1..=3_600.0).contains(&self.window_seconds) {
            let value = self.window_seconds.to_string();
            return Err(("quota.window_seconds", value, "give 0.1 to 3600"));
        }
        if !(0.0..=10.0).contains(&self.overage) {
            return Err(("quota.overage", self.overage.to_string(), "give 0 to 10"));
        }
        Ok(())
    }
}
