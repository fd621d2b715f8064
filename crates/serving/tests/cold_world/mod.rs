//! Simulation in virtual time of a fleet that sends to back ends which restart, turn cold and
//! crash, with an oracle that counts the requests to each cold back end in every sliding second.

pub mod platform_store;
pub mod process;

use std::sync::Arc;

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use yokefall_core::Timestamp;
use yokefall_serving::{Catalog, PlacementBounds};

use platform_store::{PlatformStore, DURATION_MS};
use process::Process;

pub const STEP_MS: u64 = 20;
const LENGTH_MS: u64 = 40_000;
/// Back ends, in three zones.
pub const BACK_ENDS: usize = 6;
/// Time without faults at the start, in which processes meet and all back ends get warm.
const SETTLED_MS: u64 = 10_000;
/// Requests to a returned back end relative to others: with load reports it looks empty.
const EMPTY_BACK_END_FACTOR: f64 = 3.0;
/// Load at which a back end crashes, as a multiple of its allowance.
const CRASH_FACTOR: f64 = 2.0;

/// Guaranteed bounds: 15 x 1.5 + 5 = 27.5 requests in any second.
pub const BOUNDS: PlacementBounds =
    PlacementBounds { evacuation_ms: Some(5_000), cold_overage: 1.5, cold_slack: 5.0 };
pub const MAX_REQUESTS_PER_SECOND: f64 = 27.5;

#[derive(Clone, Copy, Debug, Default)]
pub struct SimulationResult {
    /// Most requests to a cold back end in any second.
    pub max_per_second: usize,
    /// Requests received by cold back ends, and the seconds for which these were cold and up.
    pub arrived: usize,
    pub cold_seconds: f64,
    pub crashed: usize,
    /// Sum and number of the delays until all connected processes knew that a back end was warm.
    pub detection_delay_ms: u64,
    pub warmed: u64,
}

/// How processes decide whether to send.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SendMode {
    /// By the code under test.
    Limited,
    /// To whatever looks empty, without regard to cold back ends.
    Unlimited,
}

/// Actual state of a back end.
pub struct BackEnd {
    pub number: usize,
    pub incarnation: u64,
    pub keeps_id: bool,
    pub zone: usize,
    pub down_until: u64,
    pub cold_until: u64,
    /// Time from which requests received while cold are counted.
    pub counted_from: u64,
    /// Requests received while cold: send time and arrival time.
    pub arrivals: Vec<(u64, u64)>,
    pub failures: Vec<u64>,
    pub known_warm_at: Option<u64>,
}

impl BackEnd {
    pub fn id(&self) -> String {
        if self.keeps_id {
            return format!("b{}", self.number);
        }
        format!("b{}-{}", self.number, self.incarnation)
    }

    pub fn is_up(&self, now: u64) -> bool {
        now >= self.down_until
    }

    pub fn is_cold(&self, now: u64) -> bool {
        self.is_up(now) && now < self.cold_until
    }
}

pub struct Simulation {
    pub rng: SmallRng,
    pub now: u64,
    pub mode: SendMode,
    pub back_ends: Vec<BackEnd>,
    pub processes: Vec<Process>,
    pub platform_store: PlatformStore,
    /// Requests a second from one process to one warm back end.
    rate: f64,
    result: SimulationResult,
}

impl Simulation {
    pub fn new(seed: u64, mode: SendMode) -> Self {
        let mut rng = SmallRng::seed_from_u64(seed);
        let gateways = *[2, 4, 9, 20, 40, 75].get(rng.random_range(0..6)).expect("a size");
        let stores = rng.random_range(1..=14.min(gateways));
        let back_ends = (0..BACK_ENDS).map(|number| BackEnd {
            number,
            incarnation: 1,
            keeps_id: rng.random_bool(0.5),
            zone: number % 3,
            down_until: 0,
            cold_until: 0,
            counted_from: 0,
            arrivals: Vec::new(),
            failures: Vec::new(),
            known_warm_at: Some(0),
        });
        let back_ends: Vec<BackEnd> = back_ends.collect();
        let mut platform_store = PlatformStore::default();
        platform_store.publish(0, 0, &back_ends);
        let total = rng.random_range(2.0..9.0);
        let mut simulation = Self {
            rng,
            now: 0,
            mode,
            back_ends,
            processes: Vec::new(),
            platform_store,
            rate: total / f64::from(gateways + stores),
            result: SimulationResult::default(),
        };
        for number in 0..gateways + stores {
            let process = Process::start(0, format!("p{number}"), number >= gateways);
            simulation.processes.push(process);
        }
        simulation
    }

