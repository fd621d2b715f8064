//! Load balancing: chooses one of the least loaded back ends for a request and ejects failing ones.

use std::collections::HashMap;
use std::sync::Arc;

use borsh::{BorshDeserialize, BorshSerialize};
use rand::rngs::SmallRng;
use rand::SeedableRng;
use yokefall_core::Timestamp;

use crate::affinity::{has_affinity_capacity, preferred};
use crate::arrivals::{Arrivals, ReportedRate};
use crate::backend_record::{load, BackendRecord, LOAD_LIFETIME_MS, MIN_OUTCOME_WEIGHT};
use crate::dialect::BackendLoad;
use crate::eligibility::{CandidateSample, Distance, ZoneMap};
use crate::incarnations::ByIncarnation;
use crate::locality::local_fraction;
use crate::model::{Backend, BackendIncarnation};
use crate::outcomes::Outcomes;
use crate::water_filling::{choose_weighted, water_level, LoadLevel};
use yokefall_types::Policy;

/// Consecutive failures after which a back end is ejected.
const MAX_CONSECUTIVE_FAILURES: u32 = 3;
/// Ejection of a back end that rejected a request for lack of a free slot, in milliseconds.
const FULL_EJECTION_MS: u64 = 60;
/// Ejection of a silent back end, in milliseconds; renewed for as long as the silence lasts.
const SILENCE_EJECTION_MS: u64 = 500;
/// Cost of another zone, as a fraction of a back end's slots.
const OTHER_ZONE_COST: f64 = 0.1;
/// Cost of another region: traffic between regions is priced four times that between zones, and
/// takes 8 ms each way instead of 1.4 ms.
const OTHER_REGION_COST: f64 = 4.0 * OTHER_ZONE_COST;
/// Time that a load report and its answer take, in milliseconds, besides the report interval.
const REPORT_DELAY_MS: u64 = 50;
/// Interval between load reports until the actual one is known, in milliseconds.
const DEFAULT_REPORT_INTERVAL_MS: u64 = 100;
/// Longest time over which unreported arrivals at other processes are estimated, in milliseconds.
const MAX_REPORT_AGE_MS: u64 = 800;
/// Weight of one request in the mean service time.
const SERVICE_TIME_WEIGHT: f64 = 0.05;

/// Outcome of a request as far as it concerns the back end's health.
#[derive(Clone, Copy, Debug, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub enum Outcome {
    /// The back end answered.
    Answered,
    /// The back end could not be reached; nothing was sent.
    Unreachable,
    /// The request failed after it was sent, or the back end answered with a server error.
    Failed,
    /// The back end rejected the request because it is full.
    Full,
    /// Another process listens on the back end's address.
    Misdirected,
    /// The caller left, or the request timed out.
    Abandoned,
}

/// Requests in flight of all processes at a back end.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct InFlight {
    /// Online requests.
    pub online: u32,
    /// Items of jobs, which online requests preempt.
    pub items: u32,
}

/// Load and health of back ends as known to this process.
#[derive(Debug)]
pub struct Balancer {
    generator: SmallRng,
    policy: Policy,
    zone: String,
    zones: Arc<ZoneMap>,
    records: ByIncarnation<BackendRecord>,
    /// Slots of the back ends that report fewer of them than their records tell.
    reported_slots: ByIncarnation<u32>,
    balancers: usize,
    report_interval_ms: u64,
    /// When the requests in flight of all processes were last received.
    totals_at: Option<Timestamp>,
    arrivals: HashMap<String, Arrivals>,
    total_arrival_rates: HashMap<String, ReportedRate>,
    /// Mean service time at the back ends of a service, in milliseconds.
    service_ms: HashMap<String, f64>,
}

impl Balancer {
    /// A balancer for a process in `zone` with a random generator seeded by `seed`.
    pub fn new(zone: String, seed: u64, policy: Policy) -> Self {
        Self {
            policy,
            generator: SmallRng::seed_from_u64(seed),
            zone,
            zones: Arc::default(),
            records: ByIncarnation::default(),
            reported_slots: ByIncarnation::default(),
            balancers: 1,
            report_interval_ms: DEFAULT_REPORT_INTERVAL_MS,
            totals_at: None,
            arrivals: HashMap::new(),
            total_arrival_rates: HashMap::new(),
            service_ms: HashMap::new(),
        }
    }

    /// Sets the regions of zones.
    pub fn with_zones(self, zones: Arc<ZoneMap>) -> Self {
        Self { zones, ..self }
    }

