//! The planned stop of a gateway: which requests are still taken, and by when all of them are
//! answered.
//!
//! Invariant: a request that is taken gets an answer before the process ends. Only a stream whose
//! beginning has been relayed can then do no more than break off.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use tokio::sync::Notify;
use tokio::time::Instant;

/// Fraction of the stop time in which requests are taken, since clients cache gateway addresses.
const TAKING_FRACTION: f64 = 0.35;
/// Part of the stop time reserved for the process to exit, and its maximum.
const EXIT_FRACTION: f64 = 1.0 / 12.0;
const MAX_EXIT_TIME: Duration = Duration::from_millis(600);
/// Part of the stop time reserved before that for sending the last answers, and its maximum.
const ANSWERING_FRACTION: f64 = 1.0 / 24.0;
const MAX_ANSWERING_TIME: Duration = Duration::from_millis(300);
/// Multiple of the mean service time that a request must have left, as some take longer than others.
const SERVICE_TIMES: u32 = 4;

/// The times of a planned stop.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StopSchedule {
    /// Until when requests may be taken.
    pub takes_until: Instant,
    /// When what still runs is answered.
    pub answers_at: Instant,
    /// When the process ends at the latest.
    pub ends_at: Instant,
}

/// What is known of a request that arrives during a stop.
#[derive(Clone, Copy, Debug)]
pub struct ArrivingRequest {
    /// When it arrived.
    pub arrived: Instant,
    /// When its client or its route gives it up.
    pub deadline: Instant,
    /// Mean service time of its service, or the latency target of its route if that is not known.
    pub service_time: Duration,
}

impl StopSchedule {
    /// The schedule of a stop that begins now and may take `stop_time`.
    pub fn new(now: Instant, stop_time: Duration) -> Self {
        let exit_time = stop_time.mul_f64(EXIT_FRACTION).min(MAX_EXIT_TIME);
        let answering_time = stop_time.mul_f64(ANSWERING_FRACTION).min(MAX_ANSWERING_TIME);
        let ends_at = now + stop_time - exit_time;
        Self {
            takes_until: now + stop_time.mul_f64(TAKING_FRACTION),
            answers_at: ends_at - answering_time,
            ends_at,
        }
    }

    /// Whether a request is taken: it is early enough, and ends in time by its own deadline or as far
    /// as can be expected.
    pub fn takes(&self, request: &ArrivingRequest) -> bool {
        let expected_end = request.arrived + request.service_time * SERVICE_TIMES;
        request.arrived < self.takes_until && request.deadline.min(expected_end) <= self.answers_at
    }
}

/// Whether a stop has begun, shared by all tasks of the traffic thread.
#[derive(Debug, Default)]
pub struct Stop {
    schedule: Cell<Option<StopSchedule>>,
    begun: Notify,
}

impl Stop {
    /// Begins the stop.
    pub fn begin(&self, schedule: StopSchedule) {
        self.schedule.set(Some(schedule));
        self.begun.notify_waiters();
    }

    /// The schedule of the stop; `None` if none has begun.
    pub fn schedule(&self) -> Option<StopSchedule> {
        self.schedule.get()
    }

    /// Whether the stop has begun.
    pub fn has_begun(&self) -> bool {
        self.schedule.get().is_some()
    }

    /// Completes when what still runs must be answered; never without a stop.
    pub async fn answers_due(&self) {
        let begun = self.begun.notified();
        if !self.has_begun() {
            begun.await;
        }
        if let Some(schedule) = self.schedule.get() {
            tokio::time::sleep_until(schedule.answers_at).await;
        }
    }
}

/// How far a request has come, for the answer that it gets if the stop ends it.
#[derive(Clone, Debug, Default)]
pub struct Stage(Rc<StageCells>);

#[derive(Debug, Default)]
struct StageCells {
    may_have_run: Cell<bool>,
    is_ended_by_stop: Cell<bool>,
}

impl Stage {
    /// Records whether the request may have had an effect.
    pub fn set_may_have_run(&self, may_have_run: bool) {
        self.0.may_have_run.set(may_have_run);
    }

    /// Whether the request may have had an effect.
    pub fn may_have_run(&self) -> bool {
        self.0.may_have_run.get()
    }

    /// Records that the stop ends the request.
    pub fn end_by_stop(&self) {
        self.0.is_ended_by_stop.set(true);
    }

    /// Whether the stop has ended the request.
    pub fn is_ended_by_stop(&self) -> bool {
        self.0.is_ended_by_stop.get()
    }
}
