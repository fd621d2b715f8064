//! Load reports: totals, and the work that they cost.

use std::collections::BTreeMap;
use std::time::Duration;

use quickcheck::quickcheck;
use yokefall_jobstore::aggregators::{aggregators, ReportTarget};
use yokefall_jobstore::capacity::Capacity;
use yokefall_jobstore::loads::Loads;
use yokefall_jobstore::{
    BackendCount, BackendOutcomes, BackendTotal, LoadReport, LoadSums, ServiceRate,
};
use yokefall_serving::{BackendIncarnation, Fleet, FleetMember, ZoneMap};

fn incarnation(id: &str) -> BackendIncarnation {
    BackendIncarnation { id: id.into(), started_ms: 0 }
}

fn report(gateway: usize, counts: &[(usize, u32)]) -> LoadReport {
    let count = |(backend, requests): &(usize, u32)| BackendCount {
        backend: incarnation(&format!("i-{backend}")),
        requests: *requests,
    };
    LoadReport {
        gateway: format!("edge-{gateway}"),
        counts: counts.iter().map(count).collect(),
        arrivals: vec![ServiceRate { service: "models".into(), per_1000_seconds: 1_000 }],
        outcomes: vec![],
        wants_all_totals: false,
        previous_aggregator: None,
    }
}

fn totals(loads: &Loads) -> BTreeMap<String, (u32, u32)> {
    let total = |total: BackendTotal| (total.backend.id, (total.online, total.items));
    loads.totals().into_iter().map(total).collect()
}

quickcheck! {
    fn totals_are_the_sum_of_the_last_reports(reports: Vec<(u8, Vec<(u8, u8)>)>) -> bool {
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_time()
            .start_paused(true)
            .build()
            .expect("a runtime");
        runtime.block_on(async {
            let loads = Loads::default();
            let mut last: BTreeMap<u8, BTreeMap<u8, u32>> = BTreeMap::new();
            let mut known: BTreeMap<u8, BTreeMap<String, (u32, u32)>> = BTreeMap::new();
            for (gateway, counts) in reports {
                let gateway = gateway % 5;
                // A report names a back end at most once, and only back ends with requests.
                let counts: BTreeMap<u8, u32> = counts
                    .into_iter()
                    .filter(|(_, requests)| *requests > 0)
                    .map(|(backend, requests)| (backend % 20, u32::from(requests)))
                    .collect();
                let sent: Vec<(usize, u32)> =
                    counts.iter().map(|(id, count)| (usize::from(*id), *count)).collect();
                last.insert(gateway, counts);
                let answer = loads.report(report(usize::from(gateway), &sent), None);
                let known = known.entry(gateway).or_default();
                for change in answer.changes {
                    match (change.online, change.items) {
                        (0, 0) => known.remove(&change.backend.id),
                        total => known.insert(change.backend.id, total),
                    };
                }
                let mut expected: BTreeMap<String, (u32, u32)> = BTreeMap::new();
                for (id, count) in last.values().flatten() {
                    expected.entry(format!("i-{id}")).or_default().0 += count;
                }
                // 20 back ends fit into one answer, so each reporting gateway knows all totals.
                if totals(&loads) != expected || *known != expected {
                    return false;
                }
            }
            true
        })
    }
}

fn aggregator_of<'a>(fleet: &'a Fleet, gateway: &str) -> Option<&'a FleetMember> {
    ReportTarget::new(gateway.to_owned()).choose(fleet)
}

