//! What a back end gets: the client's request with the headers that the system sets itself.

use bytes::Bytes;
use http::{header, HeaderMap, HeaderName, HeaderValue, Request};
use http_body_util::Full;
use tokio::time::Instant;
use xxhash_rust::xxh3::xxh3_64;

use crate::order::Order;
use crate::shared::Shared;

/// Shared tokens of a prompt from which it is worth going where they are in memory.
const AFFINITY_TOKENS: u64 = 1_000;

/// Headers of one connection, which are not passed on.
const CONNECTION_HEADERS: [HeaderName; 8] = [
    header::CONNECTION,
    header::PROXY_AUTHENTICATE,
    header::PROXY_AUTHORIZATION,
    header::TE,
    header::TRAILER,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
    header::EXPECT,
];

/// Copies headers that belong to the message, not to one connection.
pub fn copy_headers(from: &HeaderMap, to: &mut HeaderMap) {
    let named: Vec<&str> = from
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .map(str::trim)
        .collect();
    for (name, value) in from {
        let of_connection = CONNECTION_HEADERS.contains(name)
            || name.as_str() == "keep-alive"
            || name.as_str() == "proxy-connection"
            || named.iter().any(|named| name.as_str().eq_ignore_ascii_case(named));
        if !of_connection {
            to.append(name.clone(), value.clone());
        }
    }
}

/// The request for one back end; `None` where the client's path or the back end's identity cannot be
/// written. `after_event` is the event after which a stream continues, 0 for none.
pub fn request_for(
    shared: &Shared,
    order: &Order,
    backend: &str,
    after_event: u64,
) -> Option<Request<Full<Bytes>>> {
    let names = shared.dialect.headers();
    let path = order.parts.uri.path_and_query()?.as_str();
    let mut request = Request::builder().method(order.parts.method.clone()).uri(path);
    let headers = request.headers_mut()?;
    copy_headers(&order.parts.headers, headers);
    headers.remove(header::CONTENT_LENGTH);
    order.caller.set_tenant_header(&names.tenant, headers);
    let left = order.deadline.duration_since(Instant::now()).as_millis().max(1) as u64;
    headers.insert(&names.deadline_ms, HeaderValue::from(left));
    headers.insert(&names.expected_backend, HeaderValue::try_from(backend).ok()?);
    if after_event > 0 {
        headers.insert(&names.resume_after, HeaderValue::from(after_event));
    }
    request.body(Full::new(order.body.bytes.clone())).ok()
}

/// A hash of the shared part of a prompt that is long enough to matter.
pub fn affinity(shared: &Shared, headers: &HeaderMap) -> Option<u64> {
    let parts = shared.dialect.parse_prefix(headers.get(&shared.dialect.headers().prefix)?);
    let (_, shared_parts) = parts.split_last()?;
    let tokens: u64 = shared_parts.iter().map(|part| part.tokens).sum();
    let last = shared_parts.last()?;
    (tokens >= AFFINITY_TOKENS).then(|| xxh3_64(last.id.as_bytes()))
}
