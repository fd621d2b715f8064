//! Leadership transfer: the leader asks a voter that has just proved to be up to take over, and
//! stands for election itself if that does not happen in time.
//!
//! Invariant: a leader that has asked a voter to take over has no lease for the rest of its term.
//! The request may arrive at any later time, and the election that it starts does not wait for the
//! lease. In a later term the request is outdated, and its election has no majority.

use std::collections::BTreeMap;

use crate::message::{Body, MemberId, Members};
use crate::node::{Consensus, Millis, Role, ELECTION_TIMEOUT_MIN_MS};

/// Time in which a voter that was asked to take over must do so, in milliseconds: the group is then
/// without service for no longer than after the loss of its leader.
const TRANSFER_TIMEOUT_MS: Millis = ELECTION_TIMEOUT_MIN_MS;
/// Time for a candidate to prove that it is up and has every entry, in milliseconds.
const CANDIDATE_TIMEOUT_MS: Millis = 500;
/// Time after a failed transfer before the same voter is asked again, in milliseconds; doubles with
/// each further failure.
const RETRY_BACKOFF_MS: Millis = 2_000;
/// Maximum of that time, in milliseconds.
const MAX_RETRY_BACKOFF_MS: Millis = 30_000;

/// A change in the state of a transfer, for logs and metrics.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum TransferEvent {
    /// A voter was asked to take over; the lease of the leader has ended.
    Started {
        /// The voter.
        target: MemberId,
        /// Time since its newest message, in milliseconds.
        silent_ms: Millis,
    },
    /// The voter took over.
    Succeeded {
        /// The voter.
        target: MemberId,
        /// Time since it was asked, in milliseconds.
        elapsed_ms: Millis,
    },
    /// The voter did not take over in time, or another one did. Without a leader, this member stands
    /// for election itself.
    Failed {
        /// The voter.
        target: MemberId,
        /// Time since it was asked, in milliseconds.
        elapsed_ms: Millis,
    },
    /// No candidate proved to be up with every entry. Nobody was asked; the lease goes on.
    NoCandidate {
        /// Number of candidates.
        candidates: usize,
    },
}

#[derive(Clone, Debug)]
enum Transfer {
    /// Waits for a response of a candidate to a message that was sent after the request.
    Requested { candidates: Vec<MemberId>, requested_at: Millis },
    /// A voter was asked to take over. Kept beyond the term until the next leader is known.
    Started { target: MemberId, started_at: Millis },
}

#[derive(Clone, Copy, Debug)]
struct Failures {
    count: u32,
    last_at: Millis,
}

impl Failures {
    fn backoff_ms(self) -> Millis {
        let doublings = self.count.saturating_sub(1).min(16);
        (RETRY_BACKOFF_MS << doublings).min(MAX_RETRY_BACKOFF_MS)
    }
}

/// The transfer in progress, and failed ones by voter.
#[derive(Clone, Debug, Default)]
pub(crate) struct Transfers {
    current: Option<Transfer>,
    /// Outlives the term, so that the next attempt asks another voter.
    failures: BTreeMap<MemberId, Failures>,
}

impl Transfers {
    /// Whether a voter was asked to take over in this term.
    pub(crate) fn has_started(&self) -> bool {
        matches!(self.current, Some(Transfer::Started { .. }))
    }

    /// When the transfer in progress must have succeeded.
    pub(crate) fn deadline(&self) -> Option<Millis> {
        match self.current.as_ref()? {
            Transfer::Requested { requested_at, .. } => Some(requested_at + CANDIDATE_TIMEOUT_MS),
            Transfer::Started { started_at, .. } => Some(started_at + TRANSFER_TIMEOUT_MS),
        }
    }

    fn is_backing_off(&self, now: Millis, voter: &MemberId) -> bool {
        let failures = self.failures.get(voter);
        failures.is_some_and(|failures| now < failures.last_at + failures.backoff_ms())
    }

