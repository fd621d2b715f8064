//! Online load with open-loop arrivals. Latencies are measured from the scheduled arrival, so that
//! a delayed sender does not hide queueing time.

use std::time::Duration;

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use rand_distr::{Distribution, Exp};
use tokio::sync::mpsc;
use tokio::time::Instant;
use yokefall_api::v1;

use crate::ledger::{ExecutionCounts, Ledger};
use crate::report::{Latencies, OutcomeCounts};
use crate::text::{model_answer, plain_answer};
use yokefall_rpc::client::Caller;

const TENANTS: u32 = 20;
/// Number of distinct shared prompt prefixes, as of prompts about the same guide book or depot.
const PROMPT_PREFIXES: u32 = 16;
const PROMPT_PREFIX_BYTES: usize = 512;
/// Range of the number of tokens in an answer.
const TOKENS: std::ops::RangeInclusive<u32> = 8..=40;
/// Maximum resends of a request while it is unknown whether it ran, and the pause before each.
const MAX_RESENDS: u32 = 3;
const RESEND_BACKOFF: Duration = Duration::from_millis(700);
/// Fraction of the requests that may run at most once.
const NO_REPEAT_FRACTION: f64 = 0.2;

/// Online load of one partner.
#[derive(Clone, Debug)]
pub struct OnlineLoad {
    /// Partner name.
    pub partner: String,
    /// Name of the model service.
    pub model_service: String,
    /// Name of the plain service.
    pub plain_service: String,
    /// Model requests per second.
    pub model_rate: f64,
    /// Plain requests per second.
    pub plain_rate: f64,
    /// Deadline of each request.
    pub deadline: Duration,
    /// Duration of the offered load.
    pub duration: Duration,
    /// Seed of the random arrivals and sizes.
    pub seed: u64,
}

#[derive(Clone, Debug)]
struct RequestPlan {
    id: String,
    tenant: String,
    model: bool,
    tokens: u32,
    prompt: String,
    no_repeat: bool,
    arrival: Duration,
}

/// How a request ended for its caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CallerOutcome {
    /// A complete answer.
    Answer {
        /// Whether it equals the expected answer byte for byte.
        right: bool,
    },
    /// A refusal.
    Refused {
        /// What the refusal states about the execution.
        executed: v1::Executed,
    },
    /// The call ended without an answer or a refusal.
    Nothing {
        /// Cause, such as the transport error.
        cause: String,
    },
}

/// A finished request.
#[derive(Clone, Debug)]
pub struct Observation {
    /// Id in the ledgers: partner, tenant and request id.
    pub ledger_id: String,
    /// Whether it may run at most once.
    pub no_repeat: bool,
    /// How it ended for the caller.
    pub seen: CallerOutcome,
}

/// Requests and latencies of one partner's callers.
#[derive(Debug, Default)]
pub struct OnlineRecord {
    /// Finished requests.
    pub observations: Vec<Observation>,
    /// Latency to the first token of answered model requests.
    pub first_token: Latencies,
    /// Latency to the end of answered requests.
    pub whole: Latencies,
}

fn draw_plans(load: &OnlineLoad) -> Vec<RequestPlan> {
    let mut plans = Vec::new();
    for (model, rate) in [(true, load.model_rate), (false, load.plain_rate)] {
        let Ok(gaps) = Exp::new(rate) else { continue };
        let mut generator = SmallRng::seed_from_u64(load.seed ^ u64::from(model));
        let mut at = gaps.sample(&mut generator);
        while at < load.duration.as_secs_f64() {
            plans.push(draw_plan(load, model, Duration::from_secs_f64(at), &mut generator));
            at += gaps.sample(&mut generator);
        }
    }
    plans.sort_by_key(|plan| plan.arrival);
    for (number, plan) in plans.iter_mut().enumerate() {
        plan.id = format!("{}-{number}", load.seed);
    }
    plans
}

