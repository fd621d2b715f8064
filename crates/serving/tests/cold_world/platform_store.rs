//! Content of the platform's store over time.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use yokefall_serving::{
    Backend, BackendState, Catalog, Configuration, Service, WarmUp, ZoneMap, ZoneState,
};

use super::{BackEnd, PublishedCatalog};

/// Time for which a back end is cold after its start.
pub const DURATION_MS: u64 = 3_000;
pub const SERVICE: &str = "models";

/// Records written so far, and those still to be written.
#[derive(Default)]
pub struct PlatformStore {
    history: Vec<PublishedCatalog>,
    records: BTreeMap<usize, Arc<Backend>>,
    /// Evacuated zones, and since when.
    evacuated: BTreeMap<usize, u64>,
    to_write: Vec<(u64, usize)>,
    evacuations_to_end: Vec<(u64, usize)>,
}

impl PlatformStore {
    pub fn publish(&mut self, now: u64, written_at: u64, back_ends: &[BackEnd]) {
        for back_end in back_ends {
            self.write(written_at, back_end);
        }
        self.append_catalog(now);
    }

    fn write(&mut self, now: u64, back_end: &BackEnd) {
        let record = Backend {
            id: back_end.id(),
            started_ms: back_end.incarnation,
            service: SERVICE.into(),
            address: "127.0.0.1:1".parse().expect("an address"),
            zone: back_end.zone.to_string(),
            slots: 8,
            state: BackendState::Ready,
            cold_remaining_ms: back_end.cold_until.saturating_sub(now),
            software_version: Default::default(),
        };
        self.records.insert(back_end.number, Arc::new(record));
    }

    fn append_catalog(&mut self, now: u64) {
        let service = Service {
            name: SERVICE.into(),
            health_path: "/health".into(),
            max_connections: 64,
            warm_up: Some(WarmUp { duration_ms: DURATION_MS, per_1000_seconds: 15_000 }),
        };
        let services = vec![service];
        let configuration = Configuration { version: 1, services, ..Configuration::default() };
        let evacuated: BTreeSet<String> = self.evacuated.keys().map(usize::to_string).collect();
        let zone_state = ZoneState { evacuated, zones: Arc::new(ZoneMap::default()) };
        let catalog =
            Catalog::with_zones(Some(Arc::new(configuration)), self.records.values(), zone_state);
        self.history.push((now, Arc::new(catalog)));
    }

    pub fn write_later(&mut self, at: u64, number: usize) {
        self.to_write.push((at, number));
    }

    pub fn end_evacuation_later(&mut self, at: u64, zone: usize) {
        self.evacuations_to_end.push((at, zone));
    }

    /// Evacuates a zone; returns false if it was evacuated already.
    pub fn evacuate(&mut self, now: u64, zone: usize, _back_ends: &[BackEnd]) -> bool {
        if self.evacuated.contains_key(&zone) {
            return false;
        }
        self.evacuated.insert(zone, now);
        self.append_catalog(now);
        true
    }

    pub fn evacuated_for(&self, now: u64, zone: usize) -> u64 {
        self.evacuated.get(&zone).map_or(0, |since| now - since)
    }

    pub fn apply_due(&mut self, now: u64, back_ends: &[BackEnd]) {
        let (due, rest) = self.to_write.iter().partition(|(at, _)| *at <= now);
        self.to_write = rest;
        let ended: Vec<(u64, usize)>;
        (ended, self.evacuations_to_end) =
            self.evacuations_to_end.iter().partition(|(at, _)| *at <= now);
        let due: Vec<(u64, usize)> = due;
        if due.is_empty() && ended.is_empty() {
            return;
        }
        for (_, number) in due {
            // A back end that is down again writes its record when it returns.
            if back_ends[number].is_up(now) {
                self.write(now, &back_ends[number]);
            }
        }
        for (_, zone) in ended {
            self.evacuated.remove(&zone);
        }
        self.append_catalog(now);
    }

    pub fn published_at(&self, moment: u64) -> PublishedCatalog {
        let published = self.history.iter().rev().find(|(at, _)| *at <= moment);
        published.or(self.history.first()).cloned().expect("a catalog")
    }
}
