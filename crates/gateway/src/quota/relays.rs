//! Asks that go through other gateways: this one may be cut off from the job stores alone.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use tokio::time::Instant;
use yokefall_jobstore::{Reply, Request};
use yokefall_quota::{TokenGrant, TokenRequest};

use super::asks::{ask_accountant, Answer, ASK_TIMEOUT};
use super::{NoToken, Token, Wanted};
use crate::shared::Shared;

/// Other gateways that are asked to pass an ask on where no accountant can be reached.
const RELAYS: usize = 2;

/// Asks other gateways to pass an ask on: this one may be cut off from the job stores alone.
pub(super) async fn take_by_relay(
    shared: &Rc<Shared>,
    wanted: Wanted<'_>,
) -> Result<Token, NoToken> {
    for address in relays(shared) {
        let mut shortest_wait: Option<u64> = None;
        let order = shared.quota.meter.borrow().order(wanted.tenant);
        for part in order {
            let asked_at = shared.quota.now();
            let asks = vec![wanted.ask(part)];
            let deadline = Instant::now() + ASK_TIMEOUT;
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
pub(super) fn relays(shared: &Shared) -> Vec<SocketAddr> {
    let fleet = shared.fleet.load();
    let others: Vec<SocketAddr> = fleet
        .gateways()
        .map(|member| member.address)
        .filter(|address| *address != shared.peer)
        .collect();
    let drawn = rand::seq::index::sample(&mut rand::rng(), others.len(), RELAYS.min(others.len()));
    drawn.into_iter().map(|index| others[index]).collect()
}

/// Grants tokens to another gateway, which cannot reach the accountants itself.
pub async fn relay(shared: &Rc<Shared>, asks: Vec<TokenRequest>) -> Vec<TokenGrant> {
    let mut grants = Vec::with_capacity(asks.len());
    for ask in asks {
        let token_issuer = shared.quota.meter.borrow().token_issuer(&ask.tenant, ask.part);
        let answer = match token_issuer {
            Some(token_issuer) => ask_accountant(shared, &token_issuer, ask).await,
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
