//! Regions in which a request may be served: intersections, and those of a host.

use yokefall_serving::table::RouteTable;
use yokefall_serving::{Configuration, Residency, Route, RouteKind, SplitPart};

fn within(regions: &[&str]) -> Residency {
    Residency::Within(regions.iter().map(|region| (*region).to_owned()).collect())
}

fn route(name: &str, regions: &[&str]) -> Route {
    Route {
        name: name.into(),
        host: "maps.example".into(),
        path_prefix: format!("/{name}/"),
        kind: RouteKind::Repeatable,
        timeout_ms: 1_000,
        target_latency_ms: 300,
        priority: 0,
        max_attempts: 2,
        resumable: false,
        split: vec![SplitPart { service: "tiles".into(), weight: 1 }],
        batch: None,
        auth_exempt: false,
        allowed_regions: regions.iter().map(|region| (*region).to_owned()).collect(),
    }
}

fn of_host(routes: Vec<Route>) -> Residency {
    let configuration = Configuration { routes, ..Configuration::default() };
    RouteTable::new(&configuration).residency_of_host("maps.example")
}

#[test]
fn an_intersection_allows_what_both_allow() {
    let (north, both) = (within(&["north"]), within(&["north", "south"]));
    assert_eq!(Residency::Anywhere.and(&north), north);
    assert_eq!(north.and(&Residency::Anywhere), north);
    assert_eq!(both.and(&north), north);
    assert!(north.and(&within(&["south"])).is_nowhere());
}

#[test]
fn a_residency_is_displayed_as_its_regions() {
    assert_eq!(Residency::Anywhere.to_string(), "every region");
    assert_eq!(within(&["south", "north"]).to_string(), "north, south");
    assert_eq!(within(&[]).to_string(), "no region");
}

#[test]
fn a_host_allows_the_common_regions_of_its_restricted_routes_or_else_any_of_them() {
    assert_eq!(of_host(vec![route("free", &[])]), Residency::Anywhere);
    let routes = vec![route("free", &[]), route("one", &["north"]), route("two", &["north", "b"])];
    assert_eq!(of_host(routes), within(&["north"]));
    let routes = vec![route("one", &["north"]), route("two", &["south"])];
    assert_eq!(of_host(routes), within(&["north", "south"]));
}
