//! Refusals of what must stay in some regions and cannot.

use std::time::Duration;

use http::HeaderName;
use yokefall_serving::{Caller, FleetMember, Requirements, Residency, Route};
use yokefall_telemetry::{EventName, LogLine};

use crate::answer::{refusal, Answer};
use crate::shared::Shared;

/// When a caller may come back in whose regions nothing takes work: back ends that start or are let in again
/// are known to all gateways about a second later.
const NO_BACK_END_RETRY: Duration = Duration::from_millis(1_000);
/// When a caller may come back whose route and tenant have no region in common, or whose job may not be kept at
/// all job stores: not before a configuration or the job stores have changed, which takes two to four seconds.
const NOWHERE_RETRY: Duration = Duration::from_millis(4_000);

/// Names of job stores in a line.
const MOST_NAMES: usize = 3;

/// Whether a request is restricted and no back end takes work where it may be served.
pub fn lack_back_ends(shared: &Shared, requirements: &Requirements) -> bool {
    let catalog = shared.catalog.load();
    let is_restricted = *requirements.residency != Residency::Anywhere;
    is_restricted && shared.eligibility.candidates(&catalog, requirements).is_empty()
}

/// The answer to a request that was not run. It is 503 even where configurations would have to change: a status
/// of the client's own mistakes would be false, since another gateway may know a newer configuration.
pub fn refuse(retry_after: &HeaderName, residency: &Residency) -> Answer {
    if residency.is_nowhere() {
        let text = "the route and the tenant have no region in common: no region may serve this";
        return refusal(retry_after, NOWHERE_RETRY, text);
    }
    let text = format!("no back end takes work where this may be served: {residency}");
    refusal(retry_after, NO_BACK_END_RETRY, text)
}

/// A line for a request whose route and tenant have no region in common.
pub fn tell_nowhere(id: &str, route: &Route, caller: &Caller, version: u64) {
    LogLine::new(EventName::RegionRefused)
        .id(id)
        .field("route", route.name.as_str())
        .field("tenant", caller.name())
        .field("version", version)
        .text("regions", Residency::nowhere())
        .field("cause", "the route and the tenant have no region in common")
        .write();
}

/// Job stores at which something with this residency may not be kept: every one that lives is a member of the
/// group or may become one. The leader, which knows the members that have ended as well, looks again.
pub fn forbidden_job_stores(shared: &Shared, residency: &Residency) -> Vec<String> {
    if *residency == Residency::Anywhere {
        return Vec::new();
    }
    let fleet = shared.fleet.load();
    let stands_elsewhere =
        |member: &&FleetMember| !residency.allows(shared.zones.region_of(&member.zone));
    fleet.job_stores().filter(stands_elsewhere).map(|member| member.name.clone()).collect()
}

/// The answer to a job that would go to job stores at which it may not be kept.
pub fn refuse_job(shared: &Shared, job: &str, residency: &Residency, far: &[String]) -> Answer {
    let few: Vec<&str> = far.iter().take(MOST_NAMES).map(String::as_str).collect();
    LogLine::new(EventName::RegionRefused)
        .id(job)
        .field("version", shared.catalog.load().version())
        .text("regions", residency)
        .field("job_stores_elsewhere", far.len())
        .field("some", few)
        .field("cause", "a copy of the job would go where it may not be kept")
        .write();
    let text = format!("this job may be kept in {residency} alone, and job stores stand elsewhere");
    refusal(&shared.dialect.headers().retry_after, NOWHERE_RETRY, text)
}
