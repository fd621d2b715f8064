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

/// The last answer of a process.
#[derive(Clone, Copy, Debug)]
struct Answer {
    at: Timestamp,
    /// The last round that it answers; `None` if the process runs an older build, whose answers do not
    /// tell which round they belong to.
    round: Option<u64>,
}

impl Answer {
    fn is_of(&self, round: &Round) -> bool {
        match self.round {
            Some(number) => number >= round.number,
            None => self.at >= round.asked_at,
        }
    }
}

/// The processes that have answered.
#[derive(Debug, Default)]
pub(crate) struct Contacts {
    answers: HashMap<SocketAddr, Answer>,
}

impl Contacts {
    /// Number of processes that have answered.
    pub(crate) fn len(&self) -> usize {
        self.answers.len()
    }

    /// Whether a process has answered before.
    pub(crate) fn contains(&self, address: &SocketAddr) -> bool {
        self.answers.contains_key(address)
    }

    /// Processes that have answered before.
    pub(crate) fn addresses(&self) -> impl Iterator<Item = SocketAddr> + '_ {
        self.answers.keys().copied()
    }

    /// Whether the answers of a process tell which round they belong to.
    pub(crate) fn answers_rounds(&self, address: &SocketAddr) -> bool {
        self.answers.get(address).is_some_and(|answer| answer.round.is_some())
    }

    /// Records an answer that does not tell its round. It counts only from a process whose answers never
    /// do: it may be late.
    pub(crate) fn record_answer(&mut self, now: Timestamp, from: SocketAddr) {
        if !self.answers_rounds(&from) {
            self.insert(from, Answer { at: now, round: None });
        }
    }

    /// Records the answer to a round.
    pub(crate) fn record_round_answer(&mut self, now: Timestamp, from: SocketAddr, number: u64) {
        let latest = self.answers.get(&from).and_then(|answer| answer.round);
        if latest.is_none_or(|latest| number > latest) {
            self.insert(from, Answer { at: now, round: Some(number) });
        }
    }

    fn insert(&mut self, from: SocketAddr, answer: Answer) {
        if self.answers.len() < MAX_CONTACTS || self.answers.contains_key(&from) {
            self.answers.insert(from, answer);
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
            self.answers.get(address).is_some_and(|answer| answer.is_of(round))
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
            self.answers.retain(|address, _| !gone.contains(address));
        }
    }

    fn forget_old(&mut self) {
        let Some(latest) = self.answers.values().map(|answer| answer.at).max() else { return };
        self.answers.retain(|_, answer| latest.millis_since(answer.at) < CONTACT_LIFETIME_MS);
    }
}
