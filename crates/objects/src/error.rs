//! Errors of calls to the platform.

use std::fmt;

/// The operation that failed. The variant names appear in error messages.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PlatformStep {
    /// Building the client.
    Configure,
    /// Listing objects.
    List,
    /// Watching objects.
    Watch,
    /// Writing an object.
    Write,
    /// Reading an object.
    Read,
    /// Reading the machine list.
    Machines,
    /// Decoding an object.
    Decode,
}

/// A failed call to the platform.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PlatformError {
    /// The operation that failed.
    pub step: PlatformStep,
    /// URL of the platform's service.
    pub peer: String,
    /// The cause.
    pub cause: String,
}

impl PlatformError {
    pub(crate) fn new(step: PlatformStep, peer: &str, cause: impl fmt::Display) -> Self {
        Self { step, peer: peer.to_owned(), cause: cause.to_string() }
    }
}

impl fmt::Display for PlatformError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{:?} at {}: {}", self.step, self.peer, self.cause)
    }
}

impl std::error::Error for PlatformError {}
