//! Requests in flight at back ends, summed from load reports. Each gateway reports to one job
//! store, its aggregator. Aggregators exchange their sums, so that a report costs work at one job
//! store only. Totals change by a report's difference from the previous one, at a cost proportional
//! to its entries.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use tokio::time::Instant;
use yokefall_serving::{BackendIncarnation, InFlight, Outcomes};

use crate::protocol::{
    BackendOutcomes, BackendTotal, LoadAnswer, LoadReport, LoadSums, ServiceRate,
};

/// Maximum interval between two reports of a gateway with load.
pub const MAX_BUSY_REPORT_INTERVAL: Duration = Duration::from_millis(500);
/// Interval between two reports of an idle gateway. Idle gateways report too: one that sends
/// nothing may be cut off and have any number of requests.
pub const IDLE_REPORT_INTERVAL: Duration = Duration::from_millis(1_500);
/// Lifetime of a report; two of the following reports may be lost.
const REPORT_LIFETIME: Duration = Duration::from_millis(1_500);
const IDLE_REPORT_LIFETIME: Duration = Duration::from_millis(4_500);
/// Share of a service's slots that the online requests of all gateways are assumed to occupy while
/// none of them reports: shortly after a start, or while all gateways are cut off.
const UNREPORTED_SLOT_SHARE: f64 = 0.7;
/// Minimum interval between two passes that drop expired reports.
const EXPIRY_INTERVAL: Duration = Duration::from_millis(250);
/// Maximum number of back ends in one answer, about 1.5 KB, so that its cost does not depend on
/// their number. The largest changes are sent first, the others with the next answer.
const MAX_CHANGES: usize = 48;

/// Fixed-point scale of reported outcomes: units per request.
pub const OUTCOME_SCALE: f64 = 1_000.0;

/// Report interval per gateway of the fleet; limits an aggregator to 250 reports a second.
const INTERVAL_PER_GATEWAY: Duration = Duration::from_millis(4);
/// Minimum interval between two reports; a round trip takes about a tenth of it.
const MIN_REPORT_INTERVAL: Duration = Duration::from_millis(20);
/// Maximum interval between two reports while load changes.
const MAX_REPORT_INTERVAL: Duration = Duration::from_millis(100);

/// Interval between two load reports of a gateway in a fleet with this many gateways.
pub fn report_interval(gateways: usize) -> Duration {
    let shared = INTERVAL_PER_GATEWAY * u32::try_from(gateways).unwrap_or(u32::MAX);
    shared.clamp(MIN_REPORT_INTERVAL, MAX_REPORT_INTERVAL)
}

#[derive(Debug)]
struct Source {
    expires_at: Instant,
    counts: Vec<BackendTotal>,
    arrivals: Vec<ServiceRate>,
    outcomes: Vec<BackendOutcomes>,
    gateways: u32,
}

/// Summed outcomes at one back end, in thousandths.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct SummedOutcomes {
    failed: u64,
    answered: u64,
}

impl SummedOutcomes {
    fn add(&mut self, reported: &BackendOutcomes) {
        self.failed += reported.failed;
        self.answered += reported.answered;
    }

    fn is_failing(&self) -> bool {
        let requests = |thousandths: u64| thousandths as f64 / OUTCOME_SCALE;
        let outcomes =
            Outcomes { failed: requests(self.failed), answered: requests(self.answered) };
        outcomes.is_failing()
    }
}

#[derive(Debug, Default)]
struct Sums {
    gateways: HashMap<String, Source>,
    job_stores: HashMap<String, Source>,
    /// Items that this process runs, by back end.
    local_items: HashMap<BackendIncarnation, u32>,
    totals: HashMap<BackendIncarnation, InFlight>,
    /// Requests per 1,000 seconds, by service.
    arrivals: HashMap<String, u64>,
    /// Recent outcomes in thousandths, by back end.
    outcomes: HashMap<BackendIncarnation, SummedOutcomes>,
    reporters: u32,
    /// Totals last sent to each gateway.
    sent_totals: HashMap<String, HashMap<BackendIncarnation, InFlight>>,
    expired_at: Option<Instant>,
}

/// Requests and items in flight, by back end.
#[derive(Debug)]
pub struct Loads {
    sums: RefCell<Sums>,
    steps: Cell<u64>,
    /// When this process began to receive reports.
    since: Instant,
}

