//! Requests for tokens to accountants. Asks that arrive while an answer is pending are batched, so
//! that a gateway has one call in flight to each accountant regardless of the number of requests.

use std::rc::Rc;
use std::time::Duration;

use tokio::sync::mpsc::{unbounded_channel, UnboundedReceiver};
use tokio::sync::oneshot;
use tokio::time::Instant;
use yokefall_core::Timestamp;
use yokefall_jobstore::{Reply, Request};
use yokefall_quota::{TokenGrant, TokenRequest};

use crate::shared::Shared;

/// Timeout for an accountant's answer: a round trip between zones, and one pause of a process whose
/// CPU quota is used up (a tenth of a second).
pub(super) const ASK_TIMEOUT: Duration = Duration::from_millis(120);
/// Maximum number of asks sent in one call.
const MAX_BATCHED_ASKS: usize = 256;

/// Outcome of an ask.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum AskOutcome {
    Token { asked_at: Timestamp },
    Spent { wait_ms: u64 },
    NotHeld,
    None,
}

/// An ask that waits to be sent.
pub(super) struct QueuedAsk {
    ask: TokenRequest,
    answer: oneshot::Sender<AskOutcome>,
}

/// Queues an ask for an accountant and waits for its answer.
pub(super) async fn ask_accountant(
    shared: &Rc<Shared>,
    token_issuer: &str,
    ask: TokenRequest,
) -> AskOutcome {
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
    if queue.send(QueuedAsk { ask, answer }).is_err() {
        return AskOutcome::None;
    }
    answered.await.unwrap_or(AskOutcome::None)
}

/// Sends the queued asks for one accountant forever.
async fn serve_queue(
    shared: Rc<Shared>,
    token_issuer: String,
    mut queue: UnboundedReceiver<QueuedAsk>,
) {
    let mut waiting = Vec::new();
    while queue.recv_many(&mut waiting, MAX_BATCHED_ASKS).await > 0 {
        let asked_at = shared.quota.now();
        let groups = group(std::mem::take(&mut waiting));
        let asks = groups.iter().map(|group| group.ask.clone()).collect();
        let grants = call(&shared, &token_issuer, asks).await;
        {
            let mut meter = shared.quota.meter.borrow_mut();
            match grants {
                Some(_) => meter.mark_reachable(&token_issuer),
                None => meter.mark_unreachable(&token_issuer),
            }
        }
        if grants.is_none() {
            shared.quota.accountant_failed.notify_one();
        }
        let grants = grants.unwrap_or_default();
        let mut grants = grants.into_iter();
        for group in groups {
            group.answer(grants.next(), asked_at);
        }
    }
}

/// Asks for the same part of the same tenant's limit.
struct Group {
    ask: TokenRequest,
    answers: Vec<oneshot::Sender<AskOutcome>>,
}

fn group(waiting: Vec<QueuedAsk>) -> Vec<Group> {
    let mut groups: Vec<Group> = Vec::new();
    for QueuedAsk { ask, answer } in waiting {
        let is_same = |group: &&mut Group| {
            group.ask.tenant == ask.tenant
                && group.ask.part == ask.part
                && group.ask.version == ask.version
        };
        match groups.iter_mut().find(is_same) {
            Some(group) => {
                group.ask.tokens += ask.tokens;
                group.answers.push(answer);
            }
            None => groups.push(Group { ask, answers: vec![answer] }),
        }
    }
    groups
}

impl Group {
    /// Distributes the tokens in order of arrival. The token of a caller that no longer waits is
    /// lost.
    fn answer(self, grant: Option<TokenGrant>, asked_at: Timestamp) {
        for (number, answer) in (0..).zip(self.answers) {
            let outcome = match grant {
                Some(TokenGrant::Granted { tokens, .. }) if number < tokens => {
                    AskOutcome::Token { asked_at }
                }
                Some(TokenGrant::Granted { wait_ms, .. }) => AskOutcome::Spent { wait_ms },
                Some(TokenGrant::NotHeld) => AskOutcome::NotHeld,
                None => AskOutcome::None,
            };
            let _ = answer.send(outcome);
        }
    }
}

/// Calls an accountant; `None` if it did not answer in time.
pub(super) async fn call(
    shared: &Shared,
    token_issuer: &str,
    asks: Vec<TokenRequest>,
) -> Option<Vec<TokenGrant>> {
    let address = {
        let fleet = shared.fleet.load();
        let accountant_found = fleet.job_stores().find(|member| member.name == token_issuer);
        accountant_found.map(|member| member.address)
    }?;
    let limit = Instant::now() + ASK_TIMEOUT;
    match shared.jobs.call_member(address, Request::TakeTokens(asks), limit).await {
        Some(Reply::Tokens(grants)) => Some(grants),
        Some(_) | None => None,
    }
}
