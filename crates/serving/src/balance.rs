//! Choice of the back end for a request: one of the least loaded, with failing ones left out.

use std::collections::HashMap;
use std::sync::Arc;

use borsh::{BorshDeserialize, BorshSerialize};
use rand::rngs::SmallRng;
use rand::SeedableRng;
use yokefall_core::Timestamp;

use crate::affinity::{has_room, preferred};
use crate::arrivals::{Arrivals, ReportedRate};
use crate::backend_record::{load, BackendRecord, LEAST_OUTCOME, LOAD_LIFETIME_MS};
use crate::dialect::BackendLoad;
use crate::eligibility::{CandidateSample, Distance, ZoneMap};
use crate::incarnations::ByIncarnation;
use crate::locality::own_part;
use crate::model::{Backend, BackendIncarnation};
use crate::outcomes::Outcomes;
use crate::water_filling::{draw, surface, Level};
use yokefall_types::Policy;

/// Failed requests in a row after which a back end is left out.
const FAILURES_TO_EJECT: u32 = 3;
/// Time for which a back end that refused for want of a slot is left out, in milliseconds.
const FULL_EJECTION_MS: u64 = 60;
/// Time for which a back end that fell silent gets nothing new, in milliseconds. It is noted again
/// for as long as the silence lasts.
const SILENT_EJECTION_MS: u64 = 500;
/// Cost of standing in another zone, in parts of a back end's slots.
const OTHER_ZONE_COST: f64 = 0.1;
/// Cost of standing in another region: bytes between regions are priced four times those between zones, and take
/// 8 ms each way rather than 1.4.
const OTHER_REGION_COST: f64 = 4.0 * OTHER_ZONE_COST;
/// Time that what everybody has in flight takes to be told and heard, beside the pause between two
/// tellings, in milliseconds.
const TELLING_MS: u64 = 50;
/// Pause between two tellings until it is known, in milliseconds.
const FIRST_TELLING_INTERVAL_MS: u64 = 100;
/// Longest time over which arrivals at other processes are reckoned with, in milliseconds.
const LONGEST_BLIND_MS: u64 = 800;
/// Weight of one request in the mean time that requests take.
const SERVICE_TIME_WEIGHT: f64 = 0.05;

/// How a request to a back end ended, as far as the back end's health goes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub enum Outcome {
    /// It answered.
    Answered,
    /// It could not be reached: nothing was sent.
    Unreachable,
    /// It failed after the request was sent, or answered with a failure of its own.
    Failed,
    /// It refused because it is full.
    Full,
    /// Another process has its address.
    Misdirected,
    /// The caller left, or its time ended.
    Abandoned,
}

/// What all processes have at a back end.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct InFlight {
    /// Online requests.
    pub online: u32,
    /// Items of jobs, which online requests preempt.
    pub items: u32,
}

/// What this process knows of the load and health of back ends.
#[derive(Debug)]
pub struct Balancer {
    generator: SmallRng,
    policy: Policy,
    zone: String,
    /// Regions of zones.
    zones: Arc<ZoneMap>,
    records: ByIncarnation<BackendRecord>,
    /// Processes that choose as this one does, itself included.
    choosers: usize,
    /// Pause between two tellings of what a process has in flight, in milliseconds.
    telling_interval_ms: u64,
    /// When everybody's requests were last heard.
    heard_at: Option<Timestamp>,
    arrivals: HashMap<String, Arrivals>,
    /// Arrivals at all processes, as they were reported.
    arrivals_of_all: HashMap<String, ReportedRate>,
    /// Mean time that requests take at back ends of a service, in milliseconds.
    service_ms: HashMap<String, f64>,
}

impl Balancer {
    /// A balancer for a process in `zone`, whose draws follow from `seed`.
    pub fn new(zone: String, seed: u64, policy: Policy) -> Self {
        Self {
            policy,
            generator: SmallRng::seed_from_u64(seed),
            zone,
            zones: Arc::default(),
            records: ByIncarnation::default(),
            choosers: 1,
            telling_interval_ms: FIRST_TELLING_INTERVAL_MS,
            heard_at: None,
            arrivals: HashMap::new(),
            arrivals_of_all: HashMap::new(),
            service_ms: HashMap::new(),
        }
    }