/// How many of the gateways report to a process or its peers.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Coverage {
    /// Known gateways in the fleet.
    pub gateways: u32,
    /// Gateways whose reports are current.
    pub reporting: u32,
    /// Time for which this process has received reports.
    pub listening: Duration,
}

impl Coverage {
    /// Share of the gateways whose load is not reported, from 0 to 1.
    fn unreported_share(self) -> f64 {
        if self.reporting == 0 {
            return 1.0;
        }
        let all = self.gateways.max(self.reporting);
        let unreported = 1.0 - f64::from(self.reporting) / f64::from(all);
        // A process that just started may not know all gateways; each reports within the interval.
        let startup_share = 1.0 - self.listening.div_duration_f64(IDLE_REPORT_INTERVAL);
        unreported.max(startup_share).clamp(0.0, 1.0)
    }

    /// Share of a service's slots that unreported online requests may occupy.
    pub fn unreported_slot_share(self) -> f64 {
        UNREPORTED_SLOT_SHARE * self.unreported_share()
    }
}

impl Default for Loads {
    fn default() -> Self {
        Self { sums: RefCell::default(), steps: Cell::default(), since: Instant::now() }
    }
}

impl Loads {
    /// Replaces the report of a gateway and returns the totals that changed since its last answer.
    pub fn report(&self, report: LoadReport, leader: Option<String>) -> LoadAnswer {
        // An idle gateway reports explicitly. Otherwise it could not be told from one that is cut
        // off, and most slots would be reserved for requests that do not exist.
        let lifetime = if report.is_idle() { IDLE_REPORT_LIFETIME } else { REPORT_LIFETIME };
        let LoadReport {
            gateway,
            counts,
            arrivals,
            outcomes,
            wants_all_totals,
            previous_aggregator: _,
        } = report;
        let sums = &mut *self.sums.borrow_mut();
        self.expire(sums);
        let counts = counts.into_iter().map(|count| BackendTotal {
            backend: count.backend,
            online: count.requests,
            items: 0,
        });
        let counts: Vec<BackendTotal> = counts.collect();
        self.count_steps(counts.len());
        let expires_at = Instant::now() + lifetime;
        let source = Source { expires_at, counts, arrivals, outcomes, gateways: 1 };
        sums.add(&source);
        if let Some(before) = sums.gateways.insert(gateway.clone(), source) {
            sums.subtract(&before);
        }
        if wants_all_totals {
            sums.sent_totals.remove(&gateway);
        }
        let arrivals = sums.arrivals.iter();
        let rate = |(service, rate): (&String, &u64)| ServiceRate {
            service: service.clone(),
            per_1000_seconds: *rate,
        };
        let arrivals = arrivals.map(rate).collect();
        let failing = sums.failing();
        let gateways = sums.reporters;
        let changes = self.changes(sums, gateway);
        LoadAnswer { changes, arrivals, failing, leader, gateways }
    }

    /// Drops the report of a gateway that moved to another job store, which would count twice.
    pub fn forget(&self, gateway: &str) {
        let sums = &mut *self.sums.borrow_mut();
        sums.sent_totals.remove(gateway);
        if let Some(source) = sums.gateways.remove(gateway) {
            sums.subtract(&source);
        }
    }

    /// Totals that differ from those last sent to a gateway, the largest differences first.
    fn changes(&self, sums: &mut Sums, gateway: String) -> Vec<BackendTotal> {
        let Sums { totals, sent_totals, .. } = sums;
        let sent_totals = sent_totals.entry(gateway).or_default();
        self.count_steps(totals.len() + sent_totals.len());
        let mut changes: Vec<(u32, BackendTotal)> = Vec::new();
        let mut note = |backend: &BackendIncarnation, total: InFlight, before: InFlight| {
            let difference =
                total.online.abs_diff(before.online) + total.items.abs_diff(before.items);
            if difference > 0 {
                changes.push((difference, total_of(backend, total)));
            }
        };
        for (backend, total) in totals.iter() {
            note(backend, *total, sent_totals.get(backend).copied().unwrap_or_default());
        }
        for (backend, before) in sent_totals.iter().filter(|(id, _)| !totals.contains_key(*id)) {
            note(backend, InFlight::default(), *before);
        }
        changes.sort_unstable_by(|left, right| {
            right.0.cmp(&left.0).then_with(|| left.1.backend.cmp(&right.1.backend))
        });
        changes.truncate(MAX_CHANGES);
        let changes: Vec<BackendTotal> = changes.into_iter().map(|(_, total)| total).collect();
        for BackendTotal { backend, online, items } in &changes {
            if *online == 0 && *items == 0 {
                sent_totals.remove(backend);
            } else {
                sent_totals.insert(backend.clone(), InFlight { online: *online, items: *items });
            }
        }
        changes
    }

