//! Lifetime of a rate-limit token on a machine that is suspended.

use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use std::time::Duration;

use yokefall_clock::{ElapsedClock, SuspensionSource};
use yokefall_gateway::quota::Quota;
use yokefall_quota::QuotaBounds;

/// Guards against a gateway that requests a token, is suspended for 5 s and then sends a request
/// with it, in a window in which the token issuer has granted the same capacity to another.
#[tokio::test(start_paused = true)]
async fn a_token_expires_while_its_gateway_is_suspended() {
    let suspended_ms = Arc::new(AtomicU64::new(0));
    let clock = ElapsedClock::new(SuspensionSource::Simulated(suspended_ms.clone()));
    let quota = Quota::new("edge-1".into(), QuotaBounds::default(), clock);
    let token = quota.token(quota.now());
    assert!(quota.is_valid(token));
    tokio::time::sleep(Duration::from_millis(1)).await;
    assert!(quota.is_valid(token));
    suspended_ms.fetch_add(5_000, Ordering::Relaxed);
    assert!(!quota.is_valid(token));
    assert!(quota.is_valid(quota.token(quota.now())));
}
