//! Which gateways clients are told of. Symptom: from 65 gateways on the loss of one zone took all addresses
//! of all clients. Sequence: 252 gateways in three zones; an answer names 64; zone-a is lost. Cause: the
//! first 64 by name stand in one zone, as names begin with their zone.

use std::collections::{HashMap, HashSet};

use yokefall_gateway::sample::order;
use yokefall_serving::FleetMember;

const ZONES: [&str; 3] = ["zone-a", "zone-b", "zone-c"];
const IN_ZONE: usize = 84;
const NAMED: usize = 64;

fn gateways() -> Vec<FleetMember> {
    let member = |(number, zone): (usize, &str)| FleetMember {
        name: format!("edge-{zone}-{number}"),
        address: format!("10.0.0.{number}:7100").parse().expect("an address"),
        zone: zone.to_owned(),
        job_store: false,
        accepting: true,
    };
    let each = |zone: &'static str| (0..IN_ZONE).map(move |number| (number, zone));
    ZONES.into_iter().flat_map(each).map(member).collect()
}

fn named(gateways: &[FleetMember], zone: Option<&str>) -> Vec<String> {
    let ordered = order(gateways.iter().collect(), zone);
    ordered.into_iter().take(NAMED).map(|member| member.name.clone()).collect()
}

#[test]
fn no_zone_has_all_gateways_that_clients_are_told_of() {
    let gateways = gateways();
    for zone in ZONES.into_iter().map(Some).chain([None]) {
        let mut by_zone: HashMap<String, usize> = HashMap::new();
        for name in named(&gateways, zone) {
            *by_zone.entry(name[5..11].to_owned()).or_default() += 1;
        }
        let most = by_zone.values().max().copied().unwrap_or(0);
        assert!(most <= NAMED / 2, "{zone:?}: {by_zone:?}");
    }
}

#[test]
fn clients_of_different_zones_share_the_gateways() {
    let gateways = gateways();
    let all: HashSet<String> = ZONES.iter().flat_map(|zone| named(&gateways, Some(zone))).collect();
    assert!(all.len() > 2 * NAMED, "{} gateways are told of", all.len());
}

#[test]
fn clients_keep_the_other_gateways_where_one_is_gone() {
    let gateways = gateways();
    let before = named(&gateways, Some("zone-b"));
    let lost = &before[7];
    let left: Vec<FleetMember> =
        gateways.iter().filter(|member| member.name != *lost).cloned().collect();
    let after: HashSet<String> = named(&left, Some("zone-b")).into_iter().collect();
    let kept = before.iter().filter(|name| after.contains(*name)).count();
    assert_eq!(kept, NAMED - 1);
}
