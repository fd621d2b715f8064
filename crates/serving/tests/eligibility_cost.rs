//! Measures the cost of eligibility checks for one request. Prints figures and asserts none:
//!
//! ```text
//! cargo test --release -p yokefall-serving --test eligibility_cost -- --nocapture
//! ```

use std::collections::{BTreeMap, BTreeSet};
use std::hint::black_box;
use std::sync::Arc;
use std::time::Instant;

use yokefall_serving::{
    empty_catalog, Backend, BackendState, Catalog, Eligibility, Requirements, Residency, ZoneMap,
    ZoneState,
};

const ROUNDS: u32 = 2_000;
const ZONES: usize = 12;
const ZONES_OF_A_REGION: usize = 3;

fn fleet(count: usize) -> Catalog {
    let backend = |index: usize| {
        Arc::new(Backend {
            id: format!("i-{index:08x}"),
            started_ms: 1,
            service: "models".into(),
            address: "127.0.0.1:1".parse().expect("an address"),
            zone: format!("zone-{}", index % ZONES),
            slots: 8,
            state: BackendState::Ready,
            cold_remaining_ms: 0,
            software_version: Default::default(),
        })
    };
    let backends: Vec<Arc<Backend>> = (0..count).map(backend).collect();
    let region =
        |zone: usize| (format!("zone-{zone}"), format!("region-{}", zone / ZONES_OF_A_REGION));
    let zones = Arc::new(ZoneMap::new((0..ZONES).map(region).collect::<BTreeMap<_, _>>()));
    let zone_state = ZoneState { evacuated: BTreeSet::new(), zones };
    Catalog::with_zones(None, backends.iter(), zone_state)
}

fn nanoseconds(mut step: impl FnMut()) -> u128 {
    let began = Instant::now();
    for _ in 0..ROUNDS {
        step();
    }
    began.elapsed().as_nanos() / u128::from(ROUNDS)
}

#[test]
fn cost_of_candidates_and_permit() {
    let within = |count: usize| {
        Residency::Within((0..count).map(|region| format!("region-{region}")).collect())
    };
    for count in [60, 600, 6_000] {
        let cell = empty_catalog();
        cell.store(Arc::new(fleet(count)));
        let eligibility = Eligibility::new(cell.clone());
        let catalog = cell.load_full();
        let chosen = catalog.ready("models")[count / 2].clone();
        let mut figures = Vec::new();
        for residency in [Residency::Anywhere, within(1), within(2)] {
            let requirements =
                Requirements { service: "models", residency: &residency, software_version: None };
            figures.push(nanoseconds(|| {
                black_box(eligibility.candidates(&catalog, &requirements).len());
            }));
        }
        let requirements = Requirements {
            service: "models",
            residency: &Residency::Anywhere,
            software_version: None,
        };
        let permit = nanoseconds(|| drop(black_box(eligibility.permit(&chosen, &requirements))));
        let ready = nanoseconds(|| {
            black_box(catalog.is_ready(&chosen.id));
        });
        println!(
            "{count} back ends: candidates anywhere {} ns, in one region {} ns, in two {} ns; permit {permit} ns; is_ready {ready} ns",
            figures[0], figures[1], figures[2]
        );
    }
}
