//! The engine's HTTP server, and the loop that executes iterations in real time.

use std::collections::{HashMap, VecDeque};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use http::{Method, Request, Response, StatusCode};
use hyper::body::Incoming;
use percent_encoding::percent_decode_str;
use serde::{Deserialize, Serialize};
use tokio::sync::{mpsc, Notify};
use tokio::time::Instant;
use yokefall_backend::schema::{
    CompletionChoice, CompletionChunk, CompletionRequest, COMPLETIONS_PATH, REQUESTS_PATH,
    STREAM_END,
};

use super::cache::{BlockHash, CacheEvent};
use super::control::{ControlAction, ControlOrder, ControlState};
use super::fault::{EngineFault, Faults};
use super::model::{Emitted, EngineLoad, EngineModel, Sequence, SequenceNumber};
use super::parameters::EngineParameters;
use super::report::{CacheEventReport, LoadReport};
use crate::ledger::{ExecutionEnd, ExecutionNumber, Ledger};
use crate::standin::http::{
    full_response, json, query_value, read_body, read_json, streaming, Body, HttpServer,
    ResponseFuture,
};
use crate::standin::plain::LEDGER_PATH;
use crate::text::token_text;

/// Path of the load report.
pub const LOAD_PATH: &str = "/v1/load";
/// Path of the cache events, `?after=SEQUENCE`.
pub const CACHE_EVENTS_PATH: &str = "/v1/cache/events";
/// Path of fenced control orders.
pub const CONTROL_PATH: &str = "/v1/control";
/// Path of KV export: the body is a prompt.
pub const KV_EXPORT_PATH: &str = "/v1/kv/export";
/// Path of KV import: the body is the response of an export.
pub const KV_IMPORT_PATH: &str = "/v1/kv/import";
/// Path of fault injection.
pub const FAULT_PATH: &str = "/fault";

/// Maximum load reports, and maximum cache events, that are kept.
const MAX_HISTORY: usize = 4_096;
/// Interval at which an engine that waits for memory or hangs checks whether it can continue.
const BLOCKED_POLL_INTERVAL: Duration = Duration::from_millis(5);

struct Stream {
    engine_id: String,
    execution: ExecutionNumber,
    chunks: mpsc::UnboundedSender<Bytes>,
    /// Whether a token was lost; nothing of the answer is sent after it.
    lost: bool,
}

struct State {
    model: Mutex<EngineModel>,
    streams: Mutex<HashMap<SequenceNumber, Stream>>,
    control: Mutex<ControlState>,
    loads: Mutex<VecDeque<(Instant, EngineLoad)>>,
    events: Mutex<VecDeque<PublishedEvent>>,
    faults: Mutex<Faults>,
    wake: Notify,
    ledger: Arc<Ledger>,
    weight_store: Option<SocketAddr>,
    executions_started: AtomicU64,
}

#[derive(Clone, Copy)]
struct PublishedEvent {
    sequence: u64,
    at: Instant,
    event: CacheEvent,
}

/// KV blocks exported by an engine, for import by another.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ExportedBlocks {
    /// Hashes of the leading blocks of a prompt.
    pub blocks: Vec<BlockHash>,
}

