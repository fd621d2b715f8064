//! Sends a request to a back end, and to another one where that is allowed.
//!
//! Invariant: a request that may not be repeated is never sent again after a back end may have run
//! it, and is never refused as "not run" then. Proof of "not run" is a connection that did not come
//! up, a request of which nothing was written, or a back end's own statement; nothing else.

use std::rc::Rc;
use std::time::Duration;

use http::{HeaderMap, HeaderName, Response, StatusCode};
use hyper::body::Incoming;
use tokio::time::Instant;
use yokefall_serving::{Ineligible, Outcome, Residency};
use yokefall_telemetry::{EventName, LogLine};
use yokefall_upstream::{exchange, BackendSlot, ConnectFailure, Connection, SendFailure};

use crate::admission::{admit, choose, GivenUp};
use crate::answer::{plain, refusal, Answer};
use crate::order::{may_repeat, Order};
use crate::quota::{self, NoToken, Wanted};
use crate::regions;
use crate::relay;
use crate::request::{affinity, request_for};
use crate::shared::Shared;
use crate::suspect::{self, Clearance};

/// Longest time for a connection to a back end to come up.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
/// Back ends that are asked at most before a request that none took is refused.
const MAX_TRIES: usize = 5;
/// When a refused client may come back.
const RETRY_AFTER: Duration = Duration::from_millis(100);
/// When a client whose request was held in vain may come back at the earliest, and how many times as
/// late at the latest: clients that were refused together should not come back together.
const HELD_RETRY_AFTER: Duration = Duration::from_millis(300);
const HELD_RETRY_SPREAD: f64 = 3.0;
/// Time without a word of a back end after which it gets nothing new until it speaks.
pub const SILENCE: Duration = Duration::from_millis(450);
/// Time without an answer after which a request that may be repeated goes to another back end, in
/// parts of the route's target for latency; and the least such time.
const REPEAT_AFTER_TARGETS: u32 = 3;
const LEAST_REPEAT_AFTER: Duration = Duration::from_millis(800);
/// What the caller of a request is told under which back ends ended.
const ENDED_BACK_ENDS: &str = "back ends ended while they ran this request";
/// What the caller of a request is told for which all back ends are cold.
const ALL_COLD: &str = "back ends are not warm yet and have had what they bear";
/// Connections to one back end that are always allowed.
const LEAST_CONNECTIONS: usize = 4;

/// A back end's answer with the place and the connection that it uses.
pub struct Taken {
    /// The answer's head and the rest of its body.
    pub answer: Response<Incoming>,
    /// The connection.
    pub connection: Connection,
    /// The place.
    pub slot: BackendSlot,
}

/// Why no back end answered.
pub enum NoAnswer {
    /// It was held for as long as it may be, and was not run.
    Held,
    /// It was not run.
    NotRun(String),
    /// It may have run.
    MayHaveRun(String),
    /// Its time ended; it may have run.
    OutOfTime,
    /// Its tenant's limit forbids to send it now, or again.
    NoToken(NoToken),
    /// Every back end is cold and has had what this process may send; it was not run.
    AllCold(Duration),
    /// Back ends ended under it; it may be sent again after this time.
    HeldBack(Duration),
    /// It was not run: where it may be served no back end takes work.
    NoRegion(Residency),
}

/// Serves a request.
pub async fn forward(shared: &Rc<Shared>, mut order: Order) -> Answer {
    loop {
        match send(shared, &mut order, 0).await {
            Ok(taken) => match relay::pass(shared, order, taken).await {
                Ok(answer) => return answer,
                Err((returned, cause)) => {
                    order = *returned;
                    if !may_repeat(&order) {
                        let line = order.end_line(EventName::RequestFailed);
                        line.field("cause", cause.as_str()).write();
                        return broken(&cause);
                    }
                }
            },
            Err(cause) => return failed(shared, &order, cause),
        }
    }
}

/// Makes sure of a token that is valid at the moment of sending. Invariant: no request of a limited
/// tenant is sent without one, and none is spent twice.
async fn renew_token(shared: &Rc<Shared>, order: &mut Order) -> Result<(), NoToken> {
    let Some(wanted) = Wanted::of(&order.caller, &order.route, order.version) else {
        return Ok(());
    };
    if order.token.is_none_or(|token| !shared.quota.is_valid(token)) {
        order.token = Some(quota::take(shared, wanted).await?);
    }
    Ok(())
}

