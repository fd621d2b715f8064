//! Online requests at open-loop arrivals; latencies count from the intended arrival.

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

/// Tenants of a partner that send online requests.
const TENANTS: u32 = 20;
/// Shared beginnings of prompts, as of guide books and depots.
const PROMPT_PREFIXES: u32 = 16;
/// Bytes of a shared beginning.
const PROMPT_PREFIX_BYTES: usize = 512;
/// Tokens of an answer.
const TOKENS: std::ops::RangeInclusive<u32> = 8..=40;
/// Times that a request is sent again while it is not known whether it ran, and the pause before.
const RESENDS: u32 = 3;
const RESEND_PAUSE: Duration = Duration::from_millis(700);
/// Part of the requests that may not be repeated.
const NO_REPEAT_PART: f64 = 0.2;

/// Online load of one partner.
#[derive(Clone, Debug)]
pub struct OnlineLoad {
    /// Partner.
    pub partner: String,
    /// Model service.
    pub model_service: String,
    /// Plain service.
    pub plain_service: String,
    /// Model requests a second.
    pub model_rate: f64,
    /// Plain requests a second.
    pub plain_rate: f64,
    /// Time that a caller waits.
    pub deadline: Duration,
    /// Time for which requests arrive.
    pub duration: Duration,
    /// Seed of arrivals and sizes.
    pub seed: u64,
}

/// One request to be sent.
#[derive(Clone, Debug)]
struct Plan {
    id: String,
    tenant: String,
    model: bool,
    tokens: u32,
    prompt: String,
    no_repeat: bool,
    arrival: Duration,
}

/// What a caller saw of one request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Seen {
    /// A whole answer, and whether it was the right one.
    Answer {
        /// Whether it was right to the byte.
        right: bool,
    },
    /// A refusal.
    Refused {
        /// What it says of the execution.
        executed: v1::Executed,
    },
    /// No end was told.
    Nothing {
        /// What the transport said.
        cause: String,
    },
}

/// One request after its end.
#[derive(Clone, Debug)]
pub struct Observation {
    /// Id as in the ledgers: partner, tenant and request.
    pub ledger_id: String,
    /// Whether it may run only once.
    pub no_repeat: bool,
    /// What the caller saw.
    pub seen: Seen,
}

/// What the callers of one partner saw.
#[derive(Debug, Default)]
pub struct OnlineRecord {
    /// Requests.
    pub observations: Vec<Observation>,
    /// To the first token, of completed model requests.
    pub first_token: Latencies,
    /// To the end, of completed requests.
    pub whole: Latencies,
}

