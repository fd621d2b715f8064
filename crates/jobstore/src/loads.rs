//! What gateways and the runner have in flight at back ends, as the leader hears it.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::time::Duration;

use tokio::time::Instant;

use crate::protocol::{BackendCount, BackendTotal};

/// Time for which what a gateway told counts; gateways tell again before.
const LIFETIME: Duration = Duration::from_millis(1_500);

/// Share of the job store's time for which one gateway asks: what is told is younger where there are
/// few gateways, and one job store hears 250 of them a second at most.
const INTERVAL_PER_GATEWAY: Duration = Duration::from_millis(4);
/// Shortest pause between two tellings; the way there and back takes about a tenth of it.
const SHORTEST_INTERVAL: Duration = Duration::from_millis(20);
/// Longest pause between two tellings while requests come and go.
const LONGEST_INTERVAL: Duration = Duration::from_millis(100);

/// Pause between two tellings of one of so many gateways.
pub fn telling_interval(gateways: usize) -> Duration {
    let shared = INTERVAL_PER_GATEWAY * u32::try_from(gateways).unwrap_or(u32::MAX);
    shared.clamp(SHORTEST_INTERVAL, LONGEST_INTERVAL)
}

#[derive(Debug)]
struct Told {
    at: Instant,
    counts: BTreeMap<String, u32>,
}

/// Requests in flight, by who told of them.
#[derive(Debug, Default)]
pub struct Loads {
    gateways: RefCell<BTreeMap<String, Told>>,
    items: RefCell<BTreeMap<String, u32>>,
}

impl Loads {
    /// Takes what a gateway told in the place of what it told before.
    pub fn take(&self, gateway: &str, counts: Vec<BackendCount>) {
        let counts = counts.into_iter().map(|count| (count.backend, count.requests)).collect();
        let told = Told { at: Instant::now(), counts };
        self.gateways.borrow_mut().insert(gateway.to_owned(), told);
    }

    /// Notes an item that starts at a back end.
    pub fn item_started(&self, backend: &str) {
        *self.items.borrow_mut().entry(backend.to_owned()).or_default() += 1;
    }

    /// Notes an item that no longer runs at a back end.
    pub fn item_ended(&self, backend: &str) {
        let mut items = self.items.borrow_mut();
        if let Some(count) = items.get_mut(backend) {
            *count -= 1;
            if *count == 0 {
                items.remove(backend);
            }
        }
    }

    /// Items at a back end.
    pub fn items(&self, backend: &str) -> u32 {
        self.items.borrow().get(backend).copied().unwrap_or(0)
    }

    /// Online requests at a back end; `None` where no gateway told anything lately.
    pub fn online(&self, backend: &str) -> Option<u32> {
        let mut gateways = self.gateways.borrow_mut();
        gateways.retain(|_, told| told.at.elapsed() < LIFETIME);
        if gateways.is_empty() {
            return None;
        }
        Some(gateways.values().filter_map(|told| told.counts.get(backend)).sum())
    }

    /// Pause between two tellings of a gateway, as many as tell.
    pub fn telling_interval(&self) -> Duration {
        telling_interval(self.gateways.borrow().len())
    }

    /// Everything in flight, by back end.
    pub fn totals(&self) -> Vec<BackendTotal> {
        let mut totals: BTreeMap<String, BackendTotal> = BTreeMap::new();
        for (backend, items) in self.items.borrow().iter() {
            total_of(&mut totals, backend).items = *items;
        }
        for told in self.gateways.borrow().values().filter(|told| told.at.elapsed() < LIFETIME) {
            for (backend, requests) in &told.counts {
                total_of(&mut totals, backend).online += requests;
            }
        }
        totals.into_values().collect()
    }
}

fn total_of<'a>(
    totals: &'a mut BTreeMap<String, BackendTotal>,
    backend: &str,
) -> &'a mut BackendTotal {
    totals.entry(backend.to_owned()).or_insert_with(|| BackendTotal {
        backend: backend.to_owned(),
        online: 0,
        items: 0,
    })
}