    /// The same that knows the regions of zones.
    pub fn with_zones(self, zones: Arc<ZoneMap>) -> Self {
        Self { zones, ..self }
    }

    /// Chooses a back end that is not in `tried`. `affinity` is a hash of what back ends may hold
    /// in memory: requests with the same one go to the same few back ends while these have room.
    /// Back ends that are left out for failures are chosen only when no other remains.
    pub fn choose(
        &mut self,
        now: Timestamp,
        candidates: &[Arc<Backend>],
        tried: &[String],
        affinity: Option<u64>,
    ) -> Option<Arc<Backend>> {
        let Open { open, ejected } = self.open(now, candidates, tried);
        let (fraction, open) = self.nearby(now, open);
        let affinity = affinity.filter(|_| self.policy.prefix_affinity);
        if let Some(backend) = affinity.and_then(|key| preferred(&open, key)) {
            return Some(backend.clone());
        }
        let least = self.least(now, &open, fraction);
        least.or(ejected).cloned()
    }

    /// The same among back ends that were drawn out of many; `None` where all of them are left out.
    pub fn choose_from_sample(
        &mut self,
        now: Timestamp,
        sample: &CandidateSample,
        tried: &[String],
    ) -> Option<Arc<Backend>> {
        if self.policy.prefix_affinity {
            let Open { open, .. } = self.open(now, &sample.preferred, tried);
            if let Some((_, backend)) = open.into_iter().find(|(cost, _)| has_room(*cost)) {
                return Some(backend.clone());
            }
        }
        let Open { open, .. } = self.open(now, &sample.backends, tried);
        let (fraction, open) = self.nearby(now, open);
        self.least(now, &open, fraction * sample.fraction).cloned()
    }

