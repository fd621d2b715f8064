//! Online calls: submission to the home daemon, which keeps the record, and failover on its loss.

use std::time::{Duration, Instant};

use tokio::sync::mpsc;
use yokefall_core::fleet::record_holders;
use yokefall_peer::{CallEvent, OnlineCall, PeerClient, PeerError, PeerReply, PeerRequest};
use yokefall_telemetry::{Event, Level};
use yokefall_types::{NodeName, Outcome, Refusal, RefusalReason, RepeatPolicy, RequestId};

use crate::members::Members;

/// Maximum number of daemons tried for one call.
const MAX_ATTEMPTS: usize = 4;
/// Additional time after the call's deadline for a daemon to report the outcome.
const DEADLINE_GRACE: Duration = Duration::from_millis(500);
/// Delay before the next daemon is tried after the connection to one was lost during a call.
const RETRY_BACKOFF: Duration = Duration::from_millis(50);

/// An event of a call as sent to its caller, in order. `Ended` is the last one.
#[derive(Clone, Debug)]
pub enum CallerEvent {
    Chunk {
        /// Position of the first byte within the whole answer.
        offset: u64,
        text: Vec<u8>,
    },
    Ended {
        outcome: Outcome,
        /// Length of the whole answer, in bytes.
        length: u64,
        tokens: u32,
    },
}

/// Runs online calls against the daemons, with failover.
#[derive(Clone, Debug)]
pub struct CallClient {
    /// Connections to daemons.
    pub peers: PeerClient,
    /// Current members of the fleet.
    pub members: Members,
}

/// Part of the answer already delivered to the caller.
struct CallProgress {
    delivered: u64,
    tokens: u32,
    events: mpsc::UnboundedSender<CallerEvent>,
}

enum Attempt {
    Ended(Outcome),
    /// The connection to the daemon failed; the error tells whether the call may have reached it.
    Lost(PeerError),
    CallerGone,
}

impl CallClient {
    /// Runs a call and sends its events, with the answer starting at byte `offset`.
    pub async fn run(
        &self,
        mut call: OnlineCall,
        offset: u64,
        events: mpsc::UnboundedSender<CallerEvent>,
    ) {
        let started_at = Instant::now();
        let deadline = Duration::from_millis(call.header.deadline_ms);
        let mut progress = CallProgress { delivered: offset, tokens: 0, events };
        let resend = call.header.resend;
        let running = self.run_attempts(&mut call, started_at, deadline, &mut progress);
        let outcome = match tokio::time::timeout(deadline + DEADLINE_GRACE, running).await {
            Ok(outcome) => outcome,
            Err(_) => {
                let detail = "no end was told within the deadline";
                let refusal = Refusal::unknown(RefusalReason::DeadlineExceeded, detail);
                Some(Outcome::Refused(refusal))
            }
        };
        if let Some(outcome) = outcome {
            let outcome = if resend { adjust_outcome_of_resend(outcome) } else { outcome };
            let (length, tokens) = (progress.delivered, progress.tokens);
            let _ = progress.events.send(CallerEvent::Ended { outcome, length, tokens });
        }
    }

    async fn run_attempts(
        &self,
        call: &mut OnlineCall,
        started_at: Instant,
        deadline: Duration,
        progress: &mut CallProgress,
    ) -> Option<Outcome> {
        let mut tried: Vec<NodeName> = Vec::new();
        let mut may_have_run = false;
        let mut last_error = None;
        while tried.len() < MAX_ATTEMPTS {
            let Some(home) = self.next_holder(&call.header.request, &tried) else { break };
            let remaining = deadline.saturating_sub(started_at.elapsed());
            call.header.deadline_ms = remaining.as_millis() as u64;
            tried.push(home.clone());
            let request = next_request(call, progress.delivered, may_have_run);
            match self.attempt_at(&home, request, progress).await {
                Attempt::Ended(outcome) => {
                    return Some(adjust_outcome_after_loss(
                        outcome,
                        may_have_run,
                        progress.delivered,
                    ))
                }
                Attempt::CallerGone => return None,
                Attempt::Lost(error) => {
                    let id = &call.header.request;
                    Event::new(Level::Warn, "submit call").peer(&home).id(id).write(&error);
                    may_have_run |= !error.proves_not_sent();
                    last_error = Some(error);
                    tokio::time::sleep(RETRY_BACKOFF).await;
                }
            }
        }
        let detail = last_error.map_or_else(|| "no daemon is known".to_owned(), |e| e.to_string());
        let refusal = if may_have_run {
            Refusal::unknown(RefusalReason::Unreachable, detail)
        } else {
            Refusal::not_run(RefusalReason::Unreachable, detail).retry_after(1_000)
        };
        Some(Outcome::Refused(refusal))
    }

    /// The first daemon responsible for the request's record that has not been tried yet.
    fn next_holder(&self, request: &RequestId, tried: &[NodeName]) -> Option<NodeName> {
        let members = self.members.load();
        record_holders(request, &members).into_iter().find(|node| !tried.contains(node))
    }

