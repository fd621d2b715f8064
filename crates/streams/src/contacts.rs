//! Which other processes answer questions about their history, and whether this process is in touch
//! with most of them.

use std::collections::HashMap;
use std::net::SocketAddr;

use yokefall_core::Timestamp;

/// How much older than the latest answer of any process the last one of another may be, in milliseconds,
/// until that one is no longer expected to answer. A process that is cut off remembers whom it was in
/// touch with, however long that lasts.
const CONTACT_LIFETIME_MS: u64 = 600_000;
/// Maximum time for an answer, in milliseconds.
const ANSWER_TIMEOUT_MS: u64 = 1_000;
/// Maximum number of remembered contacts; more add nothing to a majority.
const MAX_CONTACTS: usize = 64;

/// One question to several other processes.
#[derive(Clone, Debug)]
pub(crate) struct Round {
    /// Its number; later ones have higher numbers.
    pub(crate) number: u64,
    pub(crate) asked_at: Timestamp,
    /// Those that have answered before.
    expected: Vec<SocketAddr>,
}

/// The processes that have answered, each with the time of its last answer.
#[derive(Debug, Default)]
pub(crate) struct Contacts {
    answered_at: HashMap<SocketAddr, Timestamp>,
}

impl Contacts {
    /// Number of processes that have answered.
    pub(crate) fn len(&self) -> usize {
        self.answered_at.len()
    }

    /// Whether a process has answered before.
    pub(crate) fn contains(&self, address: &SocketAddr) -> bool {
        self.answered_at.contains_key(address)
    }

    /// Processes that have answered before.
    pub(crate) fn addresses(&self) -> impl Iterator<Item = SocketAddr> + '_ {
        self.answered_at.keys().copied()
    }

    /// Records an answer.
    pub(crate) fn record_answer(&mut self, now: Timestamp, from: SocketAddr) {
        if self.answered_at.len() < MAX_CONTACTS || self.answered_at.contains_key(&from) {
            self.answered_at.insert(from, now);
        }
    }

    /// Begins a question to these processes.
    pub(crate) fn ask(&self, now: Timestamp, number: u64, asked: &[SocketAddr]) -> Round {
        let expected = asked.iter().filter(|address| self.contains(address)).copied().collect();
        Round { number, asked_at: now, expected }
    }

    /// Whether most of those that are expected to answer a question have done so. Those that never
    /// answered, such as processes of older builds, are not expected to.
    pub(crate) fn is_answered(&self, round: &Round) -> bool {
        let unanswered = self.unanswered(round).count();
        2 * unanswered < round.expected.len() || round.expected.is_empty()
    }

    /// Those of a question that have not answered yet.
    pub(crate) fn unanswered<'a>(
        &'a self,
        round: &'a Round,
    ) -> impl Iterator<Item = SocketAddr> + 'a {
        let has_answered = |address: &SocketAddr| {
            self.answered_at.get(address).is_some_and(|at| *at >= round.asked_at)
        };
        round.expected.iter().copied().filter(move |address| !has_answered(address))
    }

    /// Forgets those that are gone: they did not answer a question in time, while most others did.
    /// Takes the question once the time is over.
    pub(crate) fn review(&mut self, now: Timestamp, round: &mut Option<Round>) {
        self.forget_old();
        let is_over = |round: &mut Round| now.millis_since(round.asked_at) >= ANSWER_TIMEOUT_MS;
        let Some(round) = round.take_if(is_over) else { return };
        if self.is_answered(&round) {
            let gone: Vec<SocketAddr> = self.unanswered(&round).collect();
            self.answered_at.retain(|address, _| !gone.contains(address));
        }
    }

    fn forget_old(&mut self) {
        let Some(latest) = self.answered_at.values().max().copied() else { return };
        self.answered_at.retain(|_, at| latest.millis_since(*at) < CONTACT_LIFETIME_MS);
    }
}
