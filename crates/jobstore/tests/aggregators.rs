//! Which job store a gateway reports to in a fleet with several regions. Guards against reports to
//! aggregators of any region: two of three would cross regions, many times a second.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use yokefall_jobstore::aggregators::{aggregators, ReportTarget};
use yokefall_serving::{Fleet, FleetMember, ZoneMap};

const REGIONS: [&str; 3] = ["north", "south", "west"];

fn zones() -> Arc<ZoneMap> {
    let zones = REGIONS.map(|region| (format!("{region}-hall"), region.to_owned()));
    Arc::new(ZoneMap::new(BTreeMap::from(zones)))
}

fn member(name: String, region: &str, job_store: bool) -> FleetMember {
    FleetMember {
        name,
        address: "127.0.0.1:1".parse().expect("an address"),
        zone: format!("{region}-hall"),
        job_store,
        accepting: true,
    }
}

fn fleet(gateways: usize) -> Fleet {
    let mut members = Vec::new();
    for region in REGIONS {
        members.extend((0..gateways).map(|n| member(format!("edge-{region}-{n}"), region, false)));
        members.extend((0..5).map(|n| member(format!("store-{region}-{n}"), region, true)));
    }
    Fleet { members, ..Fleet::default() }
}

fn target(gateway: &FleetMember) -> ReportTarget {
    ReportTarget::new(gateway.name.clone()).in_zone(gateway.zone.clone(), zones())
}

#[test]
fn reports_stay_in_the_region_and_are_spread_over_aggregators() {
    for gateways in [3, 26, 100] {
        let fleet = fleet(gateways);
        let mut reports: BTreeMap<&str, usize> = BTreeMap::new();
        for gateway in fleet.gateways() {
            let target = target(gateway);
            let chosen = target.choose(&fleet).expect("a job store");
            assert_eq!(chosen.zone, gateway.zone);
            *reports.entry(&chosen.name).or_default() += 1;
        }
        assert!(reports.values().all(|count| *count <= 64), "{reports:?}");
        // Reporting gateways and aggregators agree on the selected job stores.
        let known = aggregators(&fleet, &zones(), Some("store-west-0"));
        let known: BTreeSet<&str> = known.iter().map(|store| &*store.name).collect();
        assert!(reports.keys().all(|name| known.contains(name)), "{reports:?} of {known:?}");
    }
}

#[test]
fn a_region_without_job_stores_reports_elsewhere() {
    let mut fleet = fleet(26);
    fleet.members.retain(|member| !member.job_store || !member.zone.starts_with("north"));
    let gateway = fleet.gateways().find(|gateway| gateway.zone == "north-hall").expect("one");
    let target = target(gateway);
    assert!(target.choose(&fleet).is_some());
    assert_eq!(aggregators(&fleet, &zones(), None).len(), 2);
}

#[tokio::test(start_paused = true)]
async fn a_gateway_whose_aggregator_fails_reports_to_another_one() {
    let fleet = fleet(26);
    let gateway = fleet.gateways().next().expect("one");
    let mut target = target(gateway);
    let own = target.choose(&fleet).expect("a job store").name.clone();
    target.failed(&own);
    target.failed(&own);
    let next = target.choose(&fleet).expect("a job store").name.clone();
    let known = aggregators(&fleet, &zones(), None);
    assert!(next != own && known.iter().any(|store| store.name == next));
}
