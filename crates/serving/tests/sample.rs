//! Random samples of candidates for one request.

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
        software_version: Default::default(),
    };
    (0..count).map(|index| Arc::new(backend(index))).collect()
}

fn balancer(seed: u64) -> Balancer {
    Balancer::new("hall-1".into(), seed, Policy::default())
}

#[test]
fn few_candidates_are_not_sampled() {
    let all = backends(200);
    let table: BackendTable = all.iter().collect();
    let mut generator = SmallRng::seed_from_u64(1);
    assert_eq!(CandidateSample::of(&[&table], None, &mut generator), None);
}

/// Cost must not grow with the fleet: choosing among 10,000 without load data takes 1 ms of a core.
#[test]
fn the_sample_size_does_not_grow_with_the_fleet() {
    let mut generator = SmallRng::seed_from_u64(1);
    for count in [1_000, 10_000, 20_000] {
        let all = backends(count);
        let table: BackendTable = all.iter().collect();
        let sample = CandidateSample::of(&[&table], Some(7), &mut generator).expect("a sample");
        assert!((100..=128).contains(&sample.backends.len()), "{}", sample.backends.len());
        assert_eq!(sample.preferred.len(), 2);
        assert!((sample.fraction * count as f64 - sample.backends.len() as f64).abs() < 1e-6);
    }
}

#[test]
fn large_regions_are_sampled_more_often() {
    let all = backends(4_000);
    let (small, large): (BackendTable, BackendTable) =
        (all[..400].iter().collect(), all[400..].iter().collect());
    let mut generator = SmallRng::seed_from_u64(1);
    let mut from_small = 0;
    for _ in 0..100 {
        let sample =
            CandidateSample::of(&[&small, &large], None, &mut generator).expect("a sample");
        from_small += sample.backends.iter().filter(|backend| small.contains(&backend.id)).count();
    }
    // A tenth of 12,800, within five standard deviations.
    assert!((1_110..=1_450).contains(&from_small), "{from_small}");
}

/// With loads known and slots nearly full, no full back end is chosen while a sampled one has room.
#[test]
fn load_stays_even_up_to_nine_tenths_of_the_slots() {
    let all = backends(1_000);
    let table: BackendTable = all.iter().collect();
    let mut balancer = balancer(1);
    let requests = 1_000 * SLOTS * 9 / 10;
    for _ in 0..requests {
        let sample = CandidateSample::of(&[&table], None, balancer.generator()).expect("a sample");
        let chosen = balancer.choose_from_sample(NOW, &sample, &[]).expect("a back end");
        balancer.record_start(&chosen);
    }
    let most = all.iter().map(|backend| balancer.in_flight(backend)).max();
    assert!(most <= Some(SLOTS), "{most:?} requests at a back end with {SLOTS} slots");
}

#[test]
fn a_prefix_goes_to_the_same_back_end_while_it_has_capacity() {
    let all = backends(1_000);
    let table: BackendTable = all.iter().collect();
    let (mut one, mut other) = (balancer(1), balancer(2));
    let choose = |balancer: &mut Balancer| {
        let sample =
            CandidateSample::of(&[&table], Some(7), balancer.generator()).expect("a sample");
        balancer.choose_from_sample(NOW, &sample, &[]).expect("a back end")
    };
    let first = choose(&mut one);
    assert_eq!(first, choose(&mut other), "two processes choose the same back end for a prefix");
    let full = InFlight { online: SLOTS, items: 0 };
    one.update_totals(NOW, std::iter::once((&first.incarnation(), full)), |_| 0);
    let second = choose(&mut one);
    assert_ne!(first, second);
    assert_eq!(second, choose(&mut one));
}

/// With 999 of 1,000 back ends ejected, a sample may hold none usable; all are looked at then.
#[test]
fn if_the_whole_sample_is_ejected_the_choice_is_among_all() {
    let all = backends(1_000);
    let cell = empty_catalog();
    cell.store(Arc::new(Catalog::new(None, all.iter())));
    let catalog = cell.load_full();
    let eligibility = Eligibility::new(cell.clone());
    let requirements =
        Requirements { service: "models", residency: &Residency::Anywhere, software_version: None };
    let mut balancer = balancer(1);
    for backend in &all[1..] {
        balancer.record_start(backend);
        balancer.record_end(NOW, backend, Outcome::Unreachable);
    }
    let sample =
        eligibility.sample(&catalog, &requirements, None, balancer.generator()).expect("a sample");
    if !sample.backends.contains(&all[0]) {
        assert_eq!(balancer.choose_from_sample(NOW, &sample, &[]), None);
    }
    let candidates = eligibility.candidates(&catalog, &requirements);
    let chosen = balancer.choose(NOW, &candidates, &[], None);
    assert_eq!(chosen.as_ref(), Some(&all[0]));
}
