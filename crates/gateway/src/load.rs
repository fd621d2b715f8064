//! Reports to a job store what this gateway has in flight, and learns what all processes have: items
//! of jobs are preempted by online requests, and gateways act as one.

use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use tokio::time::Instant;
use yokefall_jobstore::aggregators::ReportTarget;
use yokefall_jobstore::loads::{
    report_interval, IDLE_REPORT_INTERVAL, MAX_BUSY_REPORT_INTERVAL, OUTCOME_SCALE,
};
use yokefall_jobstore::{
    BackendCount, BackendOutcomes, LoadAnswer, LoadReport, Reply, Request, ServiceRate,
};
use yokefall_serving::{Backend, BackendIncarnation, InFlight, Outcomes};
use yokefall_telemetry::{EventName, LogLine};

use crate::shared::Shared;

/// Reports after which back ends that are gone are forgotten, about half a minute.
const REPORTS_TO_FORGET: u32 = 256;
/// Longest wait for an answer, three of the longest intervals between reports.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(300);
/// A rate in requests a millisecond, in the unit of reports.
const MILLISECONDS_IN_1000_SECONDS: f64 = 1e6;

/// What this gateway knows from its aggregator.
struct Known {
    target: ReportTarget,
    aggregator: String,
    /// The job store that got reports before, until the present one has taken one.
    previous_aggregator: Option<String>,
    totals: HashMap<BackendIncarnation, InFlight>,
    /// Whether `totals` followed from every answer so far.
    is_current: bool,
}

/// Reports for ever.
pub async fn report(shared: Rc<Shared>, target: ReportTarget) {
    let mut known = Known {
        target,
        aggregator: String::new(),
        previous_aggregator: None,
        totals: HashMap::new(),
        is_current: false,
    };
    let mut longest_interval = Duration::ZERO;
    let mut reports: u32 = 0;
    loop {
        let changed = shared.balancer.changed.notified();
        let _ = tokio::time::timeout(longest_interval, changed).await;
        let gateways = shared.fleet.load().gateways().count();
        tokio::time::sleep(report_interval(gateways)).await;
        longest_interval = match report_once(&shared, &mut known).await {
            Reported::Nothing => IDLE_REPORT_INTERVAL,
            Reported::Load | Reported::NotTaken => MAX_BUSY_REPORT_INTERVAL,
        };
        reports += 1;
        if reports % REPORTS_TO_FORGET == 0 {
            forget_gone(&shared);
        }
    }
}

/// What a report came to.
enum Reported {
    /// Requests, or what is left of their rates and outcomes.
    Load,
    /// That there is nothing to report.
    Nothing,
    /// No job store took it.
    NotTaken,
}

async fn report_once(shared: &Shared, known: &mut Known) -> Reported {
    let fleet = shared.fleet.load_full();
    let Some(aggregator) = known.target.choose(&fleet) else { return Reported::NotTaken };
    if aggregator.name != known.aggregator {
        LogLine::new(EventName::AggregatorChanged)
            .id(&aggregator.name)
            .field("leader", known.target.leader())
            .write();
        let before = std::mem::replace(&mut known.aggregator, aggregator.name.clone());
        // One that took no report has nothing to forget.
        let taken_by = known.previous_aggregator.take().unwrap_or(before);
        known.previous_aggregator =
            (!taken_by.is_empty() && taken_by != aggregator.name).then_some(taken_by);
        known.is_current = false;
    }
    let counts = counts(shared);
    let report = LoadReport {
        gateway: known.target.gateway().to_owned(),
        counts: counts.clone(),
        arrivals: arrivals(shared),
        outcomes: outcomes(shared),
        wants_all_totals: !known.is_current,
        previous_aggregator: known.previous_aggregator.clone(),
    };
    let reported = match report.is_idle() {
        true => Reported::Nothing,
        false => Reported::Load,
    };
    let limit = Instant::now() + ANSWER_TIMEOUT;
    match shared.jobs.call_member(aggregator.address, Request::Load(report), limit).await {
        Some(Reply::Load(answer)) => {
            known.target.answered(&aggregator.name, answer.leader.clone());
            known.previous_aggregator = None;
            take_answer(shared, known, answer, &counts);
            reported
        }
        // What a lost answer said is asked for again; the aggregator may be gone, or not lead.
        Some(_) | None => {
            known.is_current = false;
            known.target.failed(&aggregator.name);
            Reported::NotTaken
        }
    }
}