    /// Chooses a back end not in `tried`; ejected ones only if no other remains. Requests with the
    /// same `affinity`, a hash of the prompt prefix, go to the same few while these have capacity.
    pub fn choose(
        &mut self,
        now: Timestamp,
        candidates: &[Arc<Backend>],
        tried: &[String],
        affinity: Option<u64>,
    ) -> Option<Arc<Backend>> {
        let Available { available, ejected } = self.available(now, candidates, tried);
        let (fraction, available) = self.prefer_local(now, available);
        let affinity = affinity.filter(|_| self.policy.prefix_affinity);
        if let Some(backend) = affinity.and_then(|key| preferred(&available, key)) {
            return Some(backend.clone());
        }
        let least_loaded = self.choose_least_loaded(now, &available, fraction);
        least_loaded.or(ejected).cloned()
    }

    /// Chooses from a random sample of many back ends; `None` if all of them are ejected.
    pub fn choose_from_sample(
        &mut self,
        now: Timestamp,
        sample: &CandidateSample,
        tried: &[String],
    ) -> Option<Arc<Backend>> {
        if self.policy.prefix_affinity {
            let Available { available, .. } = self.available(now, &sample.preferred, tried);
            if let Some((_, backend)) =
                available.into_iter().find(|(cost, _)| has_affinity_capacity(*cost))
            {
                return Some(backend.clone());
            }
        }
        let Available { available, .. } = self.available(now, &sample.backends, tried);
        let (fraction, available) = self.prefer_local(now, available);
        self.choose_least_loaded(now, &available, fraction * sample.fraction).cloned()
    }

