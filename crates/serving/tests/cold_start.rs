//! Parts of the cold-start limiter: process names, quotas, cold periods.

use std::collections::BTreeSet;
use std::sync::Arc;

use yokefall_core::membership::{MemberRecord, MemberState};
use yokefall_core::Timestamp;
use yokefall_serving::eligibility::cold_quota::{quota, Allowance, SendHistory, QUOTA_INTERVAL_MS};
use yokefall_serving::eligibility::cold_state::{ColdStartState, WarmUpStatus, JOIN_DELAY_MS};
use yokefall_serving::eligibility::warmth::{ColdCause, WarmthTracker, RECORD_PROPAGATION_MS};
use yokefall_serving::known_processes::ProcessHistory;
use yokefall_serving::{
    Backend, BackendState, Catalog, Configuration, KnownProcesses, PlacementBounds, SenderId,
    Service, WarmUp, ZoneMap, ZoneState,
};

const BOUNDS: PlacementBounds =
    PlacementBounds { evacuation_ms: Some(5_000), cold_overage: 1.5, cold_slack: 5.0 };
const WARM_UP: WarmUp = WarmUp { duration_ms: 3_000, per_1000_seconds: 15_000 };
const START: Timestamp = Timestamp(100_000);

fn known_processes(gateways: usize, job_stores: usize) -> KnownProcesses {
    let all = |kind: &str, count: usize| (0..count).map(|n| format!("{kind}-{n}")).collect();
    let (gateways, job_stores) = (all("edge", gateways), all("store", job_stores));
    KnownProcesses { gateways, job_stores, unresponsive: 0, joined: true }
}

fn sum(names: &KnownProcesses, backend: &str) -> u32 {
    let allowance = Allowance::of(&BOUNDS, &WARM_UP, names);
    let of_kind = |job_store: bool| {
        let senders = names.of_kind(job_store);
        let senders = senders.map(|name| SenderId { name: name.to_owned(), job_store });
        senders.map(|sender| quota(allowance, names, backend, &sender)).sum::<u32>()
    };
    of_kind(false) + of_kind(true)
}

/// Guards against quotas whose sum exceeds the allowance at fleet sizes that are not simulated.
#[test]
fn quotas_sum_to_at_most_the_allowance_in_fleets_of_any_size() {
    for (gateways, job_stores) in [(1, 0), (1, 1), (2, 1), (3, 3), (17, 5), (23, 0), (75, 14)] {
        let names = known_processes(gateways, job_stores);
        for backend in ["a", "b", "c"] {
            let sum = sum(&names, backend);
            assert!((1..=22).contains(&sum), "{gateways} and {job_stores}: {sum}");
        }
    }
    assert_eq!(sum(&known_processes(75, 14), "a"), 22);
}

#[test]
fn lost_processes_reduce_the_usable_allowance_down_to_a_minimum() {
    let used = |unresponsive: u32| {
        let allowance = Allowance::of(
            &BOUNDS,
            &WARM_UP,
            &KnownProcesses { unresponsive, ..known_processes(75, 14) },
        );
        allowance.gateways + allowance.job_stores
    };
    assert_eq!((used(0), used(1), used(4), used(8), used(80)), (22, 21, 21, 20, 11));
}

#[test]
fn an_allowance_below_one_request_permits_none() {
    let used = |per_1000_seconds: u64| {
        let warm_up = WarmUp { per_1000_seconds, ..WARM_UP };
        let allowance =
            Allowance::of(&PlacementBounds::default(), &warm_up, &known_processes(3, 3));
        (allowance.gateways, allowance.job_stores)
    };
    assert_eq!((used(500), used(1_000)), ((0, 0), (1, 0)));
}

#[test]
fn a_quota_is_used_up_for_more_than_a_second() {
    let mut history = SendHistory::default();
    assert_eq!(history.wait_ms(START, 0), None);
    assert_eq!(history.wait_ms(START, 1), Some(0));
    history.record(START);
    assert_eq!(history.wait_ms(START, 1), Some(QUOTA_INTERVAL_MS));
    assert_eq!(history.wait_ms(START, 2), Some(0));
    assert_eq!(history.wait_ms(START.plus_millis(1_000), 1), Some(QUOTA_INTERVAL_MS - 1_000));
    assert_eq!(history.wait_ms(START.plus_millis(QUOTA_INTERVAL_MS), 1), Some(0));
}

fn record(name: &str, state: MemberState) -> (MemberRecord, u64) {
    let record = MemberRecord {
        node: name.into(),
        incarnation: 1,
        address: "127.0.0.1:1".into(),
        zone: "z".into(),
        region: "r".into(),
        data: false,
        state,
    };
    (record, 0)
}

