//! Online calls: submission to the home daemon, and recovery when it is lost.

use std::time::{Duration, Instant};

use tokio::sync::mpsc;
use yokefall_core::fleet::record_holders;
use yokefall_peer::{CallEvent, OnlineCall, PeerClient, PeerError, PeerReply, PeerRequest};
use yokefall_telemetry::{Event, Level};
use yokefall_types::{NodeName, Outcome, Refusal, RefusalReason, RepeatPolicy, RequestId};

use crate::members::Members;

/// Daemons that are tried for one call.
const MAX_TRIES: usize = 4;
/// Time that a daemon has, beyond the call's deadline, to tell the end.
const DEADLINE_GRACE: Duration = Duration::from_millis(500);
/// Pause before the next daemon is tried after one was lost in the middle of a call.
const LOST_PAUSE: Duration = Duration::from_millis(50);

/// What a caller is told of a call, in order; the end comes last.
#[derive(Clone, Debug)]
pub enum CallStep {
    /// A piece of the answer.
    Chunk {
        /// Position of the first byte within the whole answer.
        offset: u64,
        /// The bytes.
        text: Vec<u8>,
    },
    /// The end.
    Ended {
        /// How it ended.
        outcome: Outcome,
        /// Bytes of the whole answer.
        length: u64,
        /// Tokens of the whole answer.
        tokens: u32,
    },
}

/// Sees calls through.
#[derive(Clone, Debug)]
pub struct CallClient {
    /// Connections to daemons.
    pub peers: PeerClient,
    /// The fleet.
    pub members: Members,
}

/// How far one call has come.
struct Progress {
    delivered: u64,
    tokens: u32,
    steps: mpsc::UnboundedSender<CallStep>,
}

/// How one try ended.
enum Try {
    Ended(Outcome),
    /// The daemon was lost; whether the call can have reached it.
    Lost(PeerError),
    /// The caller is gone.
    Abandoned,
}

impl CallClient {
    /// Runs a call from an offset on and sends its steps.
    pub async fn run(
        &self,
        mut call: OnlineCall,
        offset: u64,
        steps: mpsc::UnboundedSender<CallStep>,
    ) {
        let begun = Instant::now();
        let whole = Duration::from_millis(call.header.deadline_ms);
        let mut progress = Progress { delivered: offset, tokens: 0, steps };
        let resend = call.header.resend;
        let running = self.run_tries(&mut call, begun, whole, &mut progress);
        let outcome = match tokio::time::timeout(whole + DEADLINE_GRACE, running).await {
            Ok(outcome) => outcome,
            Err(_) => {
                let detail = "no end was told within the deadline";
                let refusal = Refusal::unknown(RefusalReason::DeadlineExceeded, detail);
                Some(Outcome::Refused(refusal))
            }
        };
        if let Some(outcome) = outcome {
            let outcome = if resend { settle_resend(outcome) } else { outcome };
            let (length, tokens) = (progress.delivered, progress.tokens);
            let _ = progress.steps.send(CallStep::Ended { outcome, length, tokens });
        }
    }

    async fn run_tries(
        &self,
        call: &mut OnlineCall,
        begun: Instant,
        whole: Duration,
        progress: &mut Progress,
    ) -> Option<Outcome> {
        let mut tried: Vec<NodeName> = Vec::new();
        let mut reached = false;
        let mut last = None;
        while tried.len() < MAX_TRIES {
            let Some(home) = self.next_home(&call.header.request, &tried) else { break };
            let left = whole.saturating_sub(begun.elapsed());
            call.header.deadline_ms = left.as_millis() as u64;
            tried.push(home.clone());
            let request = next_request(call, progress.delivered, reached);
            match self.try_at(&home, request, progress).await {
                Try::Ended(outcome) => return Some(settle(outcome, reached, progress.delivered)),
                Try::Abandoned => return None,
                Try::Lost(error) => {
                    let id = &call.header.request;
                    Event::new(Level::Warn, "submit call").peer(&home).id(id).write(&error);
                    reached |= !error.proves_not_sent();
                    last = Some(error);
                    tokio::time::sleep(LOST_PAUSE).await;
                }
            }
        }
        let detail = last.map_or_else(|| "no daemon is known".to_owned(), |e| e.to_string());
        let refusal = if reached {
            Refusal::unknown(RefusalReason::Unreachable, detail)
        } else {
            Refusal::not_run(RefusalReason::Unreachable, detail).retry_after(1_000)
        };
        Some(Outcome::Refused(refusal))
    }

    /// The first holder of the request's record that was not tried yet.
    fn next_home(&self, request: &RequestId, tried: &[NodeName]) -> Option<NodeName> {
        let members = self.members.load();
        record_holders(request, &members).into_iter().find(|node| !tried.contains(node))
    }

