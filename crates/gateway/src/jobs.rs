//! Batch job calls, passed on to the job store.

use std::collections::HashSet;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http::request::Parts;
use http::{header, HeaderName, HeaderValue, Response, StatusCode};
use tokio::time::Instant;
use yokefall_jobstore::residency::residency_of_job;
use yokefall_jobstore::{CallOutcome, Reply, Request, Submission};
use yokefall_serving::{BadSubmission, Caller, JobCall, JobItem, Requester, Residency, Route};
use yokefall_telemetry::{EventName, LogLine};

use crate::regions;
use crate::response::{json, plain, rejection, ClientResponse, ResponseBody};
use crate::shared::Shared;
use crate::stop::Stage;

const MAX_ITEMS: usize = 200;
/// Timeout of a call when the caller sets none.
const CALL_TIMEOUT: Duration = Duration::from_millis(2_500);
/// Maximum time that a caller may set for a call.
const MAX_CALL_TIME: Duration = Duration::from_secs(1_000_000);
/// Maximum time for which a call waits for results.
const MAX_RESULT_WAIT: Duration = Duration::from_millis(1_000);
/// Retry delay for callers that got no definite answer.
const RETRY_AFTER: Duration = Duration::from_millis(200);
/// Retry delay for jobs that exceed the route's limit of queued tokens: items take seconds.
const QUOTA_RETRY_AFTER: Duration = Duration::from_millis(1_000);
/// Queue timeout of items on routes without limits.
const DEFAULT_MAX_QUEUE_MS: u64 = 3_600_000;

/// Caller and host of a submission.
pub struct Submitter {
    /// The caller.
    pub caller: Caller,
    /// The host, in lower case.
    pub host: String,
}

/// Handles a submission.
pub async fn submit(
    shared: &Rc<Shared>,
    route: &Route,
    parts: &Parts,
    submitter: Submitter,
    body: &Bytes,
    arrived: Instant,
) -> ClientResponse {
    let names = shared.dialect.headers();
    let Some(job) = parts.headers.get(&names.request_id).and_then(|id| id.to_str().ok()) else {
        let text = format!("{}: give the id of the job", names.request_id);
        return plain(StatusCode::BAD_REQUEST, text);
    };
    let deadline =
        arrived + duration_header(&parts.headers, &names.deadline_ms).unwrap_or(CALL_TIMEOUT);
    let items = shared.dialect.parse_submission(body).and_then(check_items);
    let mut items = match items {
        Ok(items) => items,
        Err(bad) => return plain(StatusCode::BAD_REQUEST, bad.to_string()),
    };
    if submitter.caller != Caller::Unchecked {
        strip_credentials(&mut items, &names.tenant);
    }
    let residency = residency_of(shared, route, &submitter, &items);
    let outside = regions::forbidden_job_stores(shared, &residency);
    if !outside.is_empty() {
        return reject_unless_stored(
            shared,
            job,
            submitter.caller.requester(),
            (&residency, outside),
            deadline,
        )
        .await;
    }
    let submission = Submission {
        host: submitter.host,
        max_attempts: route.max_attempts.max(1),
        max_queue_ms: route.batch.map_or(DEFAULT_MAX_QUEUE_MS, |batch| batch.max_queue_ms),
        completion_target_ms: route.batch.map_or(0, |batch| batch.completion_target_ms),
        queue: format!("{} {}{}", submitter.caller.name(), route.host, route.path_prefix),
        max_queued_tokens: route.batch.and_then(|batch| batch.max_queued_tokens),
        items,
    };
    let requester = submitter.caller.requester();
    let request = Request::Submit { job: job.to_owned(), requester, submission };
    let outcome = shared.jobs.call(request, deadline).await;
    log_uncertain_outcome(job, "submit", &outcome, arrived);
    match outcome {
        CallOutcome::Answered(Reply::Accepted) => accepted(),
        CallOutcome::Answered(Reply::Full) => {
            rejection(&names.retry_after, RETRY_AFTER, "no room for the job now")
        }
        CallOutcome::Answered(Reply::OverQuota) => {
            let text = "more tokens would wait on the route than may";
            let mut response = rejection(&names.retry_after, QUOTA_RETRY_AFTER, text);
            *response.status_mut() = StatusCode::TOO_MANY_REQUESTS;
            response
        }
        CallOutcome::Answered(Reply::JobIdConflict) => job_id_conflict(),
        CallOutcome::Answered(Reply::ResidencyViolation { members }) => {
            regions::reject_job(shared, job, &residency, &members)
        }
        CallOutcome::NotDone => no_job_store(shared),
        CallOutcome::Unknown | CallOutcome::Answered(_) => submission_outcome_unknown(),
    }
}

/// Regions in which a job may be stored: those that its own route and its items' routes allow.
fn residency_of(
    shared: &Shared,
    route: &Route,
    submitter: &Submitter,
    items: &[JobItem],
) -> Residency {
    let catalog = shared.catalog.load();
    let tenant = submitter.caller.tenant().map(|tenant| &tenant.name);
    let paths = items.iter().map(|item| item.path.as_str());
    let of_items = residency_of_job(&catalog, &submitter.host, tenant, paths);
    catalog.residency(route, tenant).and(&of_items)
}

/// Responds to a job that some job stores may not store: the job is not sent to them, unless it was
/// stored before and this is a resubmission.
async fn reject_unless_stored(
    shared: &Rc<Shared>,
    job: &str,
    requester: Requester,
    (residency, outside): (&Residency, Vec<String>),
    deadline: Instant,
) -> ClientResponse {
    let request = Request::HasJob { job: job.to_owned(), requester };
    match shared.jobs.call(request, deadline).await {
        CallOutcome::Answered(Reply::Accepted) => accepted(),
        CallOutcome::Answered(Reply::JobIdConflict) => job_id_conflict(),
        CallOutcome::Answered(Reply::NotFound) => {
            regions::reject_job(shared, job, residency, &outside)
        }
        CallOutcome::NotDone => no_job_store(shared),
        CallOutcome::Unknown | CallOutcome::Answered(_) => submission_outcome_unknown(),
    }
}

