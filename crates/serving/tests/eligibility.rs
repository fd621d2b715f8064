//! Which back ends may be sent a request, and why the others may not.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use yokefall_serving::{
    empty_catalog, Backend, BackendState, Catalog, CatalogCell, Eligibility, Ineligible,
    Requirements, Residency, SoftwareVersion, ZoneMap, ZoneState,
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
        software_version: Default::default(),
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
    let zone_state = ZoneState { evacuated, zones: zones() };
    cell.store(Arc::new(Catalog::with_zones(None, backends.iter(), zone_state)));
}

fn within(regions: &[&str]) -> Residency {
    Residency::Within(regions.iter().map(|region| (*region).to_owned()).collect())
}

fn candidates(cell: &CatalogCell, residency: &Residency) -> BTreeSet<String> {
    let eligibility = Eligibility::new(cell.clone());
    let requirements = Requirements { service: SERVICE, residency, software_version: None };
    let catalog = cell.load_full();
    let candidates = eligibility.candidates(&catalog, &requirements);
    candidates.iter().map(|backend| backend.id.clone()).collect()
}

fn rejection(cell: &CatalogCell, backend: &Backend, residency: &Residency) -> Option<Ineligible> {
    let requirements = Requirements { service: SERVICE, residency, software_version: None };
    Eligibility::new(cell.clone()).permit(backend, &requirements).err()
}

fn names(of: &[&str]) -> BTreeSet<String> {
    of.iter().map(|name| (*name).to_owned()).collect()
}

#[test]
fn regions_of_route_and_tenant_intersect() {
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
fn a_request_gets_only_candidates_of_its_regions() {
    let cell = empty_catalog();
    let all = [backend("1", "a-1"), backend("2", "a-2"), backend("3", "b-1"), backend("4", "x")];
    publish(&cell, &all, &[]);
    assert_eq!(candidates(&cell, &Residency::Anywhere), names(&["1", "2", "3", "4"]));
    assert_eq!(candidates(&cell, &within(&["a"])), names(&["1", "2"]));
    assert_eq!(candidates(&cell, &within(&["a", "b"])), names(&["1", "2", "3"]));
    assert_eq!(candidates(&cell, &within(&["c"])), names(&[]));
    assert_eq!(candidates(&cell, &within(&[])), names(&[]));
    // A zone that is not configured is in no region.
    assert_eq!(rejection(&cell, &all[3], &within(&["a"])), Some(Ineligible::OtherRegion));
    assert_eq!(rejection(&cell, &all[2], &within(&["a"])), Some(Ineligible::OtherRegion));
    assert_eq!(rejection(&cell, &all[2], &within(&["b"])), None);
}

#[test]
fn an_evacuated_zone_gets_no_permit_even_after_the_choice() {
    let cell = empty_catalog();
    let all = [backend("1", "a-1"), backend("2", "a-2")];
    publish(&cell, &all, &[]);
    assert_eq!(rejection(&cell, &all[0], &Residency::Anywhere), None);
    publish(&cell, &all, &["a-1"]);
    assert_eq!(candidates(&cell, &Residency::Anywhere), names(&["2"]));
    assert_eq!(candidates(&cell, &within(&["a"])), names(&["2"]));
    assert_eq!(rejection(&cell, &all[0], &Residency::Anywhere), Some(Ineligible::Evacuated));
    publish(&cell, &all, &[]);
    assert_eq!(rejection(&cell, &all[0], &Residency::Anywhere), None);
}

#[test]
fn draining_unknown_and_restarted_back_ends_get_no_permit() {
    let cell = empty_catalog();
    let chosen = backend("1", "a-1");
    publish(&cell, &[Backend { state: BackendState::Draining, ..chosen.clone() }], &[]);
    assert_eq!(rejection(&cell, &chosen, &Residency::Anywhere), Some(Ineligible::Draining));
    publish(&cell, &[Backend { started_ms: 2, ..chosen.clone() }], &[]);
    assert_eq!(rejection(&cell, &chosen, &Residency::Anywhere), Some(Ineligible::OtherIncarnation));
    publish(&cell, &[], &[]);
    assert_eq!(rejection(&cell, &chosen, &Residency::Anywhere), Some(Ineligible::Unknown));
}

#[test]
fn a_request_that_continues_output_gets_only_back_ends_of_its_software_version() {
    let cell = empty_catalog();
    let version = |name: &str| SoftwareVersion::of_record(Some(name));
    let of = |id: &str, software_version| Backend { software_version, ..backend(id, "a-1") };
    let all = [
        of("1", version("v1")),
        of("2", version("v2")),
        of("3", SoftwareVersion::Unnamed),
        of("4", SoftwareVersion::Unknown),
    ];
    publish(&cell, &all, &[]);
    let residency = Residency::Anywhere;
    let eligible = |software_version: &SoftwareVersion| {
        let software_version = Some(software_version);
        let requirements =
            Requirements { service: SERVICE, residency: &residency, software_version };
        let eligibility = Eligibility::new(cell.clone());
        let catalog = cell.load_full();
        let candidates = eligibility.candidates(&catalog, &requirements);
        let permitted = |backend: &&Backend| match eligibility.permit(backend, &requirements) {
            Ok(_) => true,
            Err(cause) => {
                assert_eq!(cause, Ineligible::OtherSoftwareVersion);
                false
            }
        };
        let permitted: BTreeSet<String> =
            all.iter().filter(permitted).map(|backend| backend.id.clone()).collect();
        assert_eq!(eligibility.has_candidates(&catalog, &requirements), !permitted.is_empty());
        assert_eq!(
            candidates.iter().map(|backend| backend.id.clone()).collect::<BTreeSet<_>>(),
            permitted
        );
        permitted
    };
    assert_eq!(eligible(&version("v1")), names(&["1"]));
    assert_eq!(eligible(&version("v3")), names(&[]));
    assert_eq!(eligible(&SoftwareVersion::Unnamed), names(&["3"]));
    assert_eq!(eligible(&SoftwareVersion::Unknown), names(&[]));
}
