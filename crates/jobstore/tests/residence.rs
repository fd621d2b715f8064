//! Whether a job may be kept, and which job store runs its items.
//!
//! Failures prevented: the bodies of a job that must stay in one region were copied to job stores of all, and
//! sent to workers of any.

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
fn the_paths_of_all_items_and_the_tenant_bind_a_job() {
    assert_eq!(residency(None, &["/free/x"]), Residency::Anywhere);
    assert_eq!(residency(None, &["/free/x", "/two/x"]), within(&["north", "south"]));
    assert_eq!(residency(None, &["/two/x", "/s/x", "/two/y"]), within(&["south"]));
    assert_eq!(residency(Some("school"), &["/free/x"]), within(&["north"]));
    assert!(residency(Some("school"), &["/s/x"]).is_nowhere());
    assert_eq!(residency(None, &["/gone/x"]), Residency::Anywhere);
}

#[test]
fn a_member_that_has_ended_counts_where_it_stood_and_one_that_is_unknown_keeps_nothing() {
    let known = KnownZones::default();
    let all = [job_store("n", "north-a"), job_store("s", "south-a"), job_store("x", "elsewhere")];
    known.note(&Fleet { members: all.to_vec(), ..Fleet::default() });
    known.note(&Fleet { members: all[..1].to_vec(), ..Fleet::default() });
    let forbidden = |residency| {
        let members = ["n", "s", "x", "never-met"];
        known.forbidden(members.into_iter(), &residency, &zones())
    };
    assert_eq!(forbidden(within(&["north"])), ["s", "x", "never-met"]);
    assert_eq!(forbidden(within(&["north", "south"])), ["x", "never-met"]);
    assert!(forbidden(Residency::Anywhere).is_empty());
}

#[test]
fn a_job_store_that_comes_back_elsewhere_counts_there() {
    let known = KnownZones::default();
    known.note(&Fleet { members: vec![job_store("n", "north-a")], ..Fleet::default() });
    known.note(&Fleet { members: vec![job_store("n", "south-a")], ..Fleet::default() });
    assert!(!known.may_keep("n", &within(&["north"]), &zones()));
}

#[test]
fn newcomers_from_outside_the_regions_of_held_jobs_join_only_where_none_from_inside_asks() {
    let known = KnownZones::default();
    let members = [job_store("a", "south-a"), job_store("b", "north-a"), job_store("c", "north-b")];
    known.note(&Fleet { members: members.to_vec(), ..Fleet::default() });
    let asking = |name: &str| MemberId { name: name.into(), incarnation: 1 };
    let mut joining = vec![asking("a"), asking("c"), asking("b")];
    known.prefer_inside(&mut joining, &within(&["north"]), &zones());
    assert_eq!(joining, [asking("c"), asking("b")]);
    let mut outside = vec![asking("a")];
    known.prefer_inside(&mut outside, &within(&["north"]), &zones());
    assert_eq!(outside, [asking("a")]);
}

#[test]
fn workers_stand_in_the_zone_else_in_the_region_else_anywhere() {
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
