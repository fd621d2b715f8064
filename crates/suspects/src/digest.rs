//! The name of a request over all of its attempts.

use std::fmt;

use borsh::{BorshDeserialize, BorshSerialize};
use sha2::{Digest, Sha256};

/// Bytes of a digest: 128 bits of SHA-256, so that nobody finds a second request with the digest of
/// another's and has that one held back.
const DIGEST_BYTES: usize = 16;
/// Bytes of a digest that lines show.
const DISPLAYED_BYTES: usize = 6;

/// What makes two attempts the same request.
#[derive(Clone, Copy, Debug)]
pub struct RequestIdentity<'a> {
    /// Method.
    pub method: &'a str,
    /// Host that it is sent to, in lower case.
    pub host: &'a str,
    /// Path with its query.
    pub path: &'a str,
    /// Name of the tenant that sends it; empty where there is none.
    pub tenant: &'a str,
    /// Body.
    pub body: &'a [u8],
}

/// A digest of what makes two attempts the same request. Ids of attempts, deadlines and the event after
/// which a stream goes on are no part of it.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, BorshSerialize, BorshDeserialize,
)]
pub struct RequestDigest([u8; DIGEST_BYTES]);

impl RequestDigest {
    /// The digest of a request: one pass over its body.
    pub fn of(identity: &RequestIdentity) -> Self {
        let RequestIdentity { method, host, path, tenant, body } = *identity;
        let mut hash = Sha256::new();
        let fields = [method.as_bytes(), host.as_bytes(), path.as_bytes(), tenant.as_bytes(), body];
        for field in fields {
            // Its length first: the end of one field must not pass for the beginning of the next.
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