fn accepted() -> ClientResponse {
    let mut response = Response::new(ResponseBody::complete(Bytes::new()));
    *response.status_mut() = StatusCode::ACCEPTED;
    response
}

fn job_id_conflict() -> ClientResponse {
    plain(StatusCode::CONFLICT, "another tenant has a job of this id")
}

fn no_job_store(shared: &Shared) -> ClientResponse {
    let name = &shared.dialect.headers().retry_after;
    rejection(name, RETRY_AFTER, "no job store answers now")
}

/// Not a rejection, since that would guarantee that no part of the job runs.
fn submission_outcome_unknown() -> ClientResponse {
    plain(StatusCode::GATEWAY_TIMEOUT, "the job may have been taken; send it again")
}

/// Removes API keys and tenant headers from items: they must not be written to the replicated log.
fn strip_credentials(items: &mut [JobItem], tenant_header: &HeaderName) {
    let is_credential = |name: &str| {
        name.eq_ignore_ascii_case(header::AUTHORIZATION.as_str())
            || name.eq_ignore_ascii_case(tenant_header.as_str())
    };
    for item in items {
        item.headers.retain(|header| !is_credential(&header.name));
    }
}

fn check_items(items: Vec<JobItem>) -> Result<Vec<JobItem>, BadSubmission> {
    let bad = |field: String, wanted: &str| Err(BadSubmission { field, wanted: wanted.into() });
    if items.is_empty() || items.len() > MAX_ITEMS {
        return bad("items".into(), &format!("give 1 to {MAX_ITEMS}"));
    }
    let mut ids = HashSet::new();
    for (index, item) in items.iter().enumerate() {
        if HeaderValue::try_from(&item.id).is_err() || item.id.is_empty() {
            return bad(format!("items[{index}].id"), "must be a header value that is not empty");
        }
        if !ids.insert(item.id.as_str()) {
            return bad(format!("items[{index}].id"), "must differ from the others");
        }
        if !item.path.starts_with('/') || item.path.parse::<http::Uri>().is_err() {
            return bad(format!("items[{index}].path"), "must be a path");
        }
        for header in &item.headers {
            let name = HeaderName::try_from(&header.name);
            if name.is_err() || HeaderValue::try_from(&header.value).is_err() {
                return bad(format!("items[{index}].headers"), "must be valid header fields");
            }
        }
    }
    Ok(items)
}

/// Logs a call without a definite answer from the leader.
fn log_uncertain_outcome(job: &str, step: &'static str, outcome: &CallOutcome, arrived: Instant) {
    let may_be_done = match outcome {
        CallOutcome::Answered(_) => return,
        CallOutcome::NotDone => false,
        CallOutcome::Unknown => true,
    };
    LogLine::new(EventName::JobCallFailed)
        .id(job)
        .field("step", step)
        .field("may_be_done", may_be_done)
        .field("age_ms", arrived.elapsed().as_millis() as u64)
        .write();
}

fn duration_header(headers: &http::HeaderMap, name: &HeaderName) -> Option<Duration> {
    let milliseconds: f64 = headers.get(name)?.to_str().ok()?.trim().parse().ok()?;
    let duration = Duration::try_from_secs_f64(milliseconds / 1_000.0).ok()?;
    Some(duration.min(MAX_CALL_TIME))
}

/// Handles a call about a job that was submitted before.
pub async fn handle_call(
    shared: &Rc<Shared>,
    call: JobCall,
    requester: Requester,
    parts: &Parts,
    arrived: Instant,
    stage: &Stage,
) -> ClientResponse {
    stage.set_may_have_run(matches!(call, JobCall::End { .. }));
    let names = shared.dialect.headers();
    let wait =
        duration_header(&parts.headers, &names.wait_ms).unwrap_or_default().min(MAX_RESULT_WAIT);
    let time = duration_header(&parts.headers, &names.deadline_ms).unwrap_or(CALL_TIMEOUT + wait);
    let (job_id, step) = match &call {
        JobCall::Results { job, .. } => (job.clone(), "results"),
        JobCall::Body { job, .. } => (job.clone(), "body"),
        JobCall::End { job } => (job.clone(), "end"),
    };
    let request = match call {
        JobCall::Results { job, from } => {
            Request::Results { job, requester, from, wait_ms: wait.as_millis() as u64 }
        }
        JobCall::Body { job, item } => Request::Body { job, requester, item },
        JobCall::End { job } => Request::End { job, requester },
    };
    let outcome = shared.jobs.call(request, arrived + time).await;
    log_uncertain_outcome(&job_id, step, &outcome, arrived);
    match outcome {
        CallOutcome::Answered(Reply::Page(page)) => {
            json(StatusCode::OK, shared.dialect.format_results(&page))
        }
        CallOutcome::Answered(Reply::Body(body)) => Response::new(ResponseBody::complete(body)),
        CallOutcome::Answered(Reply::Ended) => Response::new(ResponseBody::complete(Bytes::new())),
        CallOutcome::Answered(Reply::NotFound) => {
            plain(StatusCode::NOT_FOUND, "there is no such job or item")
        }
        CallOutcome::Unknown => {
            plain(StatusCode::GATEWAY_TIMEOUT, "the change may be in force; send it again")
        }
        CallOutcome::NotDone | CallOutcome::Answered(_) => {
            rejection(&names.retry_after, RETRY_AFTER, "no job store is sure now")
        }
    }
}