/// The cost of one report does not grow with the number of gateways, and the load of an aggregator
/// is constant from 32 gateways on.
#[tokio::test(start_paused = true)]
async fn the_work_of_an_aggregator_is_bounded() {
    let back_ends = 168;
    for gateways in [1, 10, 80, 300, 550] {
        let fleet = fleet(gateways, 45);
        let chosen = aggregators(&fleet, &ZoneMap::default(), None);
        let mut busiest: BTreeMap<String, Vec<usize>> = BTreeMap::new();
        for gateway in 0..gateways {
            let name = format!("edge-{gateway}");
            let aggregator = aggregator_of(&fleet, &name).expect("an aggregator");
            busiest.entry(aggregator.name.clone()).or_default().push(gateway);
        }
        let most = busiest.values().max_by_key(|own| own.len()).expect("gateways");
        assert!(most.len() <= 64, "{gateways} gateways: {} at one aggregator", most.len());
        let loads = Loads::default();
        for peer in 1..chosen.len() {
            loads.record_sums(LoadSums {
                from: format!("store-{peer}"),
                counts: (0..back_ends).map(|id| total(id, 1)).collect(),
                arrivals: vec![],
                outcomes: vec![],
                gateways: 32,
            });
        }
        let before = loads.steps();
        for gateway in most {
            loads.report(report(*gateway, &[(gateway % back_ends, 1)]), None);
        }
        let steps = (loads.steps() - before) / most.len() as u64;
        // Every known total and every total sent before is examined once.
        assert!(steps <= 2 * back_ends as u64 + 100, "{gateways} gateways: {steps} steps a report");
    }
}

fn total(backend: usize, online: u32) -> BackendTotal {
    BackendTotal { backend: incarnation(&format!("i-{backend}")), online, items: 0 }
}

#[tokio::test(start_paused = true)]
async fn a_gateway_that_stops_reporting_expires() {
    let loads = Loads::default();
    loads.report(report(1, &[(1, 4)]), None);
    assert_eq!(loads.online(&incarnation("i-1")), Some(4));
    tokio::time::sleep(Duration::from_millis(2_000)).await;
    assert_eq!(loads.online(&incarnation("i-1")), None);
    assert!(loads.totals().is_empty());
    assert_eq!(loads.reporters(), 0);
}

#[tokio::test(start_paused = true)]
async fn an_answer_is_bounded_and_the_rest_comes_with_the_next() {
    let loads = Loads::default();
    let counts: Vec<(usize, u32)> = (0..150).map(|id| (id, 1 + id as u32)).collect();
    loads.report(report(1, &counts), None);
    let mut received = 0;
    let mut largest_first = u32::MAX;
    for _ in 0..4 {
        let answer = loads.report(report(2, &[]), None);
        assert!(answer.changes.len() <= 48);
        received += answer.changes.len();
        let largest = answer.changes.iter().map(|change| change.online).max().unwrap_or(0);
        assert!(largest < largest_first);
        largest_first = largest;
    }
    assert_eq!(received, 150);
    assert!(loads.report(report(2, &[]), None).changes.is_empty());
    let again = loads.report(LoadReport { wants_all_totals: true, ..report(2, &[]) }, None);
    assert_eq!(again.changes.len(), 48);
}

#[tokio::test(start_paused = true)]
async fn sums_of_other_job_stores_are_added_to_local_reports_and_items() {
    let loads = Loads::default();
    loads.report(report(1, &[(1, 2)]), None);
    loads.item_started(&incarnation("i-1"));
    let sums = LoadSums {
        from: "store-2".into(),
        counts: vec![BackendTotal { backend: incarnation("i-1"), online: 3, items: 4 }],
        arrivals: vec![ServiceRate { service: "models".into(), per_1000_seconds: 500 }],
        outcomes: vec![],
        gateways: 7,
    };
    loads.record_sums(sums.clone());
    loads.record_sums(sums);
    assert_eq!(
        (loads.online(&incarnation("i-1")), loads.items(&incarnation("i-1")), loads.reporters()),
        (Some(5), 5, 8)
    );
    let own = loads.local_sums("store-1").expect("sums");
    assert_eq!(own.counts, [BackendTotal { backend: incarnation("i-1"), online: 2, items: 1 }]);
    assert_eq!((own.gateways, own.arrivals[0].per_1000_seconds), (1, 1_000));
    let answer = loads.report(report(1, &[(1, 2)]), None);
    assert_eq!(answer.arrivals[0].per_1000_seconds, 1_500);
    loads.item_ended(&incarnation("i-1"));
    assert_eq!(loads.items(&incarnation("i-1")), 4);
}

