//! Detects whether received datagrams may be old: a process that was frozen or starved of processor
//! time reads what waited in the socket buffer, and nothing in it tells since when.

use yokefall_core::Timestamp;

/// Wake-up delay, in milliseconds, beyond which datagrams may be old: longer than the pauses of a
/// process with an eighth of a core (90 of every 100 ms), short against platform-state age limits.
const MAX_WAKEUP_DELAY_MS: u64 = 150;

/// Assumed transit time of a datagram if no process was stalled, in milliseconds: the network delay
/// between two regions (8 ms) and the scheduling pauses of two processes.
const TRANSIT_MS: u64 = 25;

/// Monitors the loop that reads datagrams.
#[derive(Debug, Default)]
pub struct StallDetector {
    /// Latest time at which the loop should run next.
    wakeup_due: Option<Timestamp>,
    /// Whether the loop was stalled and has not yet read everything that arrived meanwhile.
    may_be_old: bool,
}

impl StallDetector {
    /// Records that the loop starts to wait, for at most `wait_ms`.
    pub fn start_wait(&mut self, now: Timestamp, wait_ms: u64) {
        self.wakeup_due = Some(now.plus_millis(wait_ms));
    }

    /// Records that the loop runs again.
    pub fn record_wakeup(&mut self, now: Timestamp) {
        let late_ms = self.wakeup_due.map_or(0, |wakeup_due| now.millis_since(wakeup_due));
        self.may_be_old |= late_ms > MAX_WAKEUP_DELAY_MS;
        // Long work between two waits stalls the loop as well.
        self.wakeup_due = Some(now);
    }

    /// Records that the socket buffer is empty.
    pub fn record_drained(&mut self) {
        self.may_be_old = false;
    }

    /// Assumed transit time of a datagram, in milliseconds; `None` if it may have waited for long.
    pub fn delay_ms(&self) -> Option<u64> {
        (!self.may_be_old).then_some(TRANSIT_MS)
    }
}
