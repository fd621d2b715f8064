//! What a process knows of the platform's objects, in numbers by which peers find out who knows more.

use borsh::{BorshDeserialize, BorshSerialize};
use yokefall_core::membership::ObjectDigest;

/// Digest in a request of a process that knows no back ends, by which it asks for some of them: no list has it.
const PART_WANTED: u64 = 1;

/// What one process knows, in numbers that fit a datagram.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub struct StateDigest {
    /// Version of the configuration.
    pub version: u64,
    /// Digest of the back ends and their states.
    pub backends_digest: u64,
    /// Store revision up to which the back ends are known.
    pub backends_revision: u64,
    /// Evacuated zones; their revision is 0 where nothing was heard of them yet.
    pub evacuations: ObjectDigest,
}

impl StateDigest {
    /// Whether this says more than what was told before.
    pub fn differs_from(self, told: StateDigest) -> bool {
        self.version > told.version
            || self.backends_digest != told.backends_digest
            || self.evacuations.digest != told.evacuations.digest
            || (self.evacuations.revision > 0) != (told.evacuations.revision > 0)
    }

    /// Whether a peer is to be asked.
    pub(crate) fn wants_of(self, peer: StateDigest) -> bool {
        self.lacks(peer) || self.lacks_any_backend(peer)
    }

    /// Whether a peer knows more.
    pub(crate) fn lacks(self, peer: StateDigest) -> bool {
        self.version < peer.version || self.lacks_backends(peer) || self.lacks_evacuations(peer)
    }

    /// Whether nothing is known of back ends, and a peer knows some.
    pub(crate) fn lacks_any_backend(self, peer: StateDigest) -> bool {
        self.backends_revision == 0 && self.backends_digest == 0 && peer.backends_digest != 0
    }

    /// The same in a request that wants some of the back ends, and not all. Peers of a build before that tell all.
    pub fn asking_for_part(self) -> Self {
        Self { backends_digest: PART_WANTED, ..self }
    }

    /// Whether a request wants some of the back ends, and not all.
    pub fn wants_part(self) -> bool {
        self.backends_revision == 0 && self.backends_digest == PART_WANTED
    }

    /// Whether a peer knows more beside back ends, which nothing is to wait for.
    pub(crate) fn lacks_urgently(self, peer: StateDigest) -> bool {
        self.version < peer.version || self.lacks_evacuations(peer)
    }

    /// Whether a peer knows more of back ends.
    pub fn lacks_backends(self, peer: StateDigest) -> bool {
        self.backends_digest != peer.backends_digest
            && self.backends_revision < peer.backends_revision
    }

    /// Whether a peer knows more of evacuated zones. Whoever has heard of none yet lacks also that there is none.
    pub fn lacks_evacuations(self, peer: StateDigest) -> bool {
        let (own, peer) = (self.evacuations, peer.evacuations);
        own.revision < peer.revision && (own.digest != peer.digest || own.revision == 0)
    }
}
