//! Order in which waiting items run: by due time, as long as they can meet it. Items that cannot
//! run last: otherwise, under overload, every item would complete just after it was due.

use std::cmp::Ordering;
use std::time::Duration;

const SMOOTHING_FACTOR: f64 = 0.1;
/// Minimum share of its expected output assumed to remain, since output lengths vary.
const MIN_REMAINING_SHARE: f64 = 0.1;

/// Estimates durations from finished items.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct DurationEstimator {
    /// Events of output per requested token; 0 while unknown.
    events_per_token: f64,
    /// Time per event, in milliseconds.
    event_ms: f64,
}

impl DurationEstimator {
    /// Records an item of `tokens` that ended with `events`; its last `events_in_run` took `time`.
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

    /// Expected remaining time of an item with `events` of output so far.
    pub fn remaining(&self, tokens: u64, events: u64) -> Duration {
        let expected = tokens as f64 * self.events_per_token;
        let remaining = (expected - events as f64).max(expected * MIN_REMAINING_SHARE);
        Duration::try_from_secs_f64(remaining * self.event_ms / 1_000.0).unwrap_or(Duration::MAX)
    }
}

/// Urgency of an item.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Urgency {
    /// Time since its job was accepted.
    pub age: Duration,
    /// Time after acceptance at which it is due; `None` if the route has no target.
    pub due: Option<Duration>,
    /// Expected remaining time.
    pub remaining: Duration,
}

impl Urgency {
    /// Whether it can no longer meet its due time.
    pub fn is_late(&self) -> bool {
        self.due.is_some_and(|due| self.age.saturating_add(self.remaining) > due)
    }

    fn slack(&self) -> Duration {
        self.due.map_or(Duration::MAX, |due| due.saturating_sub(self.age))
    }

    /// The earliest due first, in a job the shortest remaining; late items last, the oldest first.
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

/// A job with waiting items.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WaitingJob {
    /// Its id.
    pub id: String,
    /// Time since it was accepted.
    pub age: Duration,
    /// Time after acceptance at which it is due; `None` if the route has no target.
    pub due: Option<Duration>,
}

/// A waiting item.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct WaitingItem {
    /// Its index in the job.
    pub index: u32,
    /// Expected remaining time.
    pub remaining: Duration,
}

impl WaitingJob {
    fn urgency(&self, remaining: Duration) -> Urgency {
        Urgency { age: self.age, due: self.due, remaining }
    }

    /// Whether an item with this remaining time can no longer meet its due time.
    pub fn is_late(&self, remaining: Duration) -> bool {
        self.urgency(remaining).is_late()
    }

    /// Orders jobs by the urgency of their items: those that can be in time, or the `late` ones.
    pub fn order(&self, other: &Self, late: bool) -> Ordering {
        let remaining =
            |job: &Self| if late { job.due.unwrap_or_default() } else { Duration::ZERO };
        let order = self.urgency(remaining(self)).order(&other.urgency(remaining(other)));
        order.then_with(|| self.id.cmp(&other.id))
    }
}
