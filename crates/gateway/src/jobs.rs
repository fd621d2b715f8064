//! Calls about batch jobs, passed on to the job store.

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

use crate::answer::{json, plain, refusal, Answer, AnswerBody};
use crate::regions;
use crate::shared::Shared;

/// Items of one job at most.
const MAX_ITEMS: usize = 200;
/// Time for a call where its caller tells none.
const CALL_TIME: Duration = Duration::from_millis(2_500);
/// Longest wait of a read for a result.
const MAX_WAIT: Duration = Duration::from_millis(1_000);
/// When a caller may come back that got no sure answer.
const RETRY_AFTER: Duration = Duration::from_millis(200);
/// When a caller may come back whose job did not fit the tokens that may wait: items take seconds.
const QUOTA_RETRY_AFTER: Duration = Duration::from_millis(1_000);
/// Time after which an item of a route without limits may be given up, in milliseconds.
const DEFAULT_MAX_QUEUE_MS: u64 = 3_600_000;

/// Who sends a submission, and to which host.
pub struct Sender {
    /// The caller.
    pub caller: Caller,
    /// The host, in lower case.
    pub host: String,
}

/// Takes a submission.
pub async fn submit(
    shared: &Rc<Shared>,
    route: &Route,
    parts: &Parts,
    sender: Sender,
    body: &Bytes,
    arrived: Instant,
) -> Answer {
    let names = shared.dialect.headers();
    let Some(job) = parts.headers.get(&names.request_id).and_then(|id| id.to_str().ok()) else {
        let text = format!("{}: give the id of the job", names.request_id);
        return plain(StatusCode::BAD_REQUEST, text);
    };
    let deadline = arrived + told_time(&parts.headers, &names.deadline_ms).unwrap_or(CALL_TIME);
    let items = shared.dialect.parse_submission(body).and_then(check_items);
    let mut items = match items {
        Ok(items) => items,
        Err(bad) => return plain(StatusCode::BAD_REQUEST, bad.to_string()),
    };
    if sender.caller != Caller::Unchecked {
        forget_keys(&mut items, &names.tenant);
    }
    let residency = residency_of(shared, route, &sender, &items);
    let far = regions::forbidden_job_stores(shared, &residency);
    if !far.is_empty() {
        return answer_unkept(shared, job, sender.caller.requester(), (&residency, far), deadline)
            .await;
    }
    let submission = Submission {
        host: sender.host,
        max_attempts: route.max_attempts.max(1),
        max_queue_ms: route.batch.map_or(DEFAULT_MAX_QUEUE_MS, |batch| batch.max_queue_ms),
        completion_target_ms: route.batch.map_or(0, |batch| batch.completion_target_ms),
        queue: format!("{} {}{}", sender.caller.name(), route.host, route.path_prefix),
        max_queued_tokens: route.batch.and_then(|batch| batch.max_queued_tokens),
        items,
    };
    let requester = sender.caller.requester();
    let request = Request::Submit { job: job.to_owned(), requester, submission };
    let outcome = shared.jobs.call(request, deadline).await;
    tell_unsure(job, "submit", &outcome, arrived);
    match outcome {
        CallOutcome::Answered(Reply::Accepted) => accepted(),
        CallOutcome::Answered(Reply::Full) => {
            refusal(&names.retry_after, RETRY_AFTER, "no room for the job now")
        }
        CallOutcome::Answered(Reply::OverQuota) => {
            let text = "more tokens would wait on the route than may";
            let mut answer = refusal(&names.retry_after, QUOTA_RETRY_AFTER, text);
            *answer.status_mut() = StatusCode::TOO_MANY_REQUESTS;
            answer
        }
        CallOutcome::Answered(Reply::JobIdConflict) => taken(),
        CallOutcome::Answered(Reply::ResidencyViolation { members }) => {
            regions::refuse_job(shared, job, &residency, &members)
        }
        CallOutcome::NotDone => no_job_store(shared),
        CallOutcome::Unknown | CallOutcome::Answered(_) => may_be_taken(),
    }
}

