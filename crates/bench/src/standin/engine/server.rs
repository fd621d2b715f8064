//! The engine's HTTP port, and the loop that lets its iterations take their time.

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
/// Path of fenced orders.
pub const CONTROL_PATH: &str = "/v1/control";
/// Path of KV export: the body is a prompt.
pub const KV_EXPORT_PATH: &str = "/v1/kv/export";
/// Path of KV import: the body is what an export gave.
pub const KV_IMPORT_PATH: &str = "/v1/kv/import";
/// Path under which faults are switched on.
pub const FAULT_PATH: &str = "/fault";

/// Load reports and cache events kept.
const HISTORY: usize = 4_096;
/// Pause of an engine that waits for memory or hangs.
const BLOCKED_PAUSE: Duration = Duration::from_millis(5);

/// An open stream.
struct Stream {
    engine_id: String,
    execution: ExecutionNumber,
    pieces: mpsc::UnboundedSender<Bytes>,
    /// Whether a token was lost: nothing of the answer comes after it.
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
    begun: AtomicU64,
}

#[derive(Clone, Copy)]
struct PublishedEvent {
    sequence: u64,
    at: Instant,
    event: CacheEvent,
}

/// Blocks on their way between engines.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ExportedBlocks {
    /// Blocks of a prompt, from the first on.
    pub blocks: Vec<BlockHash>,
}

/// A running engine.
pub struct EngineStandIn {
    /// The server.
    pub server: Arc<HttpServer>,
    /// What it ran.
    pub ledger: Arc<Ledger>,
    state: Arc<State>,
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl EngineStandIn {
    /// Starts an engine. Without a weight store, models load at once.
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
            begun: AtomicU64::new(0),
        });
        let (fault_sender, mut fault_queue) = mpsc::unbounded_channel();
        let held = state.clone();
        let handler = move |request: Request<Incoming>| {
            let (state, faults) = (held.clone(), fault_sender.clone());
            let future: ResponseFuture = Box::pin(answer(state, faults, request));
            future
        };
        let server = HttpServer::start(address, Arc::new(handler)).await?;
        tokio::spawn(run(state.clone()));
        // Deaths are carried out here: the connection that brought the order dies too.
        let (for_faults, fault_state) = (server.clone(), state.clone());
        tokio::spawn(async move {
            while let Some(fault) = fault_queue.recv().await {
                inject(&for_faults, &fault_state, fault).await;
            }
        });
        Ok(Self { server, ledger, state })
    }

    /// Injects a fault.
    pub async fn inject(&self, fault: EngineFault) {
        inject(&self.server, &self.state, fault).await;
    }

    /// Whether it runs or holds anything.
    pub fn is_busy(&self) -> bool {
        !lock(&self.state.streams).is_empty()
    }

    /// Executions that it began.
    pub fn executions_begun(&self) -> u64 {
        self.state.begun.load(Ordering::Relaxed)
    }

    /// Prompt tokens that were found in the cache, and all prompt tokens.
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

