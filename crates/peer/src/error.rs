//! Errors of peer connections, with the operation that failed and the peer's address.

use std::fmt;
use std::net::SocketAddr;

/// The operation that failed. The variant names appear in error messages.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PeerStep {
    /// Opening the connection.
    Connect,
    /// Authenticating and agreeing on the protocol version.
    Handshake,
    /// Writing a request.
    Send,
    /// Waiting for a reply.
    Receive,
    /// Decoding a message.
    Decode,
}

/// A failed exchange with another process.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PeerError {
    /// The operation that failed.
    pub step: PeerStep,
    /// Address of the other process.
    pub peer: SocketAddr,
    /// The cause.
    pub cause: String,
}

impl PeerError {
    pub(crate) fn new(step: PeerStep, peer: SocketAddr, cause: impl fmt::Display) -> Self {
        Self { step, peer, cause: cause.to_string() }
    }

    /// Whether the request is certain not to have reached the peer.
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
