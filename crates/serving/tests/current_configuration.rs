//! What the current configuration proves about routes that it does not contain.

use yokefall_serving::{
    Configuration, CurrentConfiguration, Route, RouteKind, SplitPart, UnreadableRoute,
};

fn route(path_prefix: &str, kind: RouteKind) -> Route {
    Route {
        name: path_prefix.to_owned(),
        host: "maps.example".to_owned(),
        path_prefix: path_prefix.to_owned(),
        kind,
        timeout_ms: 0,
        target_latency_ms: 0,
        priority: 0,
        max_attempts: 1,
        resumable: false,
        split: vec![SplitPart { service: "models".to_owned(), weight: 1 }],
        batch: None,
        auth_exempt: false,
        allowed_regions: Vec::new(),
    }
}

fn current(routes: Vec<Route>, unreadable: Vec<UnreadableRoute>) -> CurrentConfiguration {
    let configuration = Configuration { version: 7, routes, ..Configuration::default() };
    CurrentConfiguration::new(&configuration, unreadable)
}

fn unreadable(host: Option<&str>, path_prefix: Option<&str>) -> UnreadableRoute {
    let owned = |text: Option<&str>| text.map(str::to_owned);
    UnreadableRoute { host: owned(host), path_prefix: owned(path_prefix) }
}

#[test]
fn the_route_with_the_longest_prefix_decides() {
    let routes = vec![route("/jobs/", RouteKind::Batch), route("/jobs/x/", RouteKind::Repeatable)];
    let current = current(routes, Vec::new());
    assert!(current.may_have_batch("maps.example", "/jobs/1"));
    assert!(current.may_have_batch("Maps.Example:80", "/jobs/1"));
    assert!(!current.may_have_batch("maps.example", "/jobs/x/1"));
    assert!(!current.may_have_batch("maps.example", "/other/1"));
    assert!(!current.may_have_batch("other.example", "/jobs/1"));
}

#[test]
fn a_route_that_cannot_be_read_may_be_that_of_each_path_it_does_not_exclude() {
    let cases = [
        (unreadable(None, None), true),
        (unreadable(Some("MAPS.example"), None), true),
        (unreadable(None, Some("/jobs/")), true),
        (unreadable(Some("maps.example"), Some("/jobs/")), true),
        (unreadable(Some("other.example"), Some("/jobs/")), false),
        (unreadable(Some("maps.example"), Some("/other/")), false),
    ];
    for (route, expected) in cases {
        let current = current(Vec::new(), vec![route.clone()]);
        assert_eq!(current.may_have_batch("maps.example:80", "/jobs/1"), expected, "{route:?}");
    }
}
