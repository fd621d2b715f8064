//! How long items have waited for a run, and why: log lines and metrics for items that wait longer
//! than any safeguard may withhold them.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::time::Duration;

use tokio::time::Instant;
use yokefall_telemetry::{EventName, LogLine};

use crate::running::ItemKey;

/// Wait from which an item is logged: longer than any safeguard withholds one after its cause ends.
const LOGGED_WAIT: Duration = Duration::from_millis(12_000);
/// Minimum interval between two lines about the same item.
const RELOG_INTERVAL: Duration = Duration::from_millis(10_000);
/// Maximum number of lines per review.
const MAX_LINES_PER_REVIEW: usize = 16;
const REVIEW_INTERVAL: Duration = Duration::from_millis(1_000);

/// Why an item does not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WaitCause {
    /// Back ends crashed under it or under a part of its prompt.
    HeldBack,
    /// No configuration has been received yet.
    NoConfiguration,
    /// The configuration has no route for it.
    NoRoute,
    /// Its host and path belong to a route that is not for batch jobs.
    NoBatchRoute,
    /// Its route has no service.
    NoService,
    /// It has got a result, or its job was ended, since the scheduling pass began.
    Ended,
    /// Back ends of the software version of its output have no free slot.
    SoftwareVersion,
    /// No back end has a slot for it.
    NoSlot,
    /// No job store may send it to the chosen back end, which is not known to be warm.
    NoWorker,
}

impl WaitCause {
    const ALL: [Self; 9] = [
        Self::HeldBack,
        Self::NoConfiguration,
        Self::NoRoute,
        Self::NoBatchRoute,
        Self::NoService,
        Self::Ended,
        Self::SoftwareVersion,
        Self::NoSlot,
        Self::NoWorker,
    ];

    /// Name of the cause in log lines and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::HeldBack => "held-back",
            Self::NoConfiguration => "no-configuration",
            Self::NoRoute => "no-route",
            Self::NoBatchRoute => "no-batch-route",
            Self::NoService => "no-service",
            Self::Ended => "ended",
            Self::SoftwareVersion => "software-version",
            Self::NoSlot => "no-slot",
            Self::NoWorker => "no-worker",
        }
    }
}

#[derive(Debug)]
struct ItemWait {
    since: Instant,
    cause: WaitCause,
    logged_at: Option<Instant>,
}

impl ItemWait {
    fn is_due(&self, now: Instant) -> bool {
        now - self.since >= LOGGED_WAIT
            && self.logged_at.is_none_or(|logged_at| now - logged_at >= RELOG_INTERVAL)
    }
}

/// Waits of the items that the leader wanted to start and could not. Of items that wait for a slot
/// only the first in line of each job is among them.
#[derive(Debug, Default)]
pub struct ItemWaits {
    waits: RefCell<HashMap<ItemKey, ItemWait>>,
    reviewed_at: Cell<Option<Instant>>,
}

impl ItemWaits {
    /// Records that an item could not start.
    pub fn record(&self, key: &ItemKey, cause: WaitCause) {
        let mut waits = self.waits.borrow_mut();
        if let Some(wait) = waits.get_mut(key) {
            wait.cause = cause;
            return;
        }
        let wait = ItemWait { since: Instant::now(), cause, logged_at: None };
        waits.insert(key.clone(), wait);
    }

    /// Records that an item runs.
    pub fn record_start(&self, key: &ItemKey) {
        self.waits.borrow_mut().remove(key);
    }

    /// Updates the metrics and logs the items that wait for too long. `item_id` returns the id of an
    /// item; `None` if it has ended.
    pub fn review(&self, item_id: impl Fn(&ItemKey) -> Option<String>) {
        let now = Instant::now();
        if self.reviewed_at.get().is_some_and(|reviewed_at| now - reviewed_at < REVIEW_INTERVAL) {
            return;
        }
        self.reviewed_at.set(Some(now));
        let mut waits = self.waits.borrow_mut();
        waits.retain(|key, _| item_id(key).is_some());
        for cause in WaitCause::ALL {
            let of_cause = waits.values().filter(|wait| wait.cause == cause);
            let longest = of_cause.map(|wait| now - wait.since).max();
            longest_wait(cause).set(longest.unwrap_or_default().as_secs_f64());
        }
        let due = waits.iter_mut().filter(|(_, wait)| wait.is_due(now));
        for (key, wait) in due.take(MAX_LINES_PER_REVIEW) {
            wait.logged_at = Some(now);
            LogLine::new(EventName::ItemWaiting)
                .id(item_id(key).unwrap_or_default())
                .text("job", &key.0)
                .field("waited_ms", (now - wait.since).as_millis() as u64)
                .field("cause", wait.cause.name())
                .write();
        }
    }

    /// Forgets all waits, as another replica starts items from now on.
    pub fn clear(&self) {
        self.waits.borrow_mut().clear();
        WaitCause::ALL.into_iter().for_each(|cause| longest_wait(cause).set(0.0));
    }
}

fn longest_wait(cause: WaitCause) -> metrics::Gauge {
    metrics::gauge!("job_store_longest_item_wait_seconds", "cause" => cause.name())
}
