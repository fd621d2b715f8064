//! Finds out whether a process should ask the platform's store again, since peers know more.

use yokefall_core::Timestamp;

use crate::state_digest::StateDigest;

/// Time for which a peer must know more before a process asks the store again, in milliseconds:
/// news reaches processes within this time of each other.
const PATIENCE_MS: u64 = 300;
/// Least time between two such askings, in milliseconds.
const LEAST_INTERVAL_MS: u64 = 1_000;

/// Finds out whether peers know more, for longer than news takes.
#[derive(Debug, Default)]
pub struct Comparison {
    /// Since when a peer knows more: what was known here, and what the peer knows.
    behind_since: Option<(Timestamp, StateDigest, StateDigest)>,
    asked_at: Option<Timestamp>,
}

impl Comparison {
    /// A peer told what it knows. Returns whether the store should be asked again.
    pub fn is_behind(&mut self, now: Timestamp, own: StateDigest, peer: StateDigest) -> bool {
        if !own.lacks(peer) {
            return false;
        }
        match &mut self.behind_since {
            Some((_, known, told)) if *known == own => *told = peer,
            _ => self.behind_since = Some((now, own, peer)),
        }
        self.is_due(now, own)
    }

    /// Whether the store should be asked again, by what peers told before.
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
        let patient = now.millis_since(since) >= PATIENCE_MS;
        let rested = self.asked_at.is_none_or(|at| now.millis_since(at) >= LEAST_INTERVAL_MS);
        if patient && rested {
            self.asked_at = Some(now);
        }
        patient && rested
    }

    /// When `is_due` should be asked; `None` while no peer knows more.
    pub fn next_check(&self) -> Option<Timestamp> {
        let (since, _, _) = self.behind_since?;
        let patient = since.plus_millis(PATIENCE_MS);
        let rested = self.asked_at.map(|at| at.plus_millis(LEAST_INTERVAL_MS));
        Some(rested.map_or(patient, |rested| rested.max(patient)))
    }
}
