//! Reports the requests in flight at this gateway to a job store and receives the totals of all
//! processes. Online requests thereby preempt batch items, and gateways balance load as one.

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

/// Number of reports after which state of departed back ends is dropped: about half a minute.
const REPORTS_PER_CLEANUP: u32 = 256;
/// Timeout for an answer: three times the longest report interval.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(300);
/// Converts requests per millisecond to the unit of reports.
const MILLISECONDS_IN_1000_SECONDS: f64 = 1e6;

/// State of the exchange with the aggregator.
struct ReportState {
    target: ReportTarget,
    aggregator: String,
    /// The job store that received reports before, until the current one has accepted a report.
    previous_aggregator: Option<String>,
    totals: HashMap<BackendIncarnation, InFlight>,
    /// Whether `totals` reflects every answer so far.
    is_current: bool,
}

/// Sends reports forever.
pub async fn report(shared: Rc<Shared>, target: ReportTarget) {
    let mut state = ReportState {
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
        longest_interval = match report_once(&shared, &mut state).await {
            ReportOutcome::Idle => IDLE_REPORT_INTERVAL,
            ReportOutcome::Load | ReportOutcome::NotAccepted => MAX_BUSY_REPORT_INTERVAL,
        };
        reports += 1;
        if reports % REPORTS_PER_CLEANUP == 0 {
            drop_departed_backends(&shared);
        }
    }
}

/// Outcome of a report.
enum ReportOutcome {
    /// There were requests in flight, or their rates and outcomes have not decayed yet.
    Load,
    /// There was nothing to report.
    Idle,
    /// No job store accepted the report.
    NotAccepted,
}

async fn report_once(shared: &Shared, state: &mut ReportState) -> ReportOutcome {
    let fleet = shared.fleet.load_full();
    let Some(aggregator) = state.target.choose(&fleet) else { return ReportOutcome::NotAccepted };
    if aggregator.name != state.aggregator {
        LogLine::new(EventName::AggregatorChanged)
            .id(&aggregator.name)
            .field("leader", state.target.leader())
            .write();
        let before = std::mem::replace(&mut state.aggregator, aggregator.name.clone());
        // A job store that never accepted a report has no state of this gateway to discard.
        let accepted_by = state.previous_aggregator.take().unwrap_or(before);
        state.previous_aggregator =
            (!accepted_by.is_empty() && accepted_by != aggregator.name).then_some(accepted_by);
        state.is_current = false;
    }
    let counts = counts(shared);
    let report = LoadReport {
        gateway: state.target.gateway().to_owned(),
        counts: counts.clone(),
        arrivals: arrivals(shared),
        outcomes: outcomes(shared),
        wants_all_totals: !state.is_current,
        previous_aggregator: state.previous_aggregator.clone(),
    };
    let reported = match report.is_idle() {
        true => ReportOutcome::Idle,
        false => ReportOutcome::Load,
    };
    let limit = Instant::now() + ANSWER_TIMEOUT;
    match shared.jobs.call_member(aggregator.address, Request::Load(report), limit).await {
        Some(Reply::Load(answer)) => {
            state.target.answered(&aggregator.name, answer.leader.clone());
            state.previous_aggregator = None;
            apply_answer(shared, state, answer, &counts);
            reported
        }
        // The content of a lost answer is requested again; the aggregator may be gone or not lead.
        Some(_) | None => {
            state.is_current = false;
            state.target.failed(&aggregator.name);
            ReportOutcome::NotAccepted
        }
    }
}

fn drop_departed_backends(shared: &Shared) {
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

/// Ejects back ends that fail for all gateways. If they are more than half of a service, a network
/// fault at the reporting processes may be the cause, and each gateway decides on its own.
fn eject_failing(shared: &Shared, failing: &[BackendIncarnation]) {
    if failing.is_empty() {
        return;
    }
    // Whatever the fault is, some of them may have restarted.
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

/// Applies the in-flight totals of all processes, which include what this gateway `reported`.
fn apply_answer(
    shared: &Shared,
    state: &mut ReportState,
    answer: LoadAnswer,
    reported: &[BackendCount],
) {
    if !state.is_current {
        state.totals.clear();
        state.is_current = true;
    }
    let gateways = shared.fleet.load().gateways().count();
    let is_informed = answer.covers_majority_of(gateways);
    for change in answer.changes {
        let total = InFlight { online: change.online, items: change.items };
        if total == InFlight::default() {
            state.totals.remove(&change.backend);
        } else {
            state.totals.insert(change.backend, total);
        }
    }
    eject_failing(shared, &answer.failing);
    if !is_informed {
        return;
    }
    let own_count = |incarnation: &BackendIncarnation| {
        reported
            .iter()
            .find(|count| count.backend == *incarnation)
            .map_or(0, |count| count.requests)
    };
    let totals = state.totals.iter().map(|(incarnation, total)| (incarnation, *total));
    shared.balancer.with(|balancer, now| {
        balancer.set_balancer_count(gateways, report_interval(gateways).as_millis() as u64);
        balancer.update_totals(now, totals, own_count);
        for rate in answer.arrivals {
            let per_ms = rate.per_1000_seconds as f64 / MILLISECONDS_IN_1000_SECONDS;
            balancer.set_total_arrival_rate(now, rate.service, per_ms);
        }
    });
    shared.balancer.capacity_freed.notify_one();
}