fn draw_plan(
    load: &OnlineLoad,
    model: bool,
    arrival: Duration,
    generator: &mut SmallRng,
) -> RequestPlan {
    let prefix = generator.random_range(0..PROMPT_PREFIXES);
    let shared = format!("{}-{prefix} ", load.partner).repeat(PROMPT_PREFIX_BYTES / 10);
    let question = generator.random::<u64>();
    RequestPlan {
        id: String::new(),
        tenant: format!("tenant-{}", generator.random_range(0..TENANTS)),
        model,
        tokens: generator.random_range(TOKENS),
        prompt: format!("{shared}question {question:x}"),
        no_repeat: generator.random_bool(NO_REPEAT_FRACTION),
        arrival,
    }
}

/// Sends the load and waits for the end of every request.
pub async fn send(load: OnlineLoad, caller: Caller) -> OnlineRecord {
    let started = Instant::now();
    let (done, mut finished) = mpsc::unbounded_channel();
    for plan in draw_plans(&load) {
        tokio::time::sleep_until(started + plan.arrival).await;
        let (load, caller, done) = (load.clone(), caller.clone(), done.clone());
        tokio::spawn(async move {
            let _ = done.send(send_one(&load, caller, plan, started).await);
        });
    }
    drop(done);
    let mut record = OnlineRecord::default();
    while let Some((observation, first_token, whole)) = finished.recv().await {
        if let Some(latency) = first_token {
            record.first_token.record(latency);
        }
        if let Some(latency) = whole {
            record.whole.record(latency);
        }
        record.observations.push(observation);
    }
    record
}

/// A finished request, its latency to the first token and its latency to the end.
type RequestResult = (Observation, Option<Duration>, Option<Duration>);

/// Sends a request and, as clients do, resends it under the same id while its outcome is unknown.
async fn send_one(
    load: &OnlineLoad,
    mut caller: Caller,
    plan: RequestPlan,
    started: Instant,
) -> RequestResult {
    let mut finished = send_once(load, &mut caller, &plan, started, false).await;
    for _ in 0..MAX_RESENDS {
        let known = match &finished.0.seen {
            CallerOutcome::Answer { .. } => true,
            CallerOutcome::Refused { executed } => *executed != v1::Executed::Unknown,
            CallerOutcome::Nothing { .. } => false,
        };
        if known {
            break;
        }
        tokio::time::sleep(RESEND_BACKOFF).await;
        finished = send_once(load, &mut caller, &plan, started, true).await;
    }
    finished
}

async fn send_once(
    load: &OnlineLoad,
    caller: &mut Caller,
    plan: &RequestPlan,
    started: Instant,
    resend: bool,
) -> RequestResult {
    let scheduled = started + plan.arrival;
    let service = if plan.model { &load.model_service } else { &load.plain_service };
    let repeat = if plan.no_repeat { v1::Repeat::Forbidden } else { v1::Repeat::Allowed };
    let header = v1::CallHeader {
        tenant: plan.tenant.clone(),
        request_id: plan.id.clone(),
        service: service.clone(),
        deadline_ms: load.deadline.as_millis() as u64,
        priority: v1::Priority::High as i32,
        repeat: repeat as i32,
        resend,
    };
    let ledger_id = format!("{}/{}/{}", load.partner, plan.tenant, plan.id);
    let mut first_token = None;
    let seen = if plan.model {
        generate(caller, header, plan, &ledger_id, || {
            first_token.get_or_insert_with(|| scheduled.elapsed());
        })
        .await
    } else {
        call(caller, header, plan, &ledger_id).await
    };
    let answered = matches!(seen, CallerOutcome::Answer { .. });
    let whole = answered.then(|| scheduled.elapsed());
    let observation = Observation { ledger_id, no_repeat: plan.no_repeat, seen };
    (observation, first_token.filter(|_| answered), whole)
}