/// The answer to a request that was not run for want of a token.
pub fn no_token(retry_after: &HeaderName, cause: NoToken) -> Answer {
    match cause {
        NoToken::OverLimit { wait } => {
            let mut answer = refusal(retry_after, wait, "the tenant has sent as much as it may");
            *answer.status_mut() = StatusCode::TOO_MANY_REQUESTS;
            answer
        }
        NoToken::Unknown { wait } => {
            refusal(retry_after, wait, "the tenant's limit cannot be checked now")
        }
    }
}

fn broken(cause: &str) -> Answer {
    plain(StatusCode::BAD_GATEWAY, format!("a back end broke off: {cause}"))
}

fn failed(shared: &Shared, order: &Order, cause: NoAnswer) -> Answer {
    let may_run_yet = matches!(cause, NoAnswer::MayHaveRun(_) | NoAnswer::OutOfTime);
    let refused = !may_run_yet && order.may_have_run == 0;
    let is_for_regions = matches!(cause, NoAnswer::NoRegion(_));
    let event = match refused {
        true if is_for_regions => EventName::RegionRefused,
        true => EventName::RequestRefused,
        false => EventName::RequestFailed,
    };
    let text = match &cause {
        NoAnswer::NotRun(text) | NoAnswer::MayHaveRun(text) => text.as_str(),
        NoAnswer::Held => "back ends have had no room",
        NoAnswer::AllCold(_) => ALL_COLD,
        NoAnswer::OutOfTime => "its time ended",
        NoAnswer::NoToken(_) => "the tenant's limit does not allow another run",
        NoAnswer::HeldBack(_) => ENDED_BACK_ENDS,
        NoAnswer::NoRegion(_) => "no back end takes work where it may be served",
    };
    order.end_line(event).text("regions", &order.residency).field("cause", text).write();
    match cause {
        NoAnswer::Held => {
            let pause = HELD_RETRY_AFTER.mul_f64(rand::random_range(1.0..HELD_RETRY_SPREAD));
            refusal(&shared.dialect.headers().retry_after, pause, "back ends have no room now")
        }
        NoAnswer::NotRun(text) if order.may_have_run == 0 => {
            refusal(&shared.dialect.headers().retry_after, RETRY_AFTER, text)
        }
        NoAnswer::NoToken(cause) if order.may_have_run == 0 => {
            no_token(&shared.dialect.headers().retry_after, cause)
        }
        NoAnswer::AllCold(wait) if order.may_have_run == 0 => {
            refusal(&shared.dialect.headers().retry_after, wait, ALL_COLD)
        }
        NoAnswer::AllCold(_) => broken(ALL_COLD),
        NoAnswer::HeldBack(wait) if order.may_have_run == 0 => {
            refusal(&shared.dialect.headers().retry_after, wait, ENDED_BACK_ENDS)
        }
        NoAnswer::HeldBack(_) => broken(ENDED_BACK_ENDS),
        NoAnswer::NoRegion(residency) if order.may_have_run == 0 => {
            regions::refuse(&shared.dialect.headers().retry_after, &residency)
        }
        NoAnswer::NoRegion(_) => broken("no back end takes work where the rest may be served"),
        NoAnswer::NoToken(_) => broken("the tenant's limit does not allow another run"),
        NoAnswer::NotRun(text) | NoAnswer::MayHaveRun(text) => broken(&text),
        NoAnswer::OutOfTime => plain(StatusCode::GATEWAY_TIMEOUT, "no answer in time"),
    }
}

