//! Sends a request to a back end, and to another one where that is allowed.
//!
//! Invariant: a request that is not repeatable is never sent again after a back end may have
//! executed it, and is then never rejected as "not run". Only these prove that it was not executed:
//! the connection could not be established, nothing was written, or the back end said so.

use std::rc::Rc;
use std::time::Duration;

use http::{HeaderMap, HeaderName, Response, StatusCode};
use tokio::time::Instant;
use yokefall_serving::{Ineligible, Outcome, Residency, RouteKind};
use yokefall_suspects::ResponseProgress;
use yokefall_telemetry::{EventName, LogLine};
use yokefall_upstream::{
    exchange, BackendBody, BackendSlot, ConnectFailure, Connection, ExpectedBody, SendFailure,
};

use crate::admission::{admit, choose, QueueTimeout};
use crate::context::{may_retry, RequestContext};
use crate::quota::{self, QuotaCheck, TokenError};
use crate::regions;
use crate::relay;
use crate::request::{affinity, request_for};
use crate::response::{plain, rejection, ClientResponse};
use crate::shared::Shared;
use crate::stream::NOT_CONTINUED_RETRY_AFTER;
use crate::suspect::{self, Clearance};

const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
/// Maximum number of back ends tried before a request that none accepted is rejected.
const MAX_TRIES: usize = 5;
const RETRY_AFTER: Duration = Duration::from_millis(100);
/// Minimum retry delay for clients whose queued request expired, and the factor up to which it is
/// randomized, so that clients rejected together do not return together.
const QUEUED_RETRY_AFTER: Duration = Duration::from_millis(300);
const QUEUED_RETRY_SPREAD: f64 = 3.0;
/// How long a back end may send nothing before it gets no new requests until it sends again.
pub const SILENCE_TIMEOUT: Duration = Duration::from_millis(450);
/// Timeout of an attempt after which a repeatable request goes to another back end, as a multiple
/// of the route's latency target; and its lower bound.
const ATTEMPT_TIMEOUT_TARGETS: u32 = 3;
const MIN_ATTEMPT_TIMEOUT: Duration = Duration::from_millis(800);
const BACKENDS_TERMINATED_TEXT: &str = "back ends ended while they ran this request";
const ALL_COLD_TEXT: &str = "back ends are not warm yet and have had what they bear";
const NO_SOFTWARE_VERSION_TEXT: &str =
    "no back end of the software version that began the stream takes work";
/// Connections to one back end that are always allowed.
const MIN_CONNECTIONS: usize = 4;

/// Response of a back end, with the slot and the connection it uses.
pub struct BackendResponse {
    /// The response head and the unread body.
    pub response: Response<BackendBody>,
    /// The connection.
    pub connection: Connection,
    /// The slot.
    pub slot: BackendSlot,
}

/// Why no back end returned a usable response.
pub enum ForwardError {
    /// The request expired in the queue and was not executed.
    QueueTimeout,
    /// The request was not executed.
    NotRun(String),
    /// The request may have been executed.
    MayHaveRun(String),
    /// The deadline passed; the request may have been executed.
    DeadlineExceeded,
    /// The tenant's rate limit does not allow sending the request now, or again.
    TokenError(TokenError),
    /// All back ends are cold and this process has used its share of their requests; not executed.
    AllCold(Duration),
    /// Back ends terminated during this request; it may be sent again after this time.
    HeldBack(Duration),
    /// No back end accepts requests in the regions where the request may be served; not executed.
    NoRegion(Residency),
    /// No back end of the software version that began the stream accepts requests; not executed.
    NoSoftwareVersion,
}

/// Serves a request.
pub async fn forward(shared: &Rc<Shared>, mut context: RequestContext) -> ClientResponse {
    loop {
        match send(shared, &mut context, 0).await {
            Ok(backend_response) => match relay::relay(shared, context, backend_response).await {
                Ok(response) => return response,
                Err((returned, cause)) => {
                    context = *returned;
                    if !may_retry(&context) {
                        let log_line = context.final_log_line(EventName::RequestFailed);
                        log_line.field("cause", cause.as_str()).write();
                        return bad_gateway(&cause);
                    }
                }
            },
            Err(cause) => return error_response(shared, &context, cause),
        }
    }
}

