//! A fleet in virtual time that sends to back ends which start again, turn cold and fall over, with an oracle that
//! counts what each cold back end gets in every sliding second.

pub mod facts;
pub mod process;

use std::sync::Arc;

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use yokefall_core::Timestamp;
use yokefall_serving::{Catalog, PlacementBounds};

use facts::{Facts, DURATION_MS};
use process::Process;

/// Milliseconds of one step.
pub const STEP_MS: u64 = 20;
/// Length of a history.
const LENGTH_MS: u64 = 40_000;
/// Back ends, in three zones.
pub const BACK_ENDS: usize = 6;
/// Before it, processes meet and everything gets warm.
const SETTLED_MS: u64 = 10_000;
/// What goes to a back end that was away, beside what goes to another: it looks empty
/// to whoever hears what others have in flight.
const EMPTY_DRAWS: f64 = 3.0;
/// Requests at which a back end falls over, in parts of what it may get.
const FALLS_OVER: f64 = 2.0;

/// What a deployment promises: 15 x 1.5 + 5 = 27.5 requests in any second.
pub const BOUNDS: PlacementBounds =
    PlacementBounds { evacuation_ms: Some(5_000), cold_overage: 1.5, cold_slack: 5.0 };
pub const MOST: f64 = 27.5;

/// What a history came to.
#[derive(Clone, Copy, Debug, Default)]
pub struct Outcome {
    /// Most requests that a cold back end got in one second.
    pub most: usize,
    /// Requests that arrived at cold back ends, and the seconds for which these were cold and up.
    pub arrived: usize,
    pub cold_seconds: f64,
    /// Back ends that fell over.
    pub fallen: usize,
    /// Sum of the times after they were warm until all processes in touch knew it, and how many there were.
    pub late_ms: u64,
    pub warmed: u64,
}

/// How processes decide.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Way {
    /// They ask the code.
    Asked,
    /// They send to what looks empty, as if nothing were known of cold back ends.
    Unasked,
}

/// A back end as it truly is.
pub struct BackEnd {
    pub number: usize,
    pub incarnation: u64,
    pub keeps_id: bool,
    pub zone: usize,
    pub down_until: u64,
    pub cold_until: u64,
    /// From when what it gets while cold is counted.
    pub counted_from: u64,
    /// Requests while cold: when they were sent, and when they arrived.
    pub arrivals: Vec<(u64, u64)>,
    /// Times of failures that were seen lately.
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

pub struct World {
    pub rng: SmallRng,
    pub now: u64,
    pub way: Way,
    pub back_ends: Vec<BackEnd>,
    pub processes: Vec<Process>,
    pub facts: Facts,
    /// Requests a second of one process to one warm back end.
    rate: f64,
    outcome: Outcome,
}

impl World {
    pub fn new(seed: u64, way: Way) -> Self {
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
        let mut facts = Facts::default();
        facts.publish(0, 0, &back_ends);
        let total = rng.random_range(2.0..9.0);
        let mut world = Self {
            rng,
            now: 0,
            way,
            back_ends,
            processes: Vec::new(),
            facts,
            rate: total / f64::from(gateways + stores),
            outcome: Outcome::default(),
        };
        for number in 0..gateways + stores {
            let process = Process::start(0, format!("p{number}"), number >= gateways);
            world.processes.push(process);
        }
        world
    }

    /// Plays a history to its end.
    pub fn play(mut self) -> Outcome {
        while self.now < LENGTH_MS {
            if self.now > SETTLED_MS && self.rng.random_bool(0.02) {
                self.trouble();
            }
            self.facts.apply_due(self.now, &self.back_ends);
            let now = self.now;
            let lost = self.processes.iter().filter(|process| process.is_lost(now)).count() as u32;
            for number in 0..self.processes.len() {
                self.refresh(number, lost);
            }
            self.tell_failures();
            self.send();
            self.note_warm();
            self.now += STEP_MS;
        }
        for number in 0..self.back_ends.len() {
            self.count(number);
        }
        self.outcome
    }

