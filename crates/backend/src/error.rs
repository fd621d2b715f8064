//! Errors of calls to back ends, with the operation that failed and the address of the back end.

use std::fmt;

/// The operation that failed. The variant names appear in error messages.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BackendStep {
    /// Building the request or opening the connection. Nothing was sent.
    Connect,
    /// Sending the request or waiting for the response headers, which may also be unreliable.
    Request,
    /// The back end returned this HTTP status, which is not a success.
    Status(u16),
    /// Reading the answer: it was cut off, or exceeds the size limit of a plain service.
    Cut,
    /// Nothing was received within the stall timeout.
    Stalled,
    /// Reading the answer: UTF-8, JSON or server-sent events are malformed.
    Decode,
    /// The streamed answer exceeds the size limit, which the caller of this client checks.
    TooLarge,
}

/// A failed call to a back end.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct BackendError {
    /// The operation that failed.
    pub step: BackendStep,
    /// HTTP address of the back end.
    pub peer: String,
    /// The cause.
    pub cause: String,
}

/// Statuses with which a back end rejects a request before it starts to execute it.
const NOT_STARTED_STATUSES: [u16; 2] = [429, 503];

impl BackendError {
    pub(crate) fn new(step: BackendStep, peer: &str, cause: impl fmt::Display) -> Self {
        Self { step, peer: peer.to_owned(), cause: cause.to_string() }
    }

    /// Whether the request is certain not to have been executed.
    pub fn proves_not_run(&self) -> bool {
        match self.step {
            BackendStep::Connect => true,
            BackendStep::Status(status) => {
                NOT_STARTED_STATUSES.contains(&status) || self.is_rejection()
            }
            _ => false,
        }
    }

    /// Whether the request was rejected for its content: any other back end would reject it too.
    pub fn is_rejection(&self) -> bool {
        matches!(self.step, BackendStep::Status(status) if (400..500).contains(&status)
            && !NOT_STARTED_STATUSES.contains(&status))
    }
}

impl fmt::Display for BackendError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{:?} at back end {}: {}", self.step, self.peer, self.cause)
    }
}

impl std::error::Error for BackendError {}
