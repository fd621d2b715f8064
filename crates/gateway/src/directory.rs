//! Which gateways clients should use.

use std::net::SocketAddr;

use http::{StatusCode, Uri};

use crate::answer::{json, plain, Answer};
use crate::sample;
use crate::shared::Shared;

/// Most addresses in one answer.
const MAX_ADDRESSES: usize = 64;
/// Time for which clients may keep an answer, in seconds. A gateway that stops serves for longer.
const LIFETIME_S: f64 = 2.0;

/// Answers a query for addresses: gateways that take new work.
pub fn addresses(shared: &Shared, uri: &Uri) -> Answer {
    let fleet = shared.fleet.load();
    let port = shared.ingress.port();
    let zone = shared.dialect.query_zone(uri);
    let mut addresses: Vec<String> = sample::order(fleet.gateways().collect(), zone.as_deref())
        .into_iter()
        .map(|member| SocketAddr::new(member.ip(), port).to_string())
        .take(MAX_ADDRESSES)
        .collect();
    if addresses.is_empty() && !shared.stopping.get() {
        addresses.push(shared.ingress.to_string());
    }
    if addresses.is_empty() {
        return plain(StatusCode::SERVICE_UNAVAILABLE, "no gateway is known");
    }
    json(StatusCode::OK, shared.dialect.format_addresses(&addresses, LIFETIME_S))
}