/// Finds a back end that answers. `after_event` is the event after which a stream continues, 0 for
/// what the client itself asks.
pub async fn send(
    shared: &Rc<Shared>,
    order: &mut Order,
    after_event: u64,
) -> Result<Taken, NoAnswer> {
    let affinity = affinity(shared, &order.parts.headers);
    let mut last = "no back end takes work now".to_owned();
    if let Some(wait) = suspect::held_back(shared, order) {
        return Err(NoAnswer::HeldBack(wait));
    }
    // What has been at a back end already is never held: it goes on at once.
    let is_new = after_event == 0 && order.tried.is_empty();
    let mut admitted = match is_new {
        false => None,
        true => match admit(shared, order, affinity).await {
            Ok(slot) => slot,
            Err(GivenUp) => return Err(NoAnswer::Held),
        },
    };
    let mut tries = 0;
    while tries < MAX_TRIES {
        tries += 1;
        if Instant::now() >= order.deadline {
            return Err(NoAnswer::OutOfTime);
        }
        let catalog = shared.catalog.load_full();
        order.follow_regions(&catalog);
        let slot = admitted
            .take()
            .or_else(|| choose(shared, &order.requirements(), &order.tried, affinity));
        let Some(mut slot) = slot else {
            if let Some(wait_ms) = shared.eligibility.cold_wait_ms(&catalog, &order.requirements())
            {
                return Err(all_cold(order, wait_ms));
            }
            break;
        };
        let backend = slot.backend.clone();
        order.tried.push(backend.id.clone());
        let most = connections_allowed(shared, catalog.max_connections(&order.service));
        let limit = CONNECT_TIMEOUT.min(order.deadline.duration_since(Instant::now()));
        let mut connection = match shared.pool.connect(&backend, limit, most).await {
            Ok(connection) => connection,
            Err(error) => {
                slot.outcome = match error {
                    ConnectFailure::Unreachable { .. } => Outcome::Unreachable,
                    ConnectFailure::Exhausted => Outcome::Full,
                };
                last = error.to_string();
                tell_attempt(order, &backend.id, &last);
                continue;
            }
        };
        match suspect::clear(shared, order, &backend.id).await {
            Clearance::Clear => {}
            Clearance::BackendBusy => {
                shared.pool.put_back(connection);
                last = format!("{} runs another suspect alone", backend.id);
                tell_attempt(order, &backend.id, &last);
                continue;
            }
            Clearance::HeldBack(wait) => {
                shared.pool.put_back(connection);
                return Err(NoAnswer::HeldBack(wait));
            }
        }
        if let Err(cause) = renew_token(shared, order).await {
            shared.pool.put_back(connection);
            return Err(NoAnswer::NoToken(cause));
        }
        let Some(request) = request_for(shared, order, &backend.id, after_event) else {
            return Err(NoAnswer::NotRun("the request cannot be passed on".into()));
        };
        let names = shared.dialect.headers();
        let id_header = shared.dialect.signs_responses().then_some(&names.request_id);
        order.follow_regions(&shared.catalog.load());
        let permit = match shared.eligibility.permit(&backend, &order.requirements()) {
            Ok(permit) => permit,
            Err(cause) => {
                shared.pool.put_back(connection);
                last = format!("{}: {cause}", backend.id);
                tell_attempt(order, &backend.id, &last);
                cause.record_rejection(&order.id, &backend);
                if matches!(cause, Ineligible::Cold { .. }) {
                    // Another request took the share meanwhile: it was no try, and is no candidate now.
                    order.tried.pop();
                    tries -= 1;
                }
                continue;
            }
        };
        let sent = exchange(&mut connection, request, id_header, permit);
        let limit = patience(order);
        let answer = match wait_for(shared, &slot, limit, sent).await {
            Ok(Ok(answer)) => answer,
            Ok(Err(SendFailure::NotSent { cause })) => {
                // The back end closed a kept connection: it is no sign of its health.
                order.tried.pop();
                last = cause;
                tell_attempt(order, &backend.id, &last);
                continue;
            }
            Ok(Err(SendFailure::MayHaveRun { cause })) => {
                slot.outcome = Outcome::Failed;
                slot.record_failure();
                order.note_may_have_run();
                last = format!("{}: {cause}", backend.id);
                tell_attempt(order, &backend.id, &last);
                shared
                    .suspects
                    .record_disconnect(&backend, slot.acquired_at(), || order.digest())
                    .await;
                if may_repeat(order) {
                    continue;
                }
                return Err(NoAnswer::MayHaveRun(last));
            }
            Err(_) => {
                let out_of_time = limit >= order.deadline;
                slot.outcome = if out_of_time { Outcome::Abandoned } else { Outcome::Failed };
                order.note_may_have_run();
                if !out_of_time && may_repeat(order) {
                    last = format!("{} gave no answer", backend.id);
                    tell_attempt(order, &backend.id, &last);
                    continue;
                }
                return Err(NoAnswer::OutOfTime);
            }
        };
        connection.note_keep_alive(answer.headers());
        slot.record_activity();
        note_told(shared, &slot, answer.headers());
        let taken = Taken { answer, connection, slot };
        match judge(shared, order, taken) {
            Verdict::Use(taken) => return Ok(*taken),
            Verdict::NotRun(cause) => {
                last = cause;
                tell_attempt(order, &backend.id, &last);
            }
            Verdict::Ran(cause) => {
                last = cause;
                tell_attempt(order, &backend.id, &last);
                if !may_repeat(order) {
                    return Err(NoAnswer::MayHaveRun(last));
                }
            }
        }
    }
    if order.may_have_run > 0 {
        return Err(NoAnswer::MayHaveRun(last));
    }
    if regions::lack_back_ends(shared, &order.requirements()) {
        return Err(NoAnswer::NoRegion(order.residency.clone()));
    }
    Err(NoAnswer::NotRun(last))
}

