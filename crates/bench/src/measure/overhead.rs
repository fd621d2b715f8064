//! Overhead of agent and daemon, relative to direct calls to the same back ends in the same run.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use std::time::Duration;

use serde::Serialize;
use tokio::time::Instant;
use yokefall_api::v1;
use yokefall_backend::schema::ENGINE_PRIORITY_ONLINE;
use yokefall_backend::{BackendClient, CompletionEvent, CompletionRequest};
use yokefall_rpc::client::Caller;
use yokefall_types::ServiceKind;

use crate::deployment::{PartnerPlan, ServicePlan};
use crate::fleet::{Backend, FleetOptions, LocalFleet};
use crate::report::{Latencies, Percentiles};

const CONCURRENCY: [usize; 3] = [1, 32, 512];
/// Minimum calls in a round: plain calls are short, model calls long.
const MIN_PLAIN_CALLS_PER_ROUND: usize = 128;
const MIN_MODEL_CALLS_PER_ROUND: usize = 16;
/// Tokens in a model answer.
const TOKENS: u32 = 16;
/// Back ends per service, and slots of each: more slots in all than calls, so nothing queues.
const BACKENDS: usize = 4;
const SLOTS: u32 = 160;
const PARTNER: &str = "board";
const MODEL_SERVICE: &str = "pathmind";
const PLAIN_SERVICE: &str = "tilegate";
const CALL_TIMEOUT: Duration = Duration::from_secs(30);

/// Comparison of both paths for one service at one concurrency.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct OverheadRow {
    /// Service that was called.
    pub service: &'static str,
    /// Concurrent calls.
    pub calls_at_once: usize,
    /// Latency of direct calls to the end of the answer, in milliseconds.
    pub direct_ms: Percentiles,
    /// Latency of calls through agent and daemon to the end of the answer, in milliseconds.
    pub through_ms: Percentiles,
    /// Ratio of `through_ms` to `direct_ms` at the median.
    pub ratio_p50: f64,
    /// Ratio of `through_ms` to `direct_ms` at the 99th percentile.
    pub ratio_p99: f64,
}

fn plan() -> PartnerPlan {
    let service = |name, kind, milliseconds| ServicePlan {
        name,
        kind,
        backends: BACKENDS,
        slots: SLOTS,
        reserved_slots: 0,
        service_time: Duration::from_millis(milliseconds),
    };
    PartnerPlan {
        partner: PARTNER,
        region: "bengal-south",
        zones: &["kolkata-hall", "howrah-hall"],
        services: vec![
            service(MODEL_SERVICE, ServiceKind::Model, 0),
            service(PLAIN_SERVICE, ServiceKind::Plain, 5),
        ],
    }
}

/// Path of a call: directly to a back end, or through agent and daemon.
#[derive(Clone)]
enum CallPath {
    Direct { client: BackendClient, addresses: Arc<Vec<SocketAddr>> },
    Through { caller: Caller },
}

static NEXT_CALL: AtomicU64 = AtomicU64::new(0);

impl CallPath {
    async fn call(&mut self, kind: ServiceKind) -> Result<(), String> {
        let number = NEXT_CALL.fetch_add(1, Ordering::Relaxed);
        let id = format!("call-{number}");
        match (self, kind) {
            (CallPath::Direct { client, addresses }, kind) => {
                let address = addresses[number as usize % addresses.len()].to_string();
                call_directly(client, &address, id, kind).await
            }
            (CallPath::Through { caller }, ServiceKind::Model) => generate(caller, id).await,
            (CallPath::Through { caller }, ServiceKind::Plain) => call_plain(caller, id).await,
        }
    }
}

async fn call_directly(
    client: &BackendClient,
    address: &str,
    id: String,
    kind: ServiceKind,
) -> Result<(), String> {
    if kind == ServiceKind::Plain {
        let answer = client.call_plain(address, &id, 1, bytes::Bytes::from_static(b"body")).await;
        return answer.map(|_| ()).map_err(|error| error.to_string());
    }
    let request = CompletionRequest {
        request_id: id,
        attempt: 1,
        model: MODEL_SERVICE.to_owned(),
        prompt: "prompt".to_owned(),
        max_tokens: TOKENS,
        resume_from_token: 0,
        priority: ENGINE_PRIORITY_ONLINE,
        stream: true,
    };
    let mut stream = client.complete(address, &request).await.map_err(|error| error.to_string())?;
    loop {
        match stream.next().await.map_err(|error| error.to_string())? {
            CompletionEvent::Finished => return Ok(()),
            CompletionEvent::Text { .. } => {}
        }
    }
}

fn header(id: String, service: &str) -> v1::CallHeader {
    v1::CallHeader {
        tenant: "tenant".to_owned(),
        request_id: id,
        service: service.to_owned(),
        deadline_ms: CALL_TIMEOUT.as_millis() as u64,
        priority: v1::Priority::High as i32,
        repeat: v1::Repeat::Allowed as i32,
        resend: false,
    }
}

