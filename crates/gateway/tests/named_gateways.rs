//! Which gateways a client is told.
//!
//! Failure prevented: clients were told the first 64 gateways of all regions, so that the body of a request that
//! must stay in one region went to a gateway of another one before anything could refuse it.

use std::collections::{BTreeMap, BTreeSet};

use yokefall_gateway::named_gateways::{choose, Asker, Choice, Reach, MAX_GATEWAYS};
use yokefall_gateway::sample::order;
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

/// So many gateways in each zone of each region.
fn fleet(each: usize) -> Vec<FleetMember> {
    let of_region =
        |region: &&str| [format!("{region}-a"), format!("{region}-b")].map(|z| gateways(&z, each));
    REGIONS.iter().flat_map(of_region).flatten().collect()
}

fn within(regions: &[&str]) -> Residency {
    Residency::Within(regions.iter().map(|region| (*region).to_owned()).collect())
}

fn told<'a>(fleet: &'a [FleetMember], region: Option<&str>, allowed: &Residency) -> Choice<'a> {
    let gateways: Vec<&FleetMember> = fleet.iter().collect();
    choose(&gateways, &zones(), &Asker { region, zone: None, allowed })
}

fn zones_of(choice: &Choice) -> BTreeSet<String> {
    choice.gateways.iter().map(|member| member.zone.clone()).collect()
}

fn set(zones: &[&str]) -> BTreeSet<String> {
    zones.iter().map(|zone| (*zone).to_owned()).collect()
}

#[test]
fn a_client_is_told_every_gateway_of_its_own_region_and_no_other() {
    let fleet = fleet(12);
    for region in REGIONS {
        let choice = told(&fleet, Some(region), &Residency::Anywhere);
        assert_eq!(zones_of(&choice), set(&[&format!("{region}-a"), &format!("{region}-b")]));
        assert_eq!((choice.gateways.len(), choice.reach), (24, Reach::Own));
    }
}

#[test]
fn the_other_zone_of_a_region_serves_its_clients_after_a_zone_is_lost() {
    let mut fleet = fleet(12);
    fleet.retain(|member| member.zone != "north-a");
    let choice = told(&fleet, Some("north"), &Residency::Anywhere);
    assert_eq!((zones_of(&choice), choice.reach), (set(&["north-b"]), Reach::Own));
}

#[test]
fn few_gateways_of_a_region_share_its_clients_with_regions_that_the_host_allows() {
    let mut fleet = fleet(12);
    fleet.retain(|member| member.zone != "north-a");
    let mut left = 3;
    fleet.retain(|member| {
        let is_kept = member.zone != "north-b" || left > 0;
        left -= usize::from(member.zone == "north-b" && left > 0);
        is_kept
    });
    let choice = told(&fleet, Some("north"), &within(&["north", "west"]));
    assert_eq!(zones_of(&choice), set(&["north-b", "west-a", "west-b"]));
    assert_eq!(choice.reach, Reach::Allowed);
    assert!(choice.gateways[..3].iter().all(|member| member.zone == "north-b"));
    let choice = told(&fleet, Some("north"), &Residency::Anywhere);
    assert_eq!(choice.reach, Reach::All);
    assert_eq!(zones_of(&choice).len(), 5);
}

#[test]
fn a_region_without_gateways_is_served_where_the_host_allows_and_else_anywhere() {
    let mut fleet = fleet(4);
    fleet.retain(|member| !member.zone.starts_with("north"));
    let choice = told(&fleet, Some("north"), &within(&["west"]));
    assert_eq!((zones_of(&choice), choice.reach), (set(&["west-a", "west-b"]), Reach::Allowed));
    let choice = told(&fleet, Some("north"), &within(&["north"]));
    assert_eq!((choice.gateways.len(), choice.reach), (16, Reach::All));
}

#[test]
fn a_client_that_tells_no_region_that_is_known_is_told_all() {
    let fleet = fleet(4);
    for region in [None, Some("elsewhere")] {
        let choice = told(&fleet, region, &Residency::Anywhere);
        assert_eq!((choice.gateways.len(), choice.reach), (24, Reach::All));
    }
}

#[test]
fn zones_whose_regions_are_not_known_change_nothing() {
    let fleet = gateways("hall", 80);
    let choice = told(&fleet, Some("north"), &Residency::Anywhere);
    // Those that all clients without a zone are told, as in a fleet without regions.
    let mut first = order(fleet.iter().collect(), None);
    first.truncate(MAX_GATEWAYS);
    assert_eq!((choice.gateways, choice.reach), (first, Reach::All));
}

#[test]
fn an_answer_never_names_more_than_clients_take() {
    let fleet = fleet(40);
    let choice = told(&fleet, Some("south"), &Residency::Anywhere);
    assert_eq!((choice.gateways.len(), choice.reach), (MAX_GATEWAYS, Reach::Own));
}

#[test]
fn without_gateways_nothing_is_told() {
    assert!(told(&[], Some("north"), &Residency::Anywhere).gateways.is_empty());
}
