//! Requests to a back end that is not warm, summed over all processes.

mod cold_world;

use cold_world::{SendMode, Simulation, SimulationResult, MAX_REQUESTS_PER_SECOND};

/// Simulations run by default; more with `COLD_HISTORIES=10000 cargo test --release`.
const SIMULATIONS: u64 = 100;
const THREADS: usize = 4;

fn simulations() -> u64 {
    let configured = std::env::var("COLD_HISTORIES").ok().and_then(|text| text.parse().ok());
    configured.unwrap_or(SIMULATIONS)
}

fn run_all() -> Vec<(u64, SimulationResult)> {
    let run_part = |first: u64| {
        let seeds = (first..simulations()).step_by(THREADS);
        seeds.map(|seed| (seed, Simulation::new(seed, SendMode::Limited).run())).collect::<Vec<_>>()
    };
    std::thread::scope(|scope| {
        let threads: Vec<_> =
            (0..THREADS as u64).map(|first| scope.spawn(move || run_part(first))).collect();
        threads.into_iter().flat_map(|thread| thread.join().expect("a simulation")).collect()
    })
}

/// Guards against all processes sending to a back end that has just returned and looks empty, as
/// none knows what others send. Simulates processes that are partitioned, suspended, replaced or
/// restarted, zones that return from an evacuation, and back ends that restart under their id.
#[test]
fn no_cold_back_end_gets_more_than_it_may_in_any_second() {
    let mut sum = SimulationResult::default();
    let mut exceeded = Vec::new();
    for (seed, outcome) in run_all() {
        if outcome.max_per_second as f64 > MAX_REQUESTS_PER_SECOND {
            exceeded.push((seed, outcome.max_per_second));
        }
        sum.max_per_second = sum.max_per_second.max(outcome.max_per_second);
        sum.arrived += outcome.arrived;
        sum.cold_seconds += outcome.cold_seconds;
        sum.crashed += outcome.crashed;
        sum.detection_delay_ms += outcome.detection_delay_ms;
        sum.warmed += outcome.warmed;
    }
    let used = sum.arrived as f64 / sum.cold_seconds / MAX_REQUESTS_PER_SECOND;
    let delay_ms = sum.detection_delay_ms as f64 / sum.warmed.max(1) as f64;
    println!(
        "{} simulations, {} exceeded the limit; at most {} requests in a second; {used:.2} of the \
         allowance used in {:.0} cold seconds; {} back ends warmed, detected {delay_ms:.0} ms \
         later on average",
        simulations(),
        exceeded.len(),
        sum.max_per_second,
        sum.cold_seconds,
        sum.warmed
    );
    assert!(
        exceeded.is_empty(),
        "more than {MAX_REQUESTS_PER_SECOND} requests in a second, by seed: {exceeded:?}"
    );
    assert_eq!(sum.crashed, 0, "back ends crashed");
    assert!(sum.cold_seconds > 0.0 && sum.warmed > 0, "no back end was cold or got warm");
}

#[test]
fn the_simulation_detects_overload_without_limits() {
    let exceeded = (0..20).filter(|seed| {
        Simulation::new(*seed, SendMode::Unlimited).run().max_per_second as f64
            > MAX_REQUESTS_PER_SECOND
    });
    assert!(exceeded.count() > 5);
}
