//! Faults that can be injected into an engine.

use serde::{Deserialize, Serialize};

/// A fault to inject into an engine, or to end.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "fault", rename_all = "snake_case")]
pub enum EngineFault {
    /// The process crashes: connections are cut, memory is lost, the port is closed.
    Die,
    /// The process starts again after a crash.
    Revive,
    /// The engine stops making progress, or resumes.
    Hang {
        /// Whether it hangs.
        on: bool,
    },
    /// The duration of iterations is multiplied by a factor.
    Slow {
        /// The factor; 1 is normal.
        factor: f64,
    },
    /// Every open stream is cut before its end.
    CutStreams,
    /// Work is executed but its answers are not sent, until the fault ends.
    LoseAnswers {
        /// Whether answers are lost.
        on: bool,
    },
    /// Events contain malformed JSON, until the fault ends.
    BadJson {
        /// Whether events are malformed.
        on: bool,
    },
    /// Events contain malformed UTF-8, until the fault ends.
    BadText {
        /// Whether events are malformed.
        on: bool,
    },
}

#[derive(Clone, Copy, Debug)]
pub(super) struct Faults {
    pub(super) hang: bool,
    pub(super) slow: f64,
    pub(super) lose_answers: bool,
    pub(super) bad_json: bool,
    pub(super) bad_text: bool,
}

impl Faults {
    pub(super) fn none() -> Self {
        Self { hang: false, slow: 1.0, lose_answers: false, bad_json: false, bad_text: false }
    }
}
