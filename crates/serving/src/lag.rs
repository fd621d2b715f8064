//! Detects when this process lags behind its peers and should query the platform's store again.

use yokefall_core::Timestamp;

use crate::state_digest::StateDigest;

/// Time for which a peer must be ahead before the store is queried again, in milliseconds. Updates
/// normally reach all processes within this time of each other.
const LAG_TOLERANCE_MS: u64 = 300;
const MIN_QUERY_INTERVAL_MS: u64 = 1_000;

/// Detects that peers have been ahead for longer than updates normally take to arrive.
#[derive(Debug, Default)]
pub struct LagDetector {
    /// Since when a peer has been ahead, with the local state and the peer's state at that time.
    behind_since: Option<(Timestamp, StateDigest, StateDigest)>,
    queried_at: Option<Timestamp>,
}

impl LagDetector {
    /// Processes a peer's state digest. Returns whether the store should be queried again.
    pub fn is_behind(&mut self, now: Timestamp, own: StateDigest, peer: StateDigest) -> bool {
        if !own.lacks(peer) {
            return false;
        }
        match &mut self.behind_since {
            Some((_, known, last)) if *known == own => *last = peer,
            _ => self.behind_since = Some((now, own, peer)),
        }
        self.is_due(now, own)
    }

    /// Returns whether the store should be queried again, based on digests received earlier.
    pub fn is_due(&mut self, now: Timestamp, own: StateDigest) -> bool {
        let Some((since, known, peer)) = self.behind_since else { return false };
        if !own.lacks(peer) {
            self.behind_since = None;
            return false;
        }
        if known != own {
            self.behind_since = Some((now, own, peer));
            return false;
        }
        let overdue = now.millis_since(since) >= LAG_TOLERANCE_MS;
        let interval_passed =
            self.queried_at.is_none_or(|at| now.millis_since(at) >= MIN_QUERY_INTERVAL_MS);
        if overdue && interval_passed {
            self.queried_at = Some(now);
        }
        overdue && interval_passed
    }

    /// Returns when `is_due` should be called next; `None` while no peer is ahead.
    pub fn next_check(&self) -> Option<Timestamp> {
        let (since, _, _) = self.behind_since?;
        let overdue_at = since.plus_millis(LAG_TOLERANCE_MS);
        let allowed_at = self.queried_at.map(|at| at.plus_millis(MIN_QUERY_INTERVAL_MS));
        Some(allowed_at.map_or(overdue_at, |allowed_at| allowed_at.max(overdue_at)))
    }
}