/// Ensures that the request has a token that is valid at the time of sending. Invariant: no request
/// of a rate-limited tenant is sent without a token, and no token is used twice.
async fn ensure_token(shared: &Rc<Shared>, context: &mut RequestContext) -> Result<(), TokenError> {
    let Some(check) = QuotaCheck::of(&context.caller, &context.route, context.version) else {
        return Ok(());
    };
    if context.token.is_none_or(|token| !shared.quota.is_valid(token)) {
        context.token = Some(quota::take(shared, check).await?);
    }
    Ok(())
}

/// The response to a request that was not executed because no token was available.
pub fn token_rejection(retry_after: &HeaderName, cause: TokenError) -> ClientResponse {
    match cause {
        TokenError::OverLimit { wait } => {
            let mut response =
                rejection(retry_after, wait, "the tenant has sent as much as it may");
            *response.status_mut() = StatusCode::TOO_MANY_REQUESTS;
            response
        }
        TokenError::Unknown { wait } => {
            rejection(retry_after, wait, "the tenant's limit cannot be checked now")
        }
    }
}

fn bad_gateway(cause: &str) -> ClientResponse {
    plain(StatusCode::BAD_GATEWAY, format!("a back end broke off: {cause}"))
}

fn error_response(
    shared: &Shared,
    context: &RequestContext,
    cause: ForwardError,
) -> ClientResponse {
    let may_still_run =
        matches!(cause, ForwardError::MayHaveRun(_) | ForwardError::DeadlineExceeded);
    let rejected = !may_still_run && context.may_have_run == 0;
    let is_for_regions = matches!(cause, ForwardError::NoRegion(_));
    let event = match rejected {
        true if is_for_regions => EventName::RegionRefused,
        true => EventName::RequestRefused,
        false => EventName::RequestFailed,
    };
    let text = match &cause {
        ForwardError::NotRun(text) | ForwardError::MayHaveRun(text) => text.as_str(),
        ForwardError::QueueTimeout => "back ends have had no room",
        ForwardError::AllCold(_) => ALL_COLD_TEXT,
        ForwardError::DeadlineExceeded => "its time ended",
        ForwardError::TokenError(_) => "the tenant's limit does not allow another run",
        ForwardError::HeldBack(_) => BACKENDS_TERMINATED_TEXT,
        ForwardError::NoRegion(_) => "no back end takes work where it may be served",
        ForwardError::NoSoftwareVersion => NO_SOFTWARE_VERSION_TEXT,
    };
    context.final_log_line(event).text("regions", &context.residency).field("cause", text).write();
    match cause {
        ForwardError::QueueTimeout => {
            let pause = QUEUED_RETRY_AFTER.mul_f64(rand::random_range(1.0..QUEUED_RETRY_SPREAD));
            rejection(&shared.dialect.headers().retry_after, pause, "back ends have no room now")
        }
        ForwardError::NotRun(text) if context.may_have_run == 0 => {
            rejection(&shared.dialect.headers().retry_after, RETRY_AFTER, text)
        }
        ForwardError::TokenError(cause) if context.may_have_run == 0 => {
            token_rejection(&shared.dialect.headers().retry_after, cause)
        }
        ForwardError::AllCold(wait) if context.may_have_run == 0 => {
            rejection(&shared.dialect.headers().retry_after, wait, ALL_COLD_TEXT)
        }
        ForwardError::AllCold(_) => bad_gateway(ALL_COLD_TEXT),
        ForwardError::HeldBack(wait) if context.may_have_run == 0 => {
            rejection(&shared.dialect.headers().retry_after, wait, BACKENDS_TERMINATED_TEXT)
        }
        ForwardError::HeldBack(_) => bad_gateway(BACKENDS_TERMINATED_TEXT),
        ForwardError::NoRegion(residency) if context.may_have_run == 0 => {
            regions::reject(&shared.dialect.headers().retry_after, &residency)
        }
        ForwardError::NoRegion(_) => {
            bad_gateway("no back end takes work where the rest may be served")
        }
        ForwardError::NoSoftwareVersion if context.may_have_run == 0 => {
            let retry_after = &shared.dialect.headers().retry_after;
            rejection(retry_after, NOT_CONTINUED_RETRY_AFTER, NO_SOFTWARE_VERSION_TEXT)
        }
        ForwardError::NoSoftwareVersion => bad_gateway(NO_SOFTWARE_VERSION_TEXT),
        ForwardError::TokenError(_) => bad_gateway("the tenant's limit does not allow another run"),
        ForwardError::NotRun(text) | ForwardError::MayHaveRun(text) => bad_gateway(&text),
        ForwardError::DeadlineExceeded => plain(StatusCode::GATEWAY_TIMEOUT, "no answer in time"),
    }
}

