//! Errors of peer connections: the step and the peer at which they arose.

use std::fmt;
use std::net::SocketAddr;

/// The step that failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PeerStep {
    /// Opening the connection.
    Connect,
    /// Exchanging the first message.
    Handshake,
    /// Writing a request.
    Send,
    /// Waiting for a reply.
    Receive,
    /// Decoding a message.
    Decode,
}

/// A failure between two processes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PeerError {
    /// The step that failed.
    pub step: PeerStep,
    /// The other process.
    pub peer: SocketAddr,
    /// The cause.
    pub cause: String,
}

impl PeerError {
    pub(crate) fn new(step: PeerStep, peer: SocketAddr, cause: impl fmt::Display) -> Self {
        Self { step, peer, cause: cause.to_string() }
    }

    /// Whether the request cannot have reached the peer.
    pub fn proves_not_sent(&self) -> bool {
        matches!(self.step, PeerStep::Connect | PeerStep::Handshake)
    }
}

impl fmt::Display for PeerError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{:?} at peer {}: {}", self.step, self.peer, self.cause)
    }
}

impl std::error::Error for PeerError {}
