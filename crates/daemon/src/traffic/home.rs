//! Carries out the effects of the coordinator.

use std::sync::Arc;
use std::time::Duration;

use tokio::runtime::Handle;
use yokefall_core::coordinator::CoordinatorEffect;
use yokefall_peer::{
    CallEvent, ExecuteCall, OnlineCall, OwnerLoad, PeerError, PeerReply, PeerRequest, RecordCopy,
    RecordState, ReplyStream,
};
use yokefall_telemetry::{Event, Level};
use yokefall_types::{NodeName, Outcome, Refusal, RequestId};

use crate::control::DispatchCommand;
use crate::shared::Shared;
use crate::traffic::buffer::Call;
use crate::traffic::{call_peer, not_a_member};

/// Maximum number of attempts to notify a holder of an end, or an owner of a cancellation.
const MAX_NOTIFY_ATTEMPTS: u32 = 4;
const NOTIFY_RETRY_INTERVAL: Duration = Duration::from_millis(150);
/// Maximum time for which an execution of another home daemon is followed, in milliseconds.
const ADOPT_TIMEOUT_MS: u64 = yokefall_types::limits::MAX_CALL_DEADLINE_MS;

/// Carries out one effect on the traffic threads.
pub fn execute_effect(shared: &Arc<Shared>, traffic: &Handle, effect: CoordinatorEffect) {
    let shared = shared.clone();
    match effect {
        CoordinatorEffect::Copy { to, copy, handover: false } => {
            traffic.spawn(copy_record(shared, to, copy));
        }
        CoordinatorEffect::Copy { to, copy, handover: true } => {
            traffic.spawn(hand_over(shared, to, copy.request.clone(), Some(copy)));
        }
        CoordinatorEffect::CopyEnded { request, to } => {
            let copy = shared.calls.get(&request).and_then(|call| ended_copy(&shared, &call));
            traffic.spawn(hand_over(shared, to, request, copy));
        }
        CoordinatorEffect::Execute { request, attempt, owner } => {
            if let Some(call) = shared.calls.get(&request) {
                traffic.spawn(execute(shared, call, attempt, owner));
            }
        }
        CoordinatorEffect::Adopt { request, attempt, state } => {
            if let Some(call) = shared.calls.get(&request) {
                traffic.spawn(adopt(shared, call, attempt, state));
            }
        }
        CoordinatorEffect::CancelExecution { request, owner } => {
            traffic.spawn(async move {
                let peer_request = PeerRequest::CancelExecution { request };
                notify(&shared, &owner, peer_request).await;
            });
        }
        CoordinatorEffect::End { request, outcome, holders } => {
            end(&shared, traffic, &request, outcome, holders);
        }
        CoordinatorEffect::Expire { request } => shared.calls.remove(&request),
    }
}

async fn notify(shared: &Shared, node: &NodeName, request: PeerRequest) {
    for _ in 0..MAX_NOTIFY_ATTEMPTS {
        if call_peer(shared, node, request.clone()).await.is_ok() {
            return;
        }
        tokio::time::sleep(NOTIFY_RETRY_INTERVAL).await;
    }
}

async fn copy_record(shared: Arc<Shared>, to: NodeName, copy: RecordCopy) {
    let request = copy.request.clone();
    let command = match call_peer(&shared, &to, PeerRequest::HoldRecord(copy)).await {
        Ok(PeerReply::RecordHeld(previous)) => {
            DispatchCommand::CopyHeld { request, holder: to, previous }
        }
        answer => {
            let detail = answer.err().map_or_else(|| "unexpected reply".into(), |e| e.to_string());
            Event::new(Level::Warn, "copy record").peer(&to).id(&request).write(detail);
            DispatchCommand::CopyFailed { request, holder: to }
        }
    };
    let _ = shared.dispatch().tell(command).await;
}

async fn execute(shared: Arc<Shared>, call: Arc<Call>, attempt: u32, owner: NodeName) {
    let (base_offset, base_tokens) = call.buffer().length();
    let peer_request = PeerRequest::Execute(ExecuteCall {
        call: OnlineCall { header: call.header().clone(), body: call.body().to_vec() },
        attempt,
        resume_from_token: base_tokens,
    });
    let source = AnswerSource { node: owner, base_offset, base_tokens };
    let opened = open(&shared, &source.node, peer_request).await;
    relay(&shared, &call, attempt, source, opened).await;
}

/// Follows an execution that another home daemon started, or takes over its outcome.
async fn adopt(shared: Arc<Shared>, call: Arc<Call>, attempt: u32, state: RecordState) {
    let request = call.header().request.clone();
    match state {
        RecordState::Answered(answer) => {
            call.buffer().push(0, &answer.body, answer.tokens);
            report_end(&shared, request, attempt, Outcome::Completed, None).await;
        }
        RecordState::Refused(refusal) => {
            report_end(&shared, request, attempt, Outcome::Refused(refusal), None).await;
        }
        RecordState::Running { owner } => {
            let (offset, _) = call.buffer().length();
            let attach = PeerRequest::Attach { request, offset, wait_ms: ADOPT_TIMEOUT_MS };
            let opened = open(&shared, &owner, attach).await;
            let source = AnswerSource { node: owner, base_offset: 0, base_tokens: 0 };
            relay(&shared, &call, attempt, source, opened).await;
        }
    }
}

