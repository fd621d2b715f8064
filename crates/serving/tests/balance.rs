//! Load balancing.

use std::sync::Arc;

use yokefall_core::Timestamp;
use yokefall_serving::{
    Backend, BackendIncarnation, BackendState, Balancer, InFlight, Outcome, Policy,
};

const NOW: Timestamp = Timestamp(10_000);

fn backends(count: usize) -> Vec<Arc<Backend>> {
    let backend = |index: usize| Backend {
        id: format!("i-{index}"),
        started_ms: 0,
        service: "models".into(),
        address: format!("127.0.0.1:{}", 1_000 + index).parse().expect("an address"),
        zone: "hall-1".into(),
        slots: 10,
        state: BackendState::Ready,
        cold_remaining_ms: 0,
        software_version: Default::default(),
    };
    (0..count).map(|index| Arc::new(backend(index))).collect()
}

fn online(requests: u32) -> InFlight {
    InFlight { online: requests, items: 0 }
}

fn balancer() -> Balancer {
    Balancer::new("hall-1".into(), 1, Policy::default())
}

/// An incarnation of a back end that reports no start time.
fn incarnation(id: &str) -> BackendIncarnation {
    BackendIncarnation { id: id.into(), started_ms: 0 }
}

/// Passes on the totals of all processes, by id, as a job store reports them.
fn receive_totals<const COUNT: usize>(
    balancer: &mut Balancer,
    now: Timestamp,
    totals: [(&str, InFlight); COUNT],
) {
    let totals = totals.map(|(id, total)| (incarnation(id), total));
    balancer.update_totals(
        now,
        totals.iter().map(|(incarnation, total)| (incarnation, *total)),
        |_| 0,
    );
}

fn choose(balancer: &mut Balancer, now: Timestamp, all: &[Arc<Backend>]) -> String {
    chosen(balancer, now, all).id.clone()
}

fn chosen(balancer: &mut Balancer, now: Timestamp, all: &[Arc<Backend>]) -> Arc<Backend> {
    balancer.choose(now, all, &[], None).expect("a back end")
}

#[test]
fn requests_spread_evenly() {
    let (mut balancer, all) = (balancer(), backends(4));
    for _ in 0..20 {
        let backend = chosen(&mut balancer, NOW, &all);
        balancer.record_start(&backend);
    }
    for backend in &all {
        assert_eq!(balancer.in_flight(backend), 5);
    }
}

#[test]
fn requests_of_other_processes_count() {
    let (mut balancer, all) = (balancer(), backends(2));
    for backend in &all {
        balancer.record_start(backend);
    }
    receive_totals(&mut balancer, NOW, [("i-0", online(9)), ("i-1", online(1))]);
    for _ in 0..5 {
        assert_eq!(choose(&mut balancer, NOW, &all), "i-1");
    }
}

#[test]
fn tried_and_unreachable_back_ends_are_skipped_while_others_remain() {
    let (mut balancer, all) = (balancer(), backends(2));
    balancer.record_start(&all[0]);
    balancer.record_end(NOW, &all[0], Outcome::Unreachable);
    for _ in 0..10 {
        assert_eq!(choose(&mut balancer, NOW, &all), "i-1");
    }
    let only = balancer.choose(NOW, &all, &["i-1".into()], None).expect("the only one not tried");
    assert_eq!(only.id, "i-0");
    assert!(balancer.choose(NOW, &all, &["i-0".into(), "i-1".into()], None).is_none());
}

#[test]
fn three_consecutive_failures_eject_a_back_end() {
    let (mut balancer, all) = (balancer(), backends(1));
    for failures in 1..=3 {
        balancer.record_start(&all[0]);
        balancer.record_end(NOW, &all[0], Outcome::Failed);
        assert_eq!(balancer.is_ejected(NOW, &all[0]), failures == 3);
    }
    assert!(!balancer.is_ejected(NOW.plus_millis(5_000), &all[0]));
}

#[test]
fn a_silent_back_end_gets_no_requests_until_it_answers() {
    let (mut balancer, all) = (balancer(), backends(2));
    balancer.record_start(&all[0]);
    assert!(balancer.record_silence(NOW, &all[0], 450));
    assert_eq!(choose(&mut balancer, NOW, &all), "i-1");
    balancer.record_end(NOW, &all[0], Outcome::Answered);
    assert!(!balancer.is_ejected(NOW, &all[0]));
}

/// A request waiting for a slot must not eject a back end that streams answers to others.
#[test]
fn activity_on_another_request_prevents_ejection_for_silence() {
    let (mut balancer, all) = (balancer(), backends(1));
    balancer.record_start(&all[0]);
    balancer.record_activity(NOW.plus_millis(100), &all[0]);
    assert!(!balancer.record_silence(NOW.plus_millis(500), &all[0], 450));
    assert!(!balancer.is_ejected(NOW.plus_millis(500), &all[0]));
    assert!(balancer.record_silence(NOW.plus_millis(550), &all[0], 450));
}

