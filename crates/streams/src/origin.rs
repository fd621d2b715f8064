//! Keys and origins of streams.

use borsh::{BorshDeserialize, BorshSerialize};
use xxhash_rust::xxh3::xxh3_128;
use yokefall_serving::SoftwareVersion;

/// Identifies a stream by the client attempt that brought its first event.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, BorshSerialize, BorshDeserialize)]
pub struct StreamKey([u8; 16]);

impl StreamKey {
    /// The key of the stream that a client attempt with this id began.
    pub fn of_attempt(id: &str) -> Self {
        Self(xxh3_128(id.as_bytes()).to_le_bytes())
    }

    /// The key as bytes.
    pub fn as_bytes(&self) -> &[u8] {
        &self.0
    }
}

/// Where a stream began.
#[derive(Clone, Debug, PartialEq, Eq, Hash, BorshSerialize, BorshDeserialize)]
pub struct StreamOrigin {
    /// The service.
    pub service: String,
    /// Software version of the back end; `None` if its record names none.
    version_name: Option<String>,
}

impl StreamOrigin {
    /// The origin of a stream; `None` if the version is not known, so that nothing can be recorded.
    pub fn new(service: &str, software_version: &SoftwareVersion) -> Option<Self> {
        let version_name = match software_version {
            SoftwareVersion::Unknown => return None,
            SoftwareVersion::Unnamed => None,
            SoftwareVersion::Named(name) => Some(name.to_string()),
        };
        Some(Self { service: service.to_owned(), version_name })
    }

    /// Software version of the back end.
    pub fn software_version(&self) -> SoftwareVersion {
        SoftwareVersion::of_record(self.version_name.as_deref())
    }
}