    /// Forgets voters that have left the group.
    pub(crate) fn retain_members(&mut self, members: &Members) {
        self.failures.retain(|voter, _| members.contains(voter));
    }

    fn record_failure(&mut self, now: Millis, voter: &MemberId) {
        let failures =
            self.failures.entry(voter.clone()).or_insert(Failures { count: 0, last_at: now });
        failures.count += 1;
        failures.last_at = now;
    }
}

impl Consensus {
    /// Whether a voter may be asked to take over leadership; not soon after it failed to.
    pub fn may_transfer_to(&self, now: Millis, voter: &MemberId) -> bool {
        *voter != self.me
            && self.members().voters.contains(voter)
            && !self.transfers.is_backing_off(now, voter)
    }

    /// Transfers leadership to the first of `candidates` that proves to be up and to have every
    /// entry. Returns whether a transfer is in progress; this member leads until it succeeds.
    pub fn transfer_leadership(&mut self, now: Millis, candidates: &[MemberId]) -> bool {
        if self.role != Role::Leader {
            return false;
        }
        if self.transfers.current.is_some() {
            return true;
        }
        let eligible = |voter: &&MemberId| self.may_transfer_to(now, voter);
        let candidates: Vec<MemberId> = candidates.iter().filter(eligible).cloned().collect();
        if candidates.is_empty() {
            return false;
        }
        self.transfers.current = Some(Transfer::Requested { candidates, requested_at: now });
        self.heartbeat(now);
        true
    }

    /// Handles a response to a message sent at `sent_at`: asks its sender to take over if it is a
    /// candidate. An older response does not prove that the candidate is still up.
    pub(crate) fn continue_transfer(&mut self, now: Millis, from: &MemberId, sent_at: Millis) {
        let Some(Transfer::Requested { candidates, requested_at }) = &self.transfers.current else {
            return;
        };
        let has_every_entry = self.matched(from) >= self.log.last_index();
        if sent_at < *requested_at || !candidates.contains(from) || !has_every_entry {
            return;
        }
        let target = from.clone();
        let silent_ms = now.saturating_sub(sent_at);
        self.transfers.current =
            Some(Transfer::Started { target: target.clone(), started_at: now });
        self.send(target.clone(), self.term, Body::TransferLeadership);
        self.effects.transfers.push(TransferEvent::Started { target, silent_ms });
    }

    /// Ends a transfer that has not succeeded in time. Returns whether this member stands for
    /// election; it could not go on in this term (see the invariant of the module).
    pub(crate) fn expire_transfer(&mut self, now: Millis) -> bool {
        if self.transfers.deadline().is_none_or(|deadline| now < deadline) {
            return false;
        }
        if let Some(Transfer::Requested { candidates, .. }) = &self.transfers.current {
            let candidates = candidates.len();
            self.effects.transfers.push(TransferEvent::NoCandidate { candidates });
            self.transfers.current = None;
            return false;
        }
        self.finish_transfer(now, None);
        self.progress.clear();
        self.campaign(now, Role::Candidate, true);
        true
    }

    /// Withdraws a transfer for which nobody was asked yet.
    pub(crate) fn withdraw_transfer_request(&mut self) {
        if !self.transfers.has_started() {
            self.transfers.current = None;
        }
    }

    /// Records the outcome of a transfer once the next leader is known; `None` if there is none.
    pub(crate) fn finish_transfer(&mut self, now: Millis, next_leader: Option<&MemberId>) {
        let Some(Transfer::Started { target, started_at }) = self.transfers.current.take() else {
            return;
        };
        let elapsed_ms = now.saturating_sub(started_at);
        if next_leader == Some(&target) {
            self.transfers.failures.remove(&target);
            self.effects.transfers.push(TransferEvent::Succeeded { target, elapsed_ms });
            return;
        }
        self.transfers.record_failure(now, &target);
        self.effects.transfers.push(TransferEvent::Failed { target, elapsed_ms });
    }
}
