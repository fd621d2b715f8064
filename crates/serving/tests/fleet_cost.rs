//! Cost for a process of one change, and for a request of choosing a back end, as the fleet grows.
//! Prints times and asserts none: `cargo test --release -p yokefall-serving --test fleet_cost --
//! --nocapture`. Operation counts are asserted in `backend_table.rs` and `sample.rs`.

use std::cell::RefCell;
use std::hint::black_box;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use yokefall_core::membership::{MemberRecord, MemberState, Membership};
use yokefall_core::Timestamp;
use yokefall_serving::fleet::FleetMember;
use yokefall_serving::observer::LoggingObserver;
use yokefall_serving::state_exchange::StateRequest;
use yokefall_serving::watch::{PlatformState, SharedPlatformState, Sink};
use yokefall_serving::watch_role::Ranking;
use yokefall_serving::{
    empty_catalog, Backend, BackendState, Balancer, CatalogCell, Change, Eligibility, Listing,
    Policy, Requirements, Residency,
};

const NOW: Timestamp = Timestamp(10_000);
const ROUNDS: u32 = 50;
const ZONES: usize = 5;

fn backend(index: usize, state: BackendState) -> Backend {
    Backend {
        id: format!("i-{index:08x}"),
        started_ms: 1,
        service: "models".into(),
        address: "127.0.0.1:1".parse().expect("an address"),
        zone: format!("zone-{}", index % ZONES),
        slots: 8,
        state,
        cold_remaining_ms: 0,
        software_version: Default::default(),
    }
}

fn change(index: usize, revision: u64, state: BackendState) -> Change<Backend> {
    let backend = backend(index, state);
    Change { name: backend.id.clone(), revision, value: Some(backend) }
}

struct Process {
    shared: SharedPlatformState<LoggingObserver>,
    cell: CatalogCell,
}

fn process(count: usize) -> Process {
    let cell = empty_catalog();
    let platform_state = PlatformState::new(cell.clone(), Arc::default());
    let shared = SharedPlatformState {
        platform_state: Rc::new(RefCell::new(platform_state)),
        observer: Rc::new(LoggingObserver::new(|| {})),
    };
    let items = (0..count).map(|index| change(index, 1, BackendState::Ready)).collect();
    Sink::<Backend>::replace(&shared, Listing { items, revision: 1 });
    Process { shared, cell }
}

fn mean(mut step: impl FnMut(u32)) -> Duration {
    let began = Instant::now();
    (0..ROUNDS).for_each(&mut step);
    began.elapsed() / ROUNDS
}

#[test]
fn cost_of_back_ends() {
    for count in [1_000, 10_000, 20_000] {
        let process = process(count);
        let state = |round: u32| match round % 2 {
            0 => BackendState::Draining,
            _ => BackendState::Ready,
        };
        let applied = mean(|round| {
            let revision = 2 + u64::from(round);
            let changes = vec![change(count / 2, revision, state(round))];
            Sink::<Backend>::apply(&process.shared, changes, revision);
        });
        let mut known = process.shared.platform_state.borrow().digest();
        known.backends_revision -= 1;
        let response_built = mean(|_| {
            let request = StateRequest { known, whole: false };
            black_box(process.shared.platform_state.borrow().answer(&request));
        });
        let catalog = process.cell.load_full();
        let mut balancer = Balancer::new("zone-1".into(), 1, Policy::default());
        let all = catalog.ready("models");
        let chosen_from_all = mean(|_| {
            black_box(balancer.choose(NOW, all, &[], None));
        });
        let eligibility = Eligibility::new(process.cell.clone());
        let requirements = Requirements {
            service: "models",
            residency: &Residency::Anywhere,
            software_version: None,
        };
        let chosen_from_sample = mean(|_| {
            let sample = eligibility.sample(&catalog, &requirements, Some(7), balancer.generator());
            black_box(sample.and_then(|sample| balancer.choose_from_sample(NOW, &sample, &[])));
        });
        println!(
            "{count} back ends: change applied {applied:?}, response built {response_built:?}; chosen from all {chosen_from_all:?}, from a sample {chosen_from_sample:?}"
        );
    }
}

fn record(index: usize) -> MemberRecord {
    MemberRecord {
        node: format!("edge-zone-{}-{index}", index % ZONES).as_str().into(),
        incarnation: 1_700_000_000_000,
        address: format!("10.1.{}.{}:7660", index / 250, index % 250),
        zone: format!("zone-{}", index % ZONES),
        region: "region-1".into(),
        data: index % 7 == 0,
        state: MemberState::Alive,
    }
}

#[test]
fn cost_of_members() {
    for count in [100, 1_000, 2_000] {
        let mut members = Membership::new(record(0), Vec::new(), 1);
        let began = Instant::now();
        for index in 1..count {
            let mut new_member = Membership::new(record(index), vec![record(0).address], 3);
            for joining in new_member.tick(NOW) {
                black_box(members.receive(NOW, joining.datagram, "10.9.9.9:1"));
            }
        }
        let joined = began.elapsed() / count as u32;
        let probed = mean(|round| {
            let now = NOW.plus_millis(10_000 + 500 * u64::from(round));
            black_box(members.tick(now));
        });
        let listed = mean(|_| {
            black_box(members.records());
        });
        let fleet: Vec<FleetMember> = (0..count)
            .map(|index| FleetMember {
                name: record(index).node.to_string(),
                address: record(index).address.parse().expect("an address"),
                zone: record(index).zone,
                job_store: record(index).data,
                accepting: true,
            })
            .collect();
        let ranked = mean(|_| {
            black_box(Ranking::new(&fleet, "zone-1", &fleet[1].name));
        });
        println!(
            "{count} members: joined {joined:?}, a probe {probed:?}, listed {listed:?}, ranked {ranked:?}"
        );
    }
}