fn outcome(gateway: usize, failed: u64, answered: u64) -> LoadReport {
    let outcomes = BackendOutcomes { backend: incarnation("i-1"), failed, answered };
    LoadReport { outcomes: vec![outcomes], ..report(gateway, &[]) }
}

/// Without shared outcomes, each gateway would have to detect a failing back end itself: with 53
/// gateways and ten back ends that reset every request, each gateway did so three times.
#[tokio::test(start_paused = true)]
async fn a_back_end_failing_for_two_gateways_is_reported_to_all() {
    let loads = Loads::default();
    assert!(loads.report(outcome(1, 1_000, 0), None).failing.is_empty());
    assert_eq!(loads.report(outcome(2, 900, 0), None).failing, [incarnation("i-1")]);
    assert_eq!(loads.report(report(3, &[]), None).failing, [incarnation("i-1")]);
    // Sums carry the outcomes to the gateways of other aggregators.
    let other = Loads::default();
    other.record_sums(loads.local_sums("store-1").expect("sums"));
    assert_eq!(other.report(report(4, &[]), None).failing, [incarnation("i-1")]);
    // Outcomes expire with the reports.
    tokio::time::sleep(Duration::from_millis(2_000)).await;
    assert!(loads.report(report(3, &[]), None).failing.is_empty());
}

#[tokio::test(start_paused = true)]
async fn a_back_end_with_few_failures_is_not_failing() {
    let loads = Loads::default();
    loads.report(outcome(1, 1_000, 2_000), None);
    assert!(loads.report(outcome(2, 1_000, 3_000), None).failing.is_empty());
}

fn fleet(gateways: usize, job_stores: usize) -> Fleet {
    let member = |name: String, job_store: bool| FleetMember {
        name,
        address: "127.0.0.1:1".parse().expect("an address"),
        zone: "hall-1".into(),
        job_store,
        accepting: true,
    };
    let mut members: Vec<FleetMember> =
        (0..gateways).map(|index| member(format!("edge-{index}"), false)).collect();
    members.extend((0..job_stores).map(|index| member(format!("store-{index}"), true)));
    Fleet { members, ..Fleet::default() }
}

#[test]
fn a_single_aggregator_is_the_leader_and_losing_one_moves_only_its_gateways() {
    let small = fleet(8, 3);
    let mut target = ReportTarget::new("edge-1".into());
    target.answered("store-0", Some("store-2".into()));
    assert_eq!(target.choose(&small).expect("an aggregator").name, "store-2");

    let whole = fleet(250, 45);
    let mut less = whole.clone();
    let lost = aggregators(&whole, &ZoneMap::default(), None)[3].name.clone();
    less.members.retain(|member| member.name != lost);
    let of = |fleet: &Fleet, gateway: usize| {
        let name = format!("edge-{gateway}");
        aggregator_of(fleet, &name).expect("an aggregator").name.clone()
    };
    let moved =
        (0..250).filter(|gateway| of(&whole, *gateway) != of(&less, *gateway)).collect::<Vec<_>>();
    let own = (0..250).filter(|gateway| of(&whole, *gateway) == lost).count();
    // The gateways of the lost aggregator, and those whose highest score is its replacement.
    assert!(moved.len() <= 2 * own + 10, "{} of {own}", moved.len());
}

fn idle(gateway: usize) -> LoadReport {
    LoadReport { arrivals: vec![], ..report(gateway, &[]) }
}

/// Slots out of 100 that are reserved for online requests if some of 6 gateways report to `loads`.
fn reserve(loads: &Loads) -> u32 {
    let mut capacity = Capacity::new(Duration::from_millis(24)).with_coverage(loads.coverage(6));
    capacity.add(100, 0);
    capacity.reserve()
}

/// Longer than the longest interval between two reports of any gateway.
const LISTENING: Duration = Duration::from_millis(1_600);

