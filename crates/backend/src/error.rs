//! Errors of calls to back ends: the step, the peer, and whether anything was sent.

use std::fmt;

/// The step that failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BackendStep {
    /// Opening the connection: nothing was sent.
    Connect,
    /// Sending the request, or waiting for the status.
    Request,
    /// The back end answered with a status other than success.
    Status(u16),
    /// Reading the answer: it broke off before its end.
    Cut,
    /// Reading the answer: nothing came for too long.
    Stalled,
    /// Reading the answer: malformed UTF-8, JSON or events.
    Decode,
    /// The answer is above the limit.
    TooLarge,
}

/// A failed call to a back end.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct BackendError {
    /// The step.
    pub step: BackendStep,
    /// HTTP address of the back end.
    pub peer: String,
    /// The cause.
    pub cause: String,
}

/// Status with which a back end refuses work that it did not begin.
const STATUS_NOT_BEGUN: [u16; 2] = [429, 503];

impl BackendError {
    pub(crate) fn new(step: BackendStep, peer: &str, cause: impl fmt::Display) -> Self {
        Self { step, peer: peer.to_owned(), cause: cause.to_string() }
    }

    /// Whether the back end cannot have begun the work.
    pub fn proves_not_run(&self) -> bool {
        match self.step {
            BackendStep::Connect => true,
            BackendStep::Status(status) => {
                STATUS_NOT_BEGUN.contains(&status) || self.is_rejection()
            }
            _ => false,
        }
    }

    /// Whether the back end refuses this request for what it contains, wherever it is sent.
    pub fn is_rejection(&self) -> bool {
        matches!(self.step, BackendStep::Status(status) if (400..500).contains(&status)
            && !STATUS_NOT_BEGUN.contains(&status))
    }
}

impl fmt::Display for BackendError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{:?} at back end {}: {}", self.step, self.peer, self.cause)
    }
}

impl std::error::Error for BackendError {}