#[test]
fn items_do_not_count_as_online_load() {
    let (mut balancer, all) = (balancer(), backends(1));
    let totals = InFlight { online: 4, items: 6 };
    receive_totals(&mut balancer, NOW, [("i-0", totals)]);
    assert!((balancer.load(NOW, &all[0]) - 1.0).abs() < 1e-9);
    balancer.record_service_time("models", 1e9);
    let level = balancer.projected_online_load(NOW, &all).expect("a back end");
    assert!((level - 0.5).abs() < 1e-3, "load of 4 and one more request in 10 slots: {level}");
}

/// Guards against counting every request that other processes send until the next report although
/// each lasts a tenth of that time: 53 gateways then queued requests despite free slots.
#[test]
fn requests_that_end_before_they_are_reported_do_not_fill_slots() {
    let (mut balancer, all) = (balancer(), backends(2));
    balancer.set_balancer_count(50, 100);
    balancer.record_service_time("models", 15.0);
    receive_totals(&mut balancer, NOW, [("i-0", online(2)), ("i-1", online(2))]);
    // 4 requests a second here and at 49 others, 15 ms each: 3 in flight for 20 slots.
    for step in 0..40 {
        choose(&mut balancer, NOW.plus_millis(step * 250), &all);
    }
    let now = NOW.plus_millis(39 * 250);
    receive_totals(&mut balancer, now, [("i-0", online(2)), ("i-1", online(1))]);
    let level = balancer.projected_online_load(now, &all).expect("back ends");
    assert!(level < 0.3, "{level}");
}

#[test]
fn own_requests_are_subtracted_from_totals_as_reported() {
    let (mut balancer, all) = (balancer(), backends(1));
    // Reported with one request; a second one started before the answer arrived.
    balancer.record_start(&all[0]);
    balancer.record_start(&all[0]);
    balancer.update_totals(NOW, [(&incarnation("i-0"), online(3))].into_iter(), |_| 1);
    assert!((balancer.load(NOW, &all[0]) - 0.4).abs() < 1e-9);
}

#[test]
fn the_cost_of_another_zone_fades_as_slots_fill() {
    let mut all = backends(1);
    let mut remote = (*all[0]).clone();
    (remote.id, remote.zone) = ("far".into(), "hall-2".into());
    all.push(Arc::new(remote));
    let mut balancer = balancer();
    // One slot of ten is free in the local zone, two in the other one.
    let totals = [("i-0", online(9)), ("far", online(8))];
    receive_totals(&mut balancer, NOW, totals);
    assert_eq!(choose(&mut balancer, NOW, &all), "far");
    // With many free slots in both, the local zone is preferred.
    let totals = [("i-0", online(2)), ("far", online(2))];
    receive_totals(&mut balancer, NOW, totals);
    assert_eq!(choose(&mut balancer, NOW, &all), "i-0");
}

#[test]
fn disabled_policies_have_no_effect() {
    let policy = Policy { ejection: false, silence: false, peer_loads: false, ..Policy::default() };
    let mut balancer = Balancer::new("hall-1".into(), 1, policy);
    let all = backends(1);
    balancer.record_start(&all[0]);
    assert!(!balancer.record_silence(NOW, &all[0], 450));
    balancer.record_end(NOW, &all[0], Outcome::Unreachable);
    assert!(!balancer.is_ejected(NOW, &all[0]));
    receive_totals(&mut balancer, NOW, [("i-0", online(9))]);
    assert_eq!(balancer.load(NOW, &all[0]), 0.0);
}

#[test]
fn the_same_prefix_goes_to_the_same_back_end_while_it_has_capacity() {
    let (mut balancer, all) = (balancer(), backends(6));
    let first = balancer.choose(NOW, &all, &[], Some(42)).expect("a back end");
    for _ in 0..20 {
        let id = balancer.choose(NOW, &all, &[], Some(42)).expect("a back end").id.clone();
        assert_eq!(id, first.id);
    }
    (0..10).for_each(|_| balancer.record_start(&first));
    let second = balancer.choose(NOW, &all, &[], Some(42)).expect("a back end").id.clone();
    assert_ne!(second, first.id);
}

/// Without reports, gateways cut off from the job stores with more than their share of the clients
/// took all others to be as busy, and queued and rejected 408 requests despite free slots.
#[test]
fn a_gateway_without_reports_does_not_extrapolate_its_own_requests() {
    let (mut balancer, all) = (balancer(), backends(100));
    balancer.set_balancer_count(250, 100);
    balancer.record_service_time("models", 700.0);
    receive_totals(&mut balancer, NOW, [("i-0", online(1))]);
    let later = NOW.plus_millis(3_000);
    for step in 0..100 {
        let backend = chosen(&mut balancer, later.plus_millis(step * 20), &all);
        balancer.record_start(&backend);
        balancer.record_end(later.plus_millis(step * 20 + 10), &backend, Outcome::Answered);
    }
    let level = balancer.projected_online_load(later.plus_millis(2_000), &all).expect("a back end");
    assert!(level < 0.5, "{level}");
}