#[tokio::test(start_paused = true)]
async fn an_idle_report_lasts_until_the_next_one() {
    let loads = Loads::default();
    (0..6).for_each(|gateway| drop(loads.report(idle(gateway), None)));
    tokio::time::sleep(Duration::from_millis(3_100)).await;
    assert_eq!((loads.reporters(), loads.online(&incarnation("i-1"))), (6, Some(0)));
    // All slots except those that a burst fills before items are preempted.
    assert_eq!(reserve(&loads), 8);
    tokio::time::sleep(Duration::from_millis(1_500)).await;
    assert_eq!((loads.coverage(6).reporting, loads.online(&incarnation("i-1"))), (0, None));
    assert_eq!(reserve(&loads), 70);
}

/// Guards against taking one reporting gateway for all: items would fill the others' slots.
#[tokio::test(start_paused = true)]
async fn slots_of_unreported_gateways_stay_free() {
    let loads = Loads::default();
    assert_eq!(reserve(&loads), 70);
    tokio::time::sleep(LISTENING).await;
    let mut reserves = Vec::new();
    for gateway in 0..6 {
        loads.report(report(gateway, &[(1, 1)]), None);
        reserves.push(reserve(&loads));
    }
    assert_eq!(reserves, [58, 46, 35, 23, 11, 8]);
}

/// Guards against taking the answer of a job store with one reporting gateway for the total load.
#[tokio::test(start_paused = true)]
async fn an_answer_states_how_many_gateways_it_covers() {
    let loads = Loads::default();
    let covers = (0..6).map(|gateway| {
        let answer = loads.report(report(gateway, &[(1, 1)]), None);
        (answer.gateways, answer.covers_majority_of(6))
    });
    let covers: Vec<(u32, bool)> = covers.collect();
    assert_eq!(covers, [(1, false), (2, false), (3, false), (4, true), (5, true), (6, true)]);
}

/// A process that has just started may know only the gateway that reported first.
#[tokio::test(start_paused = true)]
async fn a_starting_process_assumes_unreported_gateways() {
    let loads = Loads::default();
    let share = || loads.coverage(1).unreported_slot_share();
    loads.report(report(0, &[(1, 1)]), None);
    assert!(share() > 0.69, "{}", share());
    tokio::time::sleep(LISTENING / 2).await;
    assert!((0.2..0.5).contains(&share()), "{}", share());
    loads.report(report(0, &[(1, 1)]), None);
    tokio::time::sleep(LISTENING / 2).await;
    assert_eq!(share(), 0.0);
}

