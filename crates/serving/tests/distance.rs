//! Back ends of other regions are chosen only if the local one has no capacity.
//!
//! Guards against another region costing as little as another zone: two of three requests of a
//! fleet with three regions then crossed them.

use std::collections::BTreeMap;
use std::sync::Arc;

use yokefall_core::Timestamp;
use yokefall_serving::{
    Backend, BackendIncarnation, BackendState, Balancer, Distance, InFlight, Policy, ZoneMap,
};

const NOW: Timestamp = Timestamp(10_000);
const SLOTS: u32 = 10;

fn zones() -> ZoneMap {
    let zones = [("north-a", "north"), ("north-b", "north"), ("south-a", "south")];
    let zones = zones.map(|(zone, region)| (zone.to_owned(), region.to_owned()));
    ZoneMap::new(BTreeMap::from(zones))
}

/// One back end in each zone, named after it.
fn backends() -> Vec<Arc<Backend>> {
    let backend = |zone: &str| Backend {
        id: zone.into(),
        started_ms: 0,
        service: "models".into(),
        address: "127.0.0.1:1000".parse().expect("an address"),
        zone: zone.into(),
        slots: SLOTS,
        state: BackendState::Ready,
        cold_remaining_ms: 0,
        software_version: Default::default(),
    };
    ["north-a", "north-b", "south-a"].map(|zone| Arc::new(backend(zone))).to_vec()
}

/// A balancer in the north that has received the requests of all processes.
fn balancer(loads: &[(&str, u32)]) -> Balancer {
    let balancer = Balancer::new("north-a".into(), 1, Policy::default());
    let mut balancer = balancer.with_zones(Arc::new(zones()));
    let total = |requests: u32| InFlight { online: requests, items: 0 };
    let incarnation = |id: &str| BackendIncarnation { id: id.into(), started_ms: 0 };
    let loads: Vec<(BackendIncarnation, u32)> =
        loads.iter().map(|(id, requests)| (incarnation(id), *requests)).collect();
    let totals = loads.iter().map(|(incarnation, requests)| (incarnation, total(*requests)));
    balancer.update_totals(NOW, totals, |_| 0);
    balancer
}

fn choose(loads: &[(&str, u32)], affinity: Option<u64>) -> String {
    let chosen = balancer(loads).choose(NOW, &backends(), &[], affinity);
    chosen.expect("a back end").id.clone()
}

#[test]
fn zones_are_near_unless_both_regions_are_known_and_differ() {
    let zones = zones();
    assert_eq!(zones.distance("north-a", "north-a"), Distance::SameZone);
    assert_eq!(zones.distance("north-a", "north-b"), Distance::SameRegion);
    assert_eq!(zones.distance("north-a", "south-a"), Distance::OtherRegion);
    assert_eq!(zones.distance("north-a", "elsewhere"), Distance::SameRegion);
    assert!(Distance::SameZone < Distance::SameRegion);
    assert!(Distance::SameRegion < Distance::OtherRegion);
}

#[test]
fn another_zone_is_preferred_to_another_region() {
    assert_eq!(choose(&[], None), "north-a");
    assert_eq!(choose(&[("north-a", 3)], None), "north-b");
    assert_eq!(choose(&[("north-a", 3), ("north-b", 2)], None), "north-b");
}

#[test]
fn another_region_is_chosen_if_the_local_one_is_nearly_full() {
    assert_eq!(choose(&[("north-a", 9), ("north-b", 9)], None), "south-a");
    assert_ne!(choose(&[("north-a", 9), ("north-b", 9), ("south-a", 10)], None), "south-a");
}

#[test]
fn a_prefix_stays_in_the_region_while_that_has_capacity() {
    for key in 0..200 {
        assert_ne!(choose(&[], Some(key)), "south-a");
        assert_eq!(choose(&[("north-a", 9), ("north-b", 9)], Some(key)), "south-a");
    }
}