    /// Replaces the sums of another job store.
    pub fn record_sums(&self, sent: LoadSums) {
        let LoadSums { from, counts, arrivals, outcomes, gateways } = sent;
        let sums = &mut *self.sums.borrow_mut();
        self.expire(sums);
        self.count_steps(counts.len());
        let expires_at = Instant::now() + REPORT_LIFETIME;
        let source = Source { expires_at, counts, arrivals, outcomes, gateways };
        sums.add(&source);
        if let Some(before) = sums.job_stores.insert(from, source) {
            sums.subtract(&before);
        }
    }

    /// Sums of the reports received here and of the items run here; `None` if there are none.
    pub fn local_sums(&self, from: &str) -> Option<LoadSums> {
        let sums = &mut *self.sums.borrow_mut();
        self.expire(sums);
        if sums.gateways.is_empty() && sums.local_items.is_empty() {
            return None;
        }
        let mut counts: BTreeMap<&BackendIncarnation, InFlight> = BTreeMap::new();
        let mut arrivals: BTreeMap<&str, u64> = BTreeMap::new();
        let mut outcomes: BTreeMap<&BackendIncarnation, SummedOutcomes> = BTreeMap::new();
        for source in sums.gateways.values() {
            for count in &source.counts {
                counts.entry(&count.backend).or_default().online += count.online;
            }
            for rate in &source.arrivals {
                *arrivals.entry(&rate.service).or_default() += rate.per_1000_seconds;
            }
            for reported in &source.outcomes {
                outcomes.entry(&reported.backend).or_default().add(reported);
            }
        }
        for (backend, items) in &sums.local_items {
            counts.entry(backend).or_default().items += items;
        }
        self.count_steps(counts.len());
        let rate = |(service, rate): (&str, u64)| ServiceRate {
            service: service.to_owned(),
            per_1000_seconds: rate,
        };
        let reported = |(backend, sum): (&BackendIncarnation, SummedOutcomes)| BackendOutcomes {
            backend: backend.clone(),
            failed: sum.failed,
            answered: sum.answered,
        };
        Some(LoadSums {
            from: from.to_owned(),
            counts: counts.into_iter().map(|(id, total)| total_of(id, total)).collect(),
            arrivals: arrivals.into_iter().map(rate).collect(),
            outcomes: outcomes.into_iter().map(reported).collect(),
            gateways: sums.gateways.len() as u32,
        })
    }

    /// Counts an item that starts at a back end.
    pub fn item_started(&self, backend: &BackendIncarnation) {
        let sums = &mut *self.sums.borrow_mut();
        *sums.local_items.entry(backend.clone()).or_default() += 1;
        sums.totals.entry(backend.clone()).or_default().items += 1;
    }

    /// Removes an item that no longer runs at a back end.
    pub fn item_ended(&self, backend: &BackendIncarnation) {
        let sums = &mut *self.sums.borrow_mut();
        if let Some(count) = sums.local_items.get_mut(backend) {
            *count -= 1;
            if *count == 0 {
                sums.local_items.remove(backend);
            }
            sums.remove_from_total(backend, InFlight { online: 0, items: 1 });
        }
    }

    /// Number of items at a back end.
    pub fn items(&self, backend: &BackendIncarnation) -> u32 {
        self.sums.borrow().totals.get(backend).map_or(0, |total| total.items)
    }

    /// How many of the fleet's gateways report.
    pub fn coverage(&self, gateways: usize) -> Coverage {
        let sums = &mut *self.sums.borrow_mut();
        self.expire(sums);
        Coverage {
            gateways: u32::try_from(gateways).unwrap_or(u32::MAX),
            reporting: sums.reporters,
            listening: self.since.elapsed(),
        }
    }

    /// Online requests of the reporting gateways at a back end; `None` if no gateway reports.
    pub fn online(&self, backend: &BackendIncarnation) -> Option<u32> {
        let sums = &mut *self.sums.borrow_mut();
        self.expire(sums);
        (sums.reporters > 0).then(|| sums.totals.get(backend).map_or(0, |total| total.online))
    }