    async fn attempt_at(
        &self,
        home: &NodeName,
        request: PeerRequest,
        progress: &mut CallProgress,
    ) -> Attempt {
        let Some(address) = self.members.address_of(home) else {
            return Attempt::Ended(Outcome::Refused(Refusal::not_run(
                RefusalReason::Unreachable,
                format!("{home} has no address"),
            )));
        };
        let mut replies = match self.peers.open(address, request).await {
            Ok(replies) => replies,
            Err(error) => return Attempt::Lost(error),
        };
        loop {
            match replies.next().await {
                Ok(PeerReply::Call(CallEvent::Chunk { offset, text, tokens_total })) => {
                    if !progress.deliver(offset, text, tokens_total) {
                        return Attempt::CallerGone;
                    }
                }
                Ok(PeerReply::Call(CallEvent::Ended(outcome))) => return Attempt::Ended(outcome),
                Ok(PeerReply::Refused(refusal)) => {
                    return Attempt::Ended(Outcome::Refused(refusal));
                }
                Ok(_) => {}
                Err(error) => return Attempt::Lost(error),
            }
        }
    }

    /// Follows an earlier request until it ends and sends its events.
    pub async fn attach(
        &self,
        request: RequestId,
        wait_ms: u64,
        events: mpsc::UnboundedSender<CallerEvent>,
    ) {
        let mut progress = CallProgress { delivered: 0, tokens: 0, events };
        let mut tried: Vec<NodeName> = Vec::new();
        let detail = format!("no daemon that was asked holds a record of {request}");
        let mut outcome = Outcome::Refused(Refusal::unknown(RefusalReason::NotFound, detail));
        while tried.len() < MAX_ATTEMPTS {
            let Some(holder) = self.next_holder(&request, &tried) else { break };
            tried.push(holder.clone());
            let offset = progress.delivered;
            let attach = PeerRequest::Attach { request: request.clone(), offset, wait_ms };
            match self.attempt_at(&holder, attach, &mut progress).await {
                Attempt::Ended(Outcome::Refused(refusal))
                    if refusal.reason == RefusalReason::NotFound => {}
                Attempt::Ended(ended) => {
                    outcome = ended;
                    break;
                }
                Attempt::CallerGone => return,
                Attempt::Lost(error) => {
                    let detail = error.to_string();
                    outcome =
                        Outcome::Refused(Refusal::unknown(RefusalReason::Unreachable, detail));
                }
            }
        }
        let (length, tokens) = (progress.delivered, progress.tokens);
        let _ = progress.events.send(CallerEvent::Ended { outcome, length, tokens });
    }

    /// Cancels a request at the daemons that hold its record. Returns whether it was still running.
    pub async fn cancel(&self, request: RequestId) -> Result<bool, PeerError> {
        let members = self.members.load();
        let mut failure = None;
        for holder in record_holders(&request, &members).into_iter().take(2) {
            let Some(address) = self.members.address_of(&holder) else { continue };
            let cancel = PeerRequest::CancelCall { request: request.clone() };
            match self.peers.call(address, cancel, Duration::from_secs(2)).await {
                Ok(PeerReply::Cancelled(true)) => return Ok(true),
                Ok(_) => {}
                Err(error) => failure = Some(error),
            }
        }
        failure.map_or(Ok(false), Err)
    }
}

/// The request to send to the next daemon. Once a daemon that may have run the call is lost, the
/// agent attaches to the call instead of submitting it again if the call must not be repeated, or
/// if the caller already has part of the answer: a new execution could produce a different answer.
fn next_request(call: &OnlineCall, delivered: u64, may_have_run: bool) -> PeerRequest {
    let repeatable = call.header.repeat == RepeatPolicy::Allowed && delivered == 0;
    if !may_have_run || repeatable {
        return PeerRequest::Submit { call: call.clone(), offset: delivered };
    }
    let wait_ms = call.header.deadline_ms;
    PeerRequest::Attach { request: call.header.request.clone(), offset: delivered, wait_ms }
}

/// Adjusts an outcome after the loss of a daemon: "not run" applies only to the later attempt.
fn adjust_outcome_after_loss(outcome: Outcome, may_have_run: bool, delivered: u64) -> Outcome {
    match outcome {
        Outcome::Refused(mut refusal) if may_have_run && refusal.executed == Some(false) => {
            refusal.executed = if delivered > 0 { Some(true) } else { None };
            Outcome::Refused(refusal)
        }
        outcome => outcome,
    }
}

/// Adjusts the outcome of a resent call: "not run" does not apply to the earlier call.
fn adjust_outcome_of_resend(outcome: Outcome) -> Outcome {
    match outcome {
        Outcome::Refused(refusal) if refusal.executed == Some(false) => {
            Outcome::Refused(Refusal { executed: None, ..refusal })
        }
        outcome => outcome,
    }
}

impl CallProgress {
    /// Sends the undelivered part of a chunk. Returns `false` when the caller has gone.
    fn deliver(&mut self, offset: u64, mut text: Vec<u8>, tokens_total: u32) -> bool {
        let already_delivered = self.delivered.saturating_sub(offset) as usize;
        if offset > self.delivered || already_delivered >= text.len() {
            return true;
        }
        text.drain(..already_delivered);
        let start = self.delivered;
        self.delivered += text.len() as u64;
        self.tokens = tokens_total;
        self.events.send(CallerEvent::Chunk { offset: start, text }).is_ok()
    }
}
