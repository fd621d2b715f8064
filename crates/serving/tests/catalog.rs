//! Routes, traffic splits, and state that never goes backwards.

use std::collections::BTreeSet;
use std::sync::Arc;

use yokefall_serving::catalog::empty_catalog;
use yokefall_serving::objects::{Incarnated, Objects};
use yokefall_serving::table::{RouteTable, Splitter};
use yokefall_serving::watch::PlatformState;
use yokefall_serving::{
    Backend, BackendState, Catalog, Change, Configuration, Listing, Route, RouteKind,
    SoftwareVersion, SplitPart,
};

fn route(name: &str, host: &str, prefix: &str, split: &[(&str, u32)]) -> Route {
    let part =
        |(service, weight): &(&str, u32)| SplitPart { service: (*service).into(), weight: *weight };
    Route {
        name: name.into(),
        host: host.into(),
        path_prefix: prefix.into(),
        kind: RouteKind::Repeatable,
        timeout_ms: 1_000,
        target_latency_ms: 100,
        priority: 0,
        max_attempts: 2,
        resumable: false,
        split: split.iter().map(part).collect(),
        batch: None,
        auth_exempt: false,
        allowed_regions: Vec::new(),
    }
}

fn configuration(version: u64, routes: Vec<Route>) -> Configuration {
    Configuration { version, routes, ..Configuration::default() }
}

#[test]
fn the_longest_matching_prefix_of_the_host_wins() {
    let routes = vec![
        route("root", "a.example", "/", &[("s", 1)]),
        route("deep", "a.example", "/x/y/", &[("s", 1)]),
        route("mid", "a.example", "/x/", &[("s", 1)]),
        route("other", "b.example", "/x/y/z/", &[("s", 1)]),
    ];
    let table = RouteTable::new(&configuration(1, routes));
    let name = |host, path| table.find(host, path).map(|route| route.name.clone());
    assert_eq!(name("a.example", "/x/y/z/1").as_deref(), Some("deep"));
    assert_eq!(name("A.Example:8080", "/x/z").as_deref(), Some("mid"));
    assert_eq!(name("a.example", "/x").as_deref(), Some("root"));
    assert_eq!(name("b.example", "/x/y/"), None);
    assert_eq!(name("c.example", "/"), None);
}

#[test]
fn split_shares_are_exact_over_each_cycle() {
    let route = route("r", "a.example", "/", &[("s", 7), ("t", 2), ("u", 1), ("none", 0)]);
    let mut splitter = Splitter::default();
    for _ in 0..3 {
        let mut counts = std::collections::BTreeMap::new();
        for _ in 0..10 {
            let service = splitter.next(&route).expect("a service").to_owned();
            *counts.entry(service).or_insert(0) += 1;
        }
        let expected = [("s".to_owned(), 7), ("t".to_owned(), 2), ("u".to_owned(), 1)];
        assert_eq!(counts.into_iter().collect::<Vec<_>>(), expected);
    }
}

#[test]
fn an_older_configuration_is_ignored() {
    let cell = empty_catalog();
    let mut platform_state = PlatformState::new(cell.clone(), Default::default());
    assert!(platform_state.apply_configuration(configuration(5, Vec::new())));
    assert!(!platform_state.apply_configuration(configuration(4, Vec::new())));
    assert!(!platform_state.apply_configuration(configuration(5, Vec::new())));
    assert_eq!(cell.load().version(), 5);
}

/// A number written by an incarnation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Number {
    value: u32,
    started_ms: u64,
}

impl Incarnated for Number {
    fn started_ms(&self) -> u64 {
        self.started_ms
    }
}

fn change(name: &str, revision: u64, value: Option<u32>) -> Change<Number> {
    in_incarnation(name, revision, value, 0)
}

fn in_incarnation(
    name: &str,
    revision: u64,
    value: Option<u32>,
    started_ms: u64,
) -> Change<Number> {
    let value = value.map(|value| Number { value, started_ms });
    Change { name: name.into(), revision, value }
}

fn values(objects: &Objects<Number>) -> Vec<u32> {
    let mut values: Vec<u32> = objects.values().map(|number: &Arc<Number>| number.value).collect();
    values.sort_unstable();
    values
}

#[test]
fn an_older_list_is_ignored() {
    let mut objects = Objects::default();
    let items = vec![change("a", 3, Some(1))];
    assert!(objects.replace(Listing { items, revision: 10 }).is_some());
    let stale = Listing { items: Vec::new(), revision: 9 };
    assert_eq!(objects.replace(stale), None);
    assert_eq!(values(&objects), [1]);
}

#[test]
fn older_changes_of_an_object_are_ignored() {
    let mut objects = Objects::default();
    objects.apply(vec![change("a", 5, Some(5)), change("b", 6, Some(6))], 6);
    objects.apply(vec![change("a", 4, Some(4)), change("b", 7, None)], 7);
    assert_eq!(values(&objects), [5]);
    assert_eq!(objects.revision(), 7);
}

/// The last write of an ended incarnation reaches the store after the record of its successor, with
/// a higher revision. Replacing that record would send requests to a process that is gone.
#[test]
fn a_record_of_an_older_incarnation_does_not_replace_a_newer_one() {
    let mut objects = Objects::default();
    objects
        .apply(vec![in_incarnation("a", 5, Some(1), 100), in_incarnation("b", 5, Some(8), 0)], 5);
    objects.apply(vec![in_incarnation("a", 6, Some(2), 200)], 6);
    objects.apply(vec![in_incarnation("a", 7, Some(1), 100)], 7);
    assert_eq!(values(&objects), [2, 8], "in a change");
    let items = vec![in_incarnation("a", 8, Some(1), 100), in_incarnation("b", 5, Some(8), 0)];
    assert!(objects.replace(Listing { items, revision: 8 }).is_some());
    assert_eq!(values(&objects), [2, 8], "in a list");
    // Within one incarnation, or if the incarnation is unknown, the higher revision wins.
    objects
        .apply(vec![in_incarnation("a", 9, Some(3), 200), in_incarnation("b", 9, Some(9), 0)], 9);
    assert_eq!(values(&objects), [3, 9]);
    // A newer incarnation wins even at a lower revision, as reported by a peer.
    objects.apply(vec![in_incarnation("a", 4, Some(4), 300)], 9);
    assert_eq!(values(&objects), [4, 9]);
    objects.apply(vec![in_incarnation("a", 10, None, 0)], 10);
    assert_eq!(values(&objects), [9], "the object was removed");
}

/// Each request names its back end in a header. No request could be built for such a back end:
/// clients were refused, and items given up.
#[test]
fn a_back_end_whose_id_fits_no_header_accepts_no_work() {
    let backend = |id: &str| {
        Arc::new(Backend {
            id: id.into(),
            started_ms: 0,
            service: "s".into(),
            address: "127.0.0.1:80".parse().expect("an address"),
            zone: "z".into(),
            slots: 1,
            state: BackendState::Ready,
            cold_remaining_ms: 0,
            software_version: SoftwareVersion::Unnamed,
        })
    };
    let backends = ["i-0", "i\n1", "", "i\u{0}", "i-4"].map(backend);
    let catalog = Catalog::new(None, backends.iter());
    let ready: BTreeSet<&str> =
        catalog.ready("s").iter().map(|backend| backend.id.as_str()).collect();
    assert_eq!(ready, BTreeSet::from(["i-0", "i-4"]));
    assert!(catalog.is_ready("i-0") && !catalog.is_ready("i\n1"));
}
