//! Tokens of tenants' limits: a request of a limited tenant is sent only with one. Whom to ask is
//! decided by `yokefall_quota::Meter`; asks of the same moment travel together.

use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use tokio::sync::mpsc::{unbounded_channel, UnboundedReceiver, UnboundedSender};
use tokio::sync::{oneshot, Notify};
use tokio::time::Instant;
use yokefall_core::Timestamp;
use yokefall_jobstore::{CallOutcome, Reply, Request};
use yokefall_quota::{
    Assignment, Meter, NextStep, Part, QuotaBounds, Refused, TokenAsk, TokenGrant, PARTS,
};
use yokefall_serving::{RateLimit, TenantName};

use crate::shared::Shared;

/// Time for an accountant to answer: a round trip between zones, and one pause of a process whose
/// share of a processor is spent (a tenth of a second).
const ASK_TIMEOUT: Duration = Duration::from_millis(120);
/// Interval at which accountants that gave no answer are tried again.
const PROBE_INTERVAL: Duration = Duration::from_millis(700);
/// Time for the leader to tell who the accountants are.
const ASSIGNMENT_TIMEOUT: Duration = Duration::from_millis(600);
/// Interval at which that is asked for without a reason.
const ASSIGNMENT_INTERVAL: Duration = Duration::from_secs(30);
/// Shortest interval between two such questions of a process that knows an answer.
const REFRESH_INTERVAL: Duration = Duration::from_millis(200);
/// Interval at which a process that has just started looks whether it knows a configuration.
const START_INTERVAL: Duration = Duration::from_millis(50);
/// Part of its target for which a request waits until an accountant is known: what is refused within a
/// quarter of its target can be served elsewhere in time.
const PATIENCE_SHARE: f64 = 0.2;
/// When a caller may come back where no gateway can check limits: after a loss of all processes the job
/// stores have a leader 1.2 s after their start. Spread, so that callers do not come together.
const COLD_RETRY: Duration = Duration::from_millis(800);
const COLD_RETRY_SPREAD: f64 = 1.5;
/// Other gateways that are asked to pass an ask on where no accountant can be reached.
const RELAYS: usize = 2;
/// Longest queue of asks drained at once.
const MOST_ASKS: usize = 256;

/// The right to send one request of a tenant, for a while.
#[derive(Clone, Copy, Debug)]
pub struct Token {
    expires_at: Instant,
}

impl Token {
    /// Whether it may still be spent.
    pub fn is_valid(self) -> bool {
        Instant::now() < self.expires_at
    }
}

/// Why there is no token.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NoToken {
    /// The tenant has sent as many requests as it may.
    OverLimit {
        /// When there may be a token again.
        wait: Duration,
    },
    /// No accountant could be asked in time.
    Unknown {
        /// When the caller may come back: at once, to another gateway, where others may reach one.
        wait: Duration,
    },
}

/// What became of one ask.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Answer {
    Token { asked_at: Instant },
    Spent { wait_ms: u64 },
    NotHeld,
    None,
}

/// An ask that waits to be sent.
struct Waiting {
    ask: TokenAsk,
    answer: oneshot::Sender<Answer>,
}

/// Limits as this gateway knows them.
pub struct Quota {
    meter: RefCell<Meter>,
    queues: RefCell<HashMap<String, UnboundedSender<Waiting>>>,
    /// Woken when another assignment is wanted.
    refresh: Notify,
    /// Woken when accountants are known that were not, or answer again.
    found: Notify,
    lifetime: Duration,
    origin: Instant,
}

impl Quota {
    /// Knows nothing yet.
    pub fn new(gateway: String, bounds: QuotaBounds) -> Self {
        Self {
            meter: RefCell::new(Meter::new(gateway)),
            queues: RefCell::default(),
            refresh: Notify::new(),
            found: Notify::new(),
            lifetime: bounds.token_lifetime(),
            origin: Instant::now(),
        }
    }

    fn now(&self) -> Timestamp {
        Timestamp(self.origin.elapsed().as_millis() as u64)
    }

    fn token(&self, asked_at: Instant) -> Token {
        Token { expires_at: asked_at + self.lifetime }
    }

    /// Who the accountants are, for another gateway.
    pub fn assignment(&self) -> Assignment {
        self.meter.borrow().assignment().clone()
    }
}

/// A token that is wanted.
#[derive(Clone, Copy, Debug)]
pub struct Wanted<'a> {
    /// Who sends the request.
    pub tenant: &'a TenantName,
    /// The tenant's limit.
    pub limit: RateLimit,
    /// Version of the configuration that gave the limit.
    pub version: u64,
    /// Target for latency of the request's route.
    pub target: Duration,
}

impl Wanted<'_> {
    fn ask(&self, part: Part) -> TokenAsk {
        let tenant = self.tenant.clone();
        TokenAsk { tenant, part, limit: self.limit, version: self.version, tokens: 1 }
    }
}