    /// Candidates that are not left out, each with its cost, and of the others the one that is back first.
    fn open<'a>(
        &self,
        now: Timestamp,
        candidates: &'a [Arc<Backend>],
        tried: &[String],
    ) -> Open<'a> {
        let mut open = Vec::with_capacity(candidates.len());
        let mut ejected: Option<(Timestamp, &Arc<Backend>)> = None;
        for backend in candidates.iter().filter(|backend| !tried.contains(&backend.id)) {
            let record = self.records.get(backend);
            match record.and_then(|record| self.ejected_until(now, record)) {
                None => open.push((self.cost(now, backend, record), backend)),
                Some(until) if ejected.is_none_or(|(first, _)| until < first) => {
                    ejected = Some((until, backend));
                }
                Some(_) => {}
            }
        }
        Open { open, ejected: ejected.map(|(_, backend)| backend) }
    }

    /// Draws of this balancer.
    pub fn generator(&mut self) -> &mut SmallRng {
        &mut self.generator
    }

    /// Those of the own region where they can take what comes meanwhile, with the part of all requests that is
    /// meant for them; else all. Prefixes stay in the region with them: what each region holds in memory is read
    /// there once more, but prompts and answers that cross regions cost more.
    fn nearby<'a>(
        &self,
        now: Timestamp,
        open: Vec<(f64, &'a Arc<Backend>)>,
    ) -> (f64, Vec<(f64, &'a Arc<Backend>)>) {
        let is_far = |backend: &Backend| {
            self.zones.distance(&backend.zone, &self.zone) == Distance::OtherRegion
        };
        let Some((_, first)) = open.iter().find(|(_, backend)| is_far(backend)) else {
            return (1.0, open);
        };
        // What takes longer to be told than to be done has ended by then.
        let blind_ms = self.blind_ms(now);
        let lasting_ms = self.service_ms(&first.service).unwrap_or(blind_ms).min(blind_ms);
        let expected = self.others_per_ms(now, &first.service) * lasting_ms;
        let (far, near): (Vec<_>, Vec<_>) =
            open.iter().copied().partition(|(_, backend)| is_far(backend));
        match own_part(&levels(&near), &levels(&far), expected) {
            Some(fraction) if self.policy.zone_cost => (fraction, near),
            _ => (1.0, open),
        }
    }

    /// How many processes choose as this one does, itself included, and how often each of them
    /// tells what it has in flight, in milliseconds.
    pub fn set_balancer_count(&mut self, choosers: usize, telling_interval_ms: u64) {
        self.choosers = choosers.max(1);
        self.telling_interval_ms = telling_interval_ms;
    }

    /// Notes a request of this process to a service.
    fn note_arrival(&mut self, now: Timestamp, service: &str) {
        if !self.arrivals.contains_key(service) {
            self.arrivals.insert(service.to_owned(), Arrivals::since(now));
        }
        if let Some(arrivals) = self.arrivals.get_mut(service) {
            arrivals.note(now);
        }
    }

    /// Own requests to each service in a millisecond.
    pub fn own_arrival_rates(&self, now: Timestamp) -> impl Iterator<Item = (&str, f64)> {
        self.arrivals.iter().map(move |(service, own)| (service.as_str(), own.per_ms(now)))
    }

    /// Requests of all processes to a service in a millisecond became known.
    pub fn set_total_arrival_rate(&mut self, now: Timestamp, service: String, per_ms: f64) {
        self.arrivals_of_all.insert(service, ReportedRate { at: now, per_ms });
    }

    /// Requests that other processes probably place at a service without this one knowing it yet.
    fn unseen_arrivals(&self, now: Timestamp, service: &str) -> f64 {
        self.others_per_ms(now, service) * self.blind_ms(now)
    }

    /// Requests to a service of other processes in a millisecond: as reported, else as many of each
    /// as of this one.
    fn others_per_ms(&self, now: Timestamp, service: &str) -> f64 {
        let own = self.arrivals.get(service);
        let reported = self.arrivals_of_all.get(service);
        if let Some(rate) = reported.filter(|rate| rate.is_recent(now)) {
            return (rate.per_ms - own.map_or(0.0, |own| own.per_ms(now))).max(0.0);
        }
        own.map_or(0.0, |own| own.steady_per_ms * (self.choosers - 1) as f64)
    }

    /// Time over which the requests of others are not known, in milliseconds.
    fn blind_ms(&self, now: Timestamp) -> f64 {
        let telling = self.telling_interval_ms + TELLING_MS;
        let age = self.heard_at.map_or(LONGEST_BLIND_MS, |at| now.millis_since(at) + telling);
        age.min(LONGEST_BLIND_MS) as f64
    }

    /// One of the cheapest: the more others choose meanwhile, the more are drawn from. `fraction` of all requests is
    /// meant for them.
    fn least<'a>(
        &mut self,
        now: Timestamp,
        open: &[(f64, &'a Arc<Backend>)],
        fraction: f64,
    ) -> Option<&'a Arc<Backend>> {
        let service = &open.first()?.1.service;
        self.note_arrival(now, service);
        let unseen = if self.policy.poured_draw { self.unseen_arrivals(now, service) } else { 0.0 };
        let position = draw(&mut self.generator, &levels(open), unseen * fraction + 1.0)?;
        open.get(position).map(|(_, backend)| *backend)
    }

    /// Load that the emptiest back ends have with one more online request, in parts of their slots;
    /// `None` where all are left out. Items do not count, since they are preempted.
    pub fn projected_online_load(
        &self,
        now: Timestamp,
        candidates: &[Arc<Backend>],
    ) -> Option<f64> {
        self.projected_online_load_of_sample(now, candidates, 1.0)
    }

    /// The same by back ends that are a part of all, drawn by chance.
    pub fn projected_online_load_of_sample(
        &self,
        now: Timestamp,
        candidates: &[Arc<Backend>],
        fraction: f64,
    ) -> Option<f64> {
        let service = &candidates.first()?.service;
        let age = self.blind_ms(now);
        // What is older than a request takes has ended, whether it was seen or not.
        let service_ms = self.service_ms(service).unwrap_or(age).max(1.0);
        let remaining = (1.0 - age / service_ms).max(0.0);
        let open = candidates.iter().filter(|backend| !self.is_ejected(now, backend));
        let level = |backend: &Arc<Backend>| Level {
            load: self.online_load(now, backend, remaining),
            slots: f64::from(backend.slots.max(1)),
        };
        let levels: Vec<Level> = open.map(level).collect();
        // A guess from own requests holds requests before free slots where this process gets more
        // than its share of the clients: without reports only what it has itself counts.
        let is_informed = self.heard_at.is_some_and(|at| now.millis_since(at) < LOAD_LIFETIME_MS);
        let unseen =
            if is_informed { self.others_per_ms(now, service) * age.min(service_ms) } else { 0.0 };
        surface(&levels, unseen * fraction + 1.0)
    }

    /// `remaining` is the part of others' requests that has not ended since they were told.
    fn online_load(&self, now: Timestamp, backend: &Backend, remaining: f64) -> f64 {
        let Some(record) = self.records.get(backend) else { return 0.0 };
        let foreign = (record.foreign - record.items) * remaining * record.weight(now);
        (f64::from(record.in_flight) + foreign) / f64::from(backend.slots.max(1))
    }

    /// Mean time that requests take at back ends of a service, in milliseconds, as far as observed.
    pub fn service_ms(&self, service: &str) -> Option<f64> {
        self.service_ms.get(service).copied()
    }

    /// A request to a service was answered whole after a time in milliseconds.
    pub fn record_service_time(&mut self, service: &str, milliseconds: f64) {
        match self.service_ms.get_mut(service) {
            Some(mean) => *mean += (milliseconds - *mean) * SERVICE_TIME_WEIGHT,
            None => {
                self.service_ms.insert(service.to_owned(), milliseconds);
            }
        }
    }

    /// Whether a back end is left out for a while.
    pub fn is_ejected(&self, now: Timestamp, backend: &Backend) -> bool {
        let record = self.records.get(backend);
        record.is_some_and(|record| self.ejected_until(now, record).is_some())
    }

    /// Back ends that are left out for a while, each by its id and the start of its life.
    pub fn ejected(&self, now: Timestamp) -> impl Iterator<Item = (&str, u64)> {
        let ejected = move |record: &BackendRecord| self.ejected_until(now, record).is_some();
        let records = self.records.iter().filter(move |(_, _, record)| ejected(record));
        records.map(|(id, started_ms, _)| (id, started_ms))
    }

    fn ejected_until(&self, now: Timestamp, record: &BackendRecord) -> Option<Timestamp> {
        let until = record.ejected_until.filter(|_| self.policy.ejection)?;
        (until > now).then_some(until)
    }

    /// Load of a back end in parts of its slots.
    pub fn load(&self, now: Timestamp, backend: &Backend) -> f64 {
        load(now, backend, self.records.get(backend))
    }

    fn cost(&self, now: Timestamp, backend: &Backend, record: Option<&BackendRecord>) -> f64 {
        let load = load(now, backend, record);
        if !self.policy.zone_cost {
            return load;
        }
        let cost = match self.zones.distance(&backend.zone, &self.zone) {
            Distance::SameZone => 0.0,
            Distance::SameRegion => OTHER_ZONE_COST,
            Distance::OtherRegion => OTHER_REGION_COST,
        };
        // A free slot elsewhere is better than none here: the cost fades as slots fill.
        load + cost * (1.0 - load).clamp(0.0, 1.0)
    }

    /// Requests that this process has at a back end.
    pub fn in_flight(&self, backend: &Backend) -> u32 {
        self.records.get(backend).map_or(0, |record| record.in_flight)
    }

    /// A request goes to a back end.
    pub fn record_start(&mut self, backend: &Backend) {
        self.records.entry(backend.incarnation()).in_flight += 1;
    }

    /// A request that went to a back end has ended. It was counted at the life to which it went, and is taken
    /// off there: a later life under the same id never had it.
    pub fn record_end(&mut self, now: Timestamp, backend: &Backend, outcome: Outcome) {
        let Some(record) = self.records.get_mut(backend) else { return };
        record.in_flight = record.in_flight.saturating_sub(1);
        match outcome {
            Outcome::Answered => record.outcomes.note(now, false),
            Outcome::Unreachable | Outcome::Failed => record.outcomes.note(now, true),
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
                if record.failures >= FAILURES_TO_EJECT {
                    record.eject(now);
                }
            }
            Outcome::Full => record.ejected_until = Some(now.plus_millis(FULL_EJECTION_MS)),
            Outcome::Abandoned => {}
        }
    }

    /// Requests that this process has in flight, by life of a back end.
    pub fn all_in_flight(&self) -> impl Iterator<Item = (BackendIncarnation, u32)> + '_ {
        let busy = self.records.iter().filter(|(_, _, record)| record.in_flight > 0);
        busy.map(|(id, started_ms, record)| {
            (BackendIncarnation { id: id.to_owned(), started_ms }, record.in_flight)
        })
    }

    /// Recent outcomes of this process's requests, by life of a back end.
    pub fn outcomes(
        &self,
        now: Timestamp,
    ) -> impl Iterator<Item = (BackendIncarnation, Outcomes)> + '_ {
        self.records.iter().filter_map(move |(id, started_ms, record)| {
            let sums = record.outcomes.sums(now);
            let counts = sums.failed + sums.answered >= LEAST_OUTCOME;
            counts.then(|| (BackendIncarnation { id: id.to_owned(), started_ms }, sums))
        })
    }

    /// Back ends fail for all processes, as their reports say: they are left out as if this process
    /// had found it out. One that dies is else found out by each process by itself.
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

    /// Something came from a back end.
    pub fn record_activity(&mut self, now: Timestamp, backend: &Backend) {
        if let Some(record) = self.records.get_mut(backend) {
            record.heard_at = Some(now);
        }
    }

    /// A back end has said nothing for `silence_ms` on a request that it has. It may be dark, unless
    /// something came on another request: then the request waits there for a slot. Returns whether
    /// it is left out.
    pub fn record_silence(&mut self, now: Timestamp, backend: &Backend, silence_ms: u64) -> bool {
        let Some(record) = self.records.get_mut(backend).filter(|_| self.policy.silence) else {
            return false;
        };
        if record.heard_at.is_some_and(|at| now.millis_since(at) < silence_ms) {
            return false;
        }
        if record.ejected_until.is_none_or(|until| until <= now) {
            record.outcomes.note(now, true);
        }
        let until = now.plus_millis(SILENT_EJECTION_MS);
        record.ejected_until = Some(record.ejected_until.map_or(until, |held| held.max(until)));
        true
    }

    /// Everybody's requests became known; back ends that `totals` does not name have none. `own` is
    /// what this process had in them when they were added up.
    pub fn update_totals<'a>(
        &mut self,
        now: Timestamp,
        totals: impl Iterator<Item = (&'a BackendIncarnation, InFlight)>,
        own: impl Fn(&BackendIncarnation) -> u32,
    ) {
        if !self.policy.peer_loads {
            return;
        }
        self.heard_at = Some(now);
        for record in self.records.values_mut() {
            record.foreign = 0.0;
            record.items = 0.0;
            record.told_at = Some(now);
        }
        for (incarnation, total) in totals {
            // One that this process has never used counts as well: it would look empty else.
            let record = match self.records.incarnation_mut(incarnation) {
                Some(record) => record,
                None => self.records.entry(incarnation.clone()),
            };
            let all = f64::from(total.online) + f64::from(total.items);
            record.foreign = (all - f64::from(own(incarnation))).max(0.0);
            record.items = f64::from(total.items).min(record.foreign);
            record.told_at = Some(now);
        }
    }

    /// A back end told its load.
    pub fn record_report(&mut self, now: Timestamp, backend: &Backend, load: BackendLoad) {
        let Some(record) = self.records.get_mut(backend) else { return };
        let all = f64::from(load.running + load.waiting);
        record.foreign = (all - f64::from(record.in_flight)).max(0.0);
        record.items = record.items.min(record.foreign);
        record.told_at = Some(now);
    }

    /// Forgets lives that nobody knows any more and that have nothing in flight.
    pub fn retain(&mut self, known: impl Fn(&BackendIncarnation) -> bool) {
        self.records.retain(|incarnation, record| record.in_flight > 0 || known(incarnation));
    }

    /// Forgets what no choice would go by any more: each report of loads walks over all that is held.
    pub fn prune_idle(&mut self, now: Timestamp) {
        self.records.retain(|_, record| record.in_flight > 0 || record.says_something(now));
    }
}

/// Candidates of a choice.
struct Open<'a> {
    /// Those that are not left out, each with its cost.
    open: Vec<(f64, &'a Arc<Backend>)>,
    /// The one that is left out for the shortest time.
    ejected: Option<&'a Arc<Backend>>,
}

fn levels(open: &[(f64, &Arc<Backend>)]) -> Vec<Level> {
    let slots = |backend: &Backend| f64::from(backend.slots.max(1));
    open.iter().map(|(cost, backend)| Level { load: *cost, slots: slots(backend) }).collect()
}
