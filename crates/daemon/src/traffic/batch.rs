//! Carries out the effects of the batch runner.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use tokio::runtime::Handle;
use tokio_util::sync::CancellationToken;
use yokefall_backend::schema::ENGINE_PRIORITY_BATCH;
use yokefall_backend::{BackendError, CompletionEvent, CompletionRequest};
use yokefall_core::admission::Ticket;
use yokefall_core::batch::{BatchEffect, ItemEnd};
use yokefall_peer::{CompletedItem, LeasedItem, LeasedItemRef, PeerReply, PeerRequest};
use yokefall_telemetry::{Event, Level};
use yokefall_types::limits::MAX_ANSWER_BYTES;
use yokefall_types::{NodeName, ServiceId, ServiceKind};

use crate::control::DispatchCommand;
use crate::shared::Shared;
use crate::traffic::call_peer;
use crate::traffic::execution::{cancel_at_backend, service_spec};

/// Maximum number of attempts to deliver start mark requests and returned items.
const MAX_ATTEMPTS: u32 = 20;
const RETRY_INTERVAL: Duration = Duration::from_millis(200);

/// Carries out one effect on the traffic threads.
pub fn execute_effect(shared: &Arc<Shared>, traffic: &Handle, effect: BatchEffect) {
    let shared = shared.clone();
    match effect {
        BatchEffect::Lease { store, service, max_items } => {
            traffic.spawn(lease(shared, store, service, max_items));
        }
        BatchEffect::StartItems { store, items } => {
            traffic.spawn(start_items(shared, store, items));
        }
        BatchEffect::Run { ticket, item, address } => {
            let stop = shared.items.insert(ticket);
            traffic.spawn(run(shared, ticket, item, address, stop));
        }
        BatchEffect::Stop { ticket } => shared.items.stop(ticket),
        BatchEffect::Extend { store, items } => {
            traffic.spawn(extend(shared, store, items));
        }
        BatchEffect::Return { store, items } => {
            traffic.spawn(async move {
                call_until_answered(&shared, &store, PeerRequest::ReturnItems(items)).await;
            });
        }
        BatchEffect::Report { ticket, store, completed } => {
            traffic.spawn(report(shared, ticket, store, completed));
        }
    }
}

async fn call_until_answered(
    shared: &Shared,
    store: &NodeName,
    request: PeerRequest,
) -> Option<PeerReply> {
    for _ in 0..MAX_ATTEMPTS {
        match call_peer(shared, store, request.clone()).await {
            Ok(PeerReply::Refused(_)) | Err(_) => tokio::time::sleep(RETRY_INTERVAL).await,
            Ok(reply) => return Some(reply),
        }
    }
    None
}

async fn lease(shared: Arc<Shared>, store: NodeName, service: ServiceId, max_items: u32) {
    let holder = shared.node.clone();
    metrics::counter!("yokefall_lease_requests_total").increment(1);
    let request = PeerRequest::LeaseItems { service: service.clone(), max_items, holder };
    let items = match call_peer(&shared, &store, request).await {
        Ok(PeerReply::Leased(items)) => Some(items),
        _ => None,
    };
    let _ = shared.dispatch().tell(DispatchCommand::Leased { store, service, items }).await;
}

async fn start_items(shared: Arc<Shared>, store: NodeName, requested: Vec<LeasedItemRef>) {
    let request = PeerRequest::StartItems(requested.clone());
    let granted = match call_until_answered(&shared, &store, request).await {
        Some(PeerReply::Granted(granted)) => granted,
        _ => Vec::new(),
    };
    let _ = shared.dispatch().tell(DispatchCommand::StartAnswered { requested, granted }).await;
}

async fn extend(shared: Arc<Shared>, store: NodeName, requested: Vec<LeasedItemRef>) {
    let request = PeerRequest::ExtendLeases(requested.clone());
    if let Ok(PeerReply::Granted(granted)) = call_peer(&shared, &store, request).await {
        let _ = shared.dispatch().tell(DispatchCommand::Extended { requested, granted }).await;
    }
}

async fn report(shared: Arc<Shared>, ticket: Ticket, store: NodeName, completed: CompletedItem) {
    let request = PeerRequest::CompleteItems(vec![completed]);
    if let Ok(PeerReply::Done) = call_peer(&shared, &store, request).await {
        let _ = shared.dispatch().tell(DispatchCommand::Reported { ticket }).await;
    }
}

async fn run(
    shared: Arc<Shared>,
    ticket: Ticket,
    item: LeasedItem,
    address: String,
    stop: CancellationToken,
) {
    let engine_id = engine_item_id(&item);
    let deadline = Duration::from_millis(item.deadline_ms);
    let end = tokio::select! {
        end = run_on(&shared, &item, &engine_id, &address) => end,
        () = stop.cancelled() => ItemEnd::Stopped,
        () = tokio::time::sleep(deadline) => ItemEnd::Stopped,
    };
    match &end {
        ItemEnd::Stopped => cancel_at_backend(&shared, &address, engine_id).await,
        ItemEnd::Failed(detail) | ItemEnd::NotSent(detail) => {
            Event::new(Level::Warn, "run item").peer(&address).id(&item.item.job).write(detail);
        }
        ItemEnd::Completed(_) | ItemEnd::Rejected(_) => {}
    }
    shared.items.remove(ticket);
    let _ = shared.dispatch().tell(DispatchCommand::ItemEnded { ticket, end }).await;
}

fn engine_item_id(item: &LeasedItem) -> String {
    let reference = &item.item;
    let token = reference.token;
    format!("{}/{}#{}.{}", reference.job, reference.index, token.epoch, token.attempt)
}

async fn run_on(shared: &Shared, item: &LeasedItem, engine_id: &str, address: &str) -> ItemEnd {
    let Some(spec) = service_spec(shared, &item.service) else {
        return ItemEnd::NotSent(format!("service {} is no longer declared", item.service));
    };
    let answer = match spec.kind {
        ServiceKind::Plain => {
            let body = Bytes::from(item.body.clone());
            shared.backends.call_plain(address, engine_id, item.item.token.attempt, body).await
        }
        ServiceKind::Model => match std::str::from_utf8(&item.body) {
            Ok(prompt) => complete(shared, item, engine_id, address, prompt, spec.model).await,
            Err(error) => return ItemEnd::Rejected(format!("item body: {error}")),
        },
    };
    match answer {
        Ok(body) => ItemEnd::Completed(body),
        Err(error) if error.is_rejection() => ItemEnd::Rejected(error.to_string()),
        Err(error) if error.proves_not_run() => ItemEnd::NotSent(error.to_string()),
        Err(error) => ItemEnd::Failed(error.to_string()),
    }
}

async fn complete(
    shared: &Shared,
    item: &LeasedItem,
    engine_id: &str,
    address: &str,
    prompt: &str,
    model: String,
) -> Result<Vec<u8>, BackendError> {
    let request = CompletionRequest {
        request_id: engine_id.to_owned(),
        attempt: item.item.token.attempt,
        model,
        prompt: prompt.to_owned(),
        max_tokens: item.max_tokens,
        resume_from_token: 0,
        priority: ENGINE_PRIORITY_BATCH,
        stream: true,
    };
    let mut stream = shared.backends.complete(address, &request).await?;
    let mut answer = Vec::new();
    loop {
        match stream.next().await? {
            CompletionEvent::Finished => return Ok(answer),
            CompletionEvent::Text { text, .. } => {
                answer.extend_from_slice(text.as_bytes());
                answer.truncate(MAX_ANSWER_BYTES);
            }
        }
    }
}
