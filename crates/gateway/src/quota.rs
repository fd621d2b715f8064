//! Tokens of tenants' rate limits: a request of a limited tenant is sent only with a token.
//! `yokefall_quota::IssuerSelector` picks the token issuer; concurrent token requests are batched.

pub mod assignment;
pub mod relays;
pub mod token_requests;

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

use self::relays::take_by_relay;
use self::token_requests::{request_token, QueuedRequest, RequestOutcome};
use crate::shared::Shared;

/// Fraction of its latency target for which a request waits until a token issuer is known: a
/// request rejected within a quarter of its target can be served elsewhere in time.
const ISSUER_WAIT_FRACTION: f64 = 0.2;
/// Retry delay while no gateway can check limits: when all processes have been lost, the job stores
/// elect a leader 1.2 s after their start. Randomized, so that callers do not return together.
const NO_ISSUER_RETRY_AFTER: Duration = Duration::from_millis(800);
const NO_ISSUER_RETRY_SPREAD: f64 = 1.5;

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
    /// No token issuer could be reached in time.
    Unknown {
        /// Retry delay: zero where other gateways may reach a token issuer.
        wait: Duration,
    },
}

/// Rate limits as known by this gateway.
pub struct Quota {
    selector: RefCell<IssuerSelector>,
    queues: RefCell<HashMap<String, UnboundedSender<QueuedRequest>>>,
    /// Notified when the assignment should be fetched again.
    refresh: Notify,
    /// Notified when a token issuer did not answer.
    issuer_failed: Notify,
    /// Notified when token issuers become known or answer again.
    issuer_found: Notify,
    lifetime: Duration,
    clock: ElapsedClock,
}

impl Quota {
    /// Starts without any assignment.
    pub fn new(gateway: String, bounds: QuotaBounds, clock: ElapsedClock) -> Self {
        Self {
            selector: RefCell::new(IssuerSelector::new(gateway)),
            queues: RefCell::default(),
            refresh: Notify::new(),
            issuer_failed: Notify::new(),
            issuer_found: Notify::new(),
            lifetime: bounds.token_lifetime(),
            clock,
        }
    }

    /// Current time, from which the lifetime of a requested token counts.
    pub fn now(&self) -> Timestamp {
        self.clock.now()
    }

    /// A token that was requested at `requested_at`.
    pub fn token(&self, requested_at: Timestamp) -> Token {
        Token { expires_at: requested_at + self.lifetime }
    }

    /// Whether a token may still be used: its token issuer counts it for its lifetime, even if this
    /// machine is suspended meanwhile.
    pub fn is_valid(&self, token: Token) -> bool {
        self.now() < token.expires_at
    }

    /// Describes the state of each part of a tenant's limit, for a log line.
    pub fn describe(&self, tenant: &TenantName) -> String {
        self.selector.borrow().describe(self.now(), tenant)
    }

    /// The current assignment of token issuers, for another gateway.
    pub fn assignment(&self) -> Assignment {
        self.selector.borrow().assignment().clone()
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

    fn token_request(&self, part: Part) -> TokenRequest {
        let tenant = self.tenant.clone();
        TokenRequest { tenant, part, limit: self.limit, version: self.version, tokens: 1 }
    }
}

/// Takes a token for a request of a rate-limited tenant. Waits briefly if no token issuer is known,
/// as after a start of all processes.
pub async fn take(shared: &Rc<Shared>, check: QuotaCheck<'_>) -> Result<Token, TokenError> {
    let until = Instant::now() + check.target.mul_f64(ISSUER_WAIT_FRACTION);
    loop {
        let issuer_found = shared.quota.issuer_found.notified();
        let taken = try_take(shared, check).await;
        let is_unknown = matches!(taken, Err(TokenError::Unknown { .. }));
        if !is_unknown || tokio::time::timeout_at(until, issuer_found).await.is_err() {
            return taken;
        }
    }
}

async fn try_take(shared: &Rc<Shared>, check: QuotaCheck<'_>) -> Result<Token, TokenError> {
    let quota = &shared.quota;
    let mut refusals: Vec<PartRefusal> = Vec::new();
    loop {
        let step = quota.selector.borrow().next_step(quota.now(), check.tenant, &refusals);
        let (part, token_issuer) = match step {
            NextStep::Ask { part, token_issuer } => (part, token_issuer),
            NextStep::OverLimit { wait_ms } => {
                return Err(TokenError::OverLimit { wait: Duration::from_millis(wait_ms) });
            }
            NextStep::Unknown => {
                quota.refresh.notify_one();
                if quota.selector.borrow().assignment().version == 0 {
                    let spread = rand::random_range(1.0..NO_ISSUER_RETRY_SPREAD);
                    return Err(TokenError::Unknown {
                        wait: NO_ISSUER_RETRY_AFTER.mul_f64(spread),
                    });
                }
                return take_by_relay(shared, check).await;
            }
        };
        let wait_ms = match request_token(shared, &token_issuer, check.token_request(part)).await {
            RequestOutcome::Token { requested_at } => return Ok(quota.token(requested_at)),
            RequestOutcome::Exhausted { wait_ms } => {
                quota.selector.borrow_mut().mark_exhausted(
                    quota.now(),
                    check.tenant,
                    part,
                    wait_ms,
                );
                Some(wait_ms)
            }
            RequestOutcome::NotHeld | RequestOutcome::None => {
                quota.refresh.notify_one();
                None
            }
        };
        refusals.push(PartRefusal { part, wait_ms });
    }
}
