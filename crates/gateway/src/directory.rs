//! Announces the addresses of gateways to clients.

use std::net::SocketAddr;

use http::{StatusCode, Uri};
use rand::seq::IteratorRandom;

use crate::gateway_selection::{choose, ClientLocation};
use crate::response::{json, plain, ClientResponse};
use crate::shared::Shared;

/// Seconds for which clients may cache a response. A gateway that shuts down serves for longer.
const TTL_SECONDS: f64 = 2.0;

/// Address of another gateway, at random.
pub fn another_gateway(shared: &Shared) -> Option<SocketAddr> {
    let fleet = shared.fleet.load();
    let others = fleet.gateways().filter(|member| member.address != shared.peer);
    let other = others.choose(&mut rand::rng())?;
    Some(SocketAddr::new(other.ip(), shared.ingress.port()))
}

/// Answers an address query: gateways that accept requests, those in the client's region first.
pub fn addresses(shared: &Shared, uri: &Uri) -> ClientResponse {
    let fleet = shared.fleet.load();
    let catalog = shared.catalog.load();
    let port = shared.ingress.port();
    let query = shared.dialect.address_query(uri);
    let region = query.region.or_else(|| {
        let zone = query.zone.as_deref()?;
        shared.zones.region_of(zone).map(str::to_owned)
    });
    let allowed = catalog.routes.residency_of_host(&query.host.unwrap_or_default());
    let client = ClientLocation {
        region: region.as_deref(),
        zone: query.zone.as_deref(),
        allowed: &allowed,
    };
    let gateways: Vec<_> = fleet.gateways().collect();
    let chosen = choose(&gateways, &shared.zones, &client);
    metrics::counter!("gateway_address_answers_total", "reach" => chosen.scope.name()).increment(1);
    let selected = chosen.gateways.iter();
    let mut addresses: Vec<String> =
        selected.map(|member| SocketAddr::new(member.ip(), port).to_string()).collect();
    if addresses.is_empty() && !shared.stop.has_begun() {
        addresses.push(shared.ingress.to_string());
    }
    if addresses.is_empty() {
        return plain(StatusCode::SERVICE_UNAVAILABLE, "no gateway is known");
    }
    json(StatusCode::OK, shared.dialect.format_addresses(&addresses, TTL_SECONDS))
}
