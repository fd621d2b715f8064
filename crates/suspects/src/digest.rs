//! The identity of a request across all of its attempts, and of a part of prompts.

use std::fmt;

use borsh::{BorshDeserialize, BorshSerialize};
use sha2::{Digest, Sha256};

use crate::keys::PartIdentity;

/// Length of a digest: 128 bits of SHA-256, so that nobody can have another's request held back.
const DIGEST_BYTES: usize = 16;
/// First field of the digest of a part; no HTTP method contains a space.
const PART_KIND: &str = "prompt part";
/// Number of bytes that log lines show.
const DISPLAYED_BYTES: usize = 6;

/// The properties that make two attempts the same request.
#[derive(Clone, Copy, Debug)]
pub struct RequestIdentity<'a> {
    /// HTTP method.
    pub method: &'a str,
    /// Host that it is sent to, in lower case.
    pub host: &'a str,
    /// Path including the query.
    pub path: &'a str,
    /// Name of the tenant that sends it; empty if there is none.
    pub tenant: &'a str,
    /// Body.
    pub body: &'a [u8],
}

/// Digest of a `RequestIdentity`, without attempt ids, deadlines and stream positions, or of a
/// `PartIdentity`. Messages and files do not distinguish the two.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, BorshSerialize, BorshDeserialize,
)]
pub struct RequestDigest([u8; DIGEST_BYTES]);

impl RequestDigest {
    /// Computes the digest of a request in one pass over its body.
    pub fn of(identity: &RequestIdentity) -> Self {
        let RequestIdentity { method, host, path, tenant, body } = *identity;
        Self::of_fields(&[
            method.as_bytes(),
            host.as_bytes(),
            path.as_bytes(),
            tenant.as_bytes(),
            body,
        ])
    }

    /// Computes the digest of a part of prompts.
    pub fn of_part(identity: &PartIdentity) -> Self {
        let PartIdentity { service, tenant, part } = *identity;
        Self::of_fields(&[
            PART_KIND.as_bytes(),
            service.as_bytes(),
            tenant.as_bytes(),
            part.as_bytes(),
        ])
    }

    fn of_fields(fields: &[&[u8]]) -> Self {
        let mut hash = Sha256::new();
        for field in fields {
            // The length prefix keeps the end of a field from passing for the start of the next.
            hash.update((field.len() as u64).to_le_bytes());
            hash.update(field);
        }
        let mut bytes = [0; DIGEST_BYTES];
        bytes.copy_from_slice(&hash.finalize()[..DIGEST_BYTES]);
        Self(bytes)
    }

    /// The bytes.
    pub fn bytes(&self) -> &[u8] {
        &self.0
    }
}

impl fmt::Display for RequestDigest {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        for byte in &self.0[..DISPLAYED_BYTES] {
            write!(formatter, "{byte:02x}")?;
        }
        Ok(())
    }
}
