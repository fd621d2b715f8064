//! What gives way when no connection can be taken: connections that rest hold the descriptors of those that
//! have a request. Without this a gateway that clients open many connections to takes none for as long as
//! these may rest.

use std::cell::Cell;
use std::io;
use std::time::Duration;

use tokio::sync::Notify;
use tokio::time::Instant;
use yokefall_telemetry::{EventName, LogLine};

use crate::connection::PhaseCell;

/// Time for which a connection has rested that is closed: one that has just come up, or whose request was just
/// answered, may be about to carry one; and those who can't connect should not wait for seconds.
const LEAST_REST: Duration = Duration::from_millis(500);
/// Least interval between two lines.
const TELL_INTERVAL: Duration = Duration::from_secs(1);

/// Tells connections that rest when others cannot be taken.
#[derive(Debug, Default)]
pub struct Crowding {
    crowded: Notify,
    told_at: Cell<Option<Instant>>,
}

impl Crowding {
    /// A connection could not be taken.
    pub fn note(&self, error: &io::Error) {
        metrics::counter!("gateway_accept_failures_total").increment(1);
        let now = Instant::now();
        if self.told_at.get().is_none_or(|at| now - at >= TELL_INTERVAL) {
            self.told_at.set(Some(now));
            LogLine::new(EventName::ConnectionsCrowded).text("cause", error).write();
        }
        self.crowded.notify_waiters();
    }

    /// Until a connection rests while others cannot be taken.
    pub async fn until_in_the_way(&self, phase: &PhaseCell) {
        loop {
            self.crowded.notified().await;
            if phase.rested().is_some_and(|rested| rested >= LEAST_REST) {
                metrics::counter!("gateway_resting_connections_closed_total").increment(1);
                return;
            }
        }
    }
}
