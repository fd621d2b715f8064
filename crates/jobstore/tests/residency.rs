//! Where a job may be stored, and which job store runs its items. Guards against copying or sending
//! the bodies of a job restricted to one region to job stores or workers in others.

use std::collections::BTreeMap;

use yokefall_consensus::MemberId;
use yokefall_jobstore::delegation::nearest;
use yokefall_jobstore::residency::{residency_of_job, KnownZones};
use yokefall_serving::{
    Catalog, Configuration, Fleet, FleetMember, Residency, Route, RouteKind, SplitPart, Tenant,
    TenantName, ZoneMap,
};

const HOST: &str = "maps.example";

fn within(regions: &[&str]) -> Residency {
    Residency::Within(names(regions).into_iter().collect())
}

fn names(regions: &[&str]) -> Vec<String> {
    regions.iter().map(|region| (*region).to_owned()).collect()
}

fn route(name: &str, regions: &[&str]) -> Route {
    Route {
        name: name.into(),
        host: HOST.into(),
        path_prefix: format!("/{name}/"),
        kind: RouteKind::Batch,
        timeout_ms: 0,
        target_latency_ms: 0,
        priority: 0,
        max_attempts: 2,
        resumable: false,
        split: vec![SplitPart { service: "models".into(), weight: 1 }],
        batch: None,
        auth_exempt: false,
        allowed_regions: names(regions),
    }
}

fn catalog() -> Catalog {
    let tenant = Tenant {
        name: TenantName::new("school"),
        keys: Vec::new(),
        rank: None,
        limit: None,
        allowed_regions: names(&["north"]),
    };
    let configuration = Configuration {
        routes: vec![route("free", &[]), route("two", &["north", "south"]), route("s", &["south"])],
        tenants: vec![tenant],
        ..Configuration::default()
    };
    Catalog::new(Some(configuration.into()), std::iter::empty())
}

fn residency(tenant: Option<&str>, paths: &[&str]) -> Residency {
    let tenant = tenant.map(TenantName::new);
    residency_of_job(&catalog(), HOST, tenant.as_ref(), paths.iter().copied())
}

fn zones() -> ZoneMap {
    let zones = [("north-a", "north"), ("north-b", "north"), ("south-a", "south")];
    let zones = zones.map(|(zone, region)| (zone.to_owned(), region.to_owned()));
    ZoneMap::new(BTreeMap::from(zones))
}

fn job_store(name: &str, zone: &str) -> FleetMember {
    FleetMember {
        name: name.into(),
        address: "127.0.0.1:1000".parse().expect("an address"),
        zone: zone.into(),
        job_store: true,
        accepting: true,
    }
}

#[test]
fn a_job_is_restricted_by_its_items_paths_and_tenant() {
    assert_eq!(residency(None, &["/free/x"]), Residency::Anywhere);
    assert_eq!(residency(None, &["/free/x", "/two/x"]), within(&["north", "south"]));
    assert_eq!(residency(None, &["/two/x", "/s/x", "/two/y"]), within(&["south"]));
    assert_eq!(residency(Some("school"), &["/free/x"]), within(&["north"]));
    assert!(residency(Some("school"), &["/s/x"]).is_nowhere());
    assert_eq!(residency(None, &["/gone/x"]), Residency::Anywhere);
}

#[test]
fn a_stopped_member_keeps_its_zone_and_an_unknown_one_stores_nothing_restricted() {
    let known = KnownZones::default();
    let all = [job_store("n", "north-a"), job_store("s", "south-a"), job_store("x", "elsewhere")];
    known.record(&Fleet { members: all.to_vec(), ..Fleet::default() });
    known.record(&Fleet { members: all[..1].to_vec(), ..Fleet::default() });
    let forbidden = |residency| {
        let members = ["n", "s", "x", "never-met"];
        known.forbidden(members.into_iter(), &residency, &zones())
    };
    assert_eq!(forbidden(within(&["north"])), ["s", "x", "never-met"]);
    assert_eq!(forbidden(within(&["north", "south"])), ["x", "never-met"]);
    assert!(forbidden(Residency::Anywhere).is_empty());
}

#[test]
fn a_job_store_that_returns_in_another_zone_counts_there() {
    let known = KnownZones::default();
    known.record(&Fleet { members: vec![job_store("n", "north-a")], ..Fleet::default() });
    known.record(&Fleet { members: vec![job_store("n", "south-a")], ..Fleet::default() });
    assert!(!known.may_keep("n", &within(&["north"]), &zones()));
}

#[test]
fn members_outside_the_allowed_regions_join_only_if_no_other_asks() {
    let known = KnownZones::default();
    let members = [job_store("a", "south-a"), job_store("b", "north-a"), job_store("c", "north-b")];
    known.record(&Fleet { members: members.to_vec(), ..Fleet::default() });
    let asking = |name: &str| MemberId { name: name.into(), incarnation: 1 };
    let mut joining = vec![asking("a"), asking("c"), asking("b")];
    known.prefer_allowed(&mut joining, &within(&["north"]), &zones());
    assert_eq!(joining, [asking("c"), asking("b")]);
    let mut outside = vec![asking("a")];
    known.prefer_allowed(&mut outside, &within(&["north"]), &zones());
    assert_eq!(outside, [asking("a")]);
}

#[test]
fn workers_are_in_the_zone_else_in_the_region_else_anywhere() {
    let members = [
        job_store("1", "north-a"),
        job_store("2", "north-b"),
        job_store("3", "south-a"),
        job_store("4", "north-b"),
    ];
    let near = |members: &[FleetMember], zone: &str| -> Vec<String> {
        let members: Vec<&FleetMember> = members.iter().collect();
        nearest(&members, zone, &zones()).iter().map(|member| member.name.clone()).collect()
    };
    assert_eq!(near(&members, "north-b"), ["2", "4"]);
    assert_eq!(near(&members[..1], "north-b"), ["1"]);
    assert_eq!(near(&members[1..3], "north-a"), ["2"]);
    assert_eq!(near(&members[2..3], "north-a"), ["3"]);
    assert!(near(&[], "north-a").is_empty());
}
