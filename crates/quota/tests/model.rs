//! Rate limits across all gateways: in every sliding window a tenant sends at most (rate x window +
//! burst) x 1.1 + 20 requests. Also measured: rejections within the limit, and token requests.

mod support;

use quickcheck::{Gen, QuickCheck};
use support::{Fault, Fleet, Outcome, Plan, Sender, Surge, WARM_UP_MS};
use yokefall_quota::QuotaBounds;
use yokefall_types::{RateLimit, TenantName};

const WINDOW_MS: u64 = 5_000;

/// Tenants of unequal size that send 100 requests per second in total, with limits of 1.6 times
/// their rates. The first `surging` send `factor` times their rate between seconds 4 and 10.
fn senders(count: usize, surging: usize, factor: f64) -> Vec<Sender> {
    let weights: Vec<f64> = (1..=count).map(|rank| 1.0 / rank as f64).collect();
    let sum: f64 = weights.iter().sum();
    let sender = |(number, weight): (usize, &f64)| {
        let rate = (100.0 * weight / sum).max(0.2);
        let limit = (rate * 1.6).ceil();
        let surge = Surge { from_ms: 4_000, until_ms: 10_000, factor };
        Sender {
            name: TenantName::new(format!("tenant-{number}")),
            limit: RateLimit { per_1000_seconds: limit as u64 * 1_000, burst: limit as u64 },
            rate,
            surge: (number < surging).then_some(surge),
        }
    };
    weights.iter().enumerate().map(sender).collect()
}

fn plan(seed: u64, gateways: usize, senders: Vec<Sender>, faults: Vec<Fault>) -> Plan {
    Plan { seed, gateways, stores: 10, senders, faults, length_ms: 16_000, client_gateways: None }
}

/// Runs a plan and checks the rule for each tenant.
fn run_plan(plan: Plan) -> Outcome {
    let (seed, senders) = (plan.seed, plan.senders.clone());
    let outcome = Fleet::new(plan).run();
    let bounds = QuotaBounds::default();
    for sender in &senders {
        let most = outcome.max_sends_in_window(&sender.name, WINDOW_MS, 0);
        let allowed = bounds.max_requests_in_window(sender.limit);
        assert!(most as f64 <= allowed, "seed {seed}: {} sent {most} of {allowed}", sender.name);
    }
    outcome
}

#[test]
fn fleets_without_faults_reject_almost_nothing_within_the_limit() {
    for gateways in [11, 50, 250, 550] {
        for tenants in [72, 260] {
            let outcome = run_plan(plan(1, gateways, senders(tenants, 0, 1.0), vec![]));
            let share = outcome.rejected_fraction();
            println!(
                "{gateways} gateways, {tenants} tenants: rejected {share:.5}, {} token requests for {} requests, \
                 {} at the busiest job store",
                outcome.token_requests, outcome.within_limit, outcome.max_token_requests
            );
            assert!(share < 0.001, "{share} of {}", outcome.within_limit);
        }
    }
}

#[test]
fn tenants_that_exceed_their_usual_rate_stay_within_their_limit() {
    for (surging, factor) in [(1, 8.0), (1, 20.0), (3, 8.0), (3, 20.0)] {
        for gateways in [11, 50, 250] {
            let outcome = run_plan(plan(2, gateways, senders(72, surging, factor), vec![]));
            let sent = |number: usize| {
                let name = TenantName::new(format!("tenant-{number}"));
                outcome.sends.get(&name).map_or(0, Vec::len)
            };
            let sent: usize = (0..surging).map(sent).sum();
            let share = sent as f64 / outcome.within_limit_of_surging as f64;
            println!(
                "{surging} surging x{factor}, {gateways} gateways: others rejected {:.5}, surging sent {share:.3} of \
                 their limit, {} token requests for {} requests",
                outcome.rejected_fraction(),
                outcome.token_requests,
                outcome.within_limit + outcome.within_limit_of_surging
            );
            assert!(outcome.rejected_fraction() < 0.001, "{}", outcome.rejected_fraction());
            assert!(share > 0.95, "{share}");
        }
    }
}

#[test]
fn clients_that_all_use_three_gateways_are_served_equally() {
    let mut plan = plan(3, 50, senders(72, 1, 8.0), vec![]);
    plan.client_gateways = Some(3);
    let outcome = run_plan(plan);
    assert!(outcome.rejected_fraction() < 0.001, "{}", outcome.rejected_fraction());
}