    fn trouble(&mut self) {
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
            3 => self.evacuate_or_return(),
            4 => self.turn_cold(),
            5 => {
                let share = self.rng.random_range(0.02..0.35);
                let until = now + self.rng.random_range(500..12_000);
                for process in &mut self.processes {
                    if self.rng.random_bool(share) {
                        process.cut(now, until);
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

    /// A back end ends, and comes back after a while, cold, with the same id or another one.
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
        self.facts.write_later(back_end.down_until + delay, number);
    }

    fn evacuate_or_return(&mut self) {
        let zone = self.rng.random_range(0..3);
        if self.facts.evacuate(self.now, zone, &self.back_ends) {
            return;
        }
        if self.facts.evacuated_for(self.now, zone) < 6_000 {
            return;
        }
        let turned = self.now;
        for number in (0..self.back_ends.len()).filter(|number| number % 3 == zone) {
            let delay = self.rng.random_range(20..300);
            let back_end = &mut self.back_ends[number];
            if back_end.is_up(turned) {
                back_end.cold_until = turned + DURATION_MS;
                back_end.counted_from = turned;
                back_end.known_warm_at = None;
                self.facts.write_later(turned + delay, number);
            }
        }
        let taken_back = self.now + self.rng.random_range(0..300);
        self.facts.take_back_later(taken_back, zone);
    }

    /// A back end turns cold for long without a word but its record's. Nobody can know at once: it counts from when
    /// news are so old that a process doesn't trust them.
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
        self.facts.write_later(now + delay, number);
    }

    /// What a process learns in this step.
    fn refresh(&mut self, number: usize, lost: u32) {
        let heard: Vec<(String, bool)> = self.names_for(number);
        let catalog = self.facts.seen_at(self.now.saturating_sub(self.processes[number].delay_ms));
        let process = &mut self.processes[number];
        process.refresh(self.now, catalog, heard, lost);
    }

    /// Names that a process hears of: those of all that have run for as long as news take.
    fn names_for(&self, number: usize) -> Vec<(String, bool)> {
        let own = &self.processes[number];
        if !own.is_in_touch(self.now) || !own.needs_names(self.now) {
            return Vec::new();
        }
        let known = self
            .processes
            .iter()
            .enumerate()
            .filter(|(other, process)| *other == number || process.is_heard(self.now, own));
        known.map(|(_, process)| (process.name.clone(), process.job_store)).collect()
    }

    /// Failures that were seen become known to all in touch.
    fn tell_failures(&mut self) {
        let now = self.now;
        for back_end in &mut self.back_ends {
            back_end.failures.retain(|at| now - at < 3_000);
            let told = back_end.failures.iter().filter(|at| now - **at > 300).count();
            if told < 2 || now % 100 != 0 {
                continue;
            }
            let id = back_end.id();
            for process in self.processes.iter_mut().filter(|process| process.is_in_touch(now)) {
                process.state.record_reported_failure(Timestamp(now), &id);
            }
        }
    }

    /// Whoever may send to a back end that is down or cold does so at once; to what is known to be warm at the rate
    /// of its requests.
    fn send(&mut self) {
        let now = self.now;
        let counts = |back_end: &&BackEnd| back_end.is_cold(now) && now >= back_end.counted_from;
        let cold = self.back_ends.iter().filter(counts).count() as f64;
        self.outcome.cold_seconds += cold * STEP_MS as f64 / 1_000.0;
        let watched = |back_end: &&mut BackEnd| !back_end.is_up(now) || now < back_end.cold_until;
        for back_end in self.back_ends.iter_mut().filter(watched) {
            for process in &mut self.processes {
                let looks_empty = back_end.is_up(now) && process.hears_loads(now);
                let draws = if looks_empty { EMPTY_DRAWS } else { 1.0 };
                let rate = draws * self.rate * STEP_MS as f64 / 1_000.0;
                let wants = self.rng.random_bool(rate.min(1.0));
                let Some(record) = process.wants_to_send(now, back_end, self.way, wants) else {
                    continue;
                };
                process.state.sent(Timestamp(now), &record);
                if !back_end.is_up(now) {
                    process.state.record_failure(Timestamp(now), &record);
                    back_end.failures.push(now);
                    continue;
                }
                process.state.record_activity(Timestamp(now), &record);
                // One short of processor time writes late what it was permitted to.
                let sent = now + self.rng.random_range(0..80);
                let arrived = sent + self.rng.random_range(1..5);
                // Another life under another id answers that it is not the one.
                let is_it = record == back_end.id();
                if is_it && back_end.is_cold(arrived) && arrived >= back_end.counted_from {
                    back_end.arrivals.push((sent, arrived));
                }
            }
            let lately = back_end.arrivals.iter().rev().take_while(|(sent, _)| now < sent + 1_000);
            if lately.count() as f64 > MOST * FALLS_OVER {
                self.outcome.fallen += 1;
                back_end.down_until = now + 1_000;
                back_end.cold_until = back_end.down_until + DURATION_MS;
            }
        }
    }

    /// The oracle: requests that were sent and arrived in one second, for every second that begins with one.
    fn count(&mut self, number: usize) {
        let back_end = &mut self.back_ends[number];
        back_end.arrivals.sort_unstable();
        let arrivals = std::mem::take(&mut back_end.arrivals);
        for (position, (begin, _)) in arrivals.iter().enumerate() {
            let inside = arrivals[position..].iter().take_while(|(sent, _)| *sent <= begin + 1_000);
            let count = inside.filter(|(_, arrived)| *arrived <= begin + 1_000).count();
            self.outcome.most = self.outcome.most.max(count);
        }
        self.outcome.arrived += arrivals.len();
    }

    fn note_warm(&mut self) {
        let now = self.now;
        let warm = |back_end: &&mut BackEnd| {
            back_end.known_warm_at.is_none() && back_end.is_up(now) && now >= back_end.cold_until
        };
        for back_end in self.back_ends.iter_mut().filter(warm) {
            let id = back_end.id();
            let mut in_touch = self.processes.iter().filter(|process| process.is_in_touch(now));
            if in_touch.all(|process| process.state.doubt(Timestamp(now), None, &id).is_none()) {
                back_end.known_warm_at = Some(now);
                self.outcome.late_ms += now - back_end.cold_until;
                self.outcome.warmed += 1;
            }
        }
    }
}

/// A catalog as it was at a moment.
pub type Seen = (u64, Arc<Catalog>);
