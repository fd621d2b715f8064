//! What a request may be suspected by: itself, and each part of its prompt that others may share.

use crate::digest::{RequestDigest, RequestIdentity};

/// Maximum number of parts of one prompt that are examined, from the first on: bounds what a crash
/// adds to the table.
const MAX_PARTS: usize = 32;

/// A part of a prompt, wherever it occurs.
#[derive(Clone, Copy, Debug)]
pub struct PartIdentity<'a> {
    /// Service that receives the prompt.
    pub service: &'a str,
    /// Name of the tenant that sends it; empty if there is none.
    pub tenant: &'a str,
    /// Id of the part.
    pub part: &'a str,
}

/// The keys under which evidence against a request is kept, from the broadest to the narrowest:
/// the shared parts of its prompt in order, then the request itself.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SuspectKeys {
    parts: Vec<RequestDigest>,
    request: RequestDigest,
}

impl SuspectKeys {
    /// The keys of a request to a service, whose prompt has these shared parts.
    pub fn of<'a>(
        identity: &RequestIdentity,
        service: &str,
        shared_parts: impl Iterator<Item = &'a str>,
    ) -> Self {
        let tenant = identity.tenant;
        let part_digest = |part| RequestDigest::of_part(&PartIdentity { service, tenant, part });
        let parts = shared_parts.take(MAX_PARTS).map(part_digest).collect();
        Self { parts, request: RequestDigest::of(identity) }
    }

    /// The request itself.
    pub fn request(&self) -> &RequestDigest {
        &self.request
    }

    /// The shared parts of its prompt.
    pub fn parts(&self) -> &[RequestDigest] {
        &self.parts
    }

    /// All keys, from the broadest to the narrowest.
    pub fn iter(&self) -> impl DoubleEndedIterator<Item = &RequestDigest> {
        self.parts.iter().chain(std::iter::once(&self.request))
    }
}
