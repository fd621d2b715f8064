//! Asks for tokens on their way to accountants. What comes while an answer is awaited goes together, so that
//! a gateway has one ask on its way to each accountant however many requests arrive.

use std::rc::Rc;
use std::time::Duration;

use tokio::sync::mpsc::{unbounded_channel, UnboundedReceiver};
use tokio::sync::oneshot;
use tokio::time::Instant;
use yokefall_core::Timestamp;
use yokefall_jobstore::{Reply, Request};
use yokefall_quota::{TokenGrant, TokenRequest};

use crate::shared::Shared;

/// Time for an accountant to answer: a round trip between zones, and one pause of a process whose
/// share of a processor is spent (a tenth of a second).
pub(super) const ASK_TIMEOUT: Duration = Duration::from_millis(120);
/// Longest queue of asks drained at once.
const MOST_ASKS: usize = 256;

/// What became of one ask.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Answer {
    Token { asked_at: Timestamp },
    Spent { wait_ms: u64 },
    NotHeld,
    None,
}

/// An ask that waits to be sent.
pub(super) struct Waiting {
    ask: TokenRequest,
    answer: oneshot::Sender<Answer>,
}

/// Queues an ask for an accountant and waits for its answer.
pub(super) async fn ask_accountant(
    shared: &Rc<Shared>,
    token_issuer: &str,
    ask: TokenRequest,
) -> Answer {
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
    if queue.send(Waiting { ask, answer }).is_err() {
        return Answer::None;
    }
    answered.await.unwrap_or(Answer::None)
}

/// Sends what is queued for one accountant, for ever.
async fn serve_queue(
    shared: Rc<Shared>,
    token_issuer: String,
    mut queue: UnboundedReceiver<Waiting>,
) {
    let mut waiting = Vec::new();
    while queue.recv_many(&mut waiting, MOST_ASKS).await > 0 {
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
            shared.quota.failed.notify_one();
        }
        let grants = grants.unwrap_or_default();
        let mut grants = grants.into_iter();
        for group in groups {
            group.answer(grants.next(), asked_at);
        }
    }
}

/// Asks of the same part of the same tenant's limit.
struct Group {
    ask: TokenRequest,
    answers: Vec<oneshot::Sender<Answer>>,
}

fn group(waiting: Vec<Waiting>) -> Vec<Group> {
    let mut groups: Vec<Group> = Vec::new();
    for Waiting { ask, answer } in waiting {
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
    /// Gives the tokens to those who waited first. Whoever does not wait any more loses its token.
    fn answer(self, grant: Option<TokenGrant>, asked_at: Timestamp) {
        for (number, answer) in (0..).zip(self.answers) {
            let told = match grant {
                Some(TokenGrant::Granted { tokens, .. }) if number < tokens => {
                    Answer::Token { asked_at }
                }
                Some(TokenGrant::Granted { wait_ms, .. }) => Answer::Spent { wait_ms },
                Some(TokenGrant::NotHeld) => Answer::NotHeld,
                None => Answer::None,
            };
            let _ = answer.send(told);
        }
    }
}

/// Asks an accountant; `None` where it gave no answer in time.
pub(super) async fn call(
    shared: &Shared,
    token_issuer: &str,
    asks: Vec<TokenRequest>,
) -> Option<Vec<TokenGrant>> {
    let address = {
        let fleet = shared.fleet.load();
        let found = fleet.job_stores().find(|member| member.name == token_issuer);
        found.map(|member| member.address)
    }?;
    let limit = Instant::now() + ASK_TIMEOUT;
    match shared.jobs.call_member(address, Request::TakeTokens(asks), limit).await {
        Some(Reply::Tokens(grants)) => Some(grants),
        Some(_) | None => None,
    }
}
