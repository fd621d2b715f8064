//! Parts of what is decided about back ends that are not warm: names, shares, doubts.

use std::collections::BTreeSet;
use std::sync::Arc;

use yokefall_core::membership::{MemberRecord, MemberState};
use yokefall_core::Timestamp;
use yokefall_serving::eligibility::cold_share::{quota, Allowance, Sends, SHARE_INTERVAL_MS};
use yokefall_serving::eligibility::cold_state::{ColdState, Standing, ENTRY_MS};
use yokefall_serving::eligibility::warmth::{ColdCause, Warmth, RECORD_DELAY_MS};
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

/// What would fail: a fleet of another size than the model's, in which the shares add up to more.
#[test]
fn shares_of_all_processes_stay_below_what_is_allowed_in_fleets_of_any_size() {
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
fn lost_processes_take_from_what_the_others_use_down_to_a_part() {
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
fn a_back_end_that_bears_less_than_one_request_gets_none_and_one_that_bears_one_gets_it() {
    let used = |per_1000_seconds: u64| {
        let warm_up = WarmUp { per_1000_seconds, ..WARM_UP };
        let allowance =
            Allowance::of(&PlacementBounds::default(), &warm_up, &known_processes(3, 3));
        (allowance.gateways, allowance.job_stores)
    };
    assert_eq!((used(500), used(1_000)), ((0, 0), (1, 0)));
}

#[test]
fn a_share_is_spent_for_more_than_a_second() {
    let mut sends = Sends::default();
    assert_eq!(sends.wait_ms(START, 0), None);
    assert_eq!(sends.wait_ms(START, 1), Some(0));
    sends.note(START);
    assert_eq!(sends.wait_ms(START, 1), Some(SHARE_INTERVAL_MS));
    assert_eq!(sends.wait_ms(START, 2), Some(0));
    assert_eq!(sends.wait_ms(START.plus_millis(1_000), 1), Some(SHARE_INTERVAL_MS - 1_000));
    assert_eq!(sends.wait_ms(START.plus_millis(SHARE_INTERVAL_MS), 1), Some(0));
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

/// What would fail: a process that is cut off goes on, and whoever forgets its name takes its share as well.
#[test]
fn names_of_lost_processes_count_for_minutes() {
    let mut memory = ProcessHistory::default();
    let own = record("own", MemberState::Alive);
    memory.update(START, &[own.clone(), record("other", MemberState::Alive)]);
    assert!(!ProcessHistory::default().known_processes(START, "own", true).joined);
    assert!(memory.known_processes(START, "own", true).joined);
    let lost_at = START.plus_millis(60_000);
    memory.update(lost_at, &[own.clone(), record("other", MemberState::Suspect)]);
    let known = memory.known_processes(lost_at.plus_millis(2_000), "own", true);
    assert_eq!((known.gateways.len(), known.unresponsive), (2, 1));
    // Membership forgets it sooner or later; the name counts on.
    memory.update(lost_at.plus_millis(20_000), std::slice::from_ref(&own));
    let known = memory.known_processes(lost_at.plus_millis(20_000), "own", true);
    assert_eq!((known.gateways.len(), known.unresponsive), (2, 0));
    memory.update(lost_at.plus_millis(700_000), &[own]);
    assert_eq!(memory.known_processes(lost_at.plus_millis(700_000), "own", true).gateways, ["own"]);
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
    let facts = ZoneState { evacuated, zones: Arc::new(ZoneMap::default()) };
    Catalog::with_zones(Some(Arc::new(configuration)), backends.iter(), facts)
}

fn doubt(warmth: &Warmth, at: Timestamp) -> Option<(ColdCause, u64)> {
    warmth.doubt(at, "i-0").map(|doubt| (doubt.cause, doubt.until.millis_since(START)))
}

#[test]
fn a_record_tells_for_how_long_also_where_it_says_the_same_once_more() {
    let mut warmth = Warmth::default();
    warmth.observe(START, &catalog(&[backend(1, 3_000)], &[]));
    assert_eq!(doubt(&warmth, START), Some((ColdCause::Recorded, 3_000)));
    assert_eq!(doubt(&warmth, START.plus_millis(3_000)), None);
    let later = START.plus_millis(10_000);
    warmth.observe(later, &catalog(&[backend(1, 3_000)], &[]));
    assert_eq!(doubt(&warmth, later), Some((ColdCause::Recorded, 13_000)));
    warmth.observe(later, &catalog(&[backend(1, 0)], &[]));
    assert_eq!(doubt(&warmth, later), None);
}

#[test]
fn another_life_is_cold_and_what_was_known_at_the_start_is_not() {
    let mut warmth = Warmth::default();
    warmth.observe(START, &catalog(&[backend(1, 0)], &[]));
    assert_eq!(doubt(&warmth, START), None);
    warmth.observe(START, &catalog(&[backend(2, 0)], &[]));
    assert_eq!(doubt(&warmth, START), Some((ColdCause::Appeared, 3_000)));
}

/// A process that starts knows some back ends first. Were the others taken for new when all are known, it would hardly
/// use any of them until their warm-up is over.
#[test]
fn back_ends_that_come_with_the_whole_list_after_a_part_are_not_new() {
    let mut warmth = Warmth::default();
    let mut part = catalog(&[], &[]);
    part.is_partial = true;
    warmth.observe(START, &part);
    warmth.observe(START, &catalog(&[backend(1, 0)], &[]));
    assert_eq!(doubt(&warmth, START), None);
    warmth.observe(START, &catalog(&[backend(2, 0)], &[]));
    assert_eq!(doubt(&warmth, START), Some((ColdCause::Appeared, 3_000)));
}

/// What would fail: a word that came before the failure, or of another life, takes the doubt away.
#[test]
fn a_failure_is_outweighed_by_time_or_by_the_word_of_the_same_life() {
    let mut warmth = Warmth::default();
    warmth.observe(START, &catalog(&[backend(1, 0)], &[]));
    warmth.record_report(START, "i-0", 1, 0);
    warmth.record_failure(START, "i-0");
    let until = WARM_UP.duration_ms + RECORD_DELAY_MS;
    assert_eq!(doubt(&warmth, START), Some((ColdCause::Failed, until)));
    warmth.record_report(START, "i-0", 2, 0);
    assert_eq!(doubt(&warmth, START), Some((ColdCause::Failed, until)));
    assert_eq!(doubt(&warmth, START.plus_millis(until)), None);
    warmth.record_report(START, "i-0", 1, 0);
    assert_eq!(doubt(&warmth, START), None);
    warmth.record_report(START, "i-0", 1, 700);
    assert_eq!(doubt(&warmth, START), Some((ColdCause::Told, 700)));
}

#[test]
fn a_zone_that_returns_is_not_known_to_be_warm() {
    let mut warmth = Warmth::default();
    warmth.observe(START, &catalog(&[backend(1, 0)], &["z-1"]));
    assert_eq!(doubt(&warmth, START), None);
    warmth.observe(START, &catalog(&[backend(1, 0)], &[]));
    let until = WARM_UP.duration_ms + RECORD_DELAY_MS;
    assert_eq!(doubt(&warmth, START), Some((ColdCause::ZoneReturned, until)));
}

/// What would fail: the store loses a record for a moment, and what was sent to its back end doesn't count any more.
#[test]
fn a_back_end_that_is_gone_for_a_moment_is_not_forgotten() {
    let mut warmth = Warmth::default();
    warmth.observe(START, &catalog(&[backend(1, 0)], &[]));
    warmth.observe(START, &catalog(&[], &[]));
    assert!(warmth.holds("i-0"));
    warmth.observe(START, &catalog(&[backend(1, 0)], &[]));
    assert_eq!(doubt(&warmth, START), Some((ColdCause::Appeared, 3_000)));
}

fn state(remaining_ms: u64, names: KnownProcesses) -> ColdState {
    let sender = SenderId { name: "edge-0".into(), job_store: false };
    let mut state = ColdState::new(START, sender, BOUNDS);
    state.observe(START, &catalog(&[backend(1, remaining_ms)], &[]));
    state.set_names(Arc::new(names));
    state
}

/// What would fail: a process that starts again sends what it sent a moment ago once more, or takes the place of
/// others whose names it has not heard yet.
#[test]
fn a_process_uses_its_share_some_seconds_after_its_start_and_once_it_has_met_others() {
    let backend = backend(1, 60_000);
    let mut met = state(60_000, known_processes(3, 0));
    assert!(!met.standing(START.plus_millis(ENTRY_MS - 1), None, &backend).may_send());
    let entered = START.plus_millis(ENTRY_MS);
    assert!(met.standing(entered, None, &backend).may_send());
    let mut alone = state(60_000, KnownProcesses { joined: false, ..known_processes(1, 0) });
    assert!(!alone.standing(entered.plus_millis(10_000), None, &backend).may_send());
}

/// What would fail: a process that is cut off sends on as it knew, while back ends turned cold.
#[test]
fn nothing_is_known_to_be_warm_by_old_news() {
    let (backend, now) = (backend(1, 0), START.plus_millis(ENTRY_MS));
    let mut state = state(0, known_processes(75, 14));
    assert_eq!(state.standing(now, Some(5_000), &backend), Standing::Warm);
    let standing = state.standing(now, Some(5_001), &backend);
    assert!(matches!(standing, Standing::Cold { cause: ColdCause::OldNews, .. }), "{standing:?}");
    assert!(!state.is_free_of_doubt(now, Some(5_001)));
}

#[test]
fn a_leader_gives_each_job_store_with_a_share_one_item_in_an_interval() {
    let backend = backend(1, 60_000);
    let mut state = state(60_000, known_processes(75, 14));
    let mut given = BTreeSet::new();
    while let Some(name) = state.item_sender(START, &backend, |_| true) {
        state.record_item_assignment(START, &backend.id, name.clone());
        assert!(given.insert(name), "one got two");
    }
    assert_eq!(given.len(), 4);
    let later = START.plus_millis(SHARE_INTERVAL_MS);
    assert!(state.item_sender(later, &backend, |_| true).is_some());
    assert!(state.item_sender(later, &backend, |_| false).is_none());
}

/// What would fail: back ends with too much to do fail for most, and get little on top of that.
#[test]
fn a_back_end_that_is_heard_here_is_not_cold_for_what_others_report() {
    let mut warmth = Warmth::default();
    warmth.observe(START, &catalog(&[backend(1, 0)], &[]));
    warmth.record_activity(START, "i-0");
    warmth.record_reported_failure(START.plus_millis(400), "i-0");
    assert_eq!(doubt(&warmth, START.plus_millis(400)), None);
    let later = START.plus_millis(500);
    warmth.record_reported_failure(later, "i-0");
    assert_eq!(doubt(&warmth, later).map(|(cause, _)| cause), Some(ColdCause::Failed));
}