/// Guards against gateways that keep reporting to a leader that is cut off from the other job
/// stores: its answers, which name no leader, were accepted, and without a leader every gateway
/// chooses the same job store. The new leader then received no report for 8 s, and items waited.
#[tokio::test(start_paused = true)]
async fn a_gateway_avoids_a_job_store_that_knows_no_leader() {
    let fleet = fleet(6, 3);
    let cut_off = aggregator_of(&fleet, "edge-1").expect("an aggregator").name.clone();
    let leader = fleet.job_stores().find(|store| store.name != cut_off).expect("another");
    let mut target = ReportTarget::new("edge-1".into());
    for _ in 0..3 {
        let asked = target.choose(&fleet).expect("a job store").name.clone();
        let named_leader = (asked != cut_off).then(|| leader.name.clone());
        target.answered(&asked, named_leader);
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    assert_eq!(target.choose(&fleet).expect("a job store").name, leader.name);
}

#[tokio::test(start_paused = true)]
async fn a_job_store_is_avoided_for_a_limited_time() {
    let fleet = fleet(80, 45);
    let mut target = ReportTarget::new("edge-1".into());
    let own = target.choose(&fleet).expect("a job store").name.clone();
    target.answered(&own, None);
    let second = target.choose(&fleet).expect("a job store").name.clone();
    assert!(
        second != own
            && aggregators(&fleet, &ZoneMap::default(), None)
                .iter()
                .any(|store| store.name == second)
    );
    target.answered(&second, Some("store-1".into()));
    tokio::time::sleep(Duration::from_millis(2_100)).await;
    assert_eq!(target.choose(&fleet).expect("a job store").name, own);
}

/// No job store knows a leader during an election; reports must continue.
#[tokio::test(start_paused = true)]
async fn reports_continue_without_a_leader() {
    let fleet = fleet(6, 3);
    let mut target = ReportTarget::new("edge-1".into());
    for _ in 0..10 {
        let asked = target.choose(&fleet).expect("a job store").name.clone();
        target.failed(&asked);
    }
}

/// Guards against counting a gateway twice after it moved to another job store, until its old
/// report expires: 14 and 21 gateways were counted instead of 7, and items were preempted for
/// requests counted twice (completed item value fell from 0.84 to 0.78).
#[tokio::test(start_paused = true)]
async fn a_gateway_that_moves_to_another_job_store_counts_once() {
    let (leader, other) = (Loads::default(), Loads::default());
    other.report(report(1, &[(1, 4)]), None);
    other.report(report(2, &[(1, 1)]), None);
    leader.record_sums(other.local_sums("store-2").expect("sums"));
    assert_eq!((leader.online(&incarnation("i-1")), leader.reporters()), (Some(5), 2));
    // The report to the leader names the previous job store, which then drops the gateway.
    leader.report(report(1, &[(1, 4)]), None);
    other.forget("edge-1");
    leader.record_sums(other.local_sums("store-2").expect("sums"));
    assert_eq!((leader.online(&incarnation("i-1")), leader.reporters()), (Some(5), 2));
}

#[tokio::test(start_paused = true)]
async fn a_job_store_is_avoided_after_two_missed_answers() {
    let fleet = fleet(80, 45);
    let mut target = ReportTarget::new("edge-1".into());
    let own = target.choose(&fleet).expect("a job store").name.clone();
    for _ in 0..3 {
        target.failed(&own);
        assert_eq!(target.choose(&fleet).expect("a job store").name, own);
        target.answered(&own, Some("store-1".into()));
    }
    target.failed(&own);
    target.failed(&own);
    assert_ne!(target.choose(&fleet).expect("a job store").name, own);
}

/// Guards against summing counts, outcomes and items by back end id only. A back end restarts under
/// its id while one gateway still reports requests at its earlier incarnation; the empty new
/// incarnation would be considered full, and no requests would be sent to it.
#[tokio::test(start_paused = true)]
async fn load_of_an_earlier_incarnation_does_not_count_for_the_new_one() {
    let loads = Loads::default();
    let (before, after) =
        (incarnation("i-1"), BackendIncarnation { started_ms: 9, ..incarnation("i-1") });
    let count = |backend: &BackendIncarnation, requests| BackendCount {
        backend: backend.clone(),
        requests,
    };
    let with_counts = |gateway, counts| LoadReport { counts, ..report(gateway, &[]) };
    loads.report(with_counts(1, vec![count(&after, 2)]), None);
    loads.report(
        LoadReport {
            outcomes: outcome(2, 3_000, 0).outcomes,
            ..with_counts(2, vec![count(&before, 8)])
        },
        None,
    );
    loads.item_started(&before);
    assert_eq!((loads.online(&after), loads.items(&after)), (Some(2), 0));
    assert_eq!((loads.online(&before), loads.items(&before)), (Some(8), 1));
    let answer = loads.report(with_counts(3, vec![]), None);
    assert_eq!(answer.failing, std::slice::from_ref(&before));
    assert_eq!(answer.changes.len(), 2);
    let other = Loads::default();
    other.record_sums(loads.local_sums("store-1").expect("sums"));
    assert_eq!((other.online(&after), other.online(&before)), (Some(2), Some(8)));
    // The requests of the earlier incarnation end late.
    loads.report(with_counts(2, vec![]), None);
    loads.item_ended(&before);
    assert_eq!((loads.online(&after), loads.online(&before)), (Some(2), Some(0)));
}
