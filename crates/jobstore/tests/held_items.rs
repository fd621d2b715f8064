//! Items that wait since back ends crashed under them.

use std::rc::Rc;

use yokefall_clock::{ElapsedClock, SuspensionSource};
use yokefall_jobstore::held_items::{Admission, HeldItems};
use yokefall_serving::{empty_catalog, BackendIncarnation};
use yokefall_suspects::{
    CrashInfo, Registry, RequestDigest, RequestIdentity, SuspectKeys, SuspectReport, SuspectUpdate,
};

fn keys() -> SuspectKeys {
    let (method, host, path, tenant) = ("POST", "maps.example", "/jobs/1", "");
    let identity = RequestIdentity { method, host, path, tenant, body: b"item" };
    SuspectKeys::of(&identity, "models", ["part"].into_iter())
}

/// Three crashes under this key, the last one just now.
fn held_back(digest: RequestDigest) -> SuspectReport {
    let crash = |number: u64| CrashInfo {
        backend: BackendIncarnation { id: format!("b-{number}"), started_ms: 0 },
        sent_age_ms: 1_100 - number * 500,
        crashed_age_ms: 1_000 - number * 500,
        rate: 1_000,
    };
    let update = SuspectUpdate {
        digest,
        crashes: (0..3).map(crash).collect(),
        answered_age_ms: None,
        isolated_age_ms: None,
        inconclusive_age_ms: None,
        survived_ms: 0,
        probes: 0,
    };
    SuspectReport { suspects: vec![update], crashed_backends: Vec::new() }
}

/// Seen: items waited on although another request had shown that their part was sound.
#[tokio::test]
async fn an_item_that_is_held_back_may_run_as_soon_as_its_part_is_cleared() {
    let clock = ElapsedClock::new(SuspensionSource::Machine);
    let suspects: Rc<Registry> = Registry::new(empty_catalog(), clock);
    let held = HeldItems::default();
    let key = ("job".to_owned(), 1);
    suspects.take(held_back(keys().parts()[0]));
    let admit = || held.admit(&suspects, &key, || Some(keys()), || "item".to_owned());
    assert_eq!(admit(), Admission::HeldBack);
    assert_eq!(admit(), Admission::HeldBack);
    suspects.record_success(&keys());
    assert_eq!(admit(), Admission::Free);
}
