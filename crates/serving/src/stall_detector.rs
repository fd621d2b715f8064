//! Whether datagrams may have waited for this process before it read them. A process that was frozen, or without
//! processor time, finds what was sent to it long ago, with nothing in it that tells when.

use yokefall_core::Timestamp;

/// Time beyond which a process that is woken late may find old datagrams, in milliseconds: longer than the pauses
/// of a process that has an eighth of a core (90 of each 100 ms), and short beside the age of what is known.
const STALL_MS: u64 = 150;

/// Time for which a datagram counts as under way where nobody was held up, in milliseconds: the way between two
/// regions (8 ms), and the pauses of two processes.
const WAY_MS: u64 = 25;

/// Watches over the loop that reads datagrams.
#[derive(Debug, Default)]
pub struct StallDetector {
    /// When the loop is next to run, at the latest.
    due: Option<Timestamp>,
    /// Whether it was held up, and has not read all that came meanwhile.
    may_be_old: bool,
}

impl StallDetector {
    /// The loop waits from now on, for so many milliseconds at most.
    pub fn start_wait(&mut self, now: Timestamp, wait_ms: u64) {
        self.due = Some(now.plus_millis(wait_ms));
    }

    /// The loop runs.
    pub fn record_wakeup(&mut self, now: Timestamp) {
        let late_ms = self.due.map_or(0, |due| now.millis_since(due));
        self.may_be_old |= late_ms > STALL_MS;
        // Work that takes long between two waits holds it up as well.
        self.due = Some(now);
    }

    /// Nothing waits to be read any more.
    pub fn drained(&mut self) {
        self.may_be_old = false;
    }

    /// For how long a datagram has been under way, in milliseconds; `None` where nobody can tell.
    pub fn delay_ms(&self) -> Option<u64> {
        (!self.may_be_old).then_some(WAY_MS)
    }
}
