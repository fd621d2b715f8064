//! What a connection that broke off comes to.

use std::rc::Rc;
use std::sync::Arc;

use tokio::net::TcpListener;
use tokio::time::Instant;
use yokefall_clock::{ElapsedClock, SuspensionSource};
use yokefall_serving::{
    empty_catalog, Backend, BackendIncarnation, BackendState, Catalog, CatalogCell,
};
use yokefall_suspects::{
    Conclusion, EndNews, Registry, RequestDigest, RequestIdentity, SuspectReport, SuspectStatus,
    SuspectUpdate,
};

fn digest() -> RequestDigest {
    digest_of("/")
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
async fn a_back_end_that_takes_connections_has_not_ended() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let lives = backend("lives", listener.local_addr().expect("an address"));
    let registry = registry(catalog_of(std::slice::from_ref(&lives)));
    let conclusion = registry.record_disconnect(&lives, Instant::now(), digest).await;
    assert_eq!(conclusion, Conclusion::Unproven);
    assert!(registry.is_empty());
    // It ends later, and is asked again.
    drop(listener);
    assert_eq!(registry.record_disconnect(&lives, Instant::now(), digest).await, Conclusion::Ended);
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
        registry.record_disconnect(&left, Instant::now(), digest).await,
        Conclusion::Unproven
    );
    assert!(registry.is_empty());
}

/// What happened: a process that had just started took news of ends that were older than itself. All of them came
/// to the moment of its start, passed for simultaneous, and proved nothing: what the others held back ran on.
#[tokio::test]
async fn a_process_that_has_just_started_holds_back_what_the_others_do() {
    let news = |path: &str, offset: u64| {
        let end = |number: u64| EndNews {
            backend: BackendIncarnation { id: format!("{path}-{number}"), started_ms: 0 },
            started_ago_ms: 50_000 - number * 2_000 + offset,
            ended_ago_ms: 49_900 - number * 2_000 + offset,
            rate: 1_000,
        };
        SuspectUpdate {
            digest: digest_of(path),
            ends: (0..3).map(end).collect(),
            answered_ago_ms: None,
            tried_ago_ms: Some(46_100),
            concluded_ago_ms: None,
            outlived_ms: 0,
            probes: 1,
        }
    };
    let suspects = vec![news("/one", 0), news("/two", 300), news("/three", 700)];
    let registry = registry(catalog_of(&[]));
    registry.take(SuspectReport { suspects, crashed_backends: Vec::new() });
    for path in ["/one", "/two", "/three"] {
        let standing = registry.status(&digest_of(path));
        let SuspectStatus::HeldBack { wait_ms } = standing else { panic!("{path}: {standing:?}") };
        // The second probe comes two minutes after the last end.
        assert!((70_000..80_000).contains(&wait_ms), "{path}: {wait_ms}");
    }
}

/// Symptom: requests that broke off in a planned restart of all servers are held back. Sequence: a server drains
/// and starts again under its id; a process hears of the new life before the break, and finds the port of the
/// earlier one closed. Cause: an id that takes work was taken for the life that the request ran on.
#[tokio::test]
async fn the_end_of_an_earlier_life_of_a_back_end_that_is_back_is_no_evidence() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let before = backend("back", listener.local_addr().expect("an address"));
    drop(listener);
    let after = Backend { started_ms: 2, ..before.clone() };
    let registry = registry(catalog_of(&[after]));
    assert_eq!(
        registry.record_disconnect(&before, Instant::now(), digest).await,
        Conclusion::Unproven
    );
    assert!(registry.is_empty());
}