    pub fn run(mut self) -> SimulationResult {
        while self.now < LENGTH_MS {
            if self.now > SETTLED_MS && self.rng.random_bool(0.02) {
                self.inject_fault();
            }
            self.platform_store.apply_due(self.now, &self.back_ends);
            let now = self.now;
            let unresponsive =
                self.processes.iter().filter(|process| process.is_unresponsive(now)).count() as u32;
            for number in 0..self.processes.len() {
                self.refresh(number, unresponsive);
            }
            self.report_failures();
            self.send();
            self.record_warm();
            self.now += STEP_MS;
        }
        for number in 0..self.back_ends.len() {
            self.count(number);
        }
        self.result
    }

    fn inject_fault(&mut self) {
        let now = self.now;
        match self.rng.random_range(0..10) {
            0 | 1 => {
                let number = self.rng.random_range(0..self.back_ends.len());
                self.restart(number);
            }
            2 => {
                let zone = self.rng.random_range(0..3);
                for number in (0..self.back_ends.len()).filter(|number| number % 3 == zone) {
                    self.restart(number);
                }
            }
            3 => self.toggle_evacuation(),
            4 => self.turn_cold(),
            5 => {
                let share = self.rng.random_range(0.02..0.35);
                let until = now + self.rng.random_range(500..12_000);
                for process in &mut self.processes {
                    if self.rng.random_bool(share) {
                        process.partition(now, until);
                    }
                }
            }
            6 => {
                let share = self.rng.random_range(0.02..0.5);
                for process in &mut self.processes {
                    if self.rng.random_bool(share) {
                        process.restart(now + self.rng.random_range(200..2_000));
                    }
                }
            }
            7 => {
                let number = self.rng.random_range(0..self.processes.len());
                let replaced = &mut self.processes[number];
                replaced.end(now);
                let name = format!("n{now}");
                let joined = Process::start(now, name, replaced.job_store);
                self.processes.push(joined);
            }
            8 => {
                let number = self.rng.random_range(0..self.processes.len());
                let until = now + self.rng.random_range(500..6_000);
                self.processes[number].suspended_until = until;
            }
            _ => self.rate = (self.rate * self.rng.random_range(0.5..2.0)).clamp(0.01, 0.3),
        }
    }

    /// A back end goes down and returns cold after a while, under the same id or another one.
    fn restart(&mut self, number: usize) {
        let (now, down) = (self.now, self.rng.random_range(1_000..5_000));
        let delay = self.rng.random_range(20..300);
        let back_end = &mut self.back_ends[number];
        if !back_end.is_up(now) {
            return;
        }
        back_end.incarnation += 1;
        back_end.down_until = now + down;
        back_end.cold_until = back_end.down_until + DURATION_MS;
        back_end.counted_from = back_end.down_until;
        back_end.known_warm_at = None;
        self.platform_store.write_later(back_end.down_until + delay, number);
    }

    fn toggle_evacuation(&mut self) {
        let zone = self.rng.random_range(0..3);
        if self.platform_store.evacuate(self.now, zone, &self.back_ends) {
            return;
        }
        if self.platform_store.evacuated_for(self.now, zone) < 6_000 {
            return;
        }
        let turned_cold_at = self.now;
        for number in (0..self.back_ends.len()).filter(|number| number % 3 == zone) {
            let delay = self.rng.random_range(20..300);
            let back_end = &mut self.back_ends[number];
            if back_end.is_up(turned_cold_at) {
                back_end.cold_until = turned_cold_at + DURATION_MS;
                back_end.counted_from = turned_cold_at;
                back_end.known_warm_at = None;
                self.platform_store.write_later(turned_cold_at + delay, number);
            }
        }
        let ends_at = self.now + self.rng.random_range(0..300);
        self.platform_store.end_evacuation_later(ends_at, zone);
    }

    /// A back end turns cold for long, and only its record says so. No process can know at once, so
    /// requests count only from when the platform state is too old to be trusted.
    fn turn_cold(&mut self) {
        let number = self.rng.random_range(0..self.back_ends.len());
        let (now, delay) = (self.now, self.rng.random_range(20..300));
        let back_end = &mut self.back_ends[number];
        if !back_end.is_up(now) || back_end.is_cold(now) {
            return;
        }
        back_end.cold_until = now + 9_000;
        back_end.counted_from = now + 6_500;
        back_end.known_warm_at = None;
        self.platform_store.write_later(now + delay, number);
    }

    fn refresh(&mut self, number: usize, unresponsive: u32) {
        let names: Vec<(String, bool)> = self.names_for(number);
        let catalog = self
            .platform_store
            .published_at(self.now.saturating_sub(self.processes[number].delay_ms));
        let process = &mut self.processes[number];
        process.refresh(self.now, catalog, names, unresponsive);
    }

