//! Token requests to token issuers. Those that arrive while an answer is pending are batched, so
//! that a gateway has one call in flight to each token issuer regardless of the number of requests.

use std::rc::Rc;
use std::time::Duration;

use tokio::sync::mpsc::{unbounded_channel, UnboundedReceiver};
use tokio::sync::oneshot;
use tokio::time::Instant;
use yokefall_core::Timestamp;
use yokefall_jobstore::{Reply, Request};
use yokefall_quota::{TokenGrant, TokenRequest};

use crate::shared::Shared;

/// Timeout for a token issuer's answer: a round trip between zones, and one pause of a process
/// whose CPU quota is used up (a tenth of a second).
pub(super) const REQUEST_TIMEOUT: Duration = Duration::from_millis(120);
const MAX_BATCHED_REQUESTS: usize = 256;

/// Outcome of a token request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum RequestOutcome {
    Token { requested_at: Timestamp },
    Exhausted { wait_ms: u64 },
    NotHeld,
    None,
}

pub(super) struct QueuedRequest {
    token_request: TokenRequest,
    answer: oneshot::Sender<RequestOutcome>,
}

/// Queues a request for a token issuer and waits for its answer.
pub(super) async fn request_token(
    shared: &Rc<Shared>,
    token_issuer: &str,
    token_request: TokenRequest,
) -> RequestOutcome {
    let (answer, answered) = oneshot::channel();
    let queue = {
        let mut queues = shared.quota.queues.borrow_mut();
        let start = || {
            let (sender, receiver) = unbounded_channel();
            tokio::task::spawn_local(serve_queue(
                shared.clone(),
                token_issuer.to_owned(),
                receiver,
            ));
            sender
        };
        queues.entry(token_issuer.to_owned()).or_insert_with(start).clone()
    };
    if queue.send(QueuedRequest { token_request, answer }).is_err() {
        return RequestOutcome::None;
    }
    answered.await.unwrap_or(RequestOutcome::None)
}

/// Sends the queued requests for one token issuer forever.
async fn serve_queue(
    shared: Rc<Shared>,
    token_issuer: String,
    mut queue: UnboundedReceiver<QueuedRequest>,
) {
    let mut waiting = Vec::new();
    while queue.recv_many(&mut waiting, MAX_BATCHED_REQUESTS).await > 0 {
        let requested_at = shared.quota.now();
        let groups = group(std::mem::take(&mut waiting));
        let token_requests = groups.iter().map(|group| group.token_request.clone()).collect();
        let grants = call(&shared, &token_issuer, token_requests).await;
        {
            let mut selector = shared.quota.selector.borrow_mut();
            match grants {
                Some(_) => selector.mark_reachable(&token_issuer),
                None => selector.mark_unreachable(&token_issuer),
            }
        }
        if grants.is_none() {
            shared.quota.issuer_failed.notify_one();
        }
        let grants = grants.unwrap_or_default();
        let mut grants = grants.into_iter();
        for group in groups {
            group.answer(grants.next(), requested_at);
        }
    }
}

/// Requests for the same part of the same tenant's limit.
struct Group {
    token_request: TokenRequest,
    answers: Vec<oneshot::Sender<RequestOutcome>>,
}

fn group(waiting: Vec<QueuedRequest>) -> Vec<Group> {
    let mut groups: Vec<Group> = Vec::new();
    for QueuedRequest { token_request, answer } in waiting {
        let is_same = |group: &&mut Group| {
            group.token_request.tenant == token_request.tenant
                && group.token_request.part == token_request.part
                && group.token_request.version == token_request.version
        };
        match groups.iter_mut().find(is_same) {
            Some(group) => {
                group.token_request.tokens += token_request.tokens;
                group.answers.push(answer);
            }
            None => groups.push(Group { token_request, answers: vec![answer] }),
        }
    }
    groups
}

impl Group {
    /// Distributes the tokens in order of arrival; that of a caller that no longer waits is lost.
    fn answer(self, grant: Option<TokenGrant>, requested_at: Timestamp) {
        for (number, answer) in (0..).zip(self.answers) {
            let outcome = match grant {
                Some(TokenGrant::Granted { tokens, .. }) if number < tokens => {
                    RequestOutcome::Token { requested_at }
                }
                Some(TokenGrant::Granted { wait_ms, .. }) => RequestOutcome::Exhausted { wait_ms },
                Some(TokenGrant::NotHeld) => RequestOutcome::NotHeld,
                None => RequestOutcome::None,
            };
            let _ = answer.send(outcome);
        }
    }
}

/// Calls a token issuer; `None` if it did not answer in time.
pub(super) async fn call(
    shared: &Shared,
    token_issuer: &str,
    token_requests: Vec<TokenRequest>,
) -> Option<Vec<TokenGrant>> {
    let address = {
        let fleet = shared.fleet.load();
        let member = fleet.job_stores().find(|member| member.name == token_issuer);
        member.map(|member| member.address)
    }?;
    let limit = Instant::now() + REQUEST_TIMEOUT;
    match shared.jobs.call_member(address, Request::TakeTokens(token_requests), limit).await {
        Some(Reply::Tokens(grants)) => Some(grants),
        Some(_) | None => None,
    }
}