/// The source of an answer, and the offset of its first byte and token within the whole answer.
struct AnswerSource {
    node: NodeName,
    base_offset: u64,
    base_tokens: u32,
}

async fn open(
    shared: &Shared,
    node: &NodeName,
    request: PeerRequest,
) -> Result<ReplyStream, PeerError> {
    let Some(address) = shared.address_of(node) else { return Err(not_a_member(node)) };
    shared.peers.open(address, request).await
}

/// Copies an answer from an owner into the call's buffer, and reports its outcome.
async fn relay(
    shared: &Shared,
    call: &Call,
    attempt: u32,
    source: AnswerSource,
    opened: Result<ReplyStream, PeerError>,
) {
    let request = call.header().request.clone();
    let mut replies = match opened {
        Ok(replies) => replies,
        Err(error) => return report_lost(shared, request, attempt, &source.node, error).await,
    };
    loop {
        match replies.next().await {
            Ok(PeerReply::Call(CallEvent::Started { backend })) => {
                call.buffer().start(backend);
                let started = DispatchCommand::Started { request: request.clone(), attempt };
                let _ = shared.dispatch().tell(started).await;
            }
            Ok(PeerReply::Call(CallEvent::Chunk { offset, text, tokens_total })) => {
                let tokens = source.base_tokens + tokens_total;
                call.buffer().push(source.base_offset + offset, &text, tokens);
            }
            Ok(PeerReply::Executed { outcome, load }) => {
                return report_end(shared, request, attempt, outcome, Some(load)).await;
            }
            Ok(PeerReply::Call(CallEvent::Ended(outcome))) => {
                return report_end(shared, request, attempt, outcome, None).await;
            }
            Ok(PeerReply::Refused(refusal)) => {
                return report_end(shared, request, attempt, Outcome::Refused(refusal), None).await;
            }
            Ok(_) => {}
            Err(error) => return report_lost(shared, request, attempt, &source.node, error).await,
        }
    }
}

async fn report_end(
    shared: &Shared,
    request: RequestId,
    attempt: u32,
    outcome: Outcome,
    load: Option<OwnerLoad>,
) {
    let command = DispatchCommand::ExecutionEnded { request, attempt, outcome, load };
    let _ = shared.dispatch().tell(command).await;
}

async fn report_lost(
    shared: &Shared,
    request: RequestId,
    attempt: u32,
    owner: &NodeName,
    error: PeerError,
) {
    Event::new(Level::Warn, "execute").peer(owner).id(&request).write(&error);
    let may_have_arrived = !error.proves_not_sent();
    let detail = format!("owner {owner}: {error}");
    let command = DispatchCommand::ExecutionLost { request, attempt, may_have_arrived, detail };
    let _ = shared.dispatch().tell(command).await;
}

async fn hand_over(
    shared: Arc<Shared>,
    to: NodeName,
    request: RequestId,
    copy: Option<RecordCopy>,
) {
    let acknowledged = match copy {
        Some(copy) => {
            let reply = call_peer(&shared, &to, PeerRequest::HoldRecord(copy)).await;
            matches!(reply, Ok(PeerReply::RecordHeld(_)))
        }
        // The record expired in the meantime.
        None => true,
    };
    let command = DispatchCommand::HandedOver { request, holder: to, acknowledged };
    let _ = shared.dispatch().tell(command).await;
}

fn ended_copy(shared: &Shared, call: &Call) -> Option<RecordCopy> {
    let state = match call.buffer().ended()?.0 {
        Outcome::Completed => RecordState::Answered(call.buffer().answer()),
        Outcome::Refused(refusal) => RecordState::Refused(refusal),
    };
    Some(RecordCopy {
        request: call.header().request.clone(),
        home: shared.home.clone(),
        digest: call.digest(),
        repeat: call.header().repeat,
        state,
    })
}

/// Ends the call for its waiting readers, and sends the ended record to the holders of copies.
fn end(
    shared: &Arc<Shared>,
    traffic: &Handle,
    request: &RequestId,
    outcome: Outcome,
    holders: Vec<NodeName>,
) {
    let Some(call) = shared.calls.get(request) else { return };
    call.buffer().end(outcome.clone(), None);
    call.release_body();
    count_end(&outcome);
    let Some(copy) = ended_copy(shared, &call) else { return };
    for holder in holders {
        let (shared, copy) = (shared.clone(), copy.clone());
        traffic.spawn(async move { notify(&shared, &holder, PeerRequest::HoldRecord(copy)).await });
    }
}

fn count_end(outcome: &Outcome) {
    match outcome {
        Outcome::Completed => metrics::counter!("yokefall_requests_completed_total").increment(1),
        Outcome::Refused(Refusal { reason, .. }) => {
            let reason = format!("{reason:?}");
            metrics::counter!("yokefall_requests_refused_total", "reason" => reason).increment(1);
        }
    }
}
