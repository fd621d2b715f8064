//! Slots of the back ends of a pool, counted from the sums of its tables and the few back ends that have work or are
//! left out.

use std::collections::HashMap;

use yokefall_serving::backend_table::BackendTable;
use yokefall_serving::{Backend, BackendIncarnation};

use crate::room::Room;

/// Slots while they are counted.
#[derive(Debug)]
pub struct PoolSlots<'a> {
    tables: &'a [&'a BackendTable],
    /// What is in the slots of back ends with work; `None` for those that are left out.
    taken: HashMap<&'a str, Option<u32>>,
}

impl<'a> PoolSlots<'a> {
    /// All slots of the tables' back ends, none of them taken.
    pub fn new(tables: &'a [&'a BackendTable]) -> Self {
        Self { tables, taken: HashMap::new() }
    }

    fn find(&self, id: &str, started_ms: u64) -> Option<&'a Backend> {
        let found = self.tables.iter().find_map(|table| table.get(id))?;
        (found.started_ms == started_ms).then_some(found)
    }

    /// Leaves out a back end, in one life, if it is in one of the tables.
    pub fn leave_out(&mut self, id: &str, started_ms: u64) {
        if let Some(backend) = self.find(id, started_ms) {
            self.taken.insert(&backend.id, None);
        }
    }

    /// Requests or items have slots of a back end, if it is in one of the tables.
    pub fn take(&mut self, incarnation: &BackendIncarnation, slots: u32) {
        let Some(backend) = self.find(&incarnation.id, incarnation.started_ms) else { return };
        if let Some(taken) = self.taken.entry(&backend.id).or_insert(Some(0)) {
            *taken += slots;
        }
    }

    /// Adds them to a room without any.
    pub fn add_to(self, mut room: Room) -> Room {
        let all: u64 = self.tables.iter().map(|table| table.slots()).sum();
        let mut free = u32::try_from(all).unwrap_or(u32::MAX);
        for (id, taken) in &self.taken {
            let slots =
                self.tables.iter().find_map(|table| table.get(id)).map_or(0, |found| found.slots);
            free -= slots;
            if let Some(taken) = taken {
                room.add(slots, *taken);
            }
        }
        room.add(free, 0);
        room
    }
}