/// Finds a back end that responds. `after_event` is the last event of a stream that has been
/// received; 0 leaves the start to the client's own request.
pub async fn send(
    shared: &Rc<Shared>,
    context: &mut RequestContext,
    after_event: u64,
) -> Result<BackendResponse, ForwardError> {
    let affinity = affinity(&context.shared_parts);
    let mut last = "no back end takes work now".to_owned();
    if let Some(wait) = suspect::held_back(shared, context) {
        return Err(ForwardError::HeldBack(wait));
    }
    // A request that has already been sent to a back end is never queued again, and one that
    // continues a stream was admitted when the stream began.
    let may_queue = after_event == 0 && context.tried.is_empty();
    let mut admitted = match may_queue && context.continued_version().is_none() {
        false => None,
        true => match admit(shared, context, affinity).await {
            Ok(slot) => slot,
            Err(QueueTimeout) => return Err(ForwardError::QueueTimeout),
        },
    };
    let mut tries = 0;
    while tries < MAX_TRIES {
        tries += 1;
        if Instant::now() >= context.deadline {
            return Err(ForwardError::DeadlineExceeded);
        }
        let catalog = shared.catalog.load_full();
        context.update_regions(&catalog);
        let slot = admitted
            .take()
            .or_else(|| choose(shared, &context.requirements(), &context.tried, affinity));
        let Some(mut slot) = slot else {
            if let Some(wait_ms) =
                shared.eligibility.cold_wait_ms(&catalog, &context.requirements())
            {
                return Err(all_cold(context, wait_ms));
            }
            break;
        };
        let backend = slot.backend.clone();
        context.tried.push(backend.id.clone());
        let max_connections =
            connections_allowed(shared, catalog.max_connections(&context.service));
        let limit = CONNECT_TIMEOUT.min(context.deadline.duration_since(Instant::now()));
        let mut connection = match shared.pool.connect(&backend, limit, max_connections).await {
            Ok(connection) => connection,
            Err(error) => {
                slot.outcome = match error {
                    ConnectFailure::Unreachable { .. } => Outcome::Unreachable,
                    ConnectFailure::Exhausted => Outcome::Full,
                };
                last = error.to_string();
                log_failed_attempt(context, &backend.id, &last);
                shared.suspects.record_unreachable(&backend).await;
                continue;
            }
        };
        match suspect::clear(shared, context, &backend.id).await {
            Clearance::Clear => {}
            Clearance::BackendBusy => {
                shared.pool.put_back(connection);
                last = format!("{} runs another suspect alone", backend.id);
                log_failed_attempt(context, &backend.id, &last);
                continue;
            }
            Clearance::HeldBack(wait) => {
                shared.pool.put_back(connection);
                return Err(ForwardError::HeldBack(wait));
            }
        }
        if let Err(cause) = ensure_token(shared, context).await {
            shared.pool.put_back(connection);
            return Err(ForwardError::TokenError(cause));
        }
        let Some(request) = request_for(shared, context, &backend.id, after_event) else {
            return Err(ForwardError::NotRun("the request cannot be passed on".into()));
        };
        let names = shared.dialect.headers();
        let id_header = shared.dialect.signs_responses().then_some(&names.request_id);
        context.update_regions(&shared.catalog.load());
        let permit = match shared.eligibility.permit(&backend, &context.requirements()) {
            Ok(permit) => permit,
            Err(cause) => {
                shared.pool.put_back(connection);
                last = format!("{}: {cause}", backend.id);
                log_failed_attempt(context, &backend.id, &last);
                cause.record_rejection(&context.id, &backend);
                if matches!(cause, Ineligible::Cold { .. }) {
                    // Another request has used up the share meanwhile: this does not count as an
                    // attempt, and the back end is no longer a candidate.
                    context.tried.pop();
                    tries -= 1;
                }
                continue;
            }
        };
        context.record_sending();
        let sent = exchange(&mut connection, request, id_header, expected_body(context), permit);
        let limit = attempt_deadline(context);
        let response = match await_response(shared, &slot, limit, sent).await {
            Ok(Ok(response)) => response,
            Ok(Err(SendFailure::NotSent { cause })) => {
                // The back end closed an idle connection, which says nothing about its health.
                context.tried.pop();
                context.record_not_run();
                last = cause;
                log_failed_attempt(context, &backend.id, &last);
                continue;
            }
            Ok(Err(failure)) => {
                slot.outcome = Outcome::Failed;
                context.record_possible_run();
                last = format!("{}: {failure}", backend.id);
                log_failed_attempt(context, &backend.id, &last);
                if failure.is_disconnect() {
                    slot.record_failure();
                    let progress = ResponseProgress::Beginning;
                    suspect::record_disconnect(shared, context, &slot, progress).await;
                }
                if may_retry(context) {
                    continue;
                }
                return Err(ForwardError::MayHaveRun(last));
            }
            Err(_) => {
                let out_of_time = limit >= context.deadline;
                slot.outcome = if out_of_time { Outcome::Abandoned } else { Outcome::Failed };
                context.record_possible_run();
                if !out_of_time && may_retry(context) {
                    last = format!("{} gave no answer", backend.id);
                    log_failed_attempt(context, &backend.id, &last);
                    continue;
                }
                return Err(ForwardError::DeadlineExceeded);
            }
        };
        connection.note_keep_alive(response.headers());
        slot.record_activity();
        record_backend_headers(shared, &slot, response.headers());
        let backend_response = BackendResponse { response, connection, slot };
        match classify(shared, context, backend_response) {
            Classification::Use(backend_response) => return Ok(*backend_response),
            Classification::NotRun(cause) => {
                context.record_not_run();
                last = cause;
                log_failed_attempt(context, &backend.id, &last);
            }
            Classification::Ran(cause) => {
                last = cause;
                log_failed_attempt(context, &backend.id, &last);
                if !may_retry(context) {
                    return Err(ForwardError::MayHaveRun(last));
                }
            }
        }
    }
    if context.may_have_run > 0 {
        return Err(ForwardError::MayHaveRun(last));
    }
    if lacks_continued_version(shared, context) {
        return Err(ForwardError::NoSoftwareVersion);
    }
    if regions::has_no_backends(shared, &context.requirements()) {
        return Err(ForwardError::NoRegion(context.residency.clone()));
    }
    Err(ForwardError::NotRun(last))
}