    /// Names that a process learns: all processes that have run for longer than updates take.
    fn names_for(&self, number: usize) -> Vec<(String, bool)> {
        let own = &self.processes[number];
        if !own.is_connected(self.now) || !own.needs_names(self.now) {
            return Vec::new();
        }
        let known = self
            .processes
            .iter()
            .enumerate()
            .filter(|(other, process)| *other == number || process.is_known_to(self.now, own));
        known.map(|(_, process)| (process.name.clone(), process.job_store)).collect()
    }

    fn report_failures(&mut self) {
        let now = self.now;
        for back_end in &mut self.back_ends {
            back_end.failures.retain(|at| now - at < 3_000);
            let reported = back_end.failures.iter().filter(|at| now - **at > 300).count();
            if reported < 2 || now % 100 != 0 {
                continue;
            }
            let id = back_end.id();
            for process in self.processes.iter_mut().filter(|process| process.is_connected(now)) {
                process.state.record_reported_failure(Timestamp(now), &id);
            }
        }
    }

    /// Processes that may send to a back end that is down or cold do so at once; a back end known
    /// to be warm gets requests at their usual rate.
    fn send(&mut self) {
        let now = self.now;
        let counts = |back_end: &&BackEnd| back_end.is_cold(now) && now >= back_end.counted_from;
        let cold = self.back_ends.iter().filter(counts).count() as f64;
        self.result.cold_seconds += cold * STEP_MS as f64 / 1_000.0;
        let affected = |back_end: &&mut BackEnd| !back_end.is_up(now) || now < back_end.cold_until;
        for back_end in self.back_ends.iter_mut().filter(affected) {
            for process in &mut self.processes {
                let looks_empty = back_end.is_up(now) && process.has_load_reports(now);
                let factor = if looks_empty { EMPTY_BACK_END_FACTOR } else { 1.0 };
                let rate = factor * self.rate * STEP_MS as f64 / 1_000.0;
                let has_request = self.rng.random_bool(rate.min(1.0));
                let Some(record) = process.wants_to_send(now, back_end, self.mode, has_request)
                else {
                    continue;
                };
                process.state.sent(Timestamp(now), &record);
                if !back_end.is_up(now) {
                    process.state.record_failure(Timestamp(now), &record);
                    back_end.failures.push(now);
                    continue;
                }
                process.state.record_activity(Timestamp(now), &record);
                // A process short of processor time writes a request late.
                let sent = now + self.rng.random_range(0..80);
                let arrived = sent + self.rng.random_range(1..5);
                // Another incarnation under another id rejects the request.
                let is_current_id = record == back_end.id();
                if is_current_id && back_end.is_cold(arrived) && arrived >= back_end.counted_from {
                    back_end.arrivals.push((sent, arrived));
                }
            }
            let recent = back_end.arrivals.iter().rev().take_while(|(sent, _)| now < sent + 1_000);
            if recent.count() as f64 > MAX_REQUESTS_PER_SECOND * CRASH_FACTOR {
                self.result.crashed += 1;
                back_end.down_until = now + 1_000;
                back_end.cold_until = back_end.down_until + DURATION_MS;
            }
        }
    }

    /// The oracle: counts requests sent and received in every second that begins with a request.
    fn count(&mut self, number: usize) {
        let back_end = &mut self.back_ends[number];
        back_end.arrivals.sort_unstable();
        let arrivals = std::mem::take(&mut back_end.arrivals);
        for (position, (begin, _)) in arrivals.iter().enumerate() {
            let inside = arrivals[position..].iter().take_while(|(sent, _)| *sent <= begin + 1_000);
            let count = inside.filter(|(_, arrived)| *arrived <= begin + 1_000).count();
            self.result.max_per_second = self.result.max_per_second.max(count);
        }
        self.result.arrived += arrivals.len();
    }

    fn record_warm(&mut self) {
        let now = self.now;
        let warm = |back_end: &&mut BackEnd| {
            back_end.known_warm_at.is_none() && back_end.is_up(now) && now >= back_end.cold_until
        };
        for back_end in self.back_ends.iter_mut().filter(warm) {
            let id = back_end.id();
            let mut connected = self.processes.iter().filter(|process| process.is_connected(now));
            if connected
                .all(|process| process.state.cold_period(Timestamp(now), None, &id).is_none())
            {
                back_end.known_warm_at = Some(now);
                self.result.detection_delay_ms += now - back_end.cold_until;
                self.result.warmed += 1;
            }
        }
    }
}

/// A catalog and the time of its publication.
pub type PublishedCatalog = (u64, Arc<Catalog>);
