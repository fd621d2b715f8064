//! Streams that a client continues after an earlier attempt broke off, and the records of those
//! that begin, by which any gateway continues them at the software version that began them.

use std::rc::Rc;
use std::time::Duration;

use http::request::Parts;
use yokefall_serving::{Backend, Route, RouteKind, SoftwareVersion};
use yokefall_streams::{QueryOutcome, StreamKey, StreamOrigin};
use yokefall_telemetry::{EventName, LogLine};

use crate::context::RequestContext;
use crate::response::{rejection, ClientResponse};
use crate::shared::Shared;

/// Retry delay if gateways that may hold the record did not answer.
const UNANSWERED_RETRY_AFTER: Duration = Duration::from_millis(300);
/// Retry delay if a stream cannot be continued at present. A back end that crashed is replaced by
/// one of its version within seconds.
pub const NOT_CONTINUED_RETRY_AFTER: Duration = Duration::from_millis(1_000);

/// A stream that a request begins or continues.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StreamState {
    /// Its key.
    pub key: StreamKey,
    /// Software version whose events the client has received, or is about to; `None` before the
    /// first event.
    pub software_version: Option<SoftwareVersion>,
}

impl StreamState {
    /// The stream that a request begins; `None` if its answer cannot be continued.
    pub fn of_new_request(route: &Route, id: &str) -> Option<Self> {
        let may_continue = route.kind == RouteKind::Stream && route.resumable;
        may_continue.then(|| Self { key: StreamKey::of_attempt(id), software_version: None })
    }
}

/// A stream that a client continues.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ContinuedStream {
    /// Its key.
    pub key: StreamKey,
    /// Where it began.
    pub origin: StreamOrigin,
}

impl From<ContinuedStream> for StreamState {
    fn from(stream: ContinuedStream) -> Self {
        let software_version = Some(stream.origin.software_version());
        Self { key: stream.key, software_version }
    }
}

/// Why a stream cannot be continued. Nothing was sent to a back end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ContinuationError {
    /// No gateway has a record of it.
    NotRecorded,
    /// Gateways that may have a record did not answer.
    Unanswered,
    /// The client does not name the attempt that began it, and it may have begun at several services
    /// or versions.
    AttemptNotNamed,
    /// The same, and this process may not know all places where streams of the route began.
    HistoryIncomplete,
    /// The route no longer leads to the service that began it.
    ServiceRemoved,
}

impl ContinuationError {
    /// Name of the error in log lines.
    fn name(self) -> &'static str {
        match self {
            ContinuationError::NotRecorded => "not-recorded",
            ContinuationError::Unanswered => "unanswered",
            ContinuationError::AttemptNotNamed => "attempt-not-named",
            ContinuationError::HistoryIncomplete => "history-incomplete",
            ContinuationError::ServiceRemoved => "service-removed",
        }
    }

    /// The response to the client.
    pub fn response(self, shared: &Shared) -> ClientResponse {
        let (retry_after, text) = match self {
            ContinuationError::NotRecorded => {
                (NOT_CONTINUED_RETRY_AFTER, "which version began the stream is not known")
            }
            ContinuationError::Unanswered => (
                UNANSWERED_RETRY_AFTER,
                "it cannot be found out now which version began the stream",
            ),
            ContinuationError::AttemptNotNamed => {
                (NOT_CONTINUED_RETRY_AFTER, "name the attempt that began the stream")
            }
            ContinuationError::HistoryIncomplete => (
                UNANSWERED_RETRY_AFTER,
                "this gateway cannot tell now where streams of the route began",
            ),
            ContinuationError::ServiceRemoved => {
                (NOT_CONTINUED_RETRY_AFTER, "the service that began the stream is not on the route")
            }
        };
        rejection(&shared.dialect.headers().retry_after, retry_after, text)
    }
}

/// Last event that the client has received of a stream that it continues; 0 for a new stream.
pub fn requested_event(shared: &Shared, parts: &Parts) -> u64 {
    let requested = parts.headers.get(&shared.dialect.headers().resume_after);
    requested.and_then(|value| value.to_str().ok()?.parse().ok()).unwrap_or(0)
}