/// Whether the request continues a stream, and no back end of its software version accepts requests.
fn lacks_continued_version(shared: &Shared, context: &RequestContext) -> bool {
    let catalog = shared.catalog.load();
    context.continued_version().is_some()
        && !shared.eligibility.has_candidates(&catalog, &context.requirements())
}

/// The request is rejected instead of queued: another gateway may not have used up its share.
fn all_cold(context: &RequestContext, wait_ms: u64) -> ForwardError {
    if context.may_have_run > 0 {
        return ForwardError::MayHaveRun(ALL_COLD_TEXT.to_owned());
    }
    ForwardError::AllCold(Duration::from_millis(wait_ms))
}

fn expected_body(context: &RequestContext) -> ExpectedBody {
    match context.route.kind {
        RouteKind::Stream => ExpectedBody::Events,
        RouteKind::Repeatable | RouteKind::AtMostOnce | RouteKind::Batch => {
            ExpectedBody::AsDeclared
        }
    }
}

fn log_failed_attempt(context: &RequestContext, backend: &str, cause: &str) {
    context
        .log_line(EventName::AttemptFailed)
        .field("backend", backend)
        .field("prompt_parts", context.shared_part_ids())
        .field("cause", cause)
        .write();
}

/// How long to wait for a response: until the request's deadline if it cannot be sent again.
fn attempt_deadline(context: &RequestContext) -> Instant {
    let attempts_left = context.may_have_run + 1 < context.route.max_attempts;
    if !attempts_left || !may_retry(context) {
        return context.deadline;
    }
    let target = Duration::from_millis(context.route.target_latency_ms);
    let attempt_deadline = (target * ATTEMPT_TIMEOUT_TARGETS).max(MIN_ATTEMPT_TIMEOUT);
    context.deadline.min(Instant::now() + attempt_deadline)
}

