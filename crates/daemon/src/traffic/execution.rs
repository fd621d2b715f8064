//! Execution of an online call at a back end.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use tokio::sync::oneshot;
use yokefall_backend::schema::ENGINE_PRIORITY_ONLINE;
use yokefall_backend::{BackendError, BackendStep, CompletionEvent, CompletionRequest};
use yokefall_core::admission::Ticket;
use yokefall_telemetry::{Event, Level};
use yokefall_types::limits::MAX_ANSWER_BYTES;
use yokefall_types::{
    BackendId, Outcome, Refusal, RefusalReason, ServiceId, ServiceKind, ServiceSpec,
};

use crate::control::DispatchCommand;
use crate::shared::Shared;
use crate::traffic::buffer::Call;

/// Retention period of ended executions, during which peers can still attach to them.
const EXECUTION_RETENTION: Duration = Duration::from_secs(60);

/// Runs a call on a back end and completes its buffer.
pub async fn run(
    shared: Arc<Shared>,
    call: Arc<Call>,
    ticket: Ticket,
    backend: BackendId,
    address: String,
) {
    let deadline = Duration::from_millis(call.header().deadline_ms);
    let ended = tokio::select! {
        ended = run_on(&shared, &call, &backend, &address) => ended,
        () = call.stopped() => Err(End::Stopped(RefusalReason::Cancelled)),
        () = tokio::time::sleep(deadline) => Err(End::Stopped(RefusalReason::DeadlineExceeded)),
    };
    let (outcome, failed) = match ended {
        Ok(()) => (Outcome::Completed, false),
        Err(End::Failed(error)) => {
            let request = &call.header().request;
            Event::new(Level::Warn, "run call").peer(&backend).id(request).write(&error);
            (Outcome::Refused(refusal_of(&call, &error)), !error.is_rejection())
        }
        Err(End::Stopped(reason)) => {
            cancel_at_backend(&shared, &address, engine_request_id(&call)).await;
            let detail = format!("stopped at back end {backend}");
            let refusal = Refusal { reason, executed: Some(true), retry_after_ms: None, detail };
            (Outcome::Refused(refusal), false)
        }
    };
    let (reply, load) = oneshot::channel();
    let command = DispatchCommand::OnlineEnded { ticket, failed, reply };
    let _ = shared.dispatch().tell(command).await;
    call.buffer().end(outcome, load.await.ok());
}

enum End {
    Failed(BackendError),
    Stopped(RefusalReason),
}

impl From<BackendError> for End {
    fn from(error: BackendError) -> Self {
        End::Failed(error)
    }
}

async fn run_on(
    shared: &Shared,
    call: &Call,
    backend: &BackendId,
    address: &str,
) -> Result<(), End> {
    let service = call.header().service_id();
    match service_spec(shared, &service) {
        Some(spec) if spec.kind == ServiceKind::Plain => {
            let body = Bytes::from(call.body().to_vec());
            let id = call.header().request.to_string();
            let answer = shared.backends.call_plain(address, &id, call.attempt(), body).await?;
            call.buffer().start(backend.clone());
            call.buffer().push(0, &answer, 0);
            Ok(())
        }
        Some(spec) => run_model(shared, call, backend, address, spec.model).await,
        None => {
            let cause = format!("service {service} is no longer declared");
            let peer = address.to_owned();
            Err(End::Failed(BackendError { step: BackendStep::Connect, peer, cause }))
        }
    }
}

async fn run_model(
    shared: &Shared,
    call: &Call,
    backend: &BackendId,
    address: &str,
    model: String,
) -> Result<(), End> {
    let request = CompletionRequest {
        request_id: engine_request_id(call),
        attempt: call.attempt(),
        model,
        prompt: String::from_utf8_lossy(&call.body()).into_owned(),
        max_tokens: call.header().max_tokens,
        resume_from_token: call.resume_from_token(),
        priority: ENGINE_PRIORITY_ONLINE,
        stream: true,
    };
    let mut stream = shared.backends.complete(address, &request).await?;
    // The successful response proves that the engine has accepted the call.
    call.buffer().start(backend.clone());
    loop {
        match stream.next().await? {
            CompletionEvent::Finished => return Ok(()),
            CompletionEvent::Text { text, tokens } => {
                let (offset, before) = call.buffer().length();
                if offset as usize + text.len() > MAX_ANSWER_BYTES {
                    return Err(End::Failed(BackendError {
                        step: BackendStep::TooLarge,
                        peer: address.to_owned(),
                        cause: format!("answer above {MAX_ANSWER_BYTES} bytes"),
                    }));
                }
                call.buffer().push(offset, text.as_bytes(), before + tokens);
            }
        }
    }
}

pub fn service_spec(shared: &Shared, service: &ServiceId) -> Option<ServiceSpec> {
    shared.view.load().services.get(service).map(|view| view.spec.clone())
}

/// Engine request id, distinct per attempt so that a cancellation never affects another one.
fn engine_request_id(call: &Call) -> String {
    format!("{}#{}", call.header().request, call.attempt())
}

/// Cancels a request at an engine. If this fails, the engine stops it when the connection closes.
pub async fn cancel_at_backend(shared: &Shared, address: &str, request_id: String) {
    if let Err(error) = shared.backends.cancel(address, &request_id).await {
        Event::new(Level::Warn, "cancel at back end").peer(address).id(request_id).write(error);
    }
}

fn refusal_of(call: &Call, error: &BackendError) -> Refusal {
    let executed = match (call.buffer().is_started(), error.proves_not_run()) {
        (true, _) => Some(true),
        (false, true) => Some(false),
        (false, false) => None,
    };
    let reason = if error.is_rejection() {
        RefusalReason::InvalidArgument
    } else {
        RefusalReason::BackendFailed
    };
    Refusal { reason, executed, retry_after_ms: None, detail: error.to_string() }
}

/// Keeps an execution attachable for `EXECUTION_RETENTION` after its end, then removes it.
pub async fn retain(shared: Arc<Shared>, call: Arc<Call>) {
    call.buffer().follow(0, |_| true).await;
    call.release_body();
    tokio::time::sleep(EXECUTION_RETENTION).await;
    shared.executions.remove_same(&call);
}
