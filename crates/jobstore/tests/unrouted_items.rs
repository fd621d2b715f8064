//! Items without a batch route: since when, and when they are to be checked.

use std::sync::Arc;
use std::time::Duration;

use yokefall_jobstore::running::ItemKey;
use yokefall_jobstore::unrouted_items::{UnroutedItems, REMOVAL_GRACE};
use yokefall_serving::table::RouteTable;
use yokefall_serving::{Configuration, Route, RouteKind};

const STEP: Duration = Duration::from_millis(1_000);

fn key(index: u32) -> ItemKey {
    ("job-1".to_owned(), index)
}

/// Routes for batch jobs with these path prefixes.
fn routes(prefixes: &[&str]) -> Arc<RouteTable> {
    let route = |prefix: &&str| Route {
        name: format!("route {prefix}"),
        host: "h".to_owned(),
        path_prefix: (*prefix).to_owned(),
        kind: RouteKind::Batch,
        timeout_ms: 0,
        target_latency_ms: 0,
        priority: 0,
        max_attempts: 1,
        resumable: false,
        split: Vec::new(),
        batch: None,
        auth_exempt: false,
        allowed_regions: Vec::new(),
    };
    let routes = prefixes.iter().map(route).collect();
    Arc::new(RouteTable::new(&Configuration { routes, ..Configuration::default() }))
}

async fn is_check_requested(items: &UnroutedItems) -> bool {
    items.request_due_check();
    tokio::time::timeout(Duration::from_millis(1), items.check_requested()).await.is_ok()
}

#[tokio::test(start_paused = true)]
async fn items_are_due_when_they_had_no_route_for_the_grace() {
    let items = UnroutedItems::default();
    items.replace(routes(&["/1/"]), vec![key(0)]);
    tokio::time::advance(STEP).await;
    // Unchanged by a version that lacks the route as well.
    items.replace(routes(&["/2/"]), vec![key(0), key(1)]);
    tokio::time::advance(REMOVAL_GRACE - STEP).await;
    assert_eq!(items.due(), [key(0)]);
    assert!(items.is_due(&key(0)) && !items.is_due(&key(1)));
    tokio::time::advance(STEP).await;
    assert_eq!(items.due().len(), 2);
}

#[tokio::test(start_paused = true)]
async fn the_grace_starts_anew_when_a_route_was_restored_meanwhile() {
    let items = UnroutedItems::default();
    items.replace(routes(&["/1/"]), vec![key(0)]);
    tokio::time::advance(REMOVAL_GRACE - STEP).await;
    items.replace(routes(&["/2/"]), Vec::new());
    items.replace(routes(&["/3/"]), vec![key(0)]);
    tokio::time::advance(STEP).await;
    assert!(items.due().is_empty());
}

#[tokio::test(start_paused = true)]
async fn a_new_leader_starts_without_items() {
    let items = UnroutedItems::default();
    items.replace(routes(&["/1/"]), vec![key(0)]);
    tokio::time::advance(REMOVAL_GRACE).await;
    items.clear();
    assert!(!items.keep_for(&routes(&["/1/"])) && items.due().is_empty());
    assert!(!is_check_requested(&items).await);
}

#[tokio::test(start_paused = true)]
async fn one_check_is_requested_until_the_next_is_scheduled() {
    let items = UnroutedItems::default();
    items.replace(routes(&["/1/"]), vec![key(0)]);
    assert!(!is_check_requested(&items).await);
    tokio::time::advance(REMOVAL_GRACE).await;
    assert!(is_check_requested(&items).await);
    tokio::time::advance(REMOVAL_GRACE).await;
    assert!(!is_check_requested(&items).await);
    items.schedule_check(STEP);
    assert!(!is_check_requested(&items).await);
    tokio::time::advance(STEP).await;
    assert!(is_check_requested(&items).await);
}

/// Without items there is nothing to check, and no call to the store is made.
#[tokio::test(start_paused = true)]
async fn no_check_is_requested_when_all_items_have_ended() {
    let items = UnroutedItems::default();
    items.replace(routes(&["/1/"]), vec![key(0)]);
    items.retain(|_| false);
    items.schedule_check(STEP);
    tokio::time::advance(REMOVAL_GRACE).await;
    assert!(!is_check_requested(&items).await);
    items.extend([key(1)]);
    tokio::time::advance(REMOVAL_GRACE).await;
    assert!(is_check_requested(&items).await);
}

/// Most configurations change no path of a batch route, and the items need not be examined again.
#[tokio::test(start_paused = true)]
async fn items_are_determined_again_only_when_batch_paths_change() {
    let items = UnroutedItems::default();
    assert!(!items.keep_for(&routes(&["/1/"])));
    items.replace(routes(&["/1/", "/22/"]), Vec::new());
    assert!(items.keep_for(&routes(&["/1/", "/22/"])));
    for changed in [&["/1/"] as &[&str], &["/1/", "/33/"], &["/1/", "/22/", "/3/"], &[]] {
        assert!(!items.keep_for(&routes(changed)), "{changed:?}");
    }
}

/// Items that stay unproven for long do not hold up those of a route that is removed later.
#[tokio::test(start_paused = true)]
async fn a_postponed_check_is_made_when_further_items_are_due() {
    let items = UnroutedItems::default();
    items.replace(routes(&["/1/"]), vec![key(0)]);
    tokio::time::advance(REMOVAL_GRACE).await;
    assert!(is_check_requested(&items).await);
    items.schedule_check(4 * REMOVAL_GRACE);
    items.extend([key(1)]);
    tokio::time::advance(REMOVAL_GRACE).await;
    assert!(is_check_requested(&items).await);
    assert_eq!(items.due().len(), 2);
}
