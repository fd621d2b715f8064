//! Compact digest of a process's state by which peers find out who is ahead.

use borsh::{BorshDeserialize, BorshSerialize};
use yokefall_core::membership::ObjectDigest;

/// Digest sent by a process without back ends to request a subset of them. No list has this digest.
const SUBSET_REQUEST_DIGEST: u64 = 1;
/// Digest sent by a process that reads `state_sections`. No list has this digest, and responders of
/// older builds compare it only with that of a request for a subset.
pub(crate) const SECTIONS_REQUEST_DIGEST: u64 = 2;

/// Digest of the state of one process; fits into a datagram.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub struct StateDigest {
    /// Version of the configuration.
    pub version: u64,
    /// Digest of the back ends and their states.
    pub backends_digest: u64,
    /// Store revision up to which the back ends are known.
    pub backends_revision: u64,
    /// Evacuated zones; revision 0 if none have been received yet.
    pub evacuations: ObjectDigest,
}

impl StateDigest {
    /// Whether this state has to be announced, given the state announced last.
    pub fn differs_from(self, announced: StateDigest) -> bool {
        self.version > announced.version
            || self.backends_digest != announced.backends_digest
            || self.evacuations.digest != announced.evacuations.digest
            || (self.evacuations.revision > 0) != (announced.evacuations.revision > 0)
    }

    pub(crate) fn should_fetch_from(self, peer: StateDigest) -> bool {
        self.lacks(peer) || self.lacks_any_backend(peer)
    }

    pub(crate) fn lacks(self, peer: StateDigest) -> bool {
        self.version < peer.version || self.lacks_backends(peer) || self.lacks_evacuations(peer)
    }

    /// Whether no back ends are known here and the peer knows some.
    pub(crate) fn lacks_any_backend(self, peer: StateDigest) -> bool {
        self.backends_revision == 0 && self.backends_digest == 0 && peer.backends_digest != 0
    }

    /// Returns the digest that requests a subset of the back ends; peers of older builds send all.
    pub fn requesting_subset(self) -> Self {
        Self { backends_digest: SUBSET_REQUEST_DIGEST, ..self }
    }

    /// Whether a request wants only a subset of the back ends.
    pub fn requests_subset(self) -> bool {
        self.backends_revision == 0 && self.backends_digest == SUBSET_REQUEST_DIGEST
    }

    /// Whether a peer is ahead in anything other than back ends, which must not be delayed.
    pub(crate) fn lacks_urgent_state(self, peer: StateDigest) -> bool {
        self.version < peer.version || self.lacks_evacuations(peer)
    }

    /// Whether a peer is ahead in back ends.
    pub fn lacks_backends(self, peer: StateDigest) -> bool {
        self.backends_digest != peer.backends_digest
            && self.backends_revision < peer.backends_revision
    }

    /// Whether a peer is ahead in evacuated zones. A process without any information also lacks the
    /// fact that no zone is evacuated.
    pub fn lacks_evacuations(self, peer: StateDigest) -> bool {
        let (own, peer) = (self.evacuations, peer.evacuations);
        own.revision < peer.revision && (own.digest != peer.digest || own.revision == 0)
    }
}
