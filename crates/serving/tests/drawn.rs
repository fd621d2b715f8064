//! Back ends drawn out of many for one request.

use std::sync::Arc;

use rand::rngs::SmallRng;
use rand::SeedableRng;
use yokefall_core::Timestamp;
use yokefall_serving::backend_table::BackendTable;
use yokefall_serving::{
    empty_catalog, Backend, BackendState, Balancer, CandidateSample, Catalog, Eligibility,
    InFlight, Outcome, Policy, Requirements, Residency,
};

const NOW: Timestamp = Timestamp(10_000);
const SLOTS: u32 = 8;

fn backends(count: usize) -> Vec<Arc<Backend>> {
    let backend = |index: usize| Backend {
        id: format!("i-{index:06x}"),
        started_ms: 0,
        service: "models".into(),
        address: "127.0.0.1:1".parse().expect("an address"),
        zone: "hall-1".into(),
        slots: SLOTS,
        state: BackendState::Ready,
        cold_remaining_ms: 0,
    };
    (0..count).map(|index| Arc::new(backend(index))).collect()
}

fn balancer(seed: u64) -> Balancer {
    Balancer::new("hall-1".into(), seed, Policy::default())
}

#[test]
fn few_are_all_looked_at() {
    let all = backends(200);
    let table: BackendTable = all.iter().collect();
    let mut generator = SmallRng::seed_from_u64(1);
    assert_eq!(CandidateSample::of(&[&table], None, &mut generator), None);
}

/// A choice out of 10,000 takes 1 ms of a core where it looks at all of them, with nothing known of any.
#[test]
fn as_many_are_drawn_out_of_20_000_as_out_of_1_000() {
    let mut generator = SmallRng::seed_from_u64(1);
    for count in [1_000, 10_000, 20_000] {
        let all = backends(count);
        let table: BackendTable = all.iter().collect();
        let sample = CandidateSample::of(&[&table], Some(7), &mut generator).expect("out of many");
        assert!((100..=128).contains(&sample.backends.len()), "{}", sample.backends.len());
        assert_eq!(sample.preferred.len(), 2);
        assert!((sample.fraction * count as f64 - sample.backends.len() as f64).abs() < 1e-6);
    }
}

#[test]
fn large_regions_are_drawn_from_more_often() {
    let all = backends(4_000);
    let (small, large): (BackendTable, BackendTable) =
        (all[..400].iter().collect(), all[400..].iter().collect());
    let mut generator = SmallRng::seed_from_u64(1);
    let mut of_small = 0;
    for _ in 0..100 {
        let sample =
            CandidateSample::of(&[&small, &large], None, &mut generator).expect("out of many");
        of_small += sample.backends.iter().filter(|backend| small.contains(&backend.id)).count();
    }
    // A tenth of 12,800, with five times the spread of so many draws.
    assert!((1_110..=1_450).contains(&of_small), "{of_small}");
}

/// The load pattern: slots are nearly full, and processes know each other's loads. No request may meet a full back
/// end while a drawn one has room.
#[test]
fn load_stays_even_up_to_nine_tenths_of_the_slots() {
    let all = backends(1_000);
    let table: BackendTable = all.iter().collect();
    let mut balancer = balancer(1);
    let requests = 1_000 * SLOTS * 9 / 10;
    for _ in 0..requests {
        let sample =
            CandidateSample::of(&[&table], None, balancer.generator()).expect("out of many");
        let chosen = balancer.choose_from_sample(NOW, &sample, &[]).expect("a back end");
        balancer.record_start(&chosen);
    }
    let most = all.iter().map(|backend| balancer.in_flight(backend)).max();
    assert!(most <= Some(SLOTS), "{most:?} requests at a back end with {SLOTS} slots");
}

#[test]
fn a_prefix_goes_to_the_same_back_end_until_that_has_no_room() {
    let all = backends(1_000);
    let table: BackendTable = all.iter().collect();
    let (mut one, mut other) = (balancer(1), balancer(2));
    let choose = |balancer: &mut Balancer| {
        let sample =
            CandidateSample::of(&[&table], Some(7), balancer.generator()).expect("out of many");
        balancer.choose_from_sample(NOW, &sample, &[]).expect("a back end")
    };
    let first = choose(&mut one);
    assert_eq!(first, choose(&mut other), "two processes send a prefix to the same one");
    let full = InFlight { online: SLOTS, items: 0 };
    one.update_totals(NOW, std::iter::once((&first.incarnation(), full)), |_| 0);
    let second = choose(&mut one);
    assert_ne!(first, second);
    assert_eq!(second, choose(&mut one));
}

/// Nine tenths of a service are left out for failures: a draw may hold none of the others, which are then looked for
/// among all.
#[test]
fn where_all_drawn_ones_are_left_out_the_choice_is_among_all() {
    let all = backends(1_000);
    let cell = empty_catalog();
    cell.store(Arc::new(Catalog::new(None, all.iter())));
    let catalog = cell.load_full();
    let eligibility = Eligibility::new(cell.clone());
    let requirements = Requirements { service: "models", residency: &Residency::Anywhere };
    let mut balancer = balancer(1);
    for backend in &all[1..] {
        balancer.record_start(backend);
        balancer.record_end(NOW, backend, Outcome::Unreachable);
    }
    let sample =
        eligibility.sample(&catalog, &requirements, None, balancer.generator()).expect("of many");
    if !sample.backends.contains(&all[0]) {
        assert_eq!(balancer.choose_from_sample(NOW, &sample, &[]), None);
    }
    let candidates = eligibility.candidates(&catalog, &requirements);
    let chosen = balancer.choose(NOW, &candidates, &[], None);
    assert_eq!(chosen.as_ref(), Some(&all[0]));
}
