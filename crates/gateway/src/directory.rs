//! Which gateways clients should use.

use std::net::SocketAddr;

use http::{StatusCode, Uri};

use crate::answer::{json, plain, Answer};
use crate::named_gateways::{choose, Asker};
use crate::shared::Shared;

/// Time for which clients may keep an answer, in seconds. A gateway that stops serves for longer.
const LIFETIME_S: f64 = 2.0;

/// Answers a query for addresses: gateways that take new work, those of the client's own region first.
pub fn addresses(shared: &Shared, uri: &Uri) -> Answer {
    let fleet = shared.fleet.load();
    let catalog = shared.catalog.load();
    let port = shared.ingress.port();
    let query = shared.dialect.address_query(uri);
    let region = query.region.or_else(|| {
        let zone = query.zone.as_deref()?;
        shared.zones.region_of(zone).map(str::to_owned)
    });
    let allowed = catalog.routes.residency_of_host(&query.host.unwrap_or_default());
    let asker = Asker { region: region.as_deref(), zone: query.zone.as_deref(), allowed: &allowed };
    let gateways: Vec<_> = fleet.gateways().collect();
    let chosen = choose(&gateways, &shared.zones, &asker);
    metrics::counter!("gateway_address_answers_total", "reach" => chosen.reach.name()).increment(1);
    let named = chosen.gateways.iter();
    let mut addresses: Vec<String> =
        named.map(|member| SocketAddr::new(member.ip(), port).to_string()).collect();
    if addresses.is_empty() && !shared.stopping.get() {
        addresses.push(shared.ingress.to_string());
    }
    if addresses.is_empty() {
        return plain(StatusCode::SERVICE_UNAVAILABLE, "no gateway is known");
    }
    json(StatusCode::OK, shared.dialect.format_addresses(&addresses, LIFETIME_S))
}