/// The stream that a request continues, with where it began; `None` if it continues none.
pub async fn find_continued(
    shared: &Rc<Shared>,
    route: &Route,
    parts: &Parts,
    id: &str,
) -> Result<Option<ContinuedStream>, ContinuationError> {
    let after_event = requested_event(shared, parts);
    if route.kind != RouteKind::Stream || after_event == 0 {
        return Ok(None);
    }
    let first_attempt = parts.headers.get(&shared.dialect.headers().continued_attempt);
    let first_attempt = first_attempt.and_then(|value| value.to_str().ok());
    let key = StreamKey::of_attempt(first_attempt.unwrap_or(id));
    let origin = match first_attempt {
        Some(_) => recorded_origin(shared, route, key).await,
        None => sole_origin(shared, route).await,
    };
    let log_line = LogLine::new(EventName::ContinuationRequested)
        .id(id)
        .field("first_attempt", first_attempt)
        .field("after_event", after_event);
    match &origin {
        Ok(origin) => log_line
            .field("origin", "found")
            .field("service", origin.service.as_str())
            .text("software_version", origin.software_version())
            .write(),
        Err(error) => log_line.field("origin", error.name()).write(),
    }
    origin.map(|origin| Some(ContinuedStream { key, origin }))
}

async fn recorded_origin(
    shared: &Shared,
    route: &Route,
    key: StreamKey,
) -> Result<StreamOrigin, ContinuationError> {
    let origin = match shared.streams.find(key).await {
        QueryOutcome::Found(origin) => origin,
        QueryOutcome::NotRecorded => return Err(ContinuationError::NotRecorded),
        QueryOutcome::Unanswered => return Err(ContinuationError::Unanswered),
    };
    match route.services().any(|service| service == origin.service) {
        true => Ok(origin),
        false => Err(ContinuationError::ServiceRemoved),
    }
}

/// The origin of all streams of the route that may be continued, if it is the same: some clients do
/// not name the attempt that began their stream.
async fn sole_origin(shared: &Shared, route: &Route) -> Result<StreamOrigin, ContinuationError> {
    let is_confirmed = shared.origin_history.confirm().await;
    let mut services = route.services();
    let (Some(service), None) = (services.next(), services.next()) else {
        return Err(ContinuationError::AttemptNotNamed);
    };
    let catalog = shared.catalog.load();
    let version = catalog.sole_software_version(service);
    let origin = version.and_then(|version| StreamOrigin::new(service, version));
    let has_other = |origin: &StreamOrigin| {
        shared.streams.has_other_version(origin) || shared.origin_history.has_other(route, origin)
    };
    let origin =
        origin.filter(|origin| !has_other(origin)).ok_or(ContinuationError::AttemptNotNamed)?;
    match is_confirmed {
        true => Ok(origin),
        false => Err(ContinuationError::HistoryIncomplete),
    }
}

/// Fixes the software version of a stream and records it. Must be called before the first event
/// leaves for the client: whoever continues the stream after this gateway has ended finds the
/// record of another one.
pub fn record_origin(shared: &Shared, context: &mut RequestContext, backend: &Backend) {
    let Some(stream) = &mut context.stream else { return };
    let version = match &stream.software_version {
        Some(version) => version.clone(),
        None => known_version(shared, backend),
    };
    if let Some(origin) = StreamOrigin::new(&context.service, &version) {
        shared.origin_history.record_stream(&context.route, &origin);
        shared.streams.record(stream.key, origin);
    }
    stream.software_version = Some(version);
}

/// Software version of a back end, which may have become known after it was chosen.
fn known_version(shared: &Shared, backend: &Backend) -> SoftwareVersion {
    let catalog = shared.catalog.load();
    let latest = catalog.known.get(&backend.id);
    let latest = latest.filter(|latest| latest.started_ms == backend.started_ms);
    latest.map_or(&backend.software_version, |latest| &latest.software_version).clone()
}
