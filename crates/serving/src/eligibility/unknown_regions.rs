//! Configured regions that no zone has: a typing error that would cause requests to be rejected.

use super::ZoneMap;
use crate::model::Configuration;

/// Each route and tenant with such a region, as `route NAME: REGION`, in configuration order.
pub fn unknown_regions(configuration: &Configuration, zones: &ZoneMap) -> Vec<String> {
    let unknown = |kind: &str, name: &str, regions: &[String]| -> Vec<String> {
        let unknown = regions.iter().filter(|region| !zones.has_region(region));
        unknown.map(|region| format!("{kind} {name}: {region}")).collect()
    };
    let of_routes = configuration
        .routes
        .iter()
        .flat_map(|route| unknown("route", &route.name, &route.allowed_regions));
    let of_tenants = configuration
        .tenants
        .iter()
        .flat_map(|tenant| unknown("tenant", tenant.name.as_str(), &tenant.allowed_regions));
    of_routes.chain(of_tenants).collect()
}