/// Takes a token for a request of a limited tenant. Where no accountant is known, as after a start of
/// all processes, it waits a little.
pub async fn take(shared: &Rc<Shared>, wanted: Wanted<'_>) -> Result<Token, NoToken> {
    let until = Instant::now() + wanted.target.mul_f64(PATIENCE_SHARE);
    loop {
        let found = shared.quota.found.notified();
        let taken = try_take(shared, wanted).await;
        let is_unknown = matches!(taken, Err(NoToken::Unknown { .. }));
        if !is_unknown || tokio::time::timeout_at(until, found).await.is_err() {
            return taken;
        }
    }
}

async fn try_take(shared: &Rc<Shared>, wanted: Wanted<'_>) -> Result<Token, NoToken> {
    let quota = &shared.quota;
    let mut refused: Vec<Refused> = Vec::new();
    loop {
        let step = quota.meter.borrow().next(quota.now(), wanted.tenant, &refused);
        let (part, accountant) = match step {
            NextStep::Ask { part, accountant } => (part, accountant),
            NextStep::OverLimit { wait_ms } => {
                return Err(NoToken::OverLimit { wait: Duration::from_millis(wait_ms) });
            }
            NextStep::Unknown => {
                quota.refresh.notify_one();
                if quota.meter.borrow().assignment().version == 0 {
                    let spread = rand::random_range(1.0..COLD_RETRY_SPREAD);
                    return Err(NoToken::Unknown { wait: COLD_RETRY.mul_f64(spread) });
                }
                return take_by_relay(shared, wanted).await;
            }
        };
        let wait_ms = match ask_accountant(shared, &accountant, wanted.ask(part)).await {
            Answer::Token { asked_at } => return Ok(quota.token(asked_at)),
            Answer::Spent { wait_ms } => {
                quota.meter.borrow_mut().spent(quota.now(), wanted.tenant, part, wait_ms);
                Some(wait_ms)
            }
            Answer::NotHeld | Answer::None => {
                quota.refresh.notify_one();
                None
            }
        };
        refused.push(Refused { part, wait_ms });
    }
}

/// Queues an ask for an accountant and waits for its answer.
async fn ask_accountant(shared: &Rc<Shared>, accountant: &str, ask: TokenAsk) -> Answer {
    let (answer, answered) = oneshot::channel();
    let queue = {
        let mut queues = shared.quota.queues.borrow_mut();
        let start = || {
            let (sender, receiver) = unbounded_channel();
            tokio::task::spawn_local(serve_queue(shared.clone(), accountant.to_owned(), receiver));
            sender
        };
        queues.entry(accountant.to_owned()).or_insert_with(start).clone()
    };
    if queue.send(Waiting { ask, answer }).is_err() {
        return Answer::None;
    }
    answered.await.unwrap_or(Answer::None)
}