async fn generate(caller: &mut Caller, id: String) -> Result<(), String> {
    let request = v1::GenerateRequest {
        header: Some(header(id, MODEL_SERVICE)),
        prompt: "prompt".to_owned(),
        max_tokens: TOKENS,
        offset: 0,
    };
    let response = caller.generate(request).await.map_err(|status| status.to_string())?;
    let mut steps = response.into_inner();
    while let Some(response) = steps.message().await.map_err(|status| status.to_string())? {
        match response.step {
            Some(v1::generate_response::Step::Completed(_)) => return Ok(()),
            Some(v1::generate_response::Step::Refusal(refusal)) => return Err(refusal.detail),
            _ => {}
        }
    }
    Err("response stream ended without a final step".to_owned())
}

async fn call_plain(caller: &mut Caller, id: String) -> Result<(), String> {
    let request =
        v1::CallRequest { header: Some(header(id, PLAIN_SERVICE)), body: b"body".to_vec() };
    let response = caller.call(request).await.map_err(|status| status.to_string())?;
    match response.into_inner().outcome {
        Some(v1::call_response::Outcome::Body(_)) => Ok(()),
        Some(v1::call_response::Outcome::Refusal(refusal)) => Err(refusal.detail),
        None => Err("response without outcome".to_owned()),
    }
}

async fn measure_round(
    path: &CallPath,
    kind: ServiceKind,
    concurrency: usize,
) -> Result<Latencies, String> {
    let min_calls = match kind {
        ServiceKind::Plain => MIN_PLAIN_CALLS_PER_ROUND,
        ServiceKind::Model => MIN_MODEL_CALLS_PER_ROUND,
    };
    let calls = min_calls.max(concurrency * 2).div_ceil(concurrency);
    let worker = |mut path: CallPath| async move {
        let mut latencies = Latencies::default();
        for _ in 0..calls {
            let started = Instant::now();
            path.call(kind).await?;
            latencies.record(started.elapsed());
        }
        Ok::<Latencies, String>(latencies)
    };
    let workers = (0..concurrency).map(|_| tokio::spawn(worker(path.clone())));
    let mut all = Latencies::default();
    for done in futures::future::join_all(workers).await {
        all.add(&done.map_err(|error| error.to_string())??);
    }
    Ok(all)
}

/// Runs every comparison. Rounds of both paths alternate, so that noise affects both alike.
pub async fn run(rounds: usize) -> Result<Vec<OverheadRow>, String> {
    let fleet = LocalFleet::start(vec![plan()], &FleetOptions::default()).await?;
    let through = CallPath::Through { caller: fleet.caller(PARTNER).await? };
    let client = BackendClient::new(CALL_TIMEOUT);
    let mut rows = Vec::new();
    for (service, kind) in
        [(PLAIN_SERVICE, ServiceKind::Plain), (MODEL_SERVICE, ServiceKind::Model)]
    {
        let addresses = Arc::new(addresses(&fleet, service));
        let direct = CallPath::Direct { client: client.clone(), addresses };
        for concurrency in CONCURRENCY {
            // Warm-up: the first round opens connections and is not counted.
            measure_round(&direct, kind, concurrency).await?;
            measure_round(&through, kind, concurrency).await?;
            let (mut direct_all, mut through_all) = (Latencies::default(), Latencies::default());
            for _ in 0..rounds {
                direct_all.add(&measure_round(&direct, kind, concurrency).await?);
                through_all.add(&measure_round(&through, kind, concurrency).await?);
            }
            rows.push(compare(service, concurrency, &direct_all, &through_all));
        }
    }
    fleet.stop().await;
    Ok(rows)
}

fn addresses(fleet: &LocalFleet, service: &str) -> Vec<SocketAddr> {
    let backends = fleet.backends.iter().filter(|backend| backend.service == service);
    backends
        .map(|placed| match &placed.backend {
            Backend::Engine(engine) => engine.server.address(),
            Backend::Plain(plain) => plain.server.address(),
        })
        .collect()
}

fn compare(
    service: &'static str,
    calls_at_once: usize,
    direct: &Latencies,
    through: &Latencies,
) -> OverheadRow {
    let (direct_ms, through_ms) = (direct.percentiles(), through.percentiles());
    OverheadRow {
        service,
        calls_at_once,
        direct_ms,
        through_ms,
        ratio_p50: through_ms.p50 / direct_ms.p50,
        ratio_p99: through_ms.p99 / direct_ms.p99,
    }
}

/// The rows as a Markdown table.
pub fn table(rows: &[OverheadRow]) -> String {
    let mut table = String::from(
        "| service | calls at once | direct p50 ms | through p50 ms | ratio p50 | \
         direct p99 ms | through p99 ms | ratio p99 |\n|---|---|---|---|---|---|---|---|\n",
    );
    for row in rows {
        table.push_str(&format!(
            "| {} | {} | {:.2} | {:.2} | {:.2} | {:.2} | {:.2} | {:.2} |\n",
            row.service,
            row.calls_at_once,
            row.direct_ms.p50,
            row.through_ms.p50,
            row.ratio_p50,
            row.direct_ms.p99,
            row.through_ms.p99,
            row.ratio_p99,
        ));
    }
    table
}
