//! In which order items wait, and which is done first.
//!
//! The item that is due first goes first, as long as it can be done in time. One that cannot be done
//! in time goes after all that can: where there is more work than room, the oldest first would have
//! every item done just after it was due.

use std::cmp::Ordering;
use std::time::Duration;

/// Weight of one finished item in what was learnt.
const SMOOTHING_FACTOR: f64 = 0.1;
/// Least part of an item's expected output that is taken to be left: outputs differ in length.
const MIN_REMAINING_SHARE: f64 = 0.1;

/// What was observed of finished items.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct DurationEstimator {
    /// Events of output for each token that an item may take; 0 while nothing is known.
    events_per_token: f64,
    /// Time for an event, in milliseconds.
    event_ms: f64,
}

impl DurationEstimator {
    /// An item that may take `tokens` ended with `events`, the last `events_in_run` of them within `time`.
    pub fn observe(&mut self, tokens: u64, events: u64, events_in_run: u64, time: Duration) {
        if tokens == 0 || events_in_run == 0 {
            return;
        }
        let events_per_token = events as f64 / tokens as f64;
        let event_ms = time.as_secs_f64() * 1_000.0 / events_in_run as f64;
        if self.event_ms == 0.0 {
            *self = Self { events_per_token, event_ms };
            return;
        }
        self.events_per_token += (events_per_token - self.events_per_token) * SMOOTHING_FACTOR;
        self.event_ms += (event_ms - self.event_ms) * SMOOTHING_FACTOR;
    }

    /// Time that an item with some events of output is expected to take yet.
    pub fn remaining(&self, tokens: u64, events: u64) -> Duration {
        let expected = tokens as f64 * self.events_per_token;
        let remaining = (expected - events as f64).max(expected * MIN_REMAINING_SHARE);
        Duration::from_secs_f64(remaining * self.event_ms / 1_000.0)
    }
}

/// How soon an item should run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Urgency {
    /// Time since its job was taken.
    pub age: Duration,
    /// Time after that at which it is due; `None` where its route tells none.
    pub due: Option<Duration>,
    /// Time that it is expected to take yet.
    pub remaining: Duration,
}

impl Urgency {
    /// Whether it cannot be done in time any more.
    pub fn is_late(&self) -> bool {
        self.due.is_some_and(|due| self.age + self.remaining > due)
    }

    /// Time until it is due; items without such a time come after those with one.
    fn slack(&self) -> Duration {
        self.due.map_or(Duration::MAX, |due| due.saturating_sub(self.age))
    }

    /// Whether it goes before another one: the one that is due first, of one job the one that is
    /// done first, and late ones at last, the oldest first.
    pub fn order(&self, other: &Self) -> Ordering {
        let late = self.is_late();
        let by_lateness = late.cmp(&other.is_late());
        let by_age = other.age.cmp(&self.age);
        let within = match late {
            true => by_age,
            false => self.slack().cmp(&other.slack()).then(by_age),
        };
        by_lateness.then(within).then(self.remaining.cmp(&other.remaining))
    }
}

/// A job with items that wait.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WaitingJob {
    /// Its id.
    pub id: String,
    /// Time since it was taken.
    pub age: Duration,
    /// Time after that at which it is due; `None` where its route tells none.
    pub due: Option<Duration>,
}

/// An item that waits.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct WaitingItem {
    /// Its index in its job.
    pub index: u32,
    /// Time that it is expected to take yet.
    pub remaining: Duration,
}

impl WaitingJob {
    /// How soon an item of it should run that takes so long yet.
    fn urgency(&self, remaining: Duration) -> Urgency {
        Urgency { age: self.age, due: self.due, remaining }
    }

    /// Whether an item that takes so long cannot be done in time any more.
    pub fn is_late(&self, remaining: Duration) -> bool {
        self.urgency(remaining).is_late()
    }

    /// Whether its items go before those of another job: those of items that can be done in time, or
    /// of `late` ones.
    pub fn order(&self, other: &Self, late: bool) -> Ordering {
        let remaining =
            |job: &Self| if late { job.due.unwrap_or_default() } else { Duration::ZERO };
        let order = self.urgency(remaining(self)).order(&other.urgency(remaining(other)));
        order.then_with(|| self.id.cmp(&other.id))
    }
}
