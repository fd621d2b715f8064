//! Closes idle client connections when no new one can be accepted: they use up the descriptors that
//! clients with requests need. Otherwise a gateway accepts none until their idle timeout expires.

use std::cell::Cell;
use std::io;
use std::time::Duration;

use tokio::sync::Notify;
use tokio::time::Instant;
use yokefall_telemetry::{EventName, LogLine};

use crate::connection::PhaseCell;

/// Minimum idle time of a connection to be closed: one just opened or answered may be about to
/// carry a request, while clients that cannot connect should not wait for seconds.
const MIN_IDLE: Duration = Duration::from_millis(500);
const LOG_INTERVAL: Duration = Duration::from_secs(1);

/// Notifies idle connections when others cannot be accepted.
#[derive(Debug, Default)]
pub struct IdleEviction {
    evict: Notify,
    logged_at: Cell<Option<Instant>>,
}

impl IdleEviction {
    /// Records that a connection could not be accepted.
    pub fn accept_failed(&self, error: &io::Error) {
        metrics::counter!("gateway_accept_failures_total").increment(1);
        let now = Instant::now();
        if self.logged_at.get().is_none_or(|at| now - at >= LOG_INTERVAL) {
            self.logged_at.set(Some(now));
            LogLine::new(EventName::ConnectionsCrowded).text("cause", error).write();
        }
        self.evict.notify_waiters();
    }

    /// Completes when the connection is idle while others cannot be accepted.
    pub async fn evicted(&self, phase: &PhaseCell) {
        loop {
            self.evict.notified().await;
            if phase.idle_for().is_some_and(|idle_for| idle_for >= MIN_IDLE) {
                metrics::counter!("gateway_resting_connections_closed_total").increment(1);
                return;
            }
        }
    }
}