/// Records that a back end has sent nothing for [`SILENCE_TIMEOUT`].
pub fn log_silence(shared: &Shared, slot: &BackendSlot) {
    if !slot.record_silence(SILENCE_TIMEOUT) {
        return;
    }
    shared.pool.close_idle(&slot.backend);
    LogLine::new(EventName::BackendSilent)
        .id(&slot.backend.id)
        .field("started_ms", slot.backend.started_ms)
        .text("address", slot.backend.address)
        .field("after_ms", SILENCE_TIMEOUT.as_millis() as u64)
        .write();
}

/// Waits for a response and records silence of the back end meanwhile.
async fn await_response<T>(
    shared: &Shared,
    slot: &BackendSlot,
    limit: Instant,
    response: impl std::future::Future<Output = T>,
) -> Result<T, tokio::time::error::Elapsed> {
    tokio::time::timeout_at(limit, async {
        tokio::pin!(response);
        loop {
            match tokio::time::timeout(SILENCE_TIMEOUT, response.as_mut()).await {
                Ok(response) => return response,
                Err(_) => log_silence(shared, slot),
            }
        }
    })
    .await
}

enum Classification {
    Use(Box<BackendResponse>),
    NotRun(String),
    Ran(String),
}

/// Whether the request was executed, and whether the client should get the response.
fn classify(
    shared: &Shared,
    context: &mut RequestContext,
    mut backend_response: BackendResponse,
) -> Classification {
    let status = backend_response.response.status();
    let description = format!("{} answered {status}", backend_response.slot.backend.id);
    if status == StatusCode::MISDIRECTED_REQUEST {
        backend_response.slot.outcome = Outcome::Misdirected;
        return Classification::NotRun(description);
    }
    if backend_response.response.headers().contains_key(&shared.dialect.headers().not_run) {
        if status == StatusCode::BAD_REQUEST {
            return Classification::Use(Box::new(backend_response));
        }
        backend_response.slot.outcome = Outcome::Full;
        return Classification::NotRun(description);
    }
    context.record_possible_run();
    let retryable_statuses = [
        StatusCode::TOO_MANY_REQUESTS,
        StatusCode::SERVICE_UNAVAILABLE,
        StatusCode::REQUEST_TIMEOUT,
    ];
    if retryable_statuses.contains(&status) {
        // The client would take the status as proof that the request was not executed, which the
        // back end did not give.
        backend_response.slot.outcome = Outcome::Failed;
        return Classification::Ran(description);
    }
    if status.is_server_error() && status != StatusCode::GATEWAY_TIMEOUT {
        backend_response.slot.outcome = Outcome::Failed;
        if may_retry(context) {
            return Classification::Ran(description);
        }
    }
    Classification::Use(Box::new(backend_response))
}

fn record_backend_headers(shared: &Shared, slot: &BackendSlot, headers: &HeaderMap) {
    let load = headers.get(&shared.dialect.headers().load);
    if let Some(load) = load.and_then(|value| shared.dialect.parse_load(value)) {
        slot.record_report(load);
    }
    let cold = headers.get(&shared.dialect.headers().cold_ms);
    if let Some(remaining_ms) = cold.and_then(|value| shared.dialect.parse_cold(value)) {
        slot.record_cold_remaining(remaining_ms);
    }
}

/// This process's share of the connections that a back end accepts from all processes.
fn connections_allowed(shared: &Shared, from_all: u32) -> usize {
    let processes = shared.fleet.load().members.len().max(1);
    (from_all as usize / processes).max(MIN_CONNECTIONS)
}
