//! Load reports in a fleet of several regions.
//!
//! What they cost before: each gateway reported to an aggregator found by hash over all regions, so that two of
//! three reports of a fleet of three regions, ten a second from each gateway, crossed to another one.

use std::collections::BTreeMap;
use std::sync::Arc;

use yokefall_jobstore::aggregators::{aggregators, Place, ReportTarget};
use yokefall_serving::{Fleet, FleetMember, ZoneMap};

const REGIONS: [&str; 3] = ["east", "west", "north"];
const GATEWAYS_OF_A_REGION: usize = 40;
const STORES_OF_A_REGION: usize = 4;

fn zones() -> Arc<ZoneMap> {
    let zone = |region: &&str| (format!("{region}-a"), (*region).to_owned());
    Arc::new(ZoneMap::new(REGIONS.iter().map(zone).collect::<BTreeMap<_, _>>()))
}

fn fleet() -> Fleet {
    let mut members = Vec::new();
    for region in REGIONS {
        let mut add = |name: String, job_store: bool| {
            members.push(FleetMember {
                name,
                address: "127.0.0.1:1".parse().expect("an address"),
                zone: format!("{region}-a"),
                job_store,
                accepting: true,
            });
        };
        (0..GATEWAYS_OF_A_REGION).for_each(|number| add(format!("edge-{region}-{number}"), false));
        (0..STORES_OF_A_REGION).for_each(|number| add(format!("store-{region}-{number}"), true));
    }
    Fleet { members }
}

fn target(region: &str) -> ReportTarget {
    let place = Place { zone: format!("{region}-a"), zones: zones() };
    ReportTarget::new(format!("edge-{region}-7"), place)
}

/// The region in which a gateway's next report ends.
fn reports_to(target: &ReportTarget, fleet: &Fleet) -> String {
    target.choose(fleet).expect("a job store").zone.trim_end_matches("-a").to_owned()
}

#[test]
fn reports_stay_in_their_region() {
    let fleet = fleet();
    for region in REGIONS {
        assert_eq!(reports_to(&target(region), &fleet), region);
    }
    // One for 32 gateways: two for the 40 of each region.
    assert_eq!(aggregators(&fleet, None, &zones()).len(), 2 * REGIONS.len());
}

#[tokio::test(start_paused = true)]
async fn a_region_whose_job_stores_give_no_answer_reports_to_another_one() {
    let fleet = fleet();
    let mut target = target("west");
    for _ in 0..2 {
        for _ in 0..STORES_OF_A_REGION {
            let asked = target.choose(&fleet).expect("a job store").name.clone();
            target.failed(&asked);
        }
    }
    assert_ne!(reports_to(&target, &fleet), "west");
}

#[test]
fn a_region_without_job_stores_reports_to_another_one() {
    let mut fleet = fleet();
    fleet.members.retain(|member| !(member.job_store && member.zone == "west-a"));
    assert_ne!(reports_to(&target("west"), &fleet), "west");
    assert_eq!(reports_to(&target("east"), &fleet), "east");
}
