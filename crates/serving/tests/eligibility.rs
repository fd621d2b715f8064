//! Which back ends may take a request, and why not the others.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use yokefall_serving::{
    empty_catalog, Backend, BackendState, Catalog, CatalogCell, Eligibility, Ineligible,
    Requirements, Residency, ZoneMap, ZoneState,
};

const SERVICE: &str = "models";

fn backend(id: &str, zone: &str) -> Backend {
    Backend {
        id: id.into(),
        started_ms: 1,
        service: SERVICE.into(),
        address: "127.0.0.1:1".parse().expect("an address"),
        zone: zone.into(),
        slots: 8,
        state: BackendState::Ready,
        cold_remaining_ms: 0,
    }
}

fn zones() -> Arc<ZoneMap> {
    let regions = [("a-1", "a"), ("a-2", "a"), ("b-1", "b"), ("c-1", "c")];
    let owned = regions.map(|(zone, region)| (zone.to_owned(), region.to_owned()));
    Arc::new(ZoneMap::new(BTreeMap::from(owned)))
}

fn publish(cell: &CatalogCell, backends: &[Backend], evacuated: &[&str]) {
    let backends: Vec<Arc<Backend>> = backends.iter().cloned().map(Arc::new).collect();
    let evacuated = evacuated.iter().map(|zone| (*zone).to_owned()).collect();
    let facts = ZoneState { evacuated, zones: zones() };
    cell.store(Arc::new(Catalog::with_zones(None, backends.iter(), facts)));
}

fn within(regions: &[&str]) -> Residency {
    Residency::Within(regions.iter().map(|region| (*region).to_owned()).collect())
}

fn candidates(cell: &CatalogCell, residency: &Residency) -> BTreeSet<String> {
    let eligibility = Eligibility::new(cell.clone());
    let requirements = Requirements { service: SERVICE, residency };
    let catalog = cell.load_full();
    let candidates = eligibility.candidates(&catalog, &requirements);
    candidates.iter().map(|backend| backend.id.clone()).collect()
}

fn refusal(cell: &CatalogCell, backend: &Backend, residency: &Residency) -> Option<Ineligible> {
    let requirements = Requirements { service: SERVICE, residency };
    Eligibility::new(cell.clone()).permit(backend, &requirements).err()
}

fn names(of: &[&str]) -> BTreeSet<String> {
    of.iter().map(|name| (*name).to_owned()).collect()
}

#[test]
fn regions_of_route_and_tenant_bind_together() {
    let regions = |names: &[&str]| names.iter().map(|name| (*name).to_owned()).collect::<Vec<_>>();
    let (none, one, two) = (regions(&[]), regions(&["a"]), regions(&["a", "b"]));
    assert_eq!(Residency::of(&none, &none), Residency::Anywhere);
    assert_eq!(Residency::of(&two, &none), within(&["a", "b"]));
    assert_eq!(Residency::of(&none, &one), within(&["a"]));
    assert_eq!(Residency::of(&two, &one), within(&["a"]));
    assert!(Residency::of(&one, &regions(&["b"])).is_nowhere());
    assert!(!Residency::Anywhere.is_nowhere());
}

#[test]
fn a_request_gets_candidates_of_its_regions_alone() {
    let cell = empty_catalog();
    let all = [backend("1", "a-1"), backend("2", "a-2"), backend("3", "b-1"), backend("4", "x")];
    publish(&cell, &all, &[]);
    assert_eq!(candidates(&cell, &Residency::Anywhere), names(&["1", "2", "3", "4"]));
    assert_eq!(candidates(&cell, &within(&["a"])), names(&["1", "2"]));
    assert_eq!(candidates(&cell, &within(&["a", "b"])), names(&["1", "2", "3"]));
    assert_eq!(candidates(&cell, &within(&["c"])), names(&[]));
    assert_eq!(candidates(&cell, &within(&[])), names(&[]));
    // A zone that settings don't name is in no region.
    assert_eq!(refusal(&cell, &all[3], &within(&["a"])), Some(Ineligible::OtherRegion));
    assert_eq!(refusal(&cell, &all[2], &within(&["a"])), Some(Ineligible::OtherRegion));
    assert_eq!(refusal(&cell, &all[2], &within(&["b"])), None);
}

#[test]
fn nothing_goes_to_an_evacuated_zone_though_it_was_chosen_before() {
    let cell = empty_catalog();
    let all = [backend("1", "a-1"), backend("2", "a-2")];
    publish(&cell, &all, &[]);
    assert_eq!(refusal(&cell, &all[0], &Residency::Anywhere), None);
    publish(&cell, &all, &["a-1"]);
    assert_eq!(candidates(&cell, &Residency::Anywhere), names(&["2"]));
    assert_eq!(candidates(&cell, &within(&["a"])), names(&["2"]));
    assert_eq!(refusal(&cell, &all[0], &Residency::Anywhere), Some(Ineligible::Evacuated));
    publish(&cell, &all, &[]);
    assert_eq!(refusal(&cell, &all[0], &Residency::Anywhere), None);
}

#[test]
fn one_that_leaves_is_gone_or_has_started_again_gets_no_permit() {
    let cell = empty_catalog();
    let held = backend("1", "a-1");
    publish(&cell, &[Backend { state: BackendState::Draining, ..held.clone() }], &[]);
    assert_eq!(refusal(&cell, &held, &Residency::Anywhere), Some(Ineligible::Draining));
    publish(&cell, &[Backend { started_ms: 2, ..held.clone() }], &[]);
    assert_eq!(refusal(&cell, &held, &Residency::Anywhere), Some(Ineligible::AnotherLife));
    publish(&cell, &[], &[]);
    assert_eq!(refusal(&cell, &held, &Residency::Anywhere), Some(Ineligible::Unknown));
}
