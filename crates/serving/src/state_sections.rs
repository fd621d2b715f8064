//! Sections after the response of a state exchange, for what its form has no room for.
//!
//! Older builds read the response to its last byte and send none of these, so that sections are
//! only appended for a requester that asks for them. Each has a kind and a length; a reader skips
//! the kinds that it does not know.

use borsh::{BorshDeserialize, BorshSerialize};

use crate::model::SoftwareVersion;
use crate::state_digest::SECTIONS_REQUEST_DIGEST;
use crate::state_exchange::{BackendUpdates, StateRequest, StateResponse};

const SOFTWARE_VERSIONS_KIND: u8 = 1;

#[derive(BorshSerialize, BorshDeserialize)]
struct Section {
    kind: u8,
    content: Vec<u8>,
}

/// Software versions of the back ends in a response, in the same order.
#[derive(BorshSerialize, BorshDeserialize)]
struct VersionsSection {
    /// The distinct versions; `None` stands for records that name none.
    versions: Vec<Option<String>>,
    /// For each back end, one more than the index of its version; 0 if it is not known.
    numbers: Vec<u32>,
}

impl VersionsSection {
    fn of(updates: &BackendUpdates) -> Self {
        let mut section = Self { versions: Vec::new(), numbers: Vec::new() };
        for change in &updates.changed {
            let number = match &change.backend.software_version {
                SoftwareVersion::Unknown => 0,
                SoftwareVersion::Unnamed => section.number_of(None),
                SoftwareVersion::Named(name) => section.number_of(Some(name)),
            };
            section.numbers.push(number);
        }
        section
    }

    fn number_of(&mut self, version: Option<&str>) -> u32 {
        let known = self.versions.iter().position(|held| held.as_deref() == version);
        let index = known.unwrap_or_else(|| {
            self.versions.push(version.map(str::to_owned));
            self.versions.len() - 1
        });
        index as u32 + 1
    }

    fn apply(self, updates: &mut BackendUpdates) {
        let versions: Vec<SoftwareVersion> =
            self.versions.iter().map(|name| SoftwareVersion::of_record(name.as_deref())).collect();
        for (change, number) in updates.changed.iter_mut().zip(self.numbers) {
            let index = (number as usize).checked_sub(1);
            let version = index.and_then(|index| versions.get(index).cloned());
            change.backend.software_version = version.unwrap_or_default();
        }
    }
}

/// The request of a process that reads sections. A request for a subset keeps its digest, by which
/// older builds recognize it, and they ignore `whole` in it.
pub fn requesting_sections(mut request: StateRequest) -> StateRequest {
    match request.known.requests_subset() {
        true => request.whole = true,
        false => request.known.backends_digest = SECTIONS_REQUEST_DIGEST,
    }
    request
}

/// Whether the requester reads sections.
pub fn requests_sections(request: &StateRequest) -> bool {
    let is_subset = request.known.requests_subset();
    request.known.backends_digest == SECTIONS_REQUEST_DIGEST || (is_subset && request.whole)
}

/// Encodes a response, with sections if the requester reads them.
pub fn encode(response: &StateResponse, with_sections: bool) -> std::io::Result<Vec<u8>> {
    let mut bytes = borsh::to_vec(response)?;
    if with_sections && !response.backends.changed.is_empty() {
        let content = borsh::to_vec(&VersionsSection::of(&response.backends))?;
        Section { kind: SOFTWARE_VERSIONS_KIND, content }.serialize(&mut bytes)?;
    }
    Ok(bytes)
}

/// Decodes a response with the sections that follow it, if any.
pub fn decode(mut bytes: &[u8]) -> std::io::Result<StateResponse> {
    let mut response = StateResponse::deserialize(&mut bytes)?;
    while !bytes.is_empty() {
        let Section { kind, content } = Section::deserialize(&mut bytes)?;
        if kind == SOFTWARE_VERSIONS_KIND {
            borsh::from_slice::<VersionsSection>(&content)?.apply(&mut response.backends);
        }
    }
    Ok(response)
}
