//! Choices by many processes that know the same, slightly old loads.

use rand::rngs::SmallRng;
use rand::SeedableRng;
use yokefall_core::Timestamp;
use yokefall_serving::water_filling::{choose_weighted, LoadLevel};
use yokefall_serving::{Backend, BackendIncarnation, BackendState, Balancer, InFlight, Policy};

use std::collections::HashMap;
use std::sync::Arc;

const BACK_ENDS: usize = 72;
const GATEWAYS: u64 = 76;
const SLOTS: u32 = 9;
const REPORT_INTERVAL_MS: u64 = 100;

fn online(requests: u32) -> InFlight {
    InFlight { online: requests, items: 0 }
}

fn level(load: f64) -> LoadLevel {
    LoadLevel { load, slots: 10.0 }
}

#[test]
fn one_request_goes_to_the_least_loaded() {
    let mut generator = SmallRng::seed_from_u64(1);
    let levels = [level(0.5), level(0.1), level(0.5)];
    for _ in 0..50 {
        assert_eq!(choose_weighted(&mut generator, &levels, 1.0), Some(1));
    }
    assert_eq!(choose_weighted(&mut generator, &[], 1.0), None);
}

#[test]
fn many_requests_are_distributed_in_proportion_to_free_slots() {
    let mut generator = SmallRng::seed_from_u64(2);
    // Below the third, 4 slots are free at the first and 2 at the second: six requests fill them.
    let levels = [level(0.0), level(0.2), level(0.4)];
    let mut counts = [0; 3];
    for _ in 0..6_000 {
        counts[choose_weighted(&mut generator, &levels, 6.0).expect("a back end")] += 1;
    }
    assert_eq!(counts[2], 0);
    assert!((3_700..4_300).contains(&counts[0]), "{counts:?}");
}

fn back_ends() -> Vec<Arc<Backend>> {
    let back_end = |index: usize| Backend {
        id: format!("i-{index}"),
        started_ms: 0,
        service: "models".into(),
        address: format!("127.0.0.1:{}", 1_000 + index).parse().expect("an address"),
        zone: "hall-1".into(),
        slots: SLOTS,
        state: BackendState::Ready,
        cold_remaining_ms: 0,
        software_version: Default::default(),
    };
    (0..BACK_ENDS).map(|index| Arc::new(back_end(index))).collect()
}

/// Gateways that ignored others' requests at back ends they had not used all chose the same one.
#[test]
fn gateways_with_equal_loads_do_not_choose_the_same_back_end() {
    let all = back_ends();
    let mut balancers: Vec<Balancer> =
        (0..GATEWAYS).map(|seed| Balancer::new("hall-1".into(), seed, Policy::default())).collect();
    // Back end i-0 is the least loaded, i-1 to i-35 have free slots, the others are full.
    let load = |index: usize| match index {
        0 => 2,
        1..=35 => 4,
        _ => SLOTS,
    };
    let totals: Vec<(BackendIncarnation, u32)> =
        all.iter().enumerate().map(|(index, one)| (one.incarnation(), load(index))).collect();
    let mut chosen: HashMap<String, u32> = HashMap::new();
    for round in 0..40 {
        let now = Timestamp(10_000 + round * 250);
        for balancer in &mut balancers {
            balancer.set_balancer_count(GATEWAYS as usize, REPORT_INTERVAL_MS);
            balancer.update_totals(
                now,
                totals.iter().map(|(incarnation, count)| (incarnation, online(*count))),
                |_| 0,
            );
            let back_end = balancer.choose(now, &all, &[], None).expect("a back end");
            if round >= 20 {
                *chosen.entry(back_end.id.clone()).or_default() += 1;
            }
        }
    }
    let all_chosen: u32 = chosen.values().sum();
    let most = chosen.values().max().copied().unwrap_or_default();
    assert!(most * 8 < all_chosen, "{most} of {all_chosen} went to one back end");
    let full = chosen.iter().filter(|(id, _)| id[2..].parse::<usize>().expect("a number") > 35);
    let to_full: u32 = full.map(|(_, count)| *count).sum();
    assert!(to_full * 20 < all_chosen, "{to_full} of {all_chosen} went to full back ends");
}
