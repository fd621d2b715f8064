//! The overhead of agent and daemon, beside direct calls to the same back ends in the same run.

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

/// Calls at once that are measured.
const CONCURRENCY: [usize; 3] = [1, 32, 512];
/// Calls in one turn at the least: plain calls are short, model calls long.
const PLAIN_CALLS_PER_TURN: usize = 128;
const MODEL_CALLS_PER_TURN: usize = 16;
/// Tokens of a model answer.
const TOKENS: u32 = 16;
/// Back ends of each service, and calls that each runs at once: together more than the most calls
/// at once, so that nothing queues.
const BACKENDS: usize = 4;
const SLOTS: u32 = 160;
const PARTNER: &str = "board";
const MODEL_SERVICE: &str = "pathmind";
const PLAIN_SERVICE: &str = "tilegate";
const STALL: Duration = Duration::from_secs(30);

/// One comparison.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct OverheadRow {
    /// What was called.
    pub service: &'static str,
    /// Calls at once.
    pub calls_at_once: usize,
    /// Direct calls, in milliseconds to the end.
    pub direct_ms: Percentiles,
    /// Calls through agent and daemon, in milliseconds to the end.
    pub through_ms: Percentiles,
    /// Through over direct at the median.
    pub ratio_p50: f64,
    /// Through over direct at 99 in 100.
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

/// How calls are made.
#[derive(Clone)]
enum Path {
    Direct { client: BackendClient, addresses: Arc<Vec<SocketAddr>> },
    Through { caller: Caller },
}

static NEXT_CALL: AtomicU64 = AtomicU64::new(0);

impl Path {
    async fn call(&mut self, kind: ServiceKind) -> Result<(), String> {
        let number = NEXT_CALL.fetch_add(1, Ordering::Relaxed);
        let id = format!("call-{number}");
        match (self, kind) {
            (Path::Direct { client, addresses }, kind) => {
                let address = addresses[number as usize % addresses.len()].to_string();
                call_directly(client, &address, id, kind).await
            }
            (Path::Through { caller }, ServiceKind::Model) => generate(caller, id).await,
            (Path::Through { caller }, ServiceKind::Plain) => call_plain(caller, id).await,
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
    let order = CompletionRequest {
        request_id: id,
        attempt: 1,
        model: MODEL_SERVICE.to_owned(),
        prompt: "prompt".to_owned(),
        max_tokens: TOKENS,
        resume_from_token: 0,
        priority: ENGINE_PRIORITY_ONLINE,
        stream: true,
    };
    let mut stream = client.complete(address, &order).await.map_err(|error| error.to_string())?;
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
        deadline_ms: STALL.as_millis() as u64,
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
    Err("the answer broke off".to_owned())
}

async fn call_plain(caller: &mut Caller, id: String) -> Result<(), String> {
    let request =
        v1::CallRequest { header: Some(header(id, PLAIN_SERVICE)), body: b"body".to_vec() };
    let response = caller.call(request).await.map_err(|status| status.to_string())?;
    match response.into_inner().outcome {
        Some(v1::call_response::Outcome::Body(_)) => Ok(()),
        Some(v1::call_response::Outcome::Refusal(refusal)) => Err(refusal.detail),
        None => Err("an empty response".to_owned()),
    }
}

/// Makes calls, so many at once, and returns their latencies.
async fn turn(path: &Path, kind: ServiceKind, at_once: usize) -> Result<Latencies, String> {
    let least = match kind {
        ServiceKind::Plain => PLAIN_CALLS_PER_TURN,
        ServiceKind::Model => MODEL_CALLS_PER_TURN,
    };
    let calls = least.max(at_once * 2).div_ceil(at_once);
    let worker = |mut path: Path| async move {
        let mut latencies = Latencies::default();
        for _ in 0..calls {
            let begun = Instant::now();
            path.call(kind).await?;
            latencies.record(begun.elapsed());
        }
        Ok::<Latencies, String>(latencies)
    };
    let workers = (0..at_once).map(|_| tokio::spawn(worker(path.clone())));
    let mut all = Latencies::default();
    for done in futures::future::join_all(workers).await {
        all.add(&done.map_err(|error| error.to_string())??);
    }
    Ok(all)
}

/// Runs every comparison: turns of both paths alternate, so that noise falls on both.
pub async fn run(rounds: usize) -> Result<Vec<OverheadRow>, String> {
    let fleet = LocalFleet::start(vec![plan()], &FleetOptions::default()).await?;
    let through = Path::Through { caller: fleet.caller(PARTNER).await? };
    let client = BackendClient::new(STALL);
    let mut rows = Vec::new();
    for (service, kind) in
        [(PLAIN_SERVICE, ServiceKind::Plain), (MODEL_SERVICE, ServiceKind::Model)]
    {
        let addresses = Arc::new(addresses(&fleet, service));
        let direct = Path::Direct { client: client.clone(), addresses };
        for at_once in CONCURRENCY {
            // The first turn opens connections and is not counted.
            turn(&direct, kind, at_once).await?;
            turn(&through, kind, at_once).await?;
            let (mut direct_all, mut through_all) = (Latencies::default(), Latencies::default());
            for _ in 0..rounds {
                direct_all.add(&turn(&direct, kind, at_once).await?);
                through_all.add(&turn(&through, kind, at_once).await?);
            }
            rows.push(compare(service, at_once, &direct_all, &through_all));
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

/// The rows as a table.
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