    /// Calls `take` with each back end that has reported online requests, and their number.
    pub fn for_each_online(&self, mut take: impl FnMut(&BackendIncarnation, u32)) {
        let sums = &mut *self.sums.borrow_mut();
        self.expire(sums);
        if sums.reporters > 0 {
            let totals = sums.totals.iter().filter(|(_, total)| total.online > 0);
            totals.for_each(|(incarnation, total)| take(incarnation, total.online));
        }
    }

    /// Report interval of a gateway, given the number that report.
    pub fn report_interval(&self) -> Duration {
        report_interval(self.sums.borrow().reporters as usize)
    }

    /// All totals, by back end.
    pub fn totals(&self) -> Vec<BackendTotal> {
        let sums = self.sums.borrow();
        sums.totals.iter().map(|(id, total)| total_of(id, *total)).collect()
    }

    /// Number of gateways whose reports are current.
    pub fn reporters(&self) -> u32 {
        self.sums.borrow().reporters
    }

    /// Number of entries examined so far; a measure of the work done.
    pub fn steps(&self) -> u64 {
        self.steps.get()
    }

    fn count_steps(&self, steps: usize) {
        self.steps.set(self.steps.get() + steps as u64);
    }

    fn expire(&self, sums: &mut Sums) {
        let now = Instant::now();
        if sums.expired_at.is_some_and(|at| now.duration_since(at) < EXPIRY_INTERVAL) {
            return;
        }
        sums.expired_at = Some(now);
        self.count_steps(sums.gateways.len() + sums.job_stores.len());
        let gateways = remove_expired(&mut sums.gateways, now);
        let job_stores = remove_expired(&mut sums.job_stores, now);
        for (name, source) in gateways {
            sums.sent_totals.remove(&name);
            sums.subtract(&source);
        }
        for (_, source) in job_stores {
            sums.subtract(&source);
        }
    }
}

fn remove_expired(sources: &mut HashMap<String, Source>, now: Instant) -> Vec<(String, Source)> {
    let is_expired = |source: &Source| now >= source.expires_at;
    let names: Vec<String> = sources
        .iter()
        .filter(|(_, source)| is_expired(source))
        .map(|(name, _)| name.clone())
        .collect();
    names.into_iter().filter_map(|name| sources.remove_entry(&name)).collect()
}

impl Sums {
    fn add(&mut self, source: &Source) {
        for count in &source.counts {
            let total = self.totals.entry(count.backend.clone()).or_default();
            total.online += count.online;
            total.items += count.items;
        }
        for rate in &source.arrivals {
            *self.arrivals.entry(rate.service.clone()).or_default() += rate.per_1000_seconds;
        }
        for reported in &source.outcomes {
            self.outcomes.entry(reported.backend.clone()).or_default().add(reported);
        }
        self.reporters += source.gateways;
    }

    fn failing(&self) -> Vec<BackendIncarnation> {
        let failing = self.outcomes.iter().filter(|(_, sum)| sum.is_failing());
        failing.map(|(backend, _)| backend.clone()).collect()
    }

    fn subtract(&mut self, source: &Source) {
        for count in &source.counts {
            let part = InFlight { online: count.online, items: count.items };
            self.remove_from_total(&count.backend, part);
        }
        for rate in &source.arrivals {
            if let Some(sum) = self.arrivals.get_mut(&rate.service) {
                *sum -= rate.per_1000_seconds;
                if *sum == 0 {
                    self.arrivals.remove(&rate.service);
                }
            }
        }
        for reported in &source.outcomes {
            let Some(sum) = self.outcomes.get_mut(&reported.backend) else { continue };
            sum.failed -= reported.failed;
            sum.answered -= reported.answered;
            if *sum == SummedOutcomes::default() {
                self.outcomes.remove(&reported.backend);
            }
        }
        self.reporters -= source.gateways;
    }

    fn remove_from_total(&mut self, backend: &BackendIncarnation, part: InFlight) {
        let Some(total) = self.totals.get_mut(backend) else { return };
        total.online -= part.online;
        total.items -= part.items;
        if *total == InFlight::default() {
            self.totals.remove(backend);
        }
    }
}

fn total_of(backend: &BackendIncarnation, total: InFlight) -> BackendTotal {
    BackendTotal { backend: backend.clone(), online: total.online, items: total.items }
}
