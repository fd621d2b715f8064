//! Request bodies, read completely before anything is forwarded. A back end then receives a
//! complete request or none, and a request that it did not execute can be sent to another one.

use std::rc::Rc;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http::StatusCode;
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};
use tokio::time::Instant;
use yokefall_upstream::Reservation;

use crate::response::{plain, rejection, ClientResponse};
use crate::shared::Shared;

/// Retry delay for clients that are rejected because the memory for request bodies is exhausted.
const MEMORY_RETRY_AFTER: Duration = Duration::from_millis(500);

/// A request body, which counts against the memory limit for bodies until it is dropped.
pub struct BufferedBody {
    /// The bytes.
    pub bytes: Bytes,
    _memory: Reservation,
}

/// Reads a body of at most `limit` bytes until `deadline`.
pub async fn read(
    shared: &Rc<Shared>,
    mut body: Incoming,
    limit: usize,
    deadline: Instant,
) -> Result<BufferedBody, ClientResponse> {
    let announced = body.size_hint().exact();
    if announced.is_some_and(|length| length > limit as u64) {
        let text = format!("body: give at most {limit} bytes");
        return Err(plain(StatusCode::PAYLOAD_TOO_LARGE, text));
    }
    let mut memory = shared.body_memory.reserve();
    let mut collected = BytesMut::new();
    let mut first: Option<Bytes> = None;
    loop {
        let frame = match tokio::time::timeout_at(deadline, body.frame()).await {
            Ok(Some(Ok(frame))) => frame,
            Ok(None) => break,
            Ok(Some(Err(error))) => {
                return Err(plain(StatusCode::BAD_REQUEST, format!("body: {error}")));
            }
            Err(_) => return Err(plain(StatusCode::REQUEST_TIMEOUT, "body: not read in time")),
        };
        let Ok(data) = frame.into_data() else { continue };
        if collected.len() + first.as_ref().map_or(0, Bytes::len) + data.len() > limit {
            let text = format!("body: give at most {limit} bytes");
            return Err(plain(StatusCode::PAYLOAD_TOO_LARGE, text));
        }
        if !memory.grow(data.len()) {
            let name = &shared.dialect.headers().retry_after;
            return Err(rejection(name, MEMORY_RETRY_AFTER, "no memory for the body now"));
        }
        // Most bodies arrive in one chunk, which is forwarded without copying.
        match first.take() {
            None if collected.is_empty() => first = Some(data),
            None => collected.extend_from_slice(&data),
            Some(chunk) => {
                collected.extend_from_slice(&chunk);
                collected.extend_from_slice(&data);
            }
        }
    }
    let bytes = first.unwrap_or_else(|| collected.freeze());
    Ok(BufferedBody { bytes, _memory: memory })
}
