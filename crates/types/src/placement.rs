//! Bounds on traffic to evacuated zones and to back ends that are not warm yet.

use serde::{Deserialize, Serialize};

/// The `[placement]` section of settings.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct PlacementBounds {
    /// Time within which new requests to a zone stop after an operator has evacuated it, in
    /// milliseconds. `None` if operators do not evacuate zones: such requests are not read then.
    pub evacuation_ms: Option<u64>,
    /// Load of a cold back end per second, summed over all processes, as a fraction of what it can
    /// handle (`WarmUp::per_1000_seconds`).
    pub cold_overage: f64,
    /// Number of requests per second that it may get beyond that.
    pub cold_slack: f64,
}

impl Default for PlacementBounds {
    fn default() -> Self {
        Self { evacuation_ms: None, cold_overage: 1.0, cold_slack: 0.0 }
    }
}

impl PlacementBounds {
    /// Whether decisions on evacuated zones and cold back ends require recent state of the store.
    pub fn needs_fresh_state(&self) -> bool {
        *self != Self::default()
    }

    /// Checks all values; an error holds the key, the value and the accepted range.
    pub fn validate(&self) -> Result<(), (&'static str, String, &'static str)> {
        if self.evacuation_ms.is_some_and(|bound| !(100..=600_000).contains(&bound)) {
            let value = format!("{:?}", self.evacuation_ms);
            return Err(("placement.evacuation_ms", value, "give 100 to 600000"));
        }
        if !(0.0..=1e3).contains(&self.cold_overage) {
            let value = self.cold_overage.to_string();
            return Err(("placement.cold_overage", value, "give 0 to 1000"));
        }
        if !(0.0..=1e6).contains(&self.cold_slack) {
            return Err(("placement.cold_slack", self.cold_slack.to_string(), "give 0 to 1000000"));
        }
        Ok(())
    }
}
