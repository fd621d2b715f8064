//! The plain-service stand-in (tile and turn servers): request and response.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::Duration;

use http::{Method, Request, Response, StatusCode};
use hyper::body::Incoming;
use tokio::sync::Semaphore;
use yokefall_backend::schema::{PLAIN_CALL_PATH, REQUEST_ID_HEADER};

use super::http::{full_response, json, read_body, Body, HttpServer, ResponseFuture};
use crate::ledger::{ExecutionEnd, ExecutionNumber, Ledger};
use crate::text::plain_answer;

/// Path under which the ledger is read.
pub const LEDGER_PATH: &str = "/ledger";

/// A running plain service.
pub struct PlainStandIn {
    /// The server.
    pub server: Arc<HttpServer>,
    /// What it ran.
    pub ledger: Arc<Ledger>,
    /// When set, calls are run and their answers lost.
    pub lose_answers: Arc<AtomicBool>,
}

struct State {
    ledger: Arc<Ledger>,
    lose_answers: Arc<AtomicBool>,
    slots: Semaphore,
    service_time: Duration,
}

impl PlainStandIn {
    /// Serves calls, `slots` at once, each in `service_time`.
    pub async fn start(
        address: SocketAddr,
        slots: usize,
        service_time: Duration,
        ledger: Arc<Ledger>,
    ) -> std::io::Result<Self> {
        let lose_answers = Arc::new(AtomicBool::new(false));
        let state = Arc::new(State {
            ledger: ledger.clone(),
            lose_answers: lose_answers.clone(),
            slots: Semaphore::new(slots),
            service_time,
        });
        let handler = move |request: Request<Incoming>| {
            let state = state.clone();
            let future: ResponseFuture = Box::pin(answer(state, request));
            future
        };
        let server = HttpServer::start(address, Arc::new(handler)).await?;
        Ok(Self { server, ledger, lose_answers })
    }
}

/// Writes down an execution as cancelled unless it was finished.
struct Running<'a> {
    ledger: &'a Ledger,
    number: ExecutionNumber,
}

impl Drop for Running<'_> {
    fn drop(&mut self) {
        self.ledger.end(self.number, ExecutionEnd::Cancelled, 0);
    }
}

async fn answer(state: Arc<State>, request: Request<Incoming>) -> Response<Body> {
    match (request.method(), request.uri().path()) {
        (&Method::GET, LEDGER_PATH) => json(StatusCode::OK, &state.ledger.entries()),
        (&Method::POST, PLAIN_CALL_PATH) => call(&state, request).await,
        _ => full_response(StatusCode::NOT_FOUND, "not found"),
    }
}

async fn call(state: &State, request: Request<Incoming>) -> Response<Body> {
    let header = request.headers().get(REQUEST_ID_HEADER);
    let Some(id) = header.and_then(|value| value.to_str().ok()).map(str::to_owned) else {
        return full_response(StatusCode::BAD_REQUEST, "x-request-id: missing");
    };
    let body = match read_body(request).await {
        Ok(body) => body,
        Err(response) => return *response,
    };
    let running = Running { ledger: &state.ledger, number: state.ledger.begin(&id) };
    let Ok(_slot) = state.slots.acquire().await else {
        return full_response(StatusCode::SERVICE_UNAVAILABLE, "closed");
    };
    tokio::time::sleep(state.service_time).await;
    state.ledger.end(running.number, ExecutionEnd::Finished, 0);
    if state.lose_answers.load(Ordering::Relaxed) {
        std::future::pending::<()>().await;
    }
    full_response(StatusCode::OK, plain_answer(&id, &body))
}
