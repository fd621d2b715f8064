//! Rejections of requests and jobs that are restricted to regions in which they cannot be served.

use std::time::Duration;

use http::HeaderName;
use yokefall_serving::{Caller, FleetMember, Requirements, Residency, Route};
use yokefall_telemetry::{EventName, LogLine};

use crate::response::{rejection, ClientResponse};
use crate::shared::Shared;

/// Retry delay when no back end accepts requests in the allowed regions: all gateways learn of back
/// ends that start or are readmitted within about a second.
const NO_BACKEND_RETRY_AFTER: Duration = Duration::from_millis(1_000);
/// Retry delay when route and tenant share no region, or a job may not be stored at all job stores:
/// until the configuration or the set of job stores changes, which takes two to four seconds.
const RESIDENCY_RETRY_AFTER: Duration = Duration::from_millis(4_000);

const MAX_LOGGED_NAMES: usize = 3;

/// Whether a request is restricted to regions in which no back end accepts requests.
pub fn has_no_backends(shared: &Shared, requirements: &Requirements) -> bool {
    let catalog = shared.catalog.load();
    let is_restricted = *requirements.residency != Residency::Anywhere;
    is_restricted && shared.eligibility.candidates(&catalog, requirements).is_empty()
}

/// The response to a request that was not executed. The status is 503 even if only a configuration
/// change would help: a 4xx would be wrong, since another gateway may have a newer one.
pub fn reject(retry_after: &HeaderName, residency: &Residency) -> ClientResponse {
    if residency.is_nowhere() {
        let text = "the route and the tenant have no region in common: no region may serve this";
        return rejection(retry_after, RESIDENCY_RETRY_AFTER, text);
    }
    let text = format!("no back end takes work where this may be served: {residency}");
    rejection(retry_after, NO_BACKEND_RETRY_AFTER, text)
}

/// Logs a request whose route and tenant have no region in common.
pub fn log_no_common_region(id: &str, route: &Route, caller: &Caller, version: u64) {
    LogLine::new(EventName::RegionRefused)
        .id(id)
        .field("route", route.name.as_str())
        .field("tenant", caller.name())
        .field("version", version)
        .text("regions", Residency::nowhere())
        .field("cause", "the route and the tenant have no region in common")
        .write();
}

/// Job stores that may not store data with this residency: every running one is or may become a
/// group member. The leader, which also knows the members that are not running, checks again.
pub fn forbidden_job_stores(shared: &Shared, residency: &Residency) -> Vec<String> {
    if *residency == Residency::Anywhere {
        return Vec::new();
    }
    let fleet = shared.fleet.load();
    let is_outside =
        |member: &&FleetMember| !residency.allows(shared.zones.region_of(&member.zone));
    fleet.job_stores().filter(is_outside).map(|member| member.name.clone()).collect()
}

/// The response to a job that would be stored at job stores where that is not allowed.
pub fn reject_job(
    shared: &Shared,
    job: &str,
    residency: &Residency,
    outside: &[String],
) -> ClientResponse {
    let names: Vec<&str> = outside.iter().take(MAX_LOGGED_NAMES).map(String::as_str).collect();
    LogLine::new(EventName::RegionRefused)
        .id(job)
        .field("version", shared.catalog.load().version())
        .text("regions", residency)
        .field("job_stores_elsewhere", outside.len())
        .field("some", names)
        .field("cause", "a copy of the job would go where it may not be kept")
        .write();
    let text = format!("this job may be kept in {residency} alone, and job stores stand elsewhere");
    rejection(&shared.dialect.headers().retry_after, RESIDENCY_RETRY_AFTER, text)
}