#[test]
fn one_fault_rejects_under_one_percent_within_the_limit() {
    let faults: [(&str, Vec<Fault>); 6] = [
        ("a job store is killed", vec![Fault::KillStore { at_ms: 5_000, store: 4, for_ms: 1_000 }]),
        ("a job store is lost", vec![Fault::KillStore { at_ms: 5_000, store: 4, for_ms: 60_000 }]),
        (
            "a job store is partitioned",
            vec![Fault::PartitionStore { at_ms: 5_000, store: 5, for_ms: 5_500 }],
        ),
        (
            "a job store is frozen",
            vec![Fault::FreezeStore { at_ms: 5_000, store: 6, for_ms: 8_000 }],
        ),
        ("the leader is lost", vec![Fault::LoseLeader { at_ms: 5_000, gap_ms: 3_200 }]),
        ("the leader is killed", vec![Fault::KillStore { at_ms: 5_000, store: 0, for_ms: 60_000 }]),
    ];
    for (name, faults) in faults {
        let outcome = run_plan(plan(4, 50, senders(72, 0, 1.0), faults));
        println!("{name}: rejected {:.5}", outcome.rejected_fraction());
        assert!(outcome.rejected_fraction() < 0.01, "{name}: {}", outcome.rejected_fraction());
    }
}

#[test]
fn a_lowered_limit_is_enforced_one_window_after_gateways_learn_it() {
    let faults = vec![Fault::SetLimits { at_ms: 4_000, percent: 50, within_ms: 3_000 }];
    let senders = senders(72, 3, 20.0);
    let outcome = run_plan(plan(5, 50, senders.clone(), faults));
    let bounds = QuotaBounds::default();
    for sender in &senders {
        let limit = RateLimit {
            per_1000_seconds: sender.limit.per_1000_seconds / 2,
            burst: sender.limit.burst / 2,
        };
        let from = WARM_UP_MS + 4_000 + 3_000 + WINDOW_MS;
        let most = outcome.max_sends_in_window(&sender.name, WINDOW_MS, from);
        let allowed = bounds.max_requests_in_window(limit);
        assert!(most as f64 <= allowed, "{}: {most} of {allowed}", sender.name);
    }
}

/// Random faults of all kinds, in sequence and concurrent.
fn faults(random: &mut Gen) -> Vec<Fault> {
    let number = |random: &mut Gen, below: u64| -> u64 {
        let drawn: u64 = quickcheck::Arbitrary::arbitrary(random);
        drawn % below
    };
    let count = 1 + number(random, 6);
    let one = |_| {
        let at_ms = number(random, 12_000);
        let for_ms = 200 + number(random, 9_000);
        let store = number(random, 10) as usize;
        let gateway = number(random, 50) as usize;
        match number(random, 7) {
            0 => Fault::KillStore { at_ms, store, for_ms },
            1 => Fault::PartitionStore { at_ms, store, for_ms },
            2 => Fault::FreezeStore { at_ms, store, for_ms },
            3 => Fault::LoseLeader { at_ms, gap_ms: 300 + for_ms / 3 },
            4 => Fault::PartitionGateway { at_ms, gateway, for_ms },
            5 => Fault::StallBackEnds { at_ms, for_ms: for_ms / 3 },
            _ => Fault::FreezeGateway { at_ms, gateway, for_ms },
        }
    };
    (0..count).map(one).collect()
}

/// Random faults, from a fixed seed, with tenants far beyond their limits.
#[test]
fn random_faults_never_exceed_the_limit() {
    let histories = 150;
    let mut random = Gen::from_size_and_seed(100, 20_261_202);
    for seed in 0..histories {
        let faults = faults(&mut random);
        run_plan(plan(100 + seed, 50, senders(24, 6, 20.0), faults));
    }
}

/// Requests that hold tokens while back ends stall must not be sent together long afterwards.
#[test]
fn tokens_expire_during_a_stall_of_back_ends() {
    for for_ms in [500, 1_500, 2_500] {
        let faults = vec![Fault::StallBackEnds { at_ms: 6_000, for_ms }];
        run_plan(plan(7, 50, senders(12, 6, 20.0), faults));
    }
}

/// Repeated kills of all issuers: each new incarnation starts with empty buckets.
#[test]
fn frequent_restarts_of_issuers_do_not_exceed_the_limit() {
    fn kills(interval_ms: u16) -> bool {
        let interval = 2_100 + u64::from(interval_ms % 1_500);
        let kill_all = |number: u64| {
            let at_ms = 4_000 + number * interval;
            (0..10).map(move |store| Fault::KillStore { at_ms, store, for_ms: 300 })
        };
        run_plan(plan(6, 20, senders(12, 6, 20.0), (0..5).flat_map(kill_all).collect()));
        true
    }
    QuickCheck::new()
        .tests(20)
        .rng(Gen::from_size_and_seed(100, 7))
        .quickcheck(kills as fn(u16) -> bool);
}
