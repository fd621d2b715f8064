//! Requests to a back end that is not warm, summed over all processes.

mod cold_world;

use cold_world::{Outcome, Way, World, MOST};

/// Simulations run by default; more with `COLD_HISTORIES=10000 cargo test --release`.
const HISTORIES: u64 = 100;
const THREADS: usize = 4;

fn histories() -> u64 {
    let asked = std::env::var("COLD_HISTORIES").ok().and_then(|text| text.parse().ok());
    asked.unwrap_or(HISTORIES)
}

/// Runs all simulations on a few threads.
fn play_all() -> Vec<(u64, Outcome)> {
    let part = |first: u64| {
        let seeds = (first..histories()).step_by(THREADS);
        seeds.map(|seed| (seed, World::new(seed, Way::Asked).play())).collect::<Vec<_>>()
    };
    std::thread::scope(|scope| {
        let threads: Vec<_> =
            (0..THREADS as u64).map(|first| scope.spawn(move || part(first))).collect();
        threads.into_iter().flat_map(|thread| thread.join().expect("a history")).collect()
    })
}

/// Guards against processes that all send to a back end that has just returned, because it looks
/// empty and none knows what the others send. The simulation includes processes that are
/// partitioned, suspended, replaced or restarted, zones that return from an evacuation, and back
/// ends that restart under the same id.
#[test]
fn no_cold_back_end_gets_more_than_it_may_in_any_second() {
    let mut sum = Outcome::default();
    let mut broken = Vec::new();
    for (seed, outcome) in play_all() {
        if outcome.most as f64 > MOST {
            broken.push((seed, outcome.most));
        }
        sum.most = sum.most.max(outcome.most);
        sum.arrived += outcome.arrived;
        sum.cold_seconds += outcome.cold_seconds;
        sum.fallen += outcome.fallen;
        sum.late_ms += outcome.late_ms;
        sum.warmed += outcome.warmed;
    }
    let used = sum.arrived as f64 / sum.cold_seconds / MOST;
    let late = sum.late_ms as f64 / sum.warmed.max(1) as f64;
    println!(
        "{} histories, {} broken; most in a second {}; {used:.2} of the allowance used in {:.0} cold \
         seconds; {} warmed, known {late:.0} ms later on average",
        histories(),
        broken.len(),
        sum.most,
        sum.cold_seconds,
        sum.warmed
    );
    assert!(broken.is_empty(), "more than {MOST} in a second, by seed: {broken:?}");
    assert_eq!(sum.fallen, 0, "back ends fell over");
    assert!(sum.cold_seconds > 0.0 && sum.warmed > 0, "nothing was cold: nothing is shown");
}

/// The simulation detects the overload that it tests for.
#[test]
fn the_model_breaks_where_nobody_asks() {
    let broken = (0..20).filter(|seed| World::new(*seed, Way::Unasked).play().most as f64 > MOST);
    assert!(broken.count() > 5);
}
