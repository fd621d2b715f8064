//! Classification of broken connections.

use std::rc::Rc;
use std::sync::Arc;

use tokio::net::TcpListener;
use tokio::time::Instant;
use yokefall_clock::{ElapsedClock, SuspensionSource};
use yokefall_serving::{
    empty_catalog, Backend, BackendIncarnation, BackendState, Catalog, CatalogCell,
};
use yokefall_suspects::{
    CrashInfo, DisconnectCause, Registry, RequestDigest, RequestIdentity, ResponseProgress,
    SuspectKeys, SuspectReport, SuspectStatus, SuspectUpdate,
};

fn digest() -> RequestDigest {
    digest_of("/")
}

fn keys() -> SuspectKeys {
    let (method, host) = ("GET", "maps.example");
    let identity = RequestIdentity { method, host, path: "/", tenant: "", body: b"" };
    SuspectKeys::of(&identity, "models", std::iter::empty())
}

fn digest_of(path: &str) -> RequestDigest {
    let (method, host) = ("GET", "maps.example");
    RequestDigest::of(&RequestIdentity { method, host, path, tenant: "", body: b"" })
}

fn backend(id: &str, address: std::net::SocketAddr) -> Backend {
    Backend {
        id: id.into(),
        started_ms: 0,
        service: "models".into(),
        address,
        zone: "hall-1".into(),
        slots: 8,
        state: BackendState::Ready,
        cold_remaining_ms: 0,
        software_version: Default::default(),
    }
}

fn registry(catalog: CatalogCell) -> Rc<Registry> {
    Registry::new(catalog, ElapsedClock::new(SuspensionSource::Machine))
}

fn catalog_of(backends: &[Backend]) -> CatalogCell {
    let cell = empty_catalog();
    let backends: Vec<Arc<Backend>> = backends.iter().cloned().map(Arc::new).collect();
    cell.store(Arc::new(Catalog::new(None, backends.iter())));
    cell
}

#[tokio::test]
async fn a_back_end_that_accepts_connections_has_not_crashed() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let running = backend("running", listener.local_addr().expect("an address"));
    let registry = registry(catalog_of(std::slice::from_ref(&running)));
    let cause = registry
        .record_disconnect(&running, Instant::now(), ResponseProgress::Beginning, keys)
        .await;
    assert_eq!(cause, DisconnectCause::Unknown);
    assert!(registry.is_empty());
    // It crashes later, and is checked again.
    drop(listener);
    assert_eq!(
        registry
            .record_disconnect(&running, Instant::now(), ResponseProgress::Beginning, keys)
            .await,
        DisconnectCause::BackendCrashed
    );
    assert!(!registry.is_empty());
    assert_eq!(registry.status(&digest()), SuspectStatus::Free);
}

#[tokio::test]
async fn the_end_of_a_back_end_that_was_about_to_leave_is_no_evidence() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let left = backend("left", listener.local_addr().expect("an address"));
    drop(listener);
    let registry = registry(catalog_of(&[]));
    assert_eq!(
        registry.record_disconnect(&left, Instant::now(), ResponseProgress::Beginning, keys).await,
        DisconnectCause::Unknown
    );
    assert!(registry.is_empty());
}

/// Guards against losing evidence in a process that has just started. Older crashes were clamped to
/// its start time, simultaneous, and proved nothing: it ran requests held back elsewhere.
#[tokio::test]
async fn a_process_that_has_just_started_holds_back_what_others_hold_back() {
    let update_of = |path: &str, offset: u64| {
        let crash = |number: u64| CrashInfo {
            backend: BackendIncarnation { id: format!("{path}-{number}"), started_ms: 0 },
            sent_age_ms: 50_000 - number * 2_000 + offset,
            crashed_age_ms: 49_900 - number * 2_000 + offset,
            rate: 1_000,
        };
        SuspectUpdate {
            digest: digest_of(path),
            crashes: (0..3).map(crash).collect(),
            answered_age_ms: None,
            isolated_age_ms: Some(46_100),
            inconclusive_age_ms: None,
            survived_ms: 0,
            probes: 1,
        }
    };
    let suspects = vec![update_of("/one", 0), update_of("/two", 300), update_of("/three", 700)];
    let registry = registry(catalog_of(&[]));
    registry.take(SuspectReport { suspects, crashed_backends: Vec::new() });
    for path in ["/one", "/two", "/three"] {
        let status = registry.status(&digest_of(path));
        let SuspectStatus::HeldBack { wait_ms } = status else { panic!("{path}: {status:?}") };
        // The second probe is due two minutes after the last crash.
        assert!((70_000..80_000).contains(&wait_ms), "{path}: {wait_ms}");
    }
}

/// Guards against holding back requests that broke off in a planned restart. A server restarts
/// under its id, and a process learns of the new incarnation before the connection breaks and finds
/// the old port closed. The ready id was taken for the incarnation that ran the request.
#[tokio::test]
async fn the_end_of_an_earlier_incarnation_is_no_evidence() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let before = backend("back", listener.local_addr().expect("an address"));
    drop(listener);
    let after = Backend { started_ms: 2, ..before.clone() };
    let registry = registry(catalog_of(&[after]));
    assert_eq!(
        registry
            .record_disconnect(&before, Instant::now(), ResponseProgress::Beginning, keys)
            .await,
        DisconnectCause::Unknown
    );
    assert!(registry.is_empty());
}
