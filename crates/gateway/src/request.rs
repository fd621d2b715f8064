//! Builds the request to a back end: that of the client with the headers that the gateway sets.

use bytes::Bytes;
use http::{header, HeaderMap, HeaderName, HeaderValue, Request};
use http_body_util::Full;
use tokio::time::Instant;
use xxhash_rust::xxh3::xxh3_64;
use yokefall_serving::PrefixPart;

use crate::context::RequestContext;
use crate::shared::Shared;

/// Minimum number of shared prompt tokens for which the back end that caches them is preferred.
const MIN_AFFINITY_TOKENS: u64 = 1_000;

/// Headers that are not forwarded: those of one hop, and the length of the body, which is that of the
/// body that is sent.
const UNFORWARDED_HEADERS: [HeaderName; 9] = [
    header::CONTENT_LENGTH,
    header::CONNECTION,
    header::PROXY_AUTHENTICATE,
    header::PROXY_AUTHORIZATION,
    header::TE,
    header::TRAILER,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
    header::EXPECT,
];

/// Copies the end-to-end headers of a message.
pub fn copy_headers(from: &HeaderMap, to: &mut HeaderMap) {
    let named: Vec<&str> = from
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .map(str::trim)
        .collect();
    for (name, value) in from {
        let is_unforwarded = UNFORWARDED_HEADERS.contains(name)
            || name.as_str() == "keep-alive"
            || name.as_str() == "proxy-connection"
            || named.iter().any(|named| name.as_str().eq_ignore_ascii_case(named));
        if !is_unforwarded {
            to.append(name.clone(), value.clone());
        }
    }
}

/// Builds the request for a back end; `None` if the client's path or the id of the back end is not
/// valid in a request. `after_event` is the event after which a stream continues, 0 for none.
pub fn request_for(
    shared: &Shared,
    context: &RequestContext,
    backend: &str,
    after_event: u64,
) -> Option<Request<Full<Bytes>>> {
    let names = shared.dialect.headers();
    let path = context.parts.uri.path_and_query()?.as_str();
    let mut request = Request::builder().method(context.parts.method.clone()).uri(path);
    let headers = request.headers_mut()?;
    copy_headers(&context.parts.headers, headers);
    context.caller.set_tenant_header(&names.tenant, headers);
    let remaining_ms = context.deadline.duration_since(Instant::now()).as_millis().max(1) as u64;
    headers.insert(&names.deadline_ms, HeaderValue::from(remaining_ms));
    headers.insert(&names.expected_backend, HeaderValue::try_from(backend).ok()?);
    if after_event > 0 {
        headers.insert(&names.resume_after, HeaderValue::from(after_event));
    }
    request.body(Full::new(context.body.bytes.clone())).ok()
}

/// The parts of the prompt that other requests may share.
pub fn shared_parts(shared: &Shared, headers: &HeaderMap) -> Vec<PrefixPart> {
    let value = headers.get(&shared.dialect.headers().prefix);
    value.map(|value| shared.dialect.shared_parts(value)).unwrap_or_default()
}

/// Hash of the shared part of a prompt, if it is long enough to prefer a back end.
pub fn affinity(shared_parts: &[PrefixPart]) -> Option<u64> {
    let tokens = shared_parts.iter().map(|part| part.tokens).fold(0, u64::saturating_add);
    let last = shared_parts.last()?;
    (tokens >= MIN_AFFINITY_TOKENS).then(|| xxh3_64(last.id.as_bytes()))
}