/// Where a job may be kept: where its own route and those of its items allow.
fn residency_of(shared: &Shared, route: &Route, sender: &Sender, items: &[JobItem]) -> Residency {
    let catalog = shared.catalog.load();
    let tenant = sender.caller.tenant().map(|tenant| &tenant.name);
    let paths = items.iter().map(|item| item.path.as_str());
    let of_items = residency_of_job(&catalog, &sender.host, tenant, paths);
    catalog.residency(route, tenant).and(&of_items)
}

/// The answer to a job that may not be kept at some job stores: it stays here, unless it is kept already and
/// was sent again.
async fn answer_unkept(
    shared: &Rc<Shared>,
    job: &str,
    requester: Requester,
    (residency, far): (&Residency, Vec<String>),
    deadline: Instant,
) -> Answer {
    let request = Request::HasJob { job: job.to_owned(), requester };
    match shared.jobs.call(request, deadline).await {
        CallOutcome::Answered(Reply::Accepted) => accepted(),
        CallOutcome::Answered(Reply::JobIdConflict) => taken(),
        CallOutcome::Answered(Reply::NotFound) => regions::refuse_job(shared, job, residency, &far),
        CallOutcome::NotDone => no_job_store(shared),
        CallOutcome::Unknown | CallOutcome::Answered(_) => may_be_taken(),
    }
}

fn accepted() -> Answer {
    let mut answer = Response::new(AnswerBody::whole(Bytes::new()));
    *answer.status_mut() = StatusCode::ACCEPTED;
    answer
}

fn taken() -> Answer {
    plain(StatusCode::CONFLICT, "another tenant has a job of this id")
}

fn no_job_store(shared: &Shared) -> Answer {
    let name = &shared.dialect.headers().retry_after;
    refusal(name, RETRY_AFTER, "no job store answers now")
}

/// A refusal would promise that nothing of the job runs.
fn may_be_taken() -> Answer {
    plain(StatusCode::GATEWAY_TIMEOUT, "the job may have been taken; send it again")
}

/// Takes keys and tenants that items name out of them: they must not reach the log.
fn forget_keys(items: &mut [JobItem], tenant: &HeaderName) {
    let is_secret = |name: &str| {
        name.eq_ignore_ascii_case(header::AUTHORIZATION.as_str())
            || name.eq_ignore_ascii_case(tenant.as_str())
    };
    for item in items {
        item.headers.retain(|header| !is_secret(&header.name));
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

/// A line for a call that got no sure answer of the leader.
fn tell_unsure(job: &str, step: &'static str, outcome: &CallOutcome, arrived: Instant) {
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

fn told_time(headers: &http::HeaderMap, name: &HeaderName) -> Option<Duration> {
    let milliseconds: f64 = headers.get(name)?.to_str().ok()?.trim().parse().ok()?;
    Duration::try_from_secs_f64(milliseconds / 1_000.0).ok()
}

/// Answers a call about a job that was submitted before.
pub async fn answer(
    shared: &Rc<Shared>,
    call: JobCall,
    requester: Requester,
    parts: &Parts,
    arrived: Instant,
) -> Answer {
    let names = shared.dialect.headers();
    let wait = told_time(&parts.headers, &names.wait_ms).unwrap_or_default().min(MAX_WAIT);
    let time = told_time(&parts.headers, &names.deadline_ms).unwrap_or(CALL_TIME + wait);
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
    tell_unsure(&job_id, step, &outcome, arrived);
    match outcome {
        CallOutcome::Answered(Reply::Page(page)) => {
            json(StatusCode::OK, shared.dialect.format_results(&page))
        }
        CallOutcome::Answered(Reply::Body(body)) => Response::new(AnswerBody::whole(body)),
        CallOutcome::Answered(Reply::Ended) => Response::new(AnswerBody::whole(Bytes::new())),
        CallOutcome::Answered(Reply::NotFound) => {
            plain(StatusCode::NOT_FOUND, "there is no such job or item")
        }
        CallOutcome::Unknown => {
            plain(StatusCode::GATEWAY_TIMEOUT, "the change may be in force; send it again")
        }
        CallOutcome::NotDone | CallOutcome::Answered(_) => {
            refusal(&names.retry_after, RETRY_AFTER, "no job store is sure now")
        }
    }
}
