//! Slots of a pool, counted without looking at each back end.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use quickcheck::quickcheck;
use yokefall_jobstore::pool_slots::PoolSlots;
use yokefall_jobstore::room::Room;
use yokefall_serving::backend_table::BackendTable;
use yokefall_serving::{Backend, BackendIncarnation, BackendState};

fn backend(index: usize) -> Arc<Backend> {
    Arc::new(Backend {
        id: format!("i-{index}"),
        started_ms: 1,
        service: "models".into(),
        address: "127.0.0.1:1".parse().expect("an address"),
        zone: "hall-1".into(),
        slots: 4,
        state: BackendState::Ready,
        cold_remaining_ms: 0,
    })
}

fn incarnation(index: u8) -> BackendIncarnation {
    BackendIncarnation { id: format!("i-{index}"), started_ms: 1 }
}

/// Every back end of a pool was looked at up to fifty times a second, and before 10,000 the leader came to little else.
fn by_each_back_end(count: u8, left_out: &[u8], taken: &[(u8, u8)]) -> (u32, u32) {
    let mut of_each: BTreeMap<u8, u32> = BTreeMap::new();
    for (index, slots) in taken {
        *of_each.entry(*index).or_default() += u32::from(*slots);
    }
    let mut room = Room::new(Duration::from_millis(20));
    for index in (0..count).filter(|index| !left_out.contains(index)) {
        room.add(4, of_each.get(&index).copied().unwrap_or(0));
    }
    (room.slots, room.free)
}

quickcheck! {
    fn sums_and_the_few_with_work_tell_the_same_as_all(
        count: u8, left_out: Vec<u8>, taken: Vec<(u8, u8)>, split: u8
    ) -> bool {
        let all: Vec<Arc<Backend>> = (0..usize::from(count)).map(backend).collect();
        let (left, right) = all.split_at(usize::from(split).min(all.len()));
        let (left, right): (BackendTable, BackendTable) = (left.iter().collect(), right.iter().collect());
        let tables = [&left, &right];
        let mut counted = PoolSlots::new(&tables);
        // In any order: a back end may be found to be left out before or after its work is counted.
        let (early, late) = taken.split_at(taken.len() / 2);
        early.iter().for_each(|(index, slots)| counted.take(&incarnation(*index), u32::from(*slots)));
        left_out.iter().for_each(|index| counted.leave_out(&incarnation(*index).id, 1));
        late.iter().for_each(|(index, slots)| counted.take(&incarnation(*index), u32::from(*slots)));
        // Another life of a back end says nothing of this one.
        counted.take(&BackendIncarnation { id: "i-0".into(), started_ms: 2 }, 1);
        counted.leave_out("i-0", 2);
        let room = counted.add_to(Room::new(Duration::from_millis(20)));
        (room.slots, room.free) == by_each_back_end(count, &left_out, &taken)
    }
}
