//! Processes of this build and of the one before, which knows no software versions and no messages
//! between single processes.

use std::sync::Arc;

use borsh::BorshDeserialize;
use yokefall_core::membership::Datagram;
use yokefall_serving::direct_messages::{Envelope, MessageKind};
use yokefall_serving::peer_sync::StateDigest;
use yokefall_serving::state_exchange::{
    BackendUpdates, StateRequest, StateResponse, VersionedBackend,
};
use yokefall_serving::state_sections::{decode, encode, requesting_sections, requests_sections};
use yokefall_serving::watch::PlatformState;
use yokefall_serving::{empty_catalog, Backend, BackendState, SoftwareVersion};

fn backend(id: &str, started_ms: u64, version: SoftwareVersion) -> Backend {
    Backend {
        id: id.into(),
        started_ms,
        service: "models".into(),
        address: "127.0.0.1:9".parse().expect("an address"),
        zone: "hall-1".into(),
        slots: 8,
        state: BackendState::Ready,
        cold_remaining_ms: 0,
        software_version: version,
    }
}

fn named(version: &str) -> SoftwareVersion {
    SoftwareVersion::Named(version.into())
}

fn versioned(backend: Backend, revision: u64) -> VersionedBackend {
    VersionedBackend { name: backend.id.clone(), revision, backend }
}

fn response() -> StateResponse {
    let changed = vec![
        versioned(backend("i-1", 1, named("v1")), 4),
        versioned(backend("i-2", 1, SoftwareVersion::Unknown), 5),
        versioned(backend("i-3", 1, SoftwareVersion::Unnamed), 6),
        versioned(backend("i-4", 1, named("v1")), 7),
    ];
    StateResponse {
        known: StateDigest { backends_revision: 7, ..StateDigest::default() },
        configuration: None,
        backends: BackendUpdates { since: None, changed, removed: Vec::new() },
        evacuations: None,
    }
}

/// As the build before does it: to the last byte.
fn decode_as_older_build(bytes: &[u8]) -> std::io::Result<StateResponse> {
    borsh::from_slice(bytes)
}

#[test]
fn a_response_to_this_build_tells_software_versions() {
    let bytes = encode(&response(), true).expect("encoded");
    assert_eq!(decode(&bytes).expect("decoded"), response());
}

#[test]
fn a_response_to_an_older_build_keeps_its_form() {
    let bytes = encode(&response(), false).expect("encoded");
    let decoded = decode_as_older_build(&bytes).expect("an older build reads all of it");
    assert!(decoded.backends.changed.iter().all(|it| !it.backend.software_version.is_known()));
    // This build reads that of an older one, and knows that versions are lacking.
    assert_eq!(decode(&bytes).expect("decoded"), decoded);
}

/// Requests keep their form too; an older build takes a request for a subset for what it is.
#[test]
fn requests_of_this_build_are_read_by_older_ones() {
    let own = StateDigest { backends_digest: 77, backends_revision: 9, ..StateDigest::default() };
    let changes = StateRequest { known: own, whole: false };
    let none = StateDigest::default().requesting_subset();
    let subset = StateRequest { known: none, whole: false };
    for request in [changes, subset] {
        assert!(!requests_sections(&request), "an older build requests none");
        let extended = requesting_sections(request);
        assert!(requests_sections(&extended));
        assert_eq!(extended.known.requests_subset(), request.known.requests_subset());
        assert_eq!(extended.known.backends_revision, request.known.backends_revision);
    }
}

#[test]
fn sections_of_newer_builds_are_skipped() {
    let mut bytes = encode(&response(), false).expect("encoded");
    bytes.extend([200, 3, 0, 0, 0, 1, 2, 3]);
    assert_eq!(decode(&bytes).expect("decoded").backends.changed.len(), 4);
    bytes.extend([1, 9]);
    assert!(decode(&bytes).is_err(), "a torn section");
}

/// A record that comes once more from an older build does not take the version away, and a version
/// that is told later completes the record without a new revision.
#[test]
fn software_versions_outlast_records_of_older_builds() {
    let mut state = PlatformState::new(empty_catalog(), Arc::default());
    let version = |state: &PlatformState| {
        let held = state.backends().values().next().expect("a back end");
        held.software_version.clone()
    };
    let peer = |revision| StateDigest { backends_revision: revision, ..StateDigest::default() };
    let list = |version, revision| BackendUpdates {
        since: None,
        changed: vec![versioned(backend("i-1", 1, version), revision)],
        removed: Vec::new(),
    };
    state.apply_backend_updates(peer(4), list(SoftwareVersion::Unknown, 4));
    assert!(state.lacks_software_versions());
    state.complete_software_versions(&list(named("v1"), 3).changed);
    assert_eq!(version(&state), named("v1"));
    assert!(!state.lacks_software_versions());
    state.apply_backend_updates(peer(5), list(SoftwareVersion::Unknown, 5));
    assert_eq!(version(&state), named("v1"));

    // Another incarnation may run another version.
    let restarted = vec![versioned(backend("i-1", 2, SoftwareVersion::Unknown), 6)];
    let updates = BackendUpdates { since: None, changed: restarted, removed: Vec::new() };
    state.apply_backend_updates(peer(6), updates);
    assert_eq!(version(&state), SoftwareVersion::Unknown);
    state.complete_software_versions(&list(named("v1"), 5).changed);
    assert_eq!(version(&state), SoftwareVersion::Unknown);
}

#[test]
fn older_builds_drop_messages_between_single_processes() {
    let envelope = Envelope { kind: MessageKind::StreamOrigin, content: vec![1, 2, 3] };
    let bytes = envelope.encode();
    assert_eq!(bytes, [255, 255, 255, 255, 1, 0, 3, 0, 0, 0, 1, 2, 3]);
    assert_eq!(Envelope::decode(&bytes), Some(envelope));
    assert!(Datagram::try_from_slice(&bytes).is_err());
    let of_newer_build = [255, 255, 255, 255, 1, 9, 0, 0, 0, 0];
    assert_eq!(Envelope::decode(&of_newer_build), None);
}
