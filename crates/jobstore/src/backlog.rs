//! Tells which items wait for a slot, and what keeps them from one.

use std::cell::RefCell;
use std::collections::HashMap;
use std::time::Duration;

use tokio::time::Instant;
use yokefall_telemetry::{EventName, LogLine};

use crate::room::ServiceSlots;

/// Least interval between two lines about the items of one service: a limit changes many times a second
/// where online requests come and go.
const LEAST_INTERVAL: Duration = Duration::from_millis(1_000);
/// Interval at which a limit that lasts is told again.
const REPEAT_INTERVAL: Duration = Duration::from_millis(5_000);

/// What keeps items of a service from running.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Limit {
    /// No back end of the service takes work.
    NoBackend,
    /// Each back end is full, or left out for its failures.
    NoFreeSlot,
    /// The free slots are kept for online requests.
    Reserve,
    /// This process runs as many items as its memory allows.
    Runs,
}

impl Limit {
    /// As it stands in lines.
    fn text(self) -> &'static str {
        match self {
            Self::NoBackend => "no back end takes work",
            Self::NoFreeSlot => "no back end has a free slot",
            Self::Reserve => "free slots are kept for online requests",
            Self::Runs => "as many items run as memory allows",
        }
    }
}

/// Runs and reports that a scheduling pass found.
#[derive(Clone, Copy, Debug)]
pub struct PassFigures {
    /// Items that this leader runs.
    pub running: usize,
    /// Items that it runs at most.
    pub max_runs: usize,
    /// Gateways whose reports count.
    pub gateways_heard: u32,
}

/// What was told last, by service.
#[derive(Debug, Default)]
pub struct Backlog {
    told: RefCell<HashMap<String, (Limit, Instant)>>,
}

impl Backlog {
    /// Tells of the items that a pass left waiting.
    pub fn note<'a>(
        &self,
        services: impl Iterator<Item = (&'a String, &'a ServiceSlots)>,
        figures: PassFigures,
    ) {
        let now = Instant::now();
        let told = &mut *self.told.borrow_mut();
        let held: HashMap<&String, &ServiceSlots> =
            services.filter(|(_, slots)| slots.held > 0).collect();
        told.retain(|service, _| {
            let is_held = held.contains_key(service);
            if !is_held {
                held_items(service).set(0.0);
            }
            is_held
        });
        for (service, slots) in held {
            let limit = limit(slots, figures);
            let is_due = told.get(service).is_none_or(|(before, at)| {
                let since = now.duration_since(*at);
                since >= REPEAT_INTERVAL || (*before != limit && since >= LEAST_INTERVAL)
            });
            if is_due {
                told.insert(service.clone(), (limit, now));
                tell(service, slots, limit, figures);
            }
        }
        metrics::gauge!("job_store_gateways_heard").set(f64::from(figures.gateways_heard));
        metrics::gauge!("job_store_items_running").set(figures.running as f64);
    }
}

fn held_items(service: &str) -> metrics::Gauge {
    metrics::gauge!("job_store_items_held", "service" => service.to_owned())
}

fn limit(slots: &ServiceSlots, figures: PassFigures) -> Limit {
    if figures.running >= figures.max_runs {
        return Limit::Runs;
    }
    let room = slots.room();
    if room.slots == 0 {
        return Limit::NoBackend;
    }
    match room.items() == 0 && room.free > 0 {
        true => Limit::Reserve,
        false => Limit::NoFreeSlot,
    }
}

fn tell(service: &str, slots: &ServiceSlots, limit: Limit, figures: PassFigures) {
    let room = slots.room();
    held_items(service).set(slots.held as f64);
    LogLine::new(EventName::ItemsHeld)
        .id(service)
        .field("held", slots.held)
        .field("running", figures.running)
        .field("slots", room.slots)
        .field("free", room.free)
        .field("reserve", room.reserve())
        .field("gateways_heard", figures.gateways_heard)
        .field("limit", limit.text())
        .write();
}
