//! What a deployment promises of zones and of back ends that are not warm yet.

use serde::{Deserialize, Serialize};

/// The `[placement]` section of settings.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct PlacementBounds {
    /// Time within which nothing more goes to a zone that an operator has evacuated, in milliseconds. `None`
    /// where operators evacuate no zones: requests to do so are not read then.
    pub evacuation_ms: Option<u64>,
    /// What a cold back end may get in one second, summed over all processes, in parts of what it bears
    /// (`WarmUp::per_1000_seconds`).
    pub cold_overage: f64,
    /// Requests that it may get beyond that in one second.
    pub cold_slack: f64,
}

impl Default for PlacementBounds {
    fn default() -> Self {
        Self { evacuation_ms: None, cold_overage: 1.0, cold_slack: 0.0 }
    }
}

impl PlacementBounds {
    /// Whether decisions rest on what the platform's store told lately: on a zone that is not evacuated, or on a
    /// back end that is not cold.
    pub fn needs_fresh_state(&self) -> bool {
        *self != Self::default()
    }

    /// The error is key, value and what would do.
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
