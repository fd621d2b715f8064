//! Selection of the gateways announced to a client.
//!
//! Guards against announcing the first 64 gateways of all regions: the body of a request restricted
//! to one region then went to a gateway of another region before anything could reject it.

use std::collections::{BTreeMap, BTreeSet};

use yokefall_gateway::gateway_ranking::rank_for_zone;
use yokefall_gateway::gateway_selection::{
    choose, Choice, ClientLocation, SelectionScope, MAX_GATEWAYS,
};
use yokefall_serving::{FleetMember, Residency, ZoneMap};

const REGIONS: [&str; 3] = ["north", "south", "west"];

/// Two zones in each region.
fn zones() -> ZoneMap {
    let zone = |region: &str, part: &str| (format!("{region}-{part}"), region.to_owned());
    let all = REGIONS.iter().flat_map(|region| [zone(region, "a"), zone(region, "b")]);
    ZoneMap::new(all.collect::<BTreeMap<_, _>>())
}

fn gateways(zone: &str, count: usize) -> Vec<FleetMember> {
    let gateway = |index: usize| FleetMember {
        name: format!("edge-{zone}-{index}"),
        address: format!("127.0.0.1:{}", 1_000 + index).parse().expect("an address"),
        zone: zone.to_owned(),
        job_store: false,
        accepting: true,
    };
    (0..count).map(gateway).collect()
}

/// `gateways_per_zone` gateways in each zone of each region.
fn fleet(gateways_per_zone: usize) -> Vec<FleetMember> {
    let of_region = |region: &&str| {
        [format!("{region}-a"), format!("{region}-b")].map(|z| gateways(&z, gateways_per_zone))
    };
    REGIONS.iter().flat_map(of_region).flatten().collect()
}

fn within(regions: &[&str]) -> Residency {
    Residency::Within(regions.iter().map(|region| (*region).to_owned()).collect())
}

fn selection<'a>(
    fleet: &'a [FleetMember],
    region: Option<&str>,
    allowed: &Residency,
) -> Choice<'a> {
    let gateways: Vec<&FleetMember> = fleet.iter().collect();
    choose(&gateways, &zones(), &ClientLocation { region, zone: None, allowed })
}

fn zones_of(choice: &Choice) -> BTreeSet<String> {
    choice.gateways.iter().map(|member| member.zone.clone()).collect()
}

fn set(zones: &[&str]) -> BTreeSet<String> {
    zones.iter().map(|zone| (*zone).to_owned()).collect()
}

#[test]
fn a_client_gets_exactly_the_gateways_of_its_own_region() {
    let fleet = fleet(12);
    for region in REGIONS {
        let choice = selection(&fleet, Some(region), &Residency::Anywhere);
        assert_eq!(zones_of(&choice), set(&[&format!("{region}-a"), &format!("{region}-b")]));
        assert_eq!((choice.gateways.len(), choice.scope), (24, SelectionScope::Own));
    }
}

#[test]
fn the_remaining_zone_of_a_region_serves_its_clients() {
    let mut fleet = fleet(12);
    fleet.retain(|member| member.zone != "north-a");
    let choice = selection(&fleet, Some("north"), &Residency::Anywhere);
    assert_eq!((zones_of(&choice), choice.scope), (set(&["north-b"]), SelectionScope::Own));
}

#[test]
fn a_region_with_few_gateways_shares_its_clients_with_allowed_regions() {
    let mut fleet = fleet(12);
    fleet.retain(|member| member.zone != "north-a");
    let mut remaining = 3;
    fleet.retain(|member| {
        let is_kept = member.zone != "north-b" || remaining > 0;
        remaining -= usize::from(member.zone == "north-b" && remaining > 0);
        is_kept
    });
    let choice = selection(&fleet, Some("north"), &within(&["north", "west"]));
    assert_eq!(zones_of(&choice), set(&["north-b", "west-a", "west-b"]));
    assert_eq!(choice.scope, SelectionScope::Allowed);
    assert!(choice.gateways[..3].iter().all(|member| member.zone == "north-b"));
    let choice = selection(&fleet, Some("north"), &Residency::Anywhere);
    assert_eq!(choice.scope, SelectionScope::All);
    assert_eq!(zones_of(&choice).len(), 5);
}

#[test]
fn a_region_without_gateways_falls_back_to_allowed_regions_then_to_all() {
    let mut fleet = fleet(4);
    fleet.retain(|member| !member.zone.starts_with("north"));
    let choice = selection(&fleet, Some("north"), &within(&["west"]));
    assert_eq!(
        (zones_of(&choice), choice.scope),
        (set(&["west-a", "west-b"]), SelectionScope::Allowed)
    );
    let choice = selection(&fleet, Some("north"), &within(&["north"]));
    assert_eq!((choice.gateways.len(), choice.scope), (16, SelectionScope::All));
}

#[test]
fn a_client_without_a_known_region_gets_all_gateways() {
    let fleet = fleet(4);
    for region in [None, Some("elsewhere")] {
        let choice = selection(&fleet, region, &Residency::Anywhere);
        assert_eq!((choice.gateways.len(), choice.scope), (24, SelectionScope::All));
    }
}

#[test]
fn zones_without_known_regions_rank_as_in_a_fleet_without_regions() {
    let fleet = gateways("hall", 80);
    let choice = selection(&fleet, Some("north"), &Residency::Anywhere);
    // The ones announced to all clients without a zone, as in a fleet without regions.
    let mut first = rank_for_zone(fleet.iter().collect(), None);
    first.truncate(MAX_GATEWAYS);
    assert_eq!((choice.gateways, choice.scope), (first, SelectionScope::All));
}

#[test]
fn a_selection_never_exceeds_the_maximum() {
    let fleet = fleet(40);
    let choice = selection(&fleet, Some("south"), &Residency::Anywhere);
    assert_eq!((choice.gateways.len(), choice.scope), (MAX_GATEWAYS, SelectionScope::Own));
}

#[test]
fn no_gateways_give_an_empty_selection() {
    assert!(selection(&[], Some("north"), &Residency::Anywhere).gateways.is_empty());
}