#[test]
fn ejections_for_reported_failures_grow_until_the_back_end_answers() {
    let (mut balancer, all) = (balancer(), backends(2));
    balancer.eject_reported(NOW, [all[0].as_ref()].into_iter());
    assert_eq!(choose(&mut balancer, NOW, &all), "i-1");
    assert!(!balancer.is_ejected(NOW.plus_millis(600), &all[0]));
    balancer.eject_reported(NOW.plus_millis(600), [all[0].as_ref()].into_iter());
    assert!(balancer.is_ejected(NOW.plus_millis(1_500), &all[0]));
    balancer.record_start(&all[0]);
    balancer.record_end(NOW.plus_millis(1_500), &all[0], Outcome::Answered);
    assert!(!balancer.is_ejected(NOW.plus_millis(1_500), &all[0]));
}

#[test]
fn outcomes_are_reported_while_they_are_recent() {
    let (mut balancer, all) = (balancer(), backends(1));
    for outcome in [Outcome::Failed, Outcome::Unreachable, Outcome::Answered, Outcome::Full] {
        balancer.record_start(&all[0]);
        balancer.record_end(NOW, &all[0], outcome);
    }
    let sums = balancer.outcomes(NOW).next().expect("outcomes").1;
    assert_eq!((sums.failed, sums.answered), (2.0, 1.0));
    assert!(sums.is_failing());
    assert!(!balancer.outcomes(NOW.plus_millis(700)).next().expect("outcomes").1.is_failing());
    assert!(balancer.outcomes(NOW.plus_millis(5_000)).next().is_none());
}

fn restarted(all: &[Arc<Backend>]) -> Vec<Arc<Backend>> {
    let again = |one: &Arc<Backend>| {
        Arc::new(Backend { started_ms: one.started_ms + 1, ..(**one).clone() })
    };
    all.iter().map(again).collect()
}

/// Guards against requests of an earlier incarnation making an empty new one look full.
#[test]
fn an_incarnation_has_no_requests_of_the_previous_one() {
    let (mut balancer, before) = (balancer(), backends(1));
    let after = restarted(&before);
    (0..4).for_each(|_| balancer.record_start(&before[0]));
    receive_totals(&mut balancer, NOW, [("i-0", online(9))]);
    assert_eq!((balancer.in_flight(&after[0]), balancer.load(NOW, &after[0])), (0, 0.0));
    assert_eq!(balancer.in_flight(&before[0]), 4);
}

/// Guards against late ends of an earlier incarnation making a busy new back end look empty.
#[test]
fn late_ends_of_an_earlier_incarnation_do_not_affect_the_new_one() {
    let (mut balancer, before) = (balancer(), backends(1));
    let after = restarted(&before);
    (0..3).for_each(|_| balancer.record_start(&before[0]));
    (0..2).for_each(|_| balancer.record_start(&after[0]));
    (0..3).for_each(|_| balancer.record_end(NOW, &before[0], Outcome::Failed));
    assert_eq!((balancer.in_flight(&after[0]), balancer.in_flight(&before[0])), (2, 0));
}

/// Failures, silence and reports of the earlier incarnation, late ones included, do not eject the
/// new one; an answer of the earlier incarnation does not readmit a failing new one.
#[test]
fn incarnations_have_separate_health() {
    let (mut balancer, before) = (balancer(), backends(1));
    let after = restarted(&before);
    balancer.record_start(&before[0]);
    balancer.record_start(&after[0]);
    balancer.record_end(NOW, &before[0], Outcome::Unreachable);
    balancer.eject_reported(NOW, [before[0].as_ref()].into_iter());
    assert!(balancer.record_silence(NOW, &before[0], 450));
    assert!(!balancer.is_ejected(NOW, &after[0]));
    balancer.record_end(NOW, &after[0], Outcome::Unreachable);
    balancer.record_start(&before[0]);
    balancer.record_end(NOW, &before[0], Outcome::Answered);
    assert!(balancer.is_ejected(NOW, &after[0]));
    let incarnations: Vec<u64> =
        balancer.outcomes(NOW).map(|(incarnation, _)| incarnation.started_ms).collect();
    assert_eq!(incarnations.len(), 2, "outcomes by incarnation: {incarnations:?}");
}

#[test]
fn an_unknown_incarnation_is_dropped_once_nothing_is_in_flight() {
    let (mut balancer, before) = (balancer(), backends(1));
    let after = restarted(&before);
    balancer.record_start(&before[0]);
    balancer.record_start(&after[0]);
    let known = after[0].incarnation();
    balancer.retain(|incarnation| *incarnation == known);
    assert_eq!(balancer.in_flight(&before[0]), 1);
    balancer.record_end(NOW, &before[0], Outcome::Answered);
    balancer.retain(|incarnation| *incarnation == known);
    assert_eq!(balancer.outcomes(NOW).count(), 0);
    assert_eq!(balancer.in_flight(&after[0]), 1);
}