/// A running engine server.
pub struct EngineStandIn {
    /// The server.
    pub server: Arc<HttpServer>,
    /// Record of its executions.
    pub ledger: Arc<Ledger>,
    state: Arc<State>,
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl EngineStandIn {
    /// Starts an engine. Without a weight store, models load instantly.
    pub async fn start(
        address: SocketAddr,
        parameters: EngineParameters,
        ledger: Arc<Ledger>,
        weight_store: Option<SocketAddr>,
    ) -> std::io::Result<Self> {
        let models = parameters.models.iter().map(|model| (model.clone(), 1)).collect();
        let control = ControlState { models, ..ControlState::default() };
        let faults = Faults::none();
        let state = Arc::new(State {
            model: Mutex::new(EngineModel::new(parameters)),
            streams: Mutex::default(),
            control: Mutex::new(control),
            loads: Mutex::default(),
            events: Mutex::default(),
            faults: Mutex::new(faults),
            wake: Notify::new(),
            ledger: ledger.clone(),
            weight_store,
            executions_started: AtomicU64::new(0),
        });
        let (fault_sender, mut fault_queue) = mpsc::unbounded_channel();
        let handler_state = state.clone();
        let handler = move |request: Request<Incoming>| {
            let (state, faults) = (handler_state.clone(), fault_sender.clone());
            let future: ResponseFuture = Box::pin(answer(state, faults, request));
            future
        };
        let server = HttpServer::start(address, Arc::new(handler)).await?;
        tokio::spawn(run(state.clone()));
        // A separate task injects faults: a crash also cuts the connection that requested it.
        let (fault_server, fault_state) = (server.clone(), state.clone());
        tokio::spawn(async move {
            while let Some(fault) = fault_queue.recv().await {
                inject(&fault_server, &fault_state, fault).await;
            }
        });
        Ok(Self { server, ledger, state })
    }

    /// Injects a fault.
    pub async fn inject(&self, fault: EngineFault) {
        inject(&self.server, &self.state, fault).await;
    }

    /// Whether it has open streams.
    pub fn is_busy(&self) -> bool {
        !lock(&self.state.streams).is_empty()
    }

    /// Number of executions started.
    pub fn executions_started(&self) -> u64 {
        self.state.executions_started.load(Ordering::Relaxed)
    }

    /// Prompt tokens found in the prefix cache, and all prompt tokens, of admitted sequences.
    pub fn prefix_tokens(&self) -> (u64, u64) {
        lock(&self.state.model).prefix_tokens
    }
}

async fn inject(server: &HttpServer, state: &State, fault: EngineFault) {
    match fault {
        EngineFault::Die => {
            server.kill();
            end_streams(state);
            let parameters = lock(&state.model).parameters().clone();
            *lock(&state.model) = EngineModel::new(parameters);
        }
        EngineFault::Revive => {
            let _ = server.revive().await;
        }
        EngineFault::CutStreams => end_streams(state),
        EngineFault::Hang { on } => lock(&state.faults).hang = on,
        EngineFault::Slow { factor } => lock(&state.faults).slow = factor,
        EngineFault::LoseAnswers { on } => lock(&state.faults).lose_answers = on,
        EngineFault::BadJson { on } => lock(&state.faults).bad_json = on,
        EngineFault::BadText { on } => lock(&state.faults).bad_text = on,
    }
}

fn end_streams(state: &State) {
    let streams = std::mem::take(&mut *lock(&state.streams));
    for (number, stream) in streams {
        let tokens = lock(&state.model).cancel(number).unwrap_or(0);
        state.ledger.end(stream.execution, ExecutionEnd::Failed, tokens);
    }
}

async fn run(state: Arc<State>) {
    loop {
        let faults = *lock(&state.faults);
        if faults.hang {
            tokio::time::sleep(BLOCKED_POLL_INTERVAL).await;
            continue;
        }
        let woken = state.wake.notified();
        let (outcome, load, cache_events, idle) = {
            let mut model = lock(&state.model);
            let outcome = model.step();
            (outcome, model.load(), model.take_cache_events(), model.is_idle())
        };
        record_history(&state, load, cache_events);
        if outcome.duration_us == 0 {
            if idle {
                woken.await;
            } else {
                tokio::time::sleep(BLOCKED_POLL_INTERVAL).await;
            }
            continue;
        }
        let duration = outcome.duration_us as f64 * faults.slow;
        tokio::time::sleep(Duration::from_micros(duration as u64)).await;
        for emitted in outcome.emitted {
            emit(&state, emitted, faults);
        }
    }
}

fn record_history(state: &State, load: EngineLoad, cache_events: Vec<CacheEvent>) {
    let now = Instant::now();
    let mut loads = lock(&state.loads);
    loads.push_back((now, load));
    if loads.len() > MAX_HISTORY {
        loads.pop_front();
    }
    let mut events = lock(&state.events);
    for event in cache_events {
        let sequence = events.back().map_or(0, |last| last.sequence) + 1;
        events.push_back(PublishedEvent { sequence, at: now, event });
        if events.len() > MAX_HISTORY {
            events.pop_front();
        }
    }
}

fn event_bytes(data: &str) -> Bytes {
    Bytes::from(format!("data: {data}\n\n"))
}

fn emit(state: &State, emitted: Emitted, faults: Faults) {
    let mut streams = lock(&state.streams);
    let Some(stream) = streams.get_mut(&emitted.number) else { return };
    stream.lost |= faults.lose_answers;
    let lost = stream.lost;
    if !lost {
        send_token(stream, emitted, faults);
    }
    if emitted.last {
        state.ledger.end(stream.execution, ExecutionEnd::Finished, emitted.index + 1);
        if lost {
            // Keep the connection open without an end: the answer is lost, not cut.
            let stream = streams.remove(&emitted.number);
            tokio::spawn(async move {
                if let Some(stream) = stream {
                    stream.chunks.closed().await;
                }
            });
            return;
        }
        streams.remove(&emitted.number);
    }
}

fn send_token(stream: &Stream, emitted: Emitted, faults: Faults) {
    if faults.bad_text {
        let _ = stream.chunks.send(Bytes::from_static(b"data: \xff\xfe\n\n"));
        return;
    }
    if faults.bad_json {
        let _ = stream.chunks.send(event_bytes("{\"id\": oops"));
        return;
    }
    let chunk = CompletionChunk {
        id: stream.engine_id.clone(),
        choices: vec![CompletionChoice {
            text: token_text(&stream.engine_id, emitted.index),
            tokens: 1,
            finish_reason: emitted.last.then(|| "length".to_owned()),
        }],
    };
    let data = serde_json::to_string(&chunk).unwrap_or_default();
    let _ = stream.chunks.send(event_bytes(&data));
    if emitted.last {
        let _ = stream.chunks.send(event_bytes(STREAM_END));
    }
}

async fn answer(
    state: Arc<State>,
    faults: mpsc::UnboundedSender<EngineFault>,
    request: Request<Incoming>,
) -> Response<Body> {
    let path = request.uri().path().to_owned();
    match (request.method().clone(), path.as_str()) {
        (Method::POST, COMPLETIONS_PATH) => match read_json(request).await {
            Ok(request) => complete(&state, request),
            Err(response) => *response,
        },
        (Method::DELETE, path) if path.starts_with(REQUESTS_PATH) => cancel(&state, path),
        (Method::GET, LOAD_PATH) => json(StatusCode::OK, &load_report(&state)),
        (Method::GET, CACHE_EVENTS_PATH) => {
            let after = query_value(&request, "after").and_then(|value| value.parse().ok());
            json(StatusCode::OK, &cache_events(&state, after.unwrap_or(0)))
        }
        (Method::GET, CONTROL_PATH) => json(StatusCode::OK, &*lock(&state.control)),
        (Method::POST, CONTROL_PATH) => match read_json(request).await {
            Ok(order) => apply_order(&state, order).await,
            Err(response) => *response,
        },
        (Method::POST, KV_EXPORT_PATH) => match read_body(request).await {
            Ok(prompt) => {
                let blocks = lock(&state.model).export(&prompt);
                json(StatusCode::OK, &ExportedBlocks { blocks })
            }
            Err(response) => *response,
        },
        (Method::POST, KV_IMPORT_PATH) => match read_json::<ExportedBlocks>(request).await {
            Ok(exported) => import(&state, exported).await,
            Err(response) => *response,
        },
        (Method::GET, LEDGER_PATH) => json(StatusCode::OK, &state.ledger.entries()),
        (Method::POST, FAULT_PATH) => match read_json(request).await {
            Ok(fault) => {
                let _ = faults.send(fault);
                full_response(StatusCode::ACCEPTED, "")
            }
            Err(response) => *response,
        },
        _ => full_response(StatusCode::NOT_FOUND, "not found"),
    }
}

fn complete(state: &Arc<State>, request: CompletionRequest) -> Response<Body> {
    if !lock(&state.control).models.contains_key(&request.model) {
        return full_response(
            StatusCode::NOT_FOUND,
            format!("model: {} is not loaded", request.model),
        );
    }
    if request.max_tokens == 0 {
        return full_response(StatusCode::BAD_REQUEST, "max_tokens: must be at least 1");
    }
    let (chunks, receiver) = mpsc::unbounded_channel();
    let sequence = Sequence {
        prompt: request.prompt.into_bytes(),
        max_tokens: request.max_tokens,
        resume_from_token: request.resume_from_token,
        priority: request.priority,
    };
    let already_complete = request.resume_from_token >= request.max_tokens;
    // Held across the submission, so that no token is emitted before its stream is registered.
    let mut streams = lock(&state.streams);
    let submitted = if already_complete { Some(0) } else { lock(&state.model).submit(sequence) };
    let Some(number) = submitted else {
        return full_response(StatusCode::TOO_MANY_REQUESTS, "queue is full; nothing was started");
    };
    let execution = state.ledger.begin(&request.request_id);
    state.executions_started.fetch_add(1, Ordering::Relaxed);
    if already_complete {
        state.ledger.end(execution, ExecutionEnd::Finished, request.max_tokens);
        let last = CompletionChunk {
            id: request.request_id,
            choices: vec![CompletionChoice {
                text: String::new(),
                tokens: 0,
                finish_reason: Some("length".to_owned()),
            }],
        };
        let data = serde_json::to_string(&last).unwrap_or_default();
        let _ = chunks.send(event_bytes(&data));
        let _ = chunks.send(event_bytes(STREAM_END));
        return streaming(receiver);
    }
    let stream =
        Stream { engine_id: request.request_id, execution, chunks: chunks.clone(), lost: false };
    streams.insert(number, stream);
    drop(streams);
    state.wake.notify_one();
    let watched = state.clone();
    let chunks = chunks.downgrade();
    tokio::spawn(async move {
        if let Some(chunks) = chunks.upgrade() {
            watch_connection(&watched, number, chunks).await;
        }
    });
    streaming(receiver)
}

/// Cancels a sequence when its caller closes the connection.
async fn watch_connection(
    state: &State,
    number: SequenceNumber,
    chunks: mpsc::UnboundedSender<Bytes>,
) {
    // A weak reference between checks lets the stream end when the engine drops its sender.
    let weak = chunks.downgrade();
    drop(chunks);
    loop {
        tokio::time::sleep(BLOCKED_POLL_INTERVAL * 4).await;
        let Some(chunks) = weak.upgrade() else { return };
        if chunks.is_closed() {
            cancel_sequence(state, number);
            return;
        }
    }
}

fn cancel_sequence(state: &State, number: SequenceNumber) -> bool {
    let Some(stream) = lock(&state.streams).remove(&number) else { return false };
    let tokens = lock(&state.model).cancel(number).unwrap_or(0);
    state.ledger.end(stream.execution, ExecutionEnd::Cancelled, tokens);
    true
}

fn cancel(state: &State, path: &str) -> Response<Body> {
    let encoded = path.strip_prefix(REQUESTS_PATH).unwrap_or_default();
    let engine_id = percent_decode_str(encoded).decode_utf8_lossy();
    let number = lock(&state.streams)
        .iter()
        .find(|(_, stream)| stream.engine_id == engine_id)
        .map(|(number, _)| *number);
    match number {
        Some(number) if cancel_sequence(state, number) => full_response(StatusCode::OK, ""),
        _ => full_response(StatusCode::NOT_FOUND, "no such request"),
    }
}

fn load_report(state: &State) -> LoadReport {
    let parameters = lock(&state.model).parameters().clone();
    let lag = Duration::from_millis(parameters.load_lag_ms);
    let loads = lock(&state.loads);
    let old_enough = loads.iter().rev().find(|(at, _)| at.elapsed() >= lag);
    let (age, load) =
        old_enough.map_or((lag, EngineLoad::default()), |(at, load)| (at.elapsed(), *load));
    LoadReport {
        running: load.running,
        waiting: load.waiting,
        kv_blocks_used: load.kv_blocks_used,
        kv_blocks: parameters.kv_blocks,
        age_ms: age.as_millis() as u64,
    }
}

fn cache_events(state: &State, after: u64) -> Vec<CacheEventReport> {
    let parameters = lock(&state.model).parameters().clone();
    let lag = Duration::from_millis(parameters.event_lag_ms);
    let is_lost = |sequence: u64| {
        let draw = xxhash_rust::xxh3::xxh3_64(&sequence.to_le_bytes()) as f64 / u64::MAX as f64;
        draw < parameters.event_loss
    };
    lock(&state.events)
        .iter()
        .filter(|event| event.sequence > after && event.at.elapsed() >= lag)
        .filter(|event| !is_lost(event.sequence))
        .map(|published| {
            let (block, stored) = match published.event {
                CacheEvent::Stored(block) => (block, true),
                CacheEvent::Evicted(block) => (block, false),
            };
            CacheEventReport { sequence: published.sequence, block, stored }
        })
        .collect()
}

async fn apply_order(state: &State, order: ControlOrder) -> Response<Body> {
    if !lock(&state.control).accept_epoch(order.epoch) {
        return full_response(StatusCode::CONFLICT, "epoch: older than one seen before");
    }
    if let (ControlAction::LoadModel { .. }, Some(store)) = (&order.action, state.weight_store) {
        let bytes = lock(&state.model).parameters().model_bytes;
        if let Err(cause) = read_weights(store, bytes).await {
            return full_response(StatusCode::BAD_GATEWAY, cause);
        }
    }
    if lock(&state.control).apply(&order) {
        return full_response(StatusCode::OK, "");
    }
    full_response(StatusCode::CONFLICT, "epoch: a newer one arrived while the order was executed")
}

async fn read_weights(store: SocketAddr, bytes: u64) -> Result<(), String> {
    let client = hyper_util::client::legacy::Client::builder(hyper_util::rt::TokioExecutor::new())
        .build_http::<http_body_util::Empty<Bytes>>();
    let uri: http::Uri = format!("http://{store}/weights?bytes={bytes}")
        .parse()
        .map_err(|error: http::uri::InvalidUri| error.to_string())?;
    let response = client.get(uri).await.map_err(|error| error.to_string())?;
    if response.status().is_success() {
        return Ok(());
    }
    Err(format!("weight store: status {}", response.status()))
}

async fn import(state: &State, exported: ExportedBlocks) -> Response<Body> {
    let (stored, duration_us) = lock(&state.model).import(&exported.blocks);
    tokio::time::sleep(Duration::from_micros(duration_us)).await;
    json(StatusCode::OK, &stored)
}
