//! Back ends of the soak: they answer calls, stream the output of items, and note what ran.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, HeaderValue, Request, Response, StatusCode};
use hyper::body::Incoming;
use tokio::sync::mpsc;
use tokio::time::Instant;
use xxhash_rust::xxh3::xxh3_64;

use yokefall_bench::standin::http::{read_body, streaming, whole, Body, Handler, HttpServer};

/// Time that a call takes, and an event of an item.
const CALL_TIME: Duration = Duration::from_millis(15);
const EVENT_TIME: Duration = Duration::from_millis(10);
/// Path under which items run.
pub const ITEM_PATH: &str = "/work/run/";

/// What ran at any back end.
#[derive(Debug, Default)]
pub struct Ledger {
    runs: Mutex<HashMap<String, Vec<Instant>>>,
}

impl Ledger {
    fn note(&self, id: &str) {
        let mut runs = self.runs.lock().unwrap_or_else(PoisonError::into_inner);
        runs.entry(id.to_owned()).or_default().push(Instant::now());
    }

    /// When a call or an item began to run, each time.
    pub fn runs_of(&self, id: &str) -> Vec<Instant> {
        let runs = self.runs.lock().unwrap_or_else(PoisonError::into_inner);
        runs.get(id).cloned().unwrap_or_default()
    }

    /// Runs of all.
    pub fn runs(&self) -> usize {
        let runs = self.runs.lock().unwrap_or_else(PoisonError::into_inner);
        runs.values().map(Vec::len).sum()
    }
}

/// Events that an item gives.
pub fn events_of(item: &str) -> u64 {
    10 + xxh3_64(item.as_bytes()) % 60
}

/// Whole output of an item.
pub fn text_of(item: &str) -> String {
    let piece = |event| format!("{item} piece {event}");
    (1..=events_of(item)).map(piece).collect::<Vec<String>>().join("\n")
}

/// Whole answer to a call.
pub fn answer_to(id: &str) -> String {
    format!("answer to {id}")
}

/// Starts a back end with an id.
pub async fn start(id: String, ledger: Arc<Ledger>) -> Result<Arc<HttpServer>, String> {
    let handler: Handler = Arc::new(move |request| {
        let (id, ledger) = (id.clone(), ledger.clone());
        Box::pin(async move { answer(&id, &ledger, request).await })
    });
    let any_port = SocketAddr::from(([127, 0, 0, 1], 0));
    HttpServer::start(any_port, handler).await.map_err(|error| format!("start a back end: {error}"))
}

fn text<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name).and_then(|value| value.to_str().ok())
}

async fn answer(own_id: &str, ledger: &Ledger, request: Request<Incoming>) -> Response<Body> {
    let headers = request.headers().clone();
    let path = request.uri().path().to_owned();
    let Some(id) = text(&headers, "yokefall-request").map(str::to_owned) else {
        return whole(StatusCode::OK, "healthy");
    };
    if text(&headers, "yokefall-backend").is_some_and(|expected| expected != own_id) {
        let mut refusal = whole(StatusCode::MISDIRECTED_REQUEST, "another back end");
        refusal.headers_mut().insert("yokefall-not-run", HeaderValue::from_static("1"));
        return refusal;
    }
    if read_body(request).await.is_err() {
        return whole(StatusCode::BAD_REQUEST, "no whole body");
    }
    ledger.note(&id);
    if path.starts_with(ITEM_PATH) {
        let after = text(&headers, "last-event-id").and_then(|last| last.parse().ok());
        return stream(id, after.unwrap_or(0));
    }
    tokio::time::sleep(CALL_TIME).await;
    whole(StatusCode::OK, answer_to(&id))
}

/// Streams the events of an item that follow on one.
fn stream(item: String, after: u64) -> Response<Body> {
    let (pieces, queued) = mpsc::unbounded_channel();
    tokio::spawn(async move {
        for event in after + 1..=events_of(&item) {
            let piece = format!("id: {event}\ndata: {item} piece {event}\n\n");
            // Whoever has left wants no more of it.
            if pieces.send(Bytes::from(piece)).is_err() {
                return;
            }
            tokio::time::sleep(EVENT_TIME).await;
        }
    });
    let mut response = streaming(queued);
    let kind = HeaderValue::from_static("text/event-stream");
    response.headers_mut().insert(http::header::CONTENT_TYPE, kind);
    response
}