/// Sends what is queued for one accountant, for ever. What comes while an answer is awaited goes
/// together, so that a gateway has one ask on its way however many requests arrive.
async fn serve_queue(
    shared: Rc<Shared>,
    accountant: String,
    mut queue: UnboundedReceiver<Waiting>,
) {
    let mut waiting = Vec::new();
    while queue.recv_many(&mut waiting, MOST_ASKS).await > 0 {
        let asked_at = Instant::now();
        let groups = group(std::mem::take(&mut waiting));
        let asks = groups.iter().map(|group| group.ask.clone()).collect();
        let grants = call(&shared, &accountant, asks).await;
        {
            let mut meter = shared.quota.meter.borrow_mut();
            match grants {
                Some(_) => meter.answered(&accountant),
                None => meter.failed(&accountant),
            }
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
    ask: TokenAsk,
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
    fn answer(self, grant: Option<TokenGrant>, asked_at: Instant) {
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
async fn call(shared: &Shared, accountant: &str, asks: Vec<TokenAsk>) -> Option<Vec<TokenGrant>> {
    let address = {
        let fleet = shared.fleet.load();
        let found = fleet.job_stores().find(|member| member.name == accountant);
        found.map(|member| member.address)
    }?;
    let limit = Instant::now() + ASK_TIMEOUT;
    match shared.jobs.call_member(address, Request::TakeTokens(asks), limit).await {
        Some(Reply::Tokens(grants)) => Some(grants),
        Some(_) | None => None,
    }
}

/// Asks other gateways to pass an ask on: this one may be cut off from the job stores alone.
async fn take_by_relay(shared: &Rc<Shared>, wanted: Wanted<'_>) -> Result<Token, NoToken> {
    for address in relays(shared) {
        let mut shortest_wait: Option<u64> = None;
        for part in (0..PARTS).map(Part) {
            let asked_at = Instant::now();
            let asks = vec![wanted.ask(part)];
            let deadline = asked_at + ASK_TIMEOUT;
            let reply = shared.jobs.call_member(address, Request::TakeTokens(asks), deadline).await;
            let grant = match reply {
                Some(Reply::Tokens(grants)) => grants.first().copied(),
                Some(_) | None => break,
            };
            match grant {
                Some(TokenGrant::Granted { tokens, .. }) if tokens > 0 => {
                    return Ok(shared.quota.token(asked_at));
                }
                Some(TokenGrant::Granted { wait_ms, .. }) => {
                    shortest_wait = Some(shortest_wait.map_or(wait_ms, |held| held.min(wait_ms)));
                }
                Some(TokenGrant::NotHeld) | None => {}
            }
        }
        if let Some(wait_ms) = shortest_wait {
            return Err(NoToken::OverLimit { wait: Duration::from_millis(wait_ms) });
        }
    }
    Err(NoToken::Unknown { wait: Duration::ZERO })
}

/// Addresses of some other gateways, drawn anew each time.
fn relays(shared: &Shared) -> Vec<std::net::SocketAddr> {
    let fleet = shared.fleet.load();
    let others: Vec<std::net::SocketAddr> = fleet
        .gateways()
        .map(|member| member.address)
        .filter(|address| *address != shared.peer)
        .collect();
    let drawn = rand::seq::index::sample(&mut rand::rng(), others.len(), RELAYS.min(others.len()));
    drawn.into_iter().map(|index| others[index]).collect()
}

/// Grants tokens to another gateway, which cannot reach the accountants itself.
pub async fn relay(shared: &Rc<Shared>, asks: Vec<TokenAsk>) -> Vec<TokenGrant> {
    let mut grants = Vec::with_capacity(asks.len());
    for ask in asks {
        let accountant = shared.quota.meter.borrow().accountant(&ask.tenant, ask.part);
        let answer = match accountant {
            Some(accountant) => ask_accountant(shared, &accountant, ask).await,
            None => Answer::NotHeld,
        };
        grants.push(match answer {
            Answer::Token { .. } => TokenGrant::Granted { tokens: 1, wait_ms: 0 },
            Answer::Spent { wait_ms } => TokenGrant::Granted { tokens: 0, wait_ms },
            Answer::NotHeld | Answer::None => TokenGrant::NotHeld,
        });
    }
    grants
}

/// Keeps the assignment current and tries accountants that gave no answer, for ever.
pub async fn maintain(shared: Rc<Shared>) {
    loop {
        match has_limits(&shared) {
            None => tokio::time::sleep(START_INTERVAL).await,
            Some(false) => tokio::time::sleep(PROBE_INTERVAL).await,
            Some(true) => maintain_once(&shared).await,
        }
    }
}

async fn maintain_once(shared: &Shared) {
    if refresh(shared).await {
        shared.quota.found.notify_waiters();
    }
    let now = shared.quota.now();
    shared.quota.meter.borrow_mut().forget(now);
    if shared.quota.meter.borrow().assignment().version == 0 {
        tokio::time::sleep(START_INTERVAL).await;
        return;
    }
    tokio::time::sleep(REFRESH_INTERVAL).await;
    let wanted = shared.quota.refresh.notified();
    tokio::pin!(wanted);
    let rested = tokio::time::sleep(ASSIGNMENT_INTERVAL);
    tokio::pin!(rested);
    loop {
        let probing = !shared.quota.meter.borrow().failing().is_empty();
        tokio::select! {
            () = &mut wanted => return,
            () = &mut rested => return,
            () = tokio::time::sleep(PROBE_INTERVAL), if probing => probe(shared).await,
        }
    }
}

/// Whether any tenant has a limit; `None` where no configuration is known.
fn has_limits(shared: &Shared) -> Option<bool> {
    let catalog = shared.catalog.load();
    catalog.configuration.as_ref().map(|configuration| configuration.has_limits())
}

/// Asks who the accountants are; returns whether somebody told it.
async fn refresh(shared: &Shared) -> bool {
    let deadline = Instant::now() + ASSIGNMENT_TIMEOUT;
    if let CallOutcome::Answered(Reply::Accountants(assignment)) =
        shared.jobs.call(Request::Accountants, deadline).await
    {
        shared.quota.meter.borrow_mut().set_assignment(assignment);
        return true;
    }
    for address in relays(shared) {
        let limit = Instant::now() + ASK_TIMEOUT;
        let reply = shared.jobs.call_member(address, Request::Accountants, limit).await;
        if let Some(Reply::Accountants(assignment)) = reply {
            shared.quota.meter.borrow_mut().set_assignment(assignment);
            return true;
        }
    }
    false
}

/// Tries accountants that gave no answer: an ask for nothing.
async fn probe(shared: &Shared) {
    let failing = shared.quota.meter.borrow().failing();
    for accountant in failing {
        if call(shared, &accountant, Vec::new()).await.is_some() {
            shared.quota.meter.borrow_mut().answered(&accountant);
            shared.quota.found.notify_waiters();
        }
    }
}
