//! Tokens of tenants' rate limits: a request of a limited tenant is sent only with a token.
//! `yokefall_quota::IssuerSelector` decides which accountant to ask; concurrent asks are batched.

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

use self::asks::{ask_accountant, AskOutcome, QueuedAsk};
use self::relays::take_by_relay;
use crate::shared::Shared;

/// Fraction of its latency target for which a request waits until an accountant is known: a request
/// rejected within a quarter of its target can be served elsewhere in time.
const ACCOUNTANT_WAIT_FRACTION: f64 = 0.2;
/// Retry delay while no gateway can check limits: when all processes have been lost, the job stores
/// elect a leader 1.2 s after their start. Randomized, so that callers do not return together.
const NO_ACCOUNTANT_RETRY_AFTER: Duration = Duration::from_millis(800);
const NO_ACCOUNTANT_RETRY_SPREAD: f64 = 1.5;

/// Permission to send one request of a tenant, valid for a limited time.
#[derive(Clone, Copy, Debug)]
pub struct Token {
    expires_at: Timestamp,
}

/// Why no token is available.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TokenError {
    /// The tenant has used up its limit.
    OverLimit {
        /// When a token may be available again.
        wait: Duration,
    },
    /// No accountant could be asked in time.
    Unknown {
        /// Retry delay: zero where other gateways may reach an accountant.
        wait: Duration,
    },
}

/// Rate limits as known by this gateway.
pub struct Quota {
    meter: RefCell<IssuerSelector>,
    queues: RefCell<HashMap<String, UnboundedSender<QueuedAsk>>>,
    /// Notified when the assignment should be fetched again.
    refresh: Notify,
    /// Notified when an accountant did not answer.
    accountant_failed: Notify,
    /// Notified when accountants become known or answer again.
    accountant_found: Notify,
    lifetime: Duration,
    clock: ElapsedClock,
}

impl Quota {
    /// Starts without any assignment.
    pub fn new(gateway: String, bounds: QuotaBounds, clock: ElapsedClock) -> Self {
        Self {
            meter: RefCell::new(IssuerSelector::new(gateway)),
            queues: RefCell::default(),
            refresh: Notify::new(),
            accountant_failed: Notify::new(),
            accountant_found: Notify::new(),
            lifetime: bounds.token_lifetime(),
            clock,
        }
    }

    /// Current time, from which the lifetime of a requested token counts.
    pub fn now(&self) -> Timestamp {
        self.clock.now()
    }

    /// A token that was requested at `asked_at`.
    pub fn token(&self, asked_at: Timestamp) -> Token {
        Token { expires_at: asked_at + self.lifetime }
    }

    /// Whether a token may still be used: its accountant counts it for its lifetime, even if this
    /// machine is suspended meanwhile.
    pub fn is_valid(&self, token: Token) -> bool {
        self.now() < token.expires_at
    }

    /// Describes the state of each part of a tenant's limit, for a log line.
    pub fn describe(&self, tenant: &TenantName) -> String {
        self.meter.borrow().describe(self.now(), tenant)
    }

    /// The current assignment of accountants, for another gateway.
    pub fn assignment(&self) -> Assignment {
        self.meter.borrow().assignment().clone()
    }
}

/// What checking a tenant's limit for one request needs.
#[derive(Clone, Copy, Debug)]
pub struct QuotaCheck<'a> {
    /// The tenant that sends the request.
    pub tenant: &'a TenantName,
    /// The tenant's limit.
    pub limit: RateLimit,
    /// Version of the configuration that contains the limit.
    pub version: u64,
    /// Latency target of the request's route.
    pub target: Duration,
}

impl<'a> QuotaCheck<'a> {
    /// The check for a request of a caller on a route; `None` if no limit applies.
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

/// Takes a token for a request of a rate-limited tenant. Waits briefly if no accountant is known,
/// as after a start of all processes.
pub async fn take(shared: &Rc<Shared>, check: QuotaCheck<'_>) -> Result<Token, TokenError> {
    let until = Instant::now() + check.target.mul_f64(ACCOUNTANT_WAIT_FRACTION);
    loop {
        let accountant_found = shared.quota.accountant_found.notified();
        let taken = try_take(shared, check).await;
        let is_unknown = matches!(taken, Err(TokenError::Unknown { .. }));
        if !is_unknown || tokio::time::timeout_at(until, accountant_found).await.is_err() {
            return taken;
        }
    }
}

async fn try_take(shared: &Rc<Shared>, check: QuotaCheck<'_>) -> Result<Token, TokenError> {
    let quota = &shared.quota;
    let mut refused: Vec<PartRefusal> = Vec::new();
    loop {
        let step = quota.meter.borrow().next_step(quota.now(), check.tenant, &refused);
        let (part, token_issuer) = match step {
            NextStep::Ask { part, token_issuer } => (part, token_issuer),
            NextStep::OverLimit { wait_ms } => {
                return Err(TokenError::OverLimit { wait: Duration::from_millis(wait_ms) });
            }
            NextStep::Unknown => {
                quota.refresh.notify_one();
                if quota.meter.borrow().assignment().version == 0 {
                    let spread = rand::random_range(1.0..NO_ACCOUNTANT_RETRY_SPREAD);
                    return Err(TokenError::Unknown {
                        wait: NO_ACCOUNTANT_RETRY_AFTER.mul_f64(spread),
                    });
                }
                return take_by_relay(shared, check).await;
            }
        };
        let wait_ms = match ask_accountant(shared, &token_issuer, check.ask(part)).await {
            AskOutcome::Token { asked_at } => return Ok(quota.token(asked_at)),
            AskOutcome::Spent { wait_ms } => {
                quota.meter.borrow_mut().mark_exhausted(quota.now(), check.tenant, part, wait_ms);
                Some(wait_ms)
            }
            AskOutcome::NotHeld | AskOutcome::None => {
                quota.refresh.notify_one();
                None
            }
        };
        refused.push(PartRefusal { part, wait_ms });
    }
}
