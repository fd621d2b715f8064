//! Slots of a pool, counted without examining each back end.

mod support;

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use quickcheck::quickcheck;
use support::backend;
use yokefall_jobstore::capacity::Capacity;
use yokefall_jobstore::pool_slots::PoolSlots;
use yokefall_serving::backend_table::BackendTable;
use yokefall_serving::{Backend, BackendIncarnation};

fn incarnation(index: u8) -> BackendIncarnation {
    BackendIncarnation { id: format!("i-{index}"), started_ms: 1 }
}

/// Reference: examines every back end. Done up to fifty times a second with 10,000 back ends, this
/// left the leader little time for anything else.
fn count_each_back_end(count: u8, excluded: &[u8], taken: &[(u8, u8)]) -> (u32, u32) {
    let mut of_each: BTreeMap<u8, u32> = BTreeMap::new();
    for (index, slots) in taken {
        *of_each.entry(*index).or_default() += u32::from(*slots);
    }
    let mut capacity = Capacity::new(Duration::from_millis(20));
    for index in (0..count).filter(|index| !excluded.contains(index)) {
        capacity.add(4, of_each.get(&index).copied().unwrap_or(0));
    }
    (capacity.slots, capacity.free)
}

quickcheck! {
    fn table_totals_give_the_same_capacity_as_each_back_end(
        count: u8, excluded: Vec<u8>, taken: Vec<(u8, u8)>, split: u8
    ) -> bool {
        let all: Vec<Arc<Backend>> =
            (0..usize::from(count)).map(|number| Arc::new(backend(number, 4))).collect();
        let (left, right) = all.split_at(usize::from(split).min(all.len()));
        let (left, right): (BackendTable, BackendTable) =
            (left.iter().collect(), right.iter().collect());
        let tables = [&left, &right];
        let mut counted = PoolSlots::new(&tables);
        // Order does not matter: a back end may be excluded before or after its work is counted.
        let (early, late) = taken.split_at(taken.len() / 2);
        early
            .iter()
            .for_each(|(index, slots)| counted.occupy(&incarnation(*index), u32::from(*slots)));
        excluded.iter().for_each(|index| counted.exclude(&incarnation(*index).id, 1));
        late.iter()
            .for_each(|(index, slots)| counted.occupy(&incarnation(*index), u32::from(*slots)));
        // Another incarnation of a back end does not affect this one.
        counted.occupy(&BackendIncarnation { id: "i-0".into(), started_ms: 2 }, 1);
        counted.exclude("i-0", 2);
        let capacity = counted.add_to(Capacity::new(Duration::from_millis(20)));
        (capacity.slots, capacity.free) == count_each_back_end(count, &excluded, &taken)
    }
}
