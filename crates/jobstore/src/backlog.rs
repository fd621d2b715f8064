//! Logs and metrics about items that wait for a slot, and the limit that holds them back.

use std::cell::RefCell;
use std::collections::HashMap;
use std::time::Duration;

use tokio::time::Instant;
use yokefall_telemetry::{EventName, LogLine};

use crate::capacity::ServiceSlots;

/// Minimum interval between log lines per service: the limit changes often under varying load.
const MIN_LOG_INTERVAL: Duration = Duration::from_millis(1_000);
const RELOG_INTERVAL: Duration = Duration::from_millis(5_000);

/// What prevents the items of a service from starting.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Limit {
    NoBackend,
    /// Every back end is full or ejected after failures.
    NoFreeSlot,
    /// The free slots are reserved for online requests.
    Reserve,
    /// This process runs as many items as its memory allows.
    Runs,
}

impl Limit {
    fn text(self) -> &'static str {
        match self {
            Self::NoBackend => "no back end accepts work",
            Self::NoFreeSlot => "no back end has a free slot",
            Self::Reserve => "free slots are reserved for online requests",
            Self::Runs => "as many items run as memory allows",
        }
    }
}

#[derive(Clone, Copy, Debug)]
pub struct PassStats {
    pub running: usize,
    pub max_runs: usize,
    /// Gateways whose load reports are current.
    pub reporting_gateways: u32,
}

#[derive(Debug, Default)]
pub struct Backlog {
    logged: RefCell<HashMap<String, (Limit, Instant)>>,
}

impl Backlog {
    pub fn record<'a>(
        &self,
        services: impl Iterator<Item = (&'a String, &'a ServiceSlots)>,
        stats: PassStats,
    ) {
        let now = Instant::now();
        let logged = &mut *self.logged.borrow_mut();
        let waiting: HashMap<&String, &ServiceSlots> =
            services.filter(|(_, slots)| slots.queued > 0).collect();
        logged.retain(|service, _| {
            let is_waiting = waiting.contains_key(service);
            if !is_waiting {
                queued_items(service).set(0.0);
            }
            is_waiting
        });
        for (service, slots) in waiting {
            let limit = limit(slots, stats);
            let is_due = logged.get(service).is_none_or(|(before, at)| {
                let since = now.duration_since(*at);
                since >= RELOG_INTERVAL || (*before != limit && since >= MIN_LOG_INTERVAL)
            });
            if is_due {
                logged.insert(service.clone(), (limit, now));
                log_backlog(service, slots, limit, stats);
            }
        }
        metrics::gauge!("job_store_gateways_heard").set(f64::from(stats.reporting_gateways));
        metrics::gauge!("job_store_items_running").set(stats.running as f64);
    }
}

fn queued_items(service: &str) -> metrics::Gauge {
    metrics::gauge!("job_store_items_held", "service" => service.to_owned())
}

fn limit(slots: &ServiceSlots, stats: PassStats) -> Limit {
    if stats.running >= stats.max_runs {
        return Limit::Runs;
    }
    let capacity = slots.capacity();
    if capacity.slots == 0 {
        return Limit::NoBackend;
    }
    match capacity.startable_items() == 0 && capacity.free > 0 {
        true => Limit::Reserve,
        false => Limit::NoFreeSlot,
    }
}

fn log_backlog(service: &str, slots: &ServiceSlots, limit: Limit, stats: PassStats) {
    let capacity = slots.capacity();
    queued_items(service).set(slots.queued as f64);
    LogLine::new(EventName::ItemsHeld)
        .id(service)
        .field("held", slots.queued)
        .field("running", stats.running)
        .field("slots", capacity.slots)
        .field("free", capacity.free)
        .field("reserve", capacity.reserve())
        .field("gateways_heard", stats.reporting_gateways)
        .field("limit", limit.text())
        .write();
}
