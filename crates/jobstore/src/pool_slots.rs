//! Slots of a pool, from the totals of its tables and the few back ends with work or excluded.

use std::collections::HashMap;

use yokefall_serving::backend_table::BackendTable;
use yokefall_serving::{Backend, BackendIncarnation};

use crate::capacity::Capacity;

/// Slots of a pool while they are counted.
#[derive(Debug)]
pub struct PoolSlots<'a> {
    tables: &'a [&'a BackendTable],
    /// Occupied slots of back ends with work; `None` for excluded back ends.
    occupied: HashMap<&'a str, Option<u32>>,
}

impl<'a> PoolSlots<'a> {
    /// Starts with all slots of the tables' back ends, none of them occupied.
    pub fn new(tables: &'a [&'a BackendTable]) -> Self {
        Self { tables, occupied: HashMap::new() }
    }

    fn find(&self, id: &str, started_ms: u64) -> Option<&'a Backend> {
        let found = self.tables.iter().find_map(|table| table.get(id))?;
        (found.started_ms == started_ms).then_some(found)
    }

    /// Excludes an incarnation of a back end, if it is in one of the tables.
    pub fn exclude(&mut self, id: &str, started_ms: u64) {
        if let Some(backend) = self.find(id, started_ms) {
            self.occupied.insert(&backend.id, None);
        }
    }

    /// Occupies slots of a back end, if it is in one of the tables.
    pub fn occupy(&mut self, incarnation: &BackendIncarnation, slots: u32) {
        let Some(backend) = self.find(&incarnation.id, incarnation.started_ms) else { return };
        if let Some(occupied) = self.occupied.entry(&backend.id).or_insert(Some(0)) {
            *occupied += slots;
        }
    }

    /// Adds the slots to an empty capacity.
    pub fn add_to(self, mut capacity: Capacity) -> Capacity {
        let mut free: u64 = self.tables.iter().map(|table| table.slots()).sum();
        for (id, occupied) in &self.occupied {
            let slots =
                self.tables.iter().find_map(|table| table.get(id)).map_or(0, |found| found.slots);
            free -= u64::from(slots);
            if let Some(occupied) = occupied {
                capacity.add(slots, *occupied);
            }
        }
        capacity.add(u32::try_from(free).unwrap_or(u32::MAX), 0);
        capacity
    }
}