fn draw_plans(load: &OnlineLoad) -> Vec<Plan> {
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

fn draw_plan(load: &OnlineLoad, model: bool, arrival: Duration, generator: &mut SmallRng) -> Plan {
    let prefix = generator.random_range(0..PROMPT_PREFIXES);
    let shared = format!("{}-{prefix} ", load.partner).repeat(PROMPT_PREFIX_BYTES / 10);
    let question = generator.random::<u64>();
    Plan {
        id: String::new(),
        tenant: format!("tenant-{}", generator.random_range(0..TENANTS)),
        model,
        tokens: generator.random_range(TOKENS),
        prompt: format!("{shared}question {question:x}"),
        no_repeat: generator.random_bool(NO_REPEAT_PART),
        arrival,
    }
}

/// Sends the load and waits for the end of every request.
pub async fn send(load: OnlineLoad, caller: Caller) -> OnlineRecord {
    let begun = Instant::now();
    let (done, mut finished) = mpsc::unbounded_channel();
    for plan in draw_plans(&load) {
        tokio::time::sleep_until(begun + plan.arrival).await;
        let (load, caller, done) = (load.clone(), caller.clone(), done.clone());
        tokio::spawn(async move {
            let _ = done.send(send_one(&load, caller, plan, begun).await);
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

type Finished = (Observation, Option<Duration>, Option<Duration>);

/// Sends a request, and sends it again under the same id while it is not known whether it ran, as
/// clients do.
async fn send_one(load: &OnlineLoad, mut caller: Caller, plan: Plan, begun: Instant) -> Finished {
    let mut finished = send_once(load, &mut caller, &plan, begun, false).await;
    for _ in 0..RESENDS {
        let known = match &finished.0.seen {
            Seen::Answer { .. } => true,
            Seen::Refused { executed } => *executed != v1::Executed::Unknown,
            Seen::Nothing { .. } => false,
        };
        if known {
            break;
        }
        tokio::time::sleep(RESEND_PAUSE).await;
        finished = send_once(load, &mut caller, &plan, begun, true).await;
    }
    finished
}

async fn send_once(
    load: &OnlineLoad,
    caller: &mut Caller,
    plan: &Plan,
    begun: Instant,
    resend: bool,
) -> Finished {
    let intended = begun + plan.arrival;
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
            first_token.get_or_insert_with(|| intended.elapsed());
        })
        .await
    } else {
        call(caller, header, plan, &ledger_id).await
    };
    let answered = matches!(seen, Seen::Answer { .. });
    let whole = answered.then(|| intended.elapsed());
    let observation = Observation { ledger_id, no_repeat: plan.no_repeat, seen };
    (observation, first_token.filter(|_| answered), whole)
}

async fn generate(
    caller: &mut Caller,
    header: v1::CallHeader,
    plan: &Plan,
    ledger_id: &str,
    mut on_chunk: impl FnMut(),
) -> Seen {
    use v1::generate_response::Step;
    let request = v1::GenerateRequest {
        header: Some(header),
        prompt: plan.prompt.clone(),
        max_tokens: plan.tokens,
        offset: 0,
    };
    let mut stream = match caller.generate(request).await {
        Ok(response) => response.into_inner(),
        Err(status) => return Seen::Nothing { cause: status.to_string() },
    };
    let mut answer = Vec::new();
    loop {
        match stream.message().await {
            Ok(Some(response)) => match response.step {
                Some(Step::Chunk(chunk)) => {
                    on_chunk();
                    if chunk.offset != answer.len() as u64 {
                        return Seen::Answer { right: false };
                    }
                    answer.extend_from_slice(&chunk.text);
                }
                Some(Step::Completed(completed)) => {
                    let whole = completed.length == answer.len() as u64;
                    let wanted = model_answer(ledger_id, plan.tokens);
                    return Seen::Answer { right: whole && answer == wanted.as_bytes() };
                }
                Some(Step::Refusal(refusal)) => {
                    return Seen::Refused { executed: refusal.executed() };
                }
                None => return Seen::Nothing { cause: "an empty step".to_owned() },
            },
            Ok(None) => return Seen::Nothing { cause: "the stream ended".to_owned() },
            Err(status) => return Seen::Nothing { cause: status.to_string() },
        }
    }
}

async fn call(caller: &mut Caller, header: v1::CallHeader, plan: &Plan, ledger_id: &str) -> Seen {
    use v1::call_response::Outcome;
    let body = plan.prompt.clone().into_bytes();
    let wanted = plain_answer(ledger_id, &body);
    match caller.call(v1::CallRequest { header: Some(header), body }).await {
        Ok(response) => match response.into_inner().outcome {
            Some(Outcome::Body(body)) => Seen::Answer { right: body == wanted.as_bytes() },
            Some(Outcome::Refusal(refusal)) => Seen::Refused { executed: refusal.executed() },
            None => Seen::Nothing { cause: "an empty response".to_owned() },
        },
        Err(status) => Seen::Nothing { cause: status.to_string() },
    }
}

/// Judges what callers saw by what the back ends ran.
pub fn judge(observations: &[Observation], ledger: &Ledger, verbose: bool) -> OutcomeCounts {
    let counts = ledger.counts();
    let mut total = OutcomeCounts::default();
    for observation in observations {
        let ran = counts.get(&observation.ledger_id).copied().unwrap_or_default();
        let judged = judge_one(observation, ran);
        if verbose && judged.has_violations() {
            eprintln!("broken: {observation:?}, ran {ran:?}");
        }
        total.add(&judged);
    }
    total
}

fn judge_one(observation: &Observation, ran: ExecutionCounts) -> OutcomeCounts {
    let mut counts = OutcomeCounts::default();
    if observation.no_repeat && ran.begun > 1 {
        counts.doubled = 1;
    }
    let refused_unrun = Seen::Refused { executed: v1::Executed::No };
    counts.accepted = u64::from(observation.seen != refused_unrun);
    match &observation.seen {
        Seen::Answer { right: true } if ran.finished > 0 => counts.completed = 1,
        // A wrong answer, or one that no back end produced.
        Seen::Answer { .. } | Seen::Nothing { .. } => counts.lost = 1,
        Seen::Refused { executed: v1::Executed::No } if ran.begun > 0 => counts.lost = 1,
        Seen::Refused { executed: v1::Executed::Unknown } => counts.unknown = 1,
        Seen::Refused { .. } => counts.refused = 1,
    }
    counts
}
