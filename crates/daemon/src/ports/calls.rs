//! Requests for online calls, handled as home daemon, owner or holder of a copy.

use std::sync::Arc;
use std::time::Duration;

use yokefall_core::coordinator::Submission;
use yokefall_core::execution::{joins, HeldExecution};
use yokefall_peer::{
    CallEvent, ExecuteCall, OnlineCall, PeerReply, PeerRequest, RecordState, Responder,
};
use yokefall_types::{NodeName, Outcome, Refusal, RefusalReason, RequestId};

use crate::control::DispatchCommand;
use crate::ports::peers::ask_dispatch;
use crate::shared::Shared;
use crate::traffic::buffer::Call;
use crate::traffic::execution::retain;

/// Runs or joins a call at its home daemon and streams its answer.
pub async fn submit(shared: &Shared, call: OnlineCall, offset: u64, responder: &Responder) {
    let request = call.header.request.clone();
    let call = Call::at_home(call);
    let submitted = ask_dispatch(shared, |reply| DispatchCommand::Submit { call, reply }).await;
    match submitted {
        Some(Submission::Accepted | Submission::Joined) => match shared.calls.get(&request) {
            Some(call) => send_answer(&call, offset, responder).await,
            None => refuse(responder, unknown("the record was just forgotten")),
        },
        Some(Submission::Refused(refusal)) => refuse(responder, refusal),
        None => refuse(responder, unknown("control has ended")),
    }
}

fn unknown(detail: &str) -> Refusal {
    Refusal::unknown(RefusalReason::Stopping, detail)
}

fn refuse(responder: &Responder, refusal: Refusal) {
    responder.send(PeerReply::Call(CallEvent::Ended(Outcome::Refused(refusal))));
}

async fn send_answer(call: &Call, offset: u64, responder: &Responder) {
    call.buffer().follow(offset, |event| responder.send(PeerReply::Call(event))).await;
}

/// Streams the answer of a call that this daemon knows as home, owner or holder of a copy.
pub async fn attach(
    shared: &Shared,
    request: RequestId,
    offset: u64,
    wait_ms: u64,
    responder: &Responder,
) {
    let following = follow(shared, &request, offset, wait_ms, responder);
    if tokio::time::timeout(Duration::from_millis(wait_ms), following).await.is_err() {
        let detail = "the request has not ended";
        refuse(responder, Refusal::unknown(RefusalReason::DeadlineExceeded, detail));
    }
}

async fn follow(
    shared: &Shared,
    request: &RequestId,
    offset: u64,
    wait_ms: u64,
    responder: &Responder,
) {
    if let Some(call) = shared.calls.get(request) {
        return send_answer(&call, offset, responder).await;
    }
    // An execution that resumes an earlier one has only the later part of the answer.
    let execution = shared.executions.get(request).filter(|call| call.resume_from_token() == 0);
    if let Some(call) = execution {
        return send_answer(&call, offset, responder).await;
    }
    let copy =
        ask_dispatch(shared, |reply| DispatchCommand::CopyOf { request: request.clone(), reply });
    match copy.await.flatten().map(|copy| copy.state) {
        Some(RecordState::Answered(answer)) => {
            let text = answer.body.get(offset as usize..).unwrap_or_default().to_vec();
            let tokens_total = answer.tokens;
            responder.send(PeerReply::Call(CallEvent::Chunk { offset, text, tokens_total }));
            responder.send(PeerReply::Call(CallEvent::Ended(Outcome::Completed)));
        }
        Some(RecordState::Refused(refusal)) => refuse(responder, refusal),
        Some(RecordState::Running { owner }) if owner != shared.node => {
            let peer_request = PeerRequest::Attach { request: request.clone(), offset, wait_ms };
            forward(shared, &owner, peer_request, responder).await;
        }
        _ => {
            let detail = format!("{} holds no record of {request}", shared.node);
            refuse(responder, Refusal::unknown(RefusalReason::NotFound, detail));
        }
    }
}

async fn forward(
    shared: &Shared,
    node: &NodeName,
    peer_request: PeerRequest,
    responder: &Responder,
) {
    let lost = |detail: String| Refusal::unknown(RefusalReason::Unreachable, detail);
    let Some(address) = shared.address_of(node) else {
        return refuse(responder, lost(format!("{node}, which ran it, is not a live member")));
    };
    let mut replies = match shared.peers.open(address, peer_request).await {
        Ok(replies) => replies,
        Err(error) => return refuse(responder, lost(error.to_string())),
    };
    loop {
        match replies.next().await {
            Ok(reply) => {
                let last = reply.is_last();
                if !responder.send(reply) || last {
                    return;
                }
            }
            Err(error) => return refuse(responder, lost(error.to_string())),
        }
    }
}

/// Runs a call on an owned back end for a home daemon, or joins it, and streams its answer.
pub async fn execute(
    shared: &Arc<Shared>,
    home: &NodeName,
    execute_call: ExecuteCall,
    responder: &Responder,
) {
    let held = shared.executions.get(&execute_call.call.header.request);
    let repeat = execute_call.call.header.repeat;
    let call = match held {
        Some(held)
            if joins(
                &held_execution(&held),
                repeat,
                execute_call.attempt,
                execute_call.resume_from_token,
            ) =>
        {
            held
        }
        held => {
            if let Some(earlier) = held {
                earlier.stop();
            }
            begin_execution(shared, home, execute_call).await
        }
    };
    send_execution(&call, responder).await;
}

fn held_execution(call: &Call) -> HeldExecution {
    HeldExecution {
        attempt: call.attempt(),
        resume_from_token: call.resume_from_token(),
        ended: call.buffer().ended().map(|(outcome, _)| outcome),
    }
}

async fn begin_execution(
    shared: &Arc<Shared>,
    home: &NodeName,
    execute_call: ExecuteCall,
) -> Arc<Call> {
    let call =
        Call::execution(execute_call.call, execute_call.attempt, execute_call.resume_from_token);
    shared.executions.replace(call.clone());
    let execution = call.clone();
    let arrived = shared.dispatch().tell(DispatchCommand::Arrive { execution }).await;
    if arrived.is_err() {
        let detail = format!("{} is stopping, asked by {home}", shared.node);
        let refusal = Refusal::not_run(RefusalReason::Stopping, detail);
        call.buffer().end(Outcome::Refused(refusal), None);
    }
    tokio::spawn(retain(shared.clone(), call.clone()));
    call
}

async fn send_execution(call: &Call, responder: &Responder) {
    let emit = |event| match event {
        CallEvent::Ended(_) => true,
        event => responder.send(PeerReply::Call(event)),
    };
    call.buffer().follow(0, emit).await;
    if let Some((outcome, load)) = call.buffer().ended() {
        responder.send(PeerReply::Executed { outcome, load: load.unwrap_or_default() });
    }
}