/// Runs iterations for ever.
async fn run(state: Arc<State>) {
    loop {
        let faults = *lock(&state.faults);
        if faults.hang {
            tokio::time::sleep(BLOCKED_PAUSE).await;
            continue;
        }
        let woken = state.wake.notified();
        let (outcome, load, cache_events, idle) = {
            let mut model = lock(&state.model);
            let outcome = model.step();
            (outcome, model.load(), model.take_cache_events(), model.is_idle())
        };
        note(&state, load, cache_events);
        if outcome.duration_us == 0 {
            if idle {
                woken.await;
            } else {
                tokio::time::sleep(BLOCKED_PAUSE).await;
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

fn note(state: &State, load: EngineLoad, cache_events: Vec<CacheEvent>) {
    let now = Instant::now();
    let mut loads = lock(&state.loads);
    loads.push_back((now, load));
    if loads.len() > HISTORY {
        loads.pop_front();
    }
    let mut events = lock(&state.events);
    for event in cache_events {
        let sequence = events.back().map_or(0, |last| last.sequence) + 1;
        events.push_back(PublishedEvent { sequence, at: now, event });
        if events.len() > HISTORY {
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
            // The connection stays open without an end: the answer is lost, not cut.
            let stream = streams.remove(&emitted.number);
            tokio::spawn(async move {
                if let Some(stream) = stream {
                    stream.pieces.closed().await;
                }
            });
            return;
        }
        streams.remove(&emitted.number);
    }
}

fn send_token(stream: &Stream, emitted: Emitted, faults: Faults) {
    if faults.bad_text {
        let _ = stream.pieces.send(Bytes::from_static(b"data: \xff\xfe\n\n"));
        return;
    }
    if faults.bad_json {
        let _ = stream.pieces.send(event_bytes("{\"id\": oops"));
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
    let _ = stream.pieces.send(event_bytes(&data));
    if emitted.last {
        let _ = stream.pieces.send(event_bytes(STREAM_END));
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
            Ok(order) => complete(&state, order),
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
            Ok(order) => carry_out(&state, order).await,
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

fn complete(state: &Arc<State>, order: CompletionRequest) -> Response<Body> {
    if !lock(&state.control).models.contains_key(&order.model) {
        return full_response(
            StatusCode::NOT_FOUND,
            format!("model: {} is not loaded", order.model),
        );
    }
    if order.max_tokens == 0 {
        return full_response(StatusCode::BAD_REQUEST, "max_tokens: must be at least 1");
    }
    let (pieces, receiver) = mpsc::unbounded_channel();
    let sequence = Sequence {
        prompt: order.prompt.into_bytes(),
        max_tokens: order.max_tokens,
        resume_from_token: order.resume_from_token,
        priority: order.priority,
    };
    let whole_already = order.resume_from_token >= order.max_tokens;
    // Both tables are held, so that no token is emitted before its stream is known.
    let mut streams = lock(&state.streams);
    let submitted = if whole_already { Some(0) } else { lock(&state.model).submit(sequence) };
    let Some(number) = submitted else {
        return full_response(StatusCode::TOO_MANY_REQUESTS, "queue is full; nothing was begun");
    };
    let execution = state.ledger.begin(&order.request_id);
    state.begun.fetch_add(1, Ordering::Relaxed);
    if whole_already {
        state.ledger.end(execution, ExecutionEnd::Finished, order.max_tokens);
        let last = CompletionChunk {
            id: order.request_id,
            choices: vec![CompletionChoice {
                text: String::new(),
                tokens: 0,
                finish_reason: Some("length".to_owned()),
            }],
        };
        let data = serde_json::to_string(&last).unwrap_or_default();
        let _ = pieces.send(event_bytes(&data));
        let _ = pieces.send(event_bytes(STREAM_END));
        return streaming(receiver);
    }
    let stream =
        Stream { engine_id: order.request_id, execution, pieces: pieces.clone(), lost: false };
    streams.insert(number, stream);
    drop(streams);
    state.wake.notify_one();
    let watched = state.clone();
    let pieces = pieces.downgrade();
    tokio::spawn(async move {
        if let Some(pieces) = pieces.upgrade() {
            watch_connection(&watched, number, pieces).await;
        }
    });
    streaming(receiver)
}

/// Cancels a sequence whose caller has closed the connection.
async fn watch_connection(
    state: &State,
    number: SequenceNumber,
    pieces: mpsc::UnboundedSender<Bytes>,
) {
    // Held weakly between looks, so that the stream ends when the engine drops its sender.
    let weak = pieces.downgrade();
    drop(pieces);
    loop {
        tokio::time::sleep(BLOCKED_PAUSE * 4).await;
        let Some(pieces) = weak.upgrade() else { return };
        if pieces.is_closed() {
            end_sequence(state, number);
            return;
        }
    }
}

fn end_sequence(state: &State, number: SequenceNumber) -> bool {
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
        Some(number) if end_sequence(state, number) => full_response(StatusCode::OK, ""),
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

async fn carry_out(state: &State, order: ControlOrder) -> Response<Body> {
    if !lock(&state.control).accept_epoch(order.epoch) {
        return full_response(StatusCode::CONFLICT, "epoch: older than one seen before");
    }
    if let (ControlAction::LoadModel { .. }, Some(store)) = (&order.action, state.weight_store) {
        let bytes = lock(&state.model).parameters().model_bytes;
        if let Err(cause) = read_weights(store, bytes).await {
            return full_response(StatusCode::BAD_GATEWAY, cause);
        }
    }
    if lock(&state.control).carry_out(&order) {
        return full_response(StatusCode::OK, "");
    }
    full_response(StatusCode::CONFLICT, "epoch: a newer one came while the order was carried out")
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
