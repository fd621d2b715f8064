//! What the operators tolerate beyond a limit, and what follows for tokens.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::slot::PARTS_PER_LIMIT;

/// Part of the tolerance in proportion to the limit that the lifetime of tokens may use; the rest is
/// for clocks that differ in rate and for requests on their way.
const TOKEN_LIFETIME_FRACTION: f64 = 0.8;
/// Part of the fixed tolerance by which buckets are larger than the burst; the rest is for accountants
/// that begin anew, which grant a first token each, and for gateways that stand still between the last
/// look at a token and the send.
const EXTRA_TOKENS_FRACTION: f64 = 0.6;
/// Shortest lifetime of a token: a round trip between zones and a pause of the processor.
const MIN_TOKEN_LIFETIME: Duration = Duration::from_millis(150);

/// Bounds of the limits, as operators know them: in every window a tenant may send
/// (rate x window + burst) x (1 + overage) + slack.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct QuotaBounds {
    /// Length of the window, in seconds.
    pub window_seconds: f64,
    /// Tolerated part beyond the limit.
    pub overage: f64,
    /// Requests tolerated beyond that.
    pub slack: u32,
}

impl Default for QuotaBounds {
    fn default() -> Self {
        Self { window_seconds: 5.0, overage: 0.1, slack: 20 }
    }
}

impl QuotaBounds {
    /// Time within which a token must be spent. A window of sends has the grants of a window that is
    /// longer by this, which the overage allows for.
    pub fn token_lifetime(&self) -> Duration {
        let tolerated = self.window_seconds * self.overage * TOKEN_LIFETIME_FRACTION;
        Duration::from_secs_f64(tolerated).max(MIN_TOKEN_LIFETIME)
    }

    /// Tokens by which the bucket of each part is larger than its part of the burst.
    pub fn extra_tokens(&self) -> u64 {
        (f64::from(self.slack) * EXTRA_TOKENS_FRACTION / f64::from(PARTS_PER_LIMIT)) as u64
    }

    /// Most requests of a tenant in a window.
    pub fn max_requests_in_window(&self, limit: yokefall_types::RateLimit) -> f64 {
        let limit =
            limit.per_1000_seconds as f64 / 1_000.0 * self.window_seconds + limit.burst as f64;
        limit * (1.0 + self.overage) + f64::from(self.slack)
    }

    /// The error names the field and what would do.
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