/// Drops what is held of back ends that nobody knows any more.
fn forget_gone(shared: &Shared) {
    let catalog = shared.catalog.load();
    shared.pool.retain(|incarnation| catalog.is_ready_incarnation(incarnation));
    shared.balancer.with(|balancer, now| {
        balancer.retain(|incarnation| catalog.is_ready_incarnation(incarnation));
        balancer.prune_idle(now);
    });
}

fn counts(shared: &Shared) -> Vec<BackendCount> {
    shared.balancer.with(|balancer, _| {
        let count = |(backend, requests)| BackendCount { backend, requests };
        balancer.all_in_flight().map(count).collect()
    })
}

fn arrivals(shared: &Shared) -> Vec<ServiceRate> {
    shared.balancer.with(|balancer, now| {
        let rate = |(service, per_ms): (&str, f64)| ServiceRate {
            service: service.to_owned(),
            per_1000_seconds: (per_ms * MILLISECONDS_IN_1000_SECONDS) as u64,
        };
        balancer.own_arrival_rates(now).map(rate).filter(|rate| rate.per_1000_seconds > 0).collect()
    })
}

fn outcomes(shared: &Shared) -> Vec<BackendOutcomes> {
    let thousandths = |requests: f64| (requests * OUTCOME_SCALE) as u64;
    shared.balancer.with(|balancer, now| {
        let outcome = |(backend, sums): (BackendIncarnation, Outcomes)| BackendOutcomes {
            backend,
            failed: thousandths(sums.failed),
            answered: thousandths(sums.answered),
        };
        balancer.outcomes(now).map(outcome).collect()
    })
}

/// Leaves out back ends that fail for all gateways. Where these are more than half of a service, the
/// fault may be a link of those who report, and each gateway judges for itself.
fn leave_out_failing(shared: &Shared, failing: &[BackendIncarnation]) {
    if failing.is_empty() {
        return;
    }
    // Whatever the fault is: some of them may start again.
    shared.cold.record_reported_failure(failing.iter().map(|incarnation| incarnation.id.as_str()));
    let catalog = shared.catalog.load();
    for (_, backends) in catalog.ready_services() {
        let of_service = |incarnation: &BackendIncarnation| {
            backends
                .get(&incarnation.id)
                .filter(|backend| backend.started_ms == incarnation.started_ms)
        };
        let failing: Vec<&Backend> =
            failing.iter().filter_map(of_service).map(|backend| backend.as_ref()).collect();
        if failing.len() * 2 <= backends.len() {
            shared.balancer.with(|balancer, now| balancer.eject_reported(now, failing.into_iter()));
        }
    }
}

/// Takes what all processes have in flight, `reported` by this gateway included.
fn take_answer(shared: &Shared, known: &mut Known, answer: LoadAnswer, reported: &[BackendCount]) {
    if !known.is_current {
        known.totals.clear();
        known.is_current = true;
    }
    let gateways = shared.fleet.load().gateways().count();
    let is_informed = answer.covers_majority_of(gateways);
    for change in answer.changes {
        let total = InFlight { online: change.online, items: change.items };
        if total == InFlight::default() {
            known.totals.remove(&change.backend);
        } else {
            known.totals.insert(change.backend, total);
        }
    }
    leave_out_failing(shared, &answer.failing);
    if !is_informed {
        return;
    }
    let own = |incarnation: &BackendIncarnation| {
        reported
            .iter()
            .find(|count| count.backend == *incarnation)
            .map_or(0, |count| count.requests)
    };
    let totals = known.totals.iter().map(|(incarnation, total)| (incarnation, *total));
    shared.balancer.with(|balancer, now| {
        balancer.set_balancer_count(gateways, report_interval(gateways).as_millis() as u64);
        balancer.update_totals(now, totals, own);
        for rate in answer.arrivals {
            let per_ms = rate.per_1000_seconds as f64 / MILLISECONDS_IN_1000_SECONDS;
            balancer.set_total_arrival_rate(now, rate.service, per_ms);
        }
    });
    shared.balancer.room.notify_one();
}
