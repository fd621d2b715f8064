//! Classification of broken connections.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use tokio::net::TcpListener;
use tokio::task::LocalSet;
use tokio::time::Instant;
use yokefall_clock::{ElapsedClock, SuspensionSource};
use yokefall_serving::{
    empty_catalog, Backend, BackendIncarnation, BackendState, Catalog, CatalogCell,
};
use yokefall_suspects::{
    CrashInfo, DisconnectCause, Grant, Registry, RequestDigest, RequestIdentity, RequestSource,
    ResponseProgress, SuspectKeys, SuspectReport, SuspectStatus, SuspectUpdate,
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

/// Seen: a connection broke milliseconds before the port closed, and the crash was no evidence.
#[tokio::test]
async fn a_back_end_whose_port_closes_after_its_connections_has_crashed() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let crashing = backend("crashing", listener.local_addr().expect("an address"));
    let registry = registry(catalog_of(std::slice::from_ref(&crashing)));
    let watching = async {
        tokio::task::spawn_local(registry.clone().watch_ended_runs());
        let disconnect = registry.record_disconnect(
            &crashing,
            Instant::now(),
            ResponseProgress::Beginning,
            keys,
        );
        assert_eq!(disconnect.await, DisconnectCause::Unknown);
        drop(listener);
        while registry.is_empty() {
            registry.changed.notified().await;
        }
    };
    LocalSet::new().run_until(watching).await;
}

/// Seen by reading: a back end that ended as planned right after such a response had crashed.
#[tokio::test]
async fn a_response_that_ends_with_its_connection_is_an_answer_if_the_back_end_leaves() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let leaving = backend("leaving", listener.local_addr().expect("an address"));
    let catalog = catalog_of(std::slice::from_ref(&leaving));
    let registry = registry(catalog.clone());
    let (now, progress) = (Instant::now(), ResponseProgress::Beginning);
    registry.record_unframed_answer(&leaving, now, progress, keys(), true);
    catalog.store(catalog_of(&[]).load_full());
    drop(listener);
    registry.record_unreachable(&leaving).await;
    assert!(registry.is_empty());
    // The same without leaving.
    catalog.store(catalog_of(std::slice::from_ref(&leaving)).load_full());
    registry.record_unframed_answer(&leaving, now, progress, keys(), true);
    registry.record_unreachable(&leaving).await;
    assert!(!registry.is_empty());
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

fn keys_with_part(path: &str) -> SuspectKeys {
    let (method, host) = ("POST", "maps.example");
    let identity = RequestIdentity { method, host, path, tenant: "", body: b"" };
    SuspectKeys::of(&identity, "models", ["part"].into_iter())
}

/// A registry that knows three crashes under a part, so long ago that an item with it may run.
fn registry_with_suspected_part() -> Rc<Registry> {
    let registry = registry(empty_catalog());
    let crash = |number: u64| CrashInfo {
        backend: BackendIncarnation { id: format!("b-{number}"), started_ms: 0 },
        sent_age_ms: 10_100 - number * 500,
        crashed_age_ms: 10_000 - number * 500,
        rate: 1_000,
    };
    let update = SuspectUpdate {
        digest: keys_with_part("/").parts()[0],
        crashes: (0..3).map(crash).collect(),
        answered_age_ms: None,
        isolated_age_ms: None,
        inconclusive_age_ms: None,
        survived_ms: 0,
        probes: 0,
    };
    registry.take(SuspectReport { suspects: vec![update], crashed_backends: Vec::new() });
    registry
}

/// Seen: the end of a run that was not isolated let a second one begin beside the isolated run.
#[tokio::test(start_paused = true)]
async fn the_end_of_another_run_with_the_same_part_does_not_end_an_isolated_run() {
    let registry = registry_with_suspected_part();
    let part = keys_with_part("/").parts()[0];
    let grant = |backend| registry.grant(&part, backend, RequestSource::Job);
    assert_eq!(grant("s-1"), Grant::Granted);
    let run = registry.run_isolated(part);
    tokio::time::advance(Duration::from_millis(10)).await;
    registry.record_inconclusive_run(&keys_with_part("/other"), Duration::ZERO);
    assert!(matches!(grant("s-2"), Grant::Wait { .. }));
    drop(run);
    assert_eq!(grant("s-2"), Grant::Granted);
}

#[tokio::test(start_paused = true)]
async fn the_late_end_of_an_isolated_run_does_not_end_the_next_one() {
    let registry = registry_with_suspected_part();
    let part = keys_with_part("/").parts()[0];
    let grant = |backend| registry.grant(&part, backend, RequestSource::Job);
    assert_eq!(grant("s-1"), Grant::Granted);
    let first = registry.run_isolated(part);
    tokio::time::advance(Duration::from_millis(1_000)).await;
    assert_eq!(grant("s-2"), Grant::Granted);
    let second = registry.run_isolated(part);
    tokio::time::advance(Duration::from_millis(10)).await;
    drop(first);
    assert!(matches!(grant("s-3"), Grant::Wait { .. }));
    drop(second);
    assert_eq!(grant("s-3"), Grant::Granted);
}