/// A partitioned process must not keep sending when others forget it and take over its share.
#[test]
fn names_of_lost_processes_are_kept_for_minutes() {
    let mut history = ProcessHistory::default();
    let own = record("own", MemberState::Alive);
    history.update(START, &[own.clone(), record("other", MemberState::Alive)]);
    assert!(!ProcessHistory::default().known_processes(START, "own", true).joined);
    assert!(history.known_processes(START, "own", true).joined);
    let lost_at = START.plus_millis(60_000);
    history.update(lost_at, &[own.clone(), record("other", MemberState::Suspect)]);
    let known = history.known_processes(lost_at.plus_millis(2_000), "own", true);
    assert_eq!((known.gateways.len(), known.unresponsive), (2, 1));
    // Membership forgets it sooner or later; the name still counts.
    history.update(lost_at.plus_millis(20_000), std::slice::from_ref(&own));
    let known = history.known_processes(lost_at.plus_millis(20_000), "own", true);
    assert_eq!((known.gateways.len(), known.unresponsive), (2, 0));
    history.update(lost_at.plus_millis(700_000), &[own]);
    assert_eq!(
        history.known_processes(lost_at.plus_millis(700_000), "own", true).gateways,
        ["own"]
    );
}

fn backend(started_ms: u64, cold_remaining_ms: u64) -> Arc<Backend> {
    Arc::new(Backend {
        id: "i-0".into(),
        started_ms,
        service: "models".into(),
        address: "127.0.0.1:1".parse().expect("an address"),
        zone: "z-1".into(),
        slots: 8,
        state: BackendState::Ready,
        cold_remaining_ms,
        software_version: Default::default(),
    })
}

fn catalog(backends: &[Arc<Backend>], evacuated: &[&str]) -> Catalog {
    let service = Service {
        name: "models".into(),
        health_path: "/health".into(),
        max_connections: 64,
        warm_up: Some(WARM_UP),
    };
    let configuration = Configuration { services: vec![service], ..Configuration::default() };
    let evacuated: BTreeSet<String> = evacuated.iter().map(|zone| (*zone).to_owned()).collect();
    let zone_state = ZoneState { evacuated, zones: Arc::new(ZoneMap::default()) };
    Catalog::with_zones(Some(Arc::new(configuration)), backends.iter(), zone_state)
}

fn cold_period(warmth: &WarmthTracker, at: Timestamp) -> Option<(ColdCause, u64)> {
    warmth.cold_period(at, "i-0").map(|period| (period.cause, period.until.millis_since(START)))
}

#[test]
fn an_equal_new_record_restarts_the_cold_period() {
    let mut warmth = WarmthTracker::default();
    warmth.observe(START, &catalog(&[backend(1, 3_000)], &[]));
    assert_eq!(cold_period(&warmth, START), Some((ColdCause::Recorded, 3_000)));
    assert_eq!(cold_period(&warmth, START.plus_millis(3_000)), None);
    let later = START.plus_millis(10_000);
    warmth.observe(later, &catalog(&[backend(1, 3_000)], &[]));
    assert_eq!(cold_period(&warmth, later), Some((ColdCause::Recorded, 13_000)));
    warmth.observe(later, &catalog(&[backend(1, 0)], &[]));
    assert_eq!(cold_period(&warmth, later), None);
}

#[test]
fn a_new_incarnation_is_cold_and_back_ends_known_at_the_start_are_not() {
    let mut warmth = WarmthTracker::default();
    warmth.observe(START, &catalog(&[backend(1, 0)], &[]));
    assert_eq!(cold_period(&warmth, START), None);
    warmth.observe(START, &catalog(&[backend(2, 0)], &[]));
    assert_eq!(cold_period(&warmth, START), Some((ColdCause::Appeared, 3_000)));
}

/// A starting process knows some back ends first. If the others counted as new when the whole list
/// arrives, it would hardly use them until their warm-up is over.
#[test]
fn back_ends_of_the_whole_list_after_a_partial_one_are_not_new() {
    let mut warmth = WarmthTracker::default();
    let mut partial = catalog(&[], &[]);
    partial.is_partial = true;
    warmth.observe(START, &partial);
    warmth.observe(START, &catalog(&[backend(1, 0)], &[]));
    assert_eq!(cold_period(&warmth, START), None);
    warmth.observe(START, &catalog(&[backend(2, 0)], &[]));
    assert_eq!(cold_period(&warmth, START), Some((ColdCause::Appeared, 3_000)));
}

/// A report from before the failure or of another incarnation must not end the cold period.
#[test]
fn a_failure_is_cleared_by_time_or_by_a_report_of_the_same_incarnation() {
    let mut warmth = WarmthTracker::default();
    warmth.observe(START, &catalog(&[backend(1, 0)], &[]));
    warmth.record_report(START, "i-0", 1, 0);
    warmth.record_failure(START, "i-0");
    let until = WARM_UP.duration_ms + RECORD_PROPAGATION_MS;
    assert_eq!(cold_period(&warmth, START), Some((ColdCause::Failed, until)));
    warmth.record_report(START, "i-0", 2, 0);
    assert_eq!(cold_period(&warmth, START), Some((ColdCause::Failed, until)));
    assert_eq!(cold_period(&warmth, START.plus_millis(until)), None);
    warmth.record_report(START, "i-0", 1, 0);
    assert_eq!(cold_period(&warmth, START), None);
    warmth.record_report(START, "i-0", 1, 700);
    assert_eq!(cold_period(&warmth, START), Some((ColdCause::Reported, 700)));
}

