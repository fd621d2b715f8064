//! Ranking of the gateways announced to clients.
//!
//! Guards against announcing gateways in the order of their names, which start with the zone: with
//! 252 gateways in three zones, the first 64 are all in one zone, and from 65 gateways on the loss
//! of zone-a took all addresses of all clients.

use std::collections::{HashMap, HashSet};

use yokefall_gateway::gateway_ranking::rank_for_zone;
use yokefall_serving::FleetMember;

const ZONES: [&str; 3] = ["zone-a", "zone-b", "zone-c"];
const GATEWAYS_PER_ZONE: usize = 84;
const MAX_GATEWAYS: usize = 64;

fn gateways() -> Vec<FleetMember> {
    let member = |(number, zone): (usize, &str)| FleetMember {
        name: format!("edge-{zone}-{number}"),
        address: format!("10.0.0.{number}:7100").parse().expect("an address"),
        zone: zone.to_owned(),
        job_store: false,
        accepting: true,
    };
    let each = |zone: &'static str| (0..GATEWAYS_PER_ZONE).map(move |number| (number, zone));
    ZONES.into_iter().flat_map(each).map(member).collect()
}

fn selected(gateways: &[FleetMember], zone: Option<&str>) -> Vec<String> {
    let ordered = rank_for_zone(gateways.iter().collect(), zone);
    ordered.into_iter().take(MAX_GATEWAYS).map(|member| member.name.clone()).collect()
}

#[test]
fn no_zone_has_most_of_the_announced_gateways() {
    let gateways = gateways();
    for zone in ZONES.into_iter().map(Some).chain([None]) {
        let mut by_zone: HashMap<String, usize> = HashMap::new();
        for name in selected(&gateways, zone) {
            *by_zone.entry(name[5..11].to_owned()).or_default() += 1;
        }
        let most = by_zone.values().max().copied().unwrap_or(0);
        assert!(most <= MAX_GATEWAYS / 2, "{zone:?}: {by_zone:?}");
    }
}

#[test]
fn clients_of_different_zones_get_different_gateways() {
    let gateways = gateways();
    let all: HashSet<String> =
        ZONES.iter().flat_map(|zone| selected(&gateways, Some(zone))).collect();
    assert!(all.len() > 2 * MAX_GATEWAYS, "{} gateways announced", all.len());
}

#[test]
fn losing_a_gateway_keeps_the_other_announced_gateways() {
    let gateways = gateways();
    let before = selected(&gateways, Some("zone-b"));
    let lost = &before[7];
    let left: Vec<FleetMember> =
        gateways.iter().filter(|member| member.name != *lost).cloned().collect();
    let after: HashSet<String> = selected(&left, Some("zone-b")).into_iter().collect();
    let kept = before.iter().filter(|name| after.contains(*name)).count();
    assert_eq!(kept, MAX_GATEWAYS - 1);
}