/// Refused at once rather than held: another gateway may have a share left.
fn all_cold(order: &Order, wait_ms: u64) -> NoAnswer {
    if order.may_have_run > 0 {
        return NoAnswer::MayHaveRun(ALL_COLD.to_owned());
    }
    NoAnswer::AllCold(Duration::from_millis(wait_ms))
}

fn tell_attempt(order: &Order, backend: &str, cause: &str) {
    order.line(EventName::AttemptFailed).field("backend", backend).field("cause", cause).write();
}

/// Until when an answer is waited for: to the end where the request cannot be sent once more.
fn patience(order: &Order) -> Instant {
    let attempts_left = order.may_have_run + 1 < order.route.max_attempts;
    if !attempts_left || !may_repeat(order) {
        return order.deadline;
    }
    let target = Duration::from_millis(order.route.target_latency_ms);
    let patience = (target * REPEAT_AFTER_TARGETS).max(LEAST_REPEAT_AFTER);
    order.deadline.min(Instant::now() + patience)
}

/// Notes that a back end has said nothing for a while.
pub fn tell_silent(shared: &Shared, slot: &BackendSlot) {
    if !slot.record_silence(SILENCE) {
        return;
    }
    shared.pool.close_idle(&slot.backend);
    LogLine::new(EventName::BackendSilent)
        .id(&slot.backend.id)
        .field("started_ms", slot.backend.started_ms)
        .text("address", slot.backend.address)
        .field("after_ms", SILENCE.as_millis() as u64)
        .write();
}

/// Waits for an answer, and notes the back end's silence meanwhile.
async fn wait_for<T>(
    shared: &Shared,
    slot: &BackendSlot,
    limit: Instant,
    answer: impl std::future::Future<Output = T>,
) -> Result<T, tokio::time::error::Elapsed> {
    tokio::time::timeout_at(limit, async {
        tokio::pin!(answer);
        loop {
            match tokio::time::timeout(SILENCE, answer.as_mut()).await {
                Ok(answer) => return answer,
                Err(_) => tell_silent(shared, slot),
            }
        }
    })
    .await
}

enum Verdict {
    Use(Box<Taken>),
    NotRun(String),
    Ran(String),
}

/// What an answer's head says: whether the request ran, and whether the client should have it.
fn judge(shared: &Shared, order: &mut Order, mut taken: Taken) -> Verdict {
    let status = taken.answer.status();
    let told = format!("{} answered {status}", taken.slot.backend.id);
    if status == StatusCode::MISDIRECTED_REQUEST {
        taken.slot.outcome = Outcome::Misdirected;
        return Verdict::NotRun(told);
    }
    if taken.answer.headers().contains_key(&shared.dialect.headers().not_run) {
        if status == StatusCode::BAD_REQUEST {
            return Verdict::Use(Box::new(taken));
        }
        taken.slot.outcome = Outcome::Full;
        return Verdict::NotRun(told);
    }
    order.note_may_have_run();
    let promises = [
        StatusCode::TOO_MANY_REQUESTS,
        StatusCode::SERVICE_UNAVAILABLE,
        StatusCode::REQUEST_TIMEOUT,
    ];
    if promises.contains(&status) {
        // The client would take it as a promise, which the back end did not give.
        taken.slot.outcome = Outcome::Failed;
        return Verdict::Ran(told);
    }
    if status.is_server_error() && status != StatusCode::GATEWAY_TIMEOUT {
        taken.slot.outcome = Outcome::Failed;
        if may_repeat(order) {
            return Verdict::Ran(told);
        }
    }
    Verdict::Use(Box::new(taken))
}

/// Takes what a back end tells of itself with its answer.
fn note_told(shared: &Shared, slot: &BackendSlot, headers: &HeaderMap) {
    let load = headers.get(&shared.dialect.headers().load);
    if let Some(load) = load.and_then(|value| shared.dialect.parse_load(value)) {
        slot.record_report(load);
    }
    let cold = headers.get(&shared.dialect.headers().cold_ms);
    if let Some(remaining_ms) = cold.and_then(|value| shared.dialect.parse_cold(value)) {
        slot.record_cold_remaining(remaining_ms);
    }
}

/// This process's part of the connections that a back end accepts from all.
fn connections_allowed(shared: &Shared, from_all: u32) -> usize {
    let processes = shared.fleet.load().members.len().max(1);
    (from_all as usize / processes).max(LEAST_CONNECTIONS)
}