    /// Candidates that are not ejected, each with its cost, and the ejected one that returns first.
    fn available<'a>(
        &self,
        now: Timestamp,
        candidates: &'a [Arc<Backend>],
        tried: &[String],
    ) -> Available<'a> {
        let mut available = Vec::with_capacity(candidates.len());
        let mut ejected: Option<(Timestamp, &Arc<Backend>)> = None;
        for backend in candidates.iter().filter(|backend| !tried.contains(&backend.id)) {
            let record = self.records.get(backend);
            match record.and_then(|record| self.ejected_until(now, record)) {
                None => available.push((self.cost(now, backend, record), backend)),
                Some(until) if ejected.is_none_or(|(first, _)| until < first) => {
                    ejected = Some((until, backend));
                }
                Some(_) => {}
            }
        }
        Available { available, ejected: ejected.map(|(_, backend)| backend) }
    }

    /// The random generator.
    pub fn generator(&mut self) -> &mut SmallRng {
        &mut self.generator
    }

    /// Candidates of the local region if they can take the requests expected until the next report,
    /// with their fraction of all requests; otherwise all. Prefix affinity stays within the region
    /// too: each region reads a prefix into memory once more, but crossing regions costs more.
    fn prefer_local<'a>(
        &self,
        now: Timestamp,
        available: Vec<(f64, &'a Arc<Backend>)>,
    ) -> (f64, Vec<(f64, &'a Arc<Backend>)>) {
        let is_remote = |backend: &Backend| {
            self.zones.distance(&backend.zone, &self.zone) == Distance::OtherRegion
        };
        let Some((_, first)) = available.iter().find(|(_, backend)| is_remote(backend)) else {
            return (1.0, available);
        };
        // Requests that end before they are reported no longer occupy a slot.
        let report_age_ms = self.report_age_ms(now);
        let in_flight_ms =
            self.service_ms(&first.service).unwrap_or(report_age_ms).min(report_age_ms);
        let expected = self.remote_arrivals_per_ms(now, &first.service) * in_flight_ms;
        let (remote, local): (Vec<_>, Vec<_>) =
            available.iter().copied().partition(|(_, backend)| is_remote(backend));
        match local_fraction(&self.levels(&local), &self.levels(&remote), expected) {
            Some(fraction) if self.policy.zone_cost => (fraction, local),
            _ => (1.0, available),
        }
    }

    /// Sets the number of balancers, this one included, and their interval between load reports.
    pub fn set_balancer_count(&mut self, balancers: usize, report_interval_ms: u64) {
        self.balancers = balancers.max(1);
        self.report_interval_ms = report_interval_ms;
    }

    fn record_arrival(&mut self, now: Timestamp, service: &str) {
        if !self.arrivals.contains_key(service) {
            self.arrivals.insert(service.to_owned(), Arrivals::since(now));
        }
        if let Some(arrivals) = self.arrivals.get_mut(service) {
            arrivals.record(now);
        }
    }

    /// This process's requests per millisecond to each service.
    pub fn own_arrival_rates(&self, now: Timestamp) -> impl Iterator<Item = (&str, f64)> {
        self.arrivals.iter().map(move |(service, own)| (service.as_str(), own.per_ms(now)))
    }

    /// Sets the reported requests per millisecond of all processes to a service.
    pub fn set_total_arrival_rate(&mut self, now: Timestamp, service: String, per_ms: f64) {
        self.total_arrival_rates.insert(service, ReportedRate { at: now, per_ms });
    }

    /// Estimated requests of other processes to a service that have not been reported yet.
    fn unreported_arrivals(&self, now: Timestamp, service: &str) -> f64 {
        self.remote_arrivals_per_ms(now, service) * self.report_age_ms(now)
    }

    /// Other processes' requests per millisecond: as reported, or else this one's rate for each.
    fn remote_arrivals_per_ms(&self, now: Timestamp, service: &str) -> f64 {
        let own = self.arrivals.get(service);
        let reported = self.total_arrival_rates.get(service);
        if let Some(rate) = reported.filter(|rate| rate.is_recent(now)) {
            return (rate.per_ms - own.map_or(0.0, |own| own.per_ms(now))).max(0.0);
        }
        own.map_or(0.0, |own| own.steady_per_ms * (self.balancers - 1) as f64)
    }

    /// Time for which requests of other processes are not known yet, in milliseconds.
    fn report_age_ms(&self, now: Timestamp) -> f64 {
        let report_delay = self.report_interval_ms + REPORT_DELAY_MS;
        let age =
            self.totals_at.map_or(MAX_REPORT_AGE_MS, |at| now.millis_since(at) + report_delay);
        age.min(MAX_REPORT_AGE_MS) as f64
    }

    /// One of the least loaded candidates, out of more of them the more requests others are
    /// expected to send meanwhile. `fraction` is the fraction of all requests for these candidates.
    fn choose_least_loaded<'a>(
        &mut self,
        now: Timestamp,
        available: &[(f64, &'a Arc<Backend>)],
        fraction: f64,
    ) -> Option<&'a Arc<Backend>> {
        let service = &available.first()?.1.service;
        self.record_arrival(now, service);
        let unreported =
            if self.policy.poured_draw { self.unreported_arrivals(now, service) } else { 0.0 };
        let levels = self.levels(available);
        let position = choose_weighted(&mut self.generator, &levels, unreported * fraction + 1.0)?;
        available.get(position).map(|(_, backend)| *backend)
    }

    /// Load of the least loaded back ends after one more online request, as a fraction of their
    /// slots; `None` if all are ejected. Items do not count because they are preempted.
    pub fn projected_online_load(
        &self,
        now: Timestamp,
        candidates: &[Arc<Backend>],
    ) -> Option<f64> {
        self.projected_online_load_of_sample(now, candidates, 1.0)
    }

    /// The same for a random sample that makes up the fraction `fraction` of all back ends.
    pub fn projected_online_load_of_sample(
        &self,
        now: Timestamp,
        candidates: &[Arc<Backend>],
        fraction: f64,
    ) -> Option<f64> {
        let service = &candidates.first()?.service;
        let age = self.report_age_ms(now);
        // Requests older than the service time have ended, reported or not.
        let service_ms = self.service_ms(service).unwrap_or(age).max(1.0);
        let remaining = (1.0 - age / service_ms).max(0.0);
        let available = candidates.iter().filter(|backend| !self.is_ejected(now, backend));
        let level = |backend: &Arc<Backend>| LoadLevel {
            load: self.online_load(now, backend, remaining),
            slots: self.slots(backend),
        };
        let levels: Vec<LoadLevel> = available.map(level).collect();
        // Without reports only own requests count: extrapolating from them would queue requests
        // despite free slots where this process gets more than its share of the clients.
        let is_informed = self.totals_at.is_some_and(|at| now.millis_since(at) < LOAD_LIFETIME_MS);
        let unreported = if is_informed {
            self.remote_arrivals_per_ms(now, service) * age.min(service_ms)
        } else {
            0.0
        };
        water_level(&levels, unreported * fraction + 1.0)
    }

    /// Load of a back end by online requests, as a fraction of its slots. `remaining` is the
    /// fraction of the requests reported by other processes that has not ended since.
    fn online_load(&self, now: Timestamp, backend: &Backend, remaining: f64) -> f64 {
        let Some(record) = self.records.get(backend) else { return 0.0 };
        let remote_in_flight =
            (record.remote_in_flight - record.remote_items) * remaining * record.weight(now);
        (f64::from(record.in_flight) + remote_in_flight) / self.slots(backend)
    }

    /// Mean service time at the back ends of a service, in milliseconds, once observed.
    pub fn service_ms(&self, service: &str) -> Option<f64> {
        self.service_ms.get(service).copied()
    }

    /// Records the service time of a completely answered request, in milliseconds.
    pub fn record_service_time(&mut self, service: &str, milliseconds: f64) {
        match self.service_ms.get_mut(service) {
            Some(mean) => *mean += (milliseconds - *mean) * SERVICE_TIME_WEIGHT,
            None => {
                self.service_ms.insert(service.to_owned(), milliseconds);
            }
        }
    }

    /// Whether a back end is ejected.
    pub fn is_ejected(&self, now: Timestamp, backend: &Backend) -> bool {
        let record = self.records.get(backend);
        record.is_some_and(|record| self.ejected_until(now, record).is_some())
    }

    /// Ejected back ends by id and start time.
    pub fn ejected(&self, now: Timestamp) -> impl Iterator<Item = (&str, u64)> {
        let ejected = move |record: &BackendRecord| self.ejected_until(now, record).is_some();
        let records = self.records.iter().filter(move |(_, _, record)| ejected(record));
        records.map(|(id, started_ms, _)| (id, started_ms))
    }

    fn ejected_until(&self, now: Timestamp, record: &BackendRecord) -> Option<Timestamp> {
        let until = record.ejected_until.filter(|_| self.policy.ejection)?;
        (until > now).then_some(until)
    }

    /// Load of a back end as a fraction of its slots.
    pub fn load(&self, now: Timestamp, backend: &Backend) -> f64 {
        load(now, self.slots(backend), self.records.get(backend))
    }

    /// Slots of a back end: those in its record, or fewer if it reports fewer itself.
    fn slots(&self, backend: &Backend) -> f64 {
        let reported = self.reported_slots.get(backend).copied();
        f64::from(reported.map_or(backend.slots, |reported| reported.min(backend.slots)).max(1))
    }

    fn levels(&self, available: &[(f64, &Arc<Backend>)]) -> Vec<LoadLevel> {
        let level = |(load, backend): &(f64, &Arc<Backend>)| LoadLevel {
            load: *load,
            slots: self.slots(backend),
        };
        available.iter().map(level).collect()
    }

    fn cost(&self, now: Timestamp, backend: &Backend, record: Option<&BackendRecord>) -> f64 {
        let load = load(now, self.slots(backend), record);
        if !self.policy.zone_cost {
            return load;
        }
        let cost = match self.zones.distance(&backend.zone, &self.zone) {
            Distance::SameZone => 0.0,
            Distance::SameRegion => OTHER_ZONE_COST,
            Distance::OtherRegion => OTHER_REGION_COST,
        };
        // A free slot elsewhere is better than none here, so the cost fades as slots fill.
        load + cost * (1.0 - load).clamp(0.0, 1.0)
    }

    /// Requests of this process in flight at a back end.
    pub fn in_flight(&self, backend: &Backend) -> u32 {
        self.records.get(backend).map_or(0, |record| record.in_flight)
    }

    /// Records that a request is sent to a back end.
    pub fn record_start(&mut self, backend: &Backend) {
        self.records.entry(backend.incarnation()).in_flight += 1;
    }

    /// Records the end of a request for the incarnation it was sent to: a later one never had it.
    pub fn record_end(&mut self, now: Timestamp, backend: &Backend, outcome: Outcome) {
        let Some(record) = self.records.get_mut(backend) else { return };
        record.in_flight = record.in_flight.saturating_sub(1);
        match outcome {
            Outcome::Answered => record.outcomes.record(now, false),
            Outcome::Unreachable | Outcome::Failed => record.outcomes.record(now, true),
            Outcome::Misdirected | Outcome::Full | Outcome::Abandoned => {}
        }
        match outcome {
            Outcome::Answered => {
                record.failures = 0;
                record.ejections = 0;
                record.ejected_until = None;
            }
            Outcome::Unreachable | Outcome::Misdirected => record.eject(now),
            Outcome::Failed => {
                record.failures += 1;
                if record.failures >= MAX_CONSECUTIVE_FAILURES {
                    record.eject(now);
                }
            }
            Outcome::Full => record.ejected_until = Some(now.plus_millis(FULL_EJECTION_MS)),
            Outcome::Abandoned => {}
        }
    }

    /// Requests of this process in flight, by incarnation of a back end.
    pub fn all_in_flight(&self) -> impl Iterator<Item = (BackendIncarnation, u32)> + '_ {
        let busy = self.records.iter().filter(|(_, _, record)| record.in_flight > 0);
        busy.map(|(id, started_ms, record)| {
            (BackendIncarnation { id: id.to_owned(), started_ms }, record.in_flight)
        })
    }

    /// Recent outcomes of this process's requests, by incarnation of a back end.
    pub fn outcomes(
        &self,
        now: Timestamp,
    ) -> impl Iterator<Item = (BackendIncarnation, Outcomes)> + '_ {
        self.records.iter().filter_map(move |(id, started_ms, record)| {
            let sums = record.outcomes.sums(now);
            let counts = sums.failed + sums.answered >= MIN_OUTCOME_WEIGHT;
            counts.then(|| (BackendIncarnation { id: id.to_owned(), started_ms }, sums))
        })
    }

    /// Ejects back ends that fail for all processes: none has to detect a dead one by itself.
    pub fn eject_reported<'a>(
        &mut self,
        now: Timestamp,
        failing: impl Iterator<Item = &'a Backend>,
    ) {
        for backend in failing {
            if !self.is_ejected(now, backend) {
                self.records.entry(backend.incarnation()).eject(now);
            }
        }
    }

    /// Records that something was received from a back end.
    pub fn record_activity(&mut self, now: Timestamp, backend: &Backend) {
        if let Some(record) = self.records.get_mut(backend) {
            record.last_activity_at = Some(now);
        }
    }

    /// Records silence for `silence_ms` on a request in flight. Returns whether the back end is
    /// ejected: if it answered another request, this one only waits there for a slot.
    pub fn record_silence(&mut self, now: Timestamp, backend: &Backend, silence_ms: u64) -> bool {
        let Some(record) = self.records.get_mut(backend).filter(|_| self.policy.silence) else {
            return false;
        };
        if record.last_activity_at.is_some_and(|at| now.millis_since(at) < silence_ms) {
            return false;
        }
        if record.ejected_until.is_none_or(|until| until <= now) {
            record.outcomes.record(now, true);
        }
        let until = now.plus_millis(SILENCE_EJECTION_MS);
        record.ejected_until =
            Some(record.ejected_until.map_or(until, |current| current.max(until)));
        true
    }

    /// Takes over the requests in flight of all processes; back ends missing in `totals` have none.
    /// `own` is what this process had reported when the totals were summed.
    pub fn update_totals<'a>(
        &mut self,
        now: Timestamp,
        totals: impl Iterator<Item = (&'a BackendIncarnation, InFlight)>,
        own: impl Fn(&BackendIncarnation) -> u32,
    ) {
        if !self.policy.peer_loads {
            return;
        }
        self.totals_at = Some(now);
        for record in self.records.values_mut() {
            record.remote_in_flight = 0.0;
            record.remote_items = 0.0;
            record.reported_at = Some(now);
        }
        for (incarnation, total) in totals {
            // Back ends never used by this process count as well: they would look empty otherwise.
            let record = match self.records.incarnation_mut(incarnation) {
                Some(record) => record,
                None => self.records.entry(incarnation.clone()),
            };
            let all = f64::from(total.online) + f64::from(total.items);
            record.remote_in_flight = (all - f64::from(own(incarnation))).max(0.0);
            record.remote_items = f64::from(total.items).min(record.remote_in_flight);
            record.reported_at = Some(now);
        }
    }

    /// Takes over the load that a back end reported itself.
    pub fn record_report(&mut self, now: Timestamp, backend: &Backend, load: BackendLoad) {
        match self.reported_slots.get_mut(backend) {
            Some(reported) => *reported = load.slots,
            None if load.slots < backend.slots => {
                *self.reported_slots.entry(backend.incarnation()) = load.slots;
            }
            None => {}
        }
        let Some(record) = self.records.get_mut(backend) else { return };
        let all = f64::from(load.running) + f64::from(load.waiting);
        record.remote_in_flight = (all - f64::from(record.in_flight)).max(0.0);
        record.remote_items = record.remote_items.min(record.remote_in_flight);
        record.reported_at = Some(now);
    }

    /// Drops incarnations that are no longer known and have nothing in flight.
    pub fn retain(&mut self, known: impl Fn(&BackendIncarnation) -> bool) {
        self.records.retain(|incarnation, record| record.in_flight > 0 || known(incarnation));
        self.reported_slots.retain(|incarnation, _| known(incarnation));
    }

    /// Drops records that influence no choice; every load report iterates over all of them.
    pub fn prune_idle(&mut self, now: Timestamp) {
        self.records.retain(|_, record| record.in_flight > 0 || record.influences_choice(now));
    }
}

struct Available<'a> {
    /// Those that are not ejected, each with its cost.
    available: Vec<(f64, &'a Arc<Backend>)>,
    /// The ejected one that returns first.
    ejected: Option<&'a Arc<Backend>>,
}
