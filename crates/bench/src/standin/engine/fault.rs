//! Faults of an engine.

use serde::{Deserialize, Serialize};

/// A fault of an engine.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "fault", rename_all = "snake_case")]
pub enum EngineFault {
    /// The process dies: connections are cut, memory is lost, the port is closed.
    Die,
    /// It comes back after a death.
    Revive,
    /// It stops to make progress, or goes on.
    Hang {
        /// Whether it hangs.
        on: bool,
    },
    /// Iterations take so many times their time.
    Slow {
        /// The factor; 1 is normal.
        factor: f64,
    },
    /// Every open stream is cut in the middle.
    CutStreams,
    /// Work is done and its answers are lost, or no longer.
    LoseAnswers {
        /// Whether answers are lost.
        on: bool,
    },
    /// Events are malformed JSON, or no longer.
    BadJson {
        /// Whether events are malformed.
        on: bool,
    },
    /// Events are malformed UTF-8, or no longer.
    BadText {
        /// Whether events are malformed.
        on: bool,
    },
}

/// The faults that are switched on.
#[derive(Clone, Copy, Debug)]
pub(super) struct Faults {
    pub(super) hang: bool,
    pub(super) slow: f64,
    pub(super) lose_answers: bool,
    pub(super) bad_json: bool,
    pub(super) bad_text: bool,
}

impl Faults {
    /// None.
    pub(super) fn none() -> Self {
        Self { hang: false, slow: 1.0, lose_answers: false, bad_json: false, bad_text: false }
    }
}
