//! Which requests a stopping gateway takes, and by when it answers them.

use std::time::Duration;

use quickcheck::quickcheck;
use tokio::time::Instant;
use yokefall_gateway::stop::{ArrivingRequest, StopSchedule};

const STOP_TIME: Duration = Duration::from_secs(8);

fn milliseconds(milliseconds: u64) -> Duration {
    Duration::from_millis(milliseconds)
}

quickcheck! {
    /// Work that is cut off is at least given five sixths of the time, and the answers are sent before
    /// the process must be gone.
    fn what_runs_is_answered_in_the_last_sixth(stop_ms: u16) -> bool {
        let stop_time = milliseconds(u64::from(stop_ms) + 500);
        let now = Instant::now();
        let StopSchedule { takes_until, answers_at, ends_at } = StopSchedule::new(now, stop_time);
        takes_until < answers_at
            && answers_at >= now + stop_time.mul_f64(5.0 / 6.0)
            && answers_at < ends_at
            && ends_at < now + stop_time
    }

    /// A request is taken only if its own deadline or four service times end before the answers.
    fn what_is_taken_is_expected_to_end_in_time(after_ms: u16, left_ms: u16, service_ms: u16) -> bool {
        let now = Instant::now();
        let schedule = StopSchedule::new(now, STOP_TIME);
        let arrived = now + milliseconds(after_ms.into());
        let (left, service_time) = (milliseconds(left_ms.into()), milliseconds(service_ms.into()));
        let ends_in_time = arrived + left.min(4 * service_time) <= schedule.answers_at;
        let is_early = arrived < schedule.takes_until;
        let request = ArrivingRequest { arrived, deadline: arrived + left, service_time };
        schedule.takes(&request) == (is_early && ends_in_time)
    }
}