#[test]
fn a_zone_that_returns_is_not_known_to_be_warm() {
    let mut warmth = WarmthTracker::default();
    warmth.observe(START, &catalog(&[backend(1, 0)], &["z-1"]));
    assert_eq!(cold_period(&warmth, START), None);
    warmth.observe(START, &catalog(&[backend(1, 0)], &[]));
    let until = WARM_UP.duration_ms + RECORD_PROPAGATION_MS;
    assert_eq!(cold_period(&warmth, START), Some((ColdCause::ZoneReturned, until)));
}

/// Requests sent must not be forgotten when the store loses a back end's record for a moment.
#[test]
fn a_back_end_that_is_gone_for_a_moment_stays_tracked() {
    let mut warmth = WarmthTracker::default();
    warmth.observe(START, &catalog(&[backend(1, 0)], &[]));
    warmth.observe(START, &catalog(&[], &[]));
    assert!(warmth.is_tracked("i-0"));
    warmth.observe(START, &catalog(&[backend(1, 0)], &[]));
    assert_eq!(cold_period(&warmth, START), Some((ColdCause::Appeared, 3_000)));
}

fn state(remaining_ms: u64, names: KnownProcesses) -> ColdStartState {
    let sender = SenderId { name: "edge-0".into(), job_store: false };
    let mut state = ColdStartState::new(START, sender, BOUNDS);
    state.observe(START, &catalog(&[backend(1, remaining_ms)], &[]));
    state.set_names(Arc::new(names));
    state
}

/// A restarted process must not reuse its quota, or take the share of those it does not know yet.
#[test]
fn a_process_uses_its_quota_only_after_the_join_delay_and_with_known_peers() {
    let backend = backend(1, 60_000);
    let mut connected = state(60_000, known_processes(3, 0));
    assert!(!connected
        .warm_up_status(START.plus_millis(JOIN_DELAY_MS - 1), None, &backend)
        .may_send());
    let joined_at = START.plus_millis(JOIN_DELAY_MS);
    assert!(connected.warm_up_status(joined_at, None, &backend).may_send());
    let mut isolated = state(60_000, KnownProcesses { joined: false, ..known_processes(1, 0) });
    assert!(!isolated.warm_up_status(joined_at.plus_millis(10_000), None, &backend).may_send());
}

/// Guards against a partitioned process that sends by its old view while back ends turned cold.
#[test]
fn no_back_end_counts_as_warm_with_stale_platform_state() {
    let (backend, now) = (backend(1, 0), START.plus_millis(JOIN_DELAY_MS));
    let mut state = state(0, known_processes(75, 14));
    assert_eq!(state.warm_up_status(now, Some(5_000), &backend), WarmUpStatus::Warm);
    let warm_up_status = state.warm_up_status(now, Some(5_001), &backend);
    assert!(
        matches!(warm_up_status, WarmUpStatus::Cold { cause: ColdCause::StalePlatformState, .. }),
        "{warm_up_status:?}"
    );
    assert!(!state.all_warm(now, Some(5_001)));
}

#[test]
fn a_leader_assigns_each_job_store_with_a_quota_one_item_per_interval() {
    let backend = backend(1, 60_000);
    let mut state = state(60_000, known_processes(75, 14));
    let mut assigned = BTreeSet::new();
    while let Some(name) = state.item_sender(START, &backend, |_| true) {
        state.record_item_assignment(START, &backend.id, name.clone());
        assert!(assigned.insert(name), "a job store got two items");
    }
    assert_eq!(assigned.len(), 4);
    let later = START.plus_millis(QUOTA_INTERVAL_MS);
    assert!(state.item_sender(later, &backend, |_| true).is_some());
    assert!(state.item_sender(later, &backend, |_| false).is_none());
}

/// Overloaded back ends that fail for most processes must not be limited as if they were cold.
#[test]
fn a_back_end_that_answers_here_is_not_cold_by_reported_failures() {
    let mut warmth = WarmthTracker::default();
    warmth.observe(START, &catalog(&[backend(1, 0)], &[]));
    warmth.record_activity(START, "i-0");
    warmth.record_reported_failure(START.plus_millis(400), "i-0");
    assert_eq!(cold_period(&warmth, START.plus_millis(400)), None);
    let later = START.plus_millis(500);
    warmth.record_reported_failure(later, "i-0");
    assert_eq!(cold_period(&warmth, later).map(|(cause, _)| cause), Some(ColdCause::Failed));
}
