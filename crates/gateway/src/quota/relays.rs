//! Token requests relayed for a gateway that alone is cut off from the job stores.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use tokio::time::Instant;
use yokefall_jobstore::{Reply, Request};
use yokefall_quota::{TokenGrant, TokenRequest};

use super::token_requests::{request_token, RequestOutcome, REQUEST_TIMEOUT};
use super::{QuotaCheck, Token, TokenError};
use crate::shared::Shared;

/// Maximum number of gateways asked to relay a request when no token issuer can be reached.
const MAX_RELAYS: usize = 2;

/// Requests a token through other gateways, since only this one may be cut off from the job stores.
pub(super) async fn take_by_relay(
    shared: &Rc<Shared>,
    check: QuotaCheck<'_>,
) -> Result<Token, TokenError> {
    for address in relay_gateways(shared) {
        let mut shortest_wait: Option<u64> = None;
        let order = shared.quota.selector.borrow().order(check.tenant);
        for part in order {
            let requested_at = shared.quota.now();
            let token_requests = vec![check.token_request(part)];
            let deadline = Instant::now() + REQUEST_TIMEOUT;
            let reply = shared
                .jobs
                .call_member(address, Request::TakeTokens(token_requests), deadline)
                .await;
            let grant = match reply {
                Some(Reply::Tokens(grants)) => grants.first().copied(),
                Some(_) | None => break,
            };
            match grant {
                Some(TokenGrant::Granted { tokens, .. }) if tokens > 0 => {
                    return Ok(shared.quota.token(requested_at));
                }
                Some(TokenGrant::Granted { wait_ms, .. }) => {
                    shortest_wait =
                        Some(shortest_wait.map_or(wait_ms, |shortest| shortest.min(wait_ms)));
                }
                Some(TokenGrant::NotHeld) | None => {}
            }
        }
        if let Some(wait_ms) = shortest_wait {
            return Err(TokenError::OverLimit { wait: Duration::from_millis(wait_ms) });
        }
    }
    Err(TokenError::Unknown { wait: Duration::ZERO })
}

/// Addresses of some other gateways, sampled at random for each call.
pub(super) fn relay_gateways(shared: &Shared) -> Vec<SocketAddr> {
    let fleet = shared.fleet.load();
    let others: Vec<SocketAddr> = fleet
        .gateways()
        .map(|member| member.address)
        .filter(|address| *address != shared.peer)
        .collect();
    let indices =
        rand::seq::index::sample(&mut rand::rng(), others.len(), MAX_RELAYS.min(others.len()));
    indices.into_iter().map(|index| others[index]).collect()
}

/// Obtains tokens for another gateway that cannot reach the token issuers itself.
pub async fn relay(shared: &Rc<Shared>, token_requests: Vec<TokenRequest>) -> Vec<TokenGrant> {
    let mut grants = Vec::with_capacity(token_requests.len());
    for token_request in token_requests {
        let token_issuer =
            shared.quota.selector.borrow().token_issuer(&token_request.tenant, token_request.part);
        let outcome = match token_issuer {
            Some(token_issuer) => request_token(shared, &token_issuer, token_request).await,
            None => RequestOutcome::NotHeld,
        };
        grants.push(match outcome {
            RequestOutcome::Token { .. } => TokenGrant::Granted { tokens: 1, wait_ms: 0 },
            RequestOutcome::Exhausted { wait_ms } => TokenGrant::Granted { tokens: 0, wait_ms },
            RequestOutcome::NotHeld | RequestOutcome::None => TokenGrant::NotHeld,
        });
    }
    grants
}