    async fn try_at(&self, home: &NodeName, request: PeerRequest, progress: &mut Progress) -> Try {
        let Some(address) = self.members.address_of(home) else {
            return Try::Ended(Outcome::Refused(Refusal::not_run(
                RefusalReason::Unreachable,
                format!("{home} has no address"),
            )));
        };
        let mut replies = match self.peers.open(address, request).await {
            Ok(replies) => replies,
            Err(error) => return Try::Lost(error),
        };
        loop {
            match replies.next().await {
                Ok(PeerReply::Call(CallEvent::Chunk { offset, text, tokens_total })) => {
                    if !progress.deliver(offset, text, tokens_total) {
                        return Try::Abandoned;
                    }
                }
                Ok(PeerReply::Call(CallEvent::Ended(outcome))) => return Try::Ended(outcome),
                Ok(PeerReply::Refused(refusal)) => {
                    return Try::Ended(Outcome::Refused(refusal));
                }
                Ok(_) => {}
                Err(error) => return Try::Lost(error),
            }
        }
    }

    /// Waits for the end of an earlier request and sends its steps.
    pub async fn attach(
        &self,
        request: RequestId,
        wait_ms: u64,
        steps: mpsc::UnboundedSender<CallStep>,
    ) {
        let mut progress = Progress { delivered: 0, tokens: 0, steps };
        let mut tried: Vec<NodeName> = Vec::new();
        let detail = format!("no daemon that was asked holds a record of {request}");
        let mut outcome = Outcome::Refused(Refusal::unknown(RefusalReason::NotFound, detail));
        while tried.len() < MAX_TRIES {
            let Some(holder) = self.next_home(&request, &tried) else { break };
            tried.push(holder.clone());
            let offset = progress.delivered;
            let attach = PeerRequest::Attach { request: request.clone(), offset, wait_ms };
            match self.try_at(&holder, attach, &mut progress).await {
                Try::Ended(Outcome::Refused(refusal))
                    if refusal.reason == RefusalReason::NotFound => {}
                Try::Ended(ended) => {
                    outcome = ended;
                    break;
                }
                Try::Abandoned => return,
                Try::Lost(error) => {
                    let detail = error.to_string();
                    outcome =
                        Outcome::Refused(Refusal::unknown(RefusalReason::Unreachable, detail));
                }
            }
        }
        let (length, tokens) = (progress.delivered, progress.tokens);
        let _ = progress.steps.send(CallStep::Ended { outcome, length, tokens });
    }

    /// Cancels a request wherever its record is held. Returns whether it had not ended.
    pub async fn cancel(&self, request: RequestId) -> Result<bool, PeerError> {
        let members = self.members.load();
        let mut failure = None;
        for holder in record_holders(&request, &members).into_iter().take(2) {
            let Some(address) = self.members.address_of(&holder) else { continue };
            let order = PeerRequest::CancelCall { request: request.clone() };
            match self.peers.call(address, order, Duration::from_secs(2)).await {
                Ok(PeerReply::Cancelled(true)) => return Ok(true),
                Ok(_) => {}
                Err(error) => failure = Some(error),
            }
        }
        failure.map_or(Ok(false), Err)
    }
}

/// What the next daemon is asked. Once a daemon that may have run the call was lost, a no-repeat
/// call is only followed, and so is one of which the caller holds a part: a new execution could
/// give another answer.
fn next_request(call: &OnlineCall, delivered: u64, reached: bool) -> PeerRequest {
    let repeatable = call.header.repeat == RepeatPolicy::Allowed && delivered == 0;
    if !reached || repeatable {
        return PeerRequest::Submit { call: call.clone(), offset: delivered };
    }
    let wait_ms = call.header.deadline_ms;
    PeerRequest::Attach { request: call.header.request.clone(), offset: delivered, wait_ms }
}

/// An end told after an earlier daemon was lost: "not run" then only speaks of the later try.
fn settle(outcome: Outcome, reached: bool, delivered: u64) -> Outcome {
    match outcome {
        Outcome::Refused(mut refusal) if reached && refusal.executed == Some(false) => {
            refusal.executed = if delivered > 0 { Some(true) } else { None };
            Outcome::Refused(refusal)
        }
        outcome => outcome,
    }
}

/// An end of a resend: "not run" then only speaks of this call, not of the earlier one.
fn settle_resend(outcome: Outcome) -> Outcome {
    match outcome {
        Outcome::Refused(refusal) if refusal.executed == Some(false) => {
            Outcome::Refused(Refusal { executed: None, ..refusal })
        }
        outcome => outcome,
    }
}

impl Progress {
    /// Passes on the part of a piece that was not delivered yet. Returns `false` when the caller
    /// is gone.
    fn deliver(&mut self, offset: u64, mut text: Vec<u8>, tokens_total: u32) -> bool {
        let known = self.delivered.saturating_sub(offset) as usize;
        if offset > self.delivered || known >= text.len() {
            return true;
        }
        text.drain(..known);
        let start = self.delivered;
        self.delivered += text.len() as u64;
        self.tokens = tokens_total;
        self.steps.send(CallStep::Chunk { offset: start, text }).is_ok()
    }
}