async fn generate(
    caller: &mut Caller,
    header: v1::CallHeader,
    plan: &RequestPlan,
    ledger_id: &str,
    mut on_chunk: impl FnMut(),
) -> CallerOutcome {
    use v1::generate_response::Step;
    let request = v1::GenerateRequest {
        header: Some(header),
        prompt: plan.prompt.clone(),
        max_tokens: plan.tokens,
        offset: 0,
    };
    let mut stream = match caller.generate(request).await {
        Ok(response) => response.into_inner(),
        Err(status) => return CallerOutcome::Nothing { cause: status.to_string() },
    };
    let mut answer = Vec::new();
    loop {
        match stream.message().await {
            Ok(Some(response)) => match response.step {
                Some(Step::Chunk(chunk)) => {
                    on_chunk();
                    if chunk.offset != answer.len() as u64 {
                        return CallerOutcome::Answer { right: false };
                    }
                    answer.extend_from_slice(&chunk.text);
                }
                Some(Step::Completed(completed)) => {
                    let is_complete = completed.length == answer.len() as u64;
                    let expected = model_answer(ledger_id, plan.tokens);
                    return CallerOutcome::Answer {
                        right: is_complete && answer == expected.as_bytes(),
                    };
                }
                Some(Step::Refusal(refusal)) => {
                    return CallerOutcome::Refused { executed: refusal.executed() };
                }
                None => {
                    return CallerOutcome::Nothing {
                        cause: "empty step in the response stream".to_owned(),
                    }
                }
            },
            Ok(None) => {
                return CallerOutcome::Nothing {
                    cause: "response stream ended without a final step".to_owned(),
                }
            }
            Err(status) => return CallerOutcome::Nothing { cause: status.to_string() },
        }
    }
}

async fn call(
    caller: &mut Caller,
    header: v1::CallHeader,
    plan: &RequestPlan,
    ledger_id: &str,
) -> CallerOutcome {
    use v1::call_response::Outcome;
    let body = plan.prompt.clone().into_bytes();
    let expected = plain_answer(ledger_id, &body);
    match caller.call(v1::CallRequest { header: Some(header), body }).await {
        Ok(response) => match response.into_inner().outcome {
            Some(Outcome::Body(body)) => {
                CallerOutcome::Answer { right: body == expected.as_bytes() }
            }
            Some(Outcome::Refusal(refusal)) => {
                CallerOutcome::Refused { executed: refusal.executed() }
            }
            None => CallerOutcome::Nothing { cause: "response without outcome".to_owned() },
        },
        Err(status) => CallerOutcome::Nothing { cause: status.to_string() },
    }
}

/// Verifies the callers' observations against the back ends' ledger.
pub fn verify(observations: &[Observation], ledger: &Ledger, verbose: bool) -> OutcomeCounts {
    let counts = ledger.counts();
    let mut total = OutcomeCounts::default();
    for observation in observations {
        let ran = counts.get(&observation.ledger_id).copied().unwrap_or_default();
        let outcome_counts = verify_one(observation, ran);
        if verbose && outcome_counts.has_violations() {
            eprintln!("violation: {observation:?}, ran {ran:?}");
        }
        total.add(&outcome_counts);
    }
    total
}

fn verify_one(observation: &Observation, ran: ExecutionCounts) -> OutcomeCounts {
    let mut counts = OutcomeCounts::default();
    if observation.no_repeat && ran.begun > 1 {
        counts.doubled = 1;
    }
    let refused_not_run = CallerOutcome::Refused { executed: v1::Executed::No };
    counts.accepted = u64::from(observation.seen != refused_not_run);
    match &observation.seen {
        CallerOutcome::Answer { right: true } if ran.finished > 0 => counts.completed = 1,
        // The answer is wrong or no back end produced it, or the request never got an end.
        CallerOutcome::Answer { .. } | CallerOutcome::Nothing { .. } => counts.lost = 1,
        CallerOutcome::Refused { executed: v1::Executed::No } if ran.begun > 0 => counts.lost = 1,
        CallerOutcome::Refused { executed: v1::Executed::Unknown } => counts.unknown = 1,
        CallerOutcome::Refused { .. } => counts.refused = 1,
    }
    counts
}
