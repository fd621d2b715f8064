//! Tokens of tenants' limits: a request of a limited tenant is sent only with one. Whom to ask is
//! decided by `yokefall_quota::IssuerSelector`; asks of the same moment travel together.

pub mod asks;
pub mod assignment;
pub mod relays;

use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use tokio::sync::mpsc::UnboundedSender;
use tokio::sync::Notify;
use tokio::time::Instant;
use yokefall_clock::ElapsedClock;
use yokefall_core::Timestamp;
use yokefall_quota::{
    Assignment, IssuerSelector, NextStep, Part, PartRefusal, QuotaBounds, TokenRequest,
};
use yokefall_serving::{Caller, RateLimit, Route, TenantName};

use self::asks::{ask_accountant, Answer, Waiting};
use self::relays::take_by_relay;
use crate::shared::Shared;

/// Part of its target for which a request waits until an accountant is known: what is refused within a
/// quarter of its target can be served elsewhere in time.
const PATIENCE_SHARE: f64 = 0.2;
/// When a caller may come back where no gateway can check limits: after a loss of all processes the job
/// stores have a leader 1.2 s after their start. Spread, so that callers do not come together.
const COLD_RETRY: Duration = Duration::from_millis(800);
const COLD_RETRY_SPREAD: f64 = 1.5;

/// The right to send one request of a tenant, for a while.
#[derive(Clone, Copy, Debug)]
pub struct Token {
    expires_at: Timestamp,
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

/// Limits as this gateway knows them.
pub struct Quota {
    meter: RefCell<IssuerSelector>,
    queues: RefCell<HashMap<String, UnboundedSender<Waiting>>>,
    /// Woken when another assignment is wanted.
    refresh: Notify,
    /// Woken when an accountant gave no answer.
    failed: Notify,
    /// Woken when accountants are known that were not, or answer again.
    found: Notify,
    lifetime: Duration,
    clock: ElapsedClock,
}

impl Quota {
    /// Knows nothing yet.
    pub fn new(gateway: String, bounds: QuotaBounds, clock: ElapsedClock) -> Self {
        Self {
            meter: RefCell::new(IssuerSelector::new(gateway)),
            queues: RefCell::default(),
            refresh: Notify::new(),
            failed: Notify::new(),
            found: Notify::new(),
            lifetime: bounds.token_lifetime(),
            clock,
        }
    }

    /// The moment from which a token lives that is asked for now.
    pub fn now(&self) -> Timestamp {
        self.clock.now()
    }

    /// A token that was asked for at a moment.
    pub fn token(&self, asked_at: Timestamp) -> Token {
        Token { expires_at: asked_at + self.lifetime }
    }

    /// Whether a token may still be spent: its accountant counts it for its lifetime, also where this
    /// machine is suspended meanwhile.
    pub fn is_valid(&self, token: Token) -> bool {
        self.now() < token.expires_at
    }

    /// What is known of each part of a tenant's limit, for a line.
    pub fn describe(&self, tenant: &TenantName) -> String {
        self.meter.borrow().describe(self.now(), tenant)
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

impl<'a> Wanted<'a> {
    /// What a request of a caller on a route needs; `None` where no limit holds for it.
    pub fn of(caller: &'a Caller, route: &Route, version: u64) -> Option<Self> {
        let tenant = caller.tenant()?;
        let target = Duration::from_millis(route.target_latency_ms);
        Some(Self { tenant: &tenant.name, limit: tenant.limit?, version, target })
    }

    fn ask(&self, part: Part) -> TokenRequest {
        let tenant = self.tenant.clone();
        TokenRequest { tenant, part, limit: self.limit, version: self.version, tokens: 1 }
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
    let mut refused: Vec<PartRefusal> = Vec::new();
    loop {
        let step = quota.meter.borrow().next_step(quota.now(), wanted.tenant, &refused);
        let (part, token_issuer) = match step {
            NextStep::Ask { part, token_issuer } => (part, token_issuer),
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
        let wait_ms = match ask_accountant(shared, &token_issuer, wanted.ask(part)).await {
            Answer::Token { asked_at } => return Ok(quota.token(asked_at)),
            Answer::Spent { wait_ms } => {
                quota.meter.borrow_mut().mark_exhausted(quota.now(), wanted.tenant, part, wait_ms);
                Some(wait_ms)
            }
            Answer::NotHeld | Answer::None => {
                quota.refresh.notify_one();
                None
            }
        };
        refused.push(PartRefusal { part, wait_ms });
    }
}
