//! Parts of prompts as suspects: which key of a request is restricted, and which requests are not.

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use yokefall_core::Timestamp;
use yokefall_serving::BackendIncarnation;
use yokefall_suspects::{
    Grant, PartIdentity, RequestDigest, RequestIdentity, RequestSource, Restriction, SuspectKeys,
    SuspectStatus, Table,
};

const POPULATION: usize = 14;
const SERVICE: &str = "models";

fn part(id: &str) -> RequestDigest {
    RequestDigest::of_part(&PartIdentity { service: SERVICE, tenant: "", part: id })
}

/// Keys of a request with these shared parts that is unlike any other.
fn prompt(parts: &[&str], request: u64) -> SuspectKeys {
    let body = request.to_le_bytes();
    let (method, host, path, tenant) = ("POST", "maps.example", "/generate", "");
    let identity = RequestIdentity { method, host, path, tenant, body: &body };
    SuspectKeys::of(&identity, SERVICE, parts.iter().copied())
}

fn at(ms: u64) -> Timestamp {
    Timestamp(100_000 + ms)
}

/// A table and the crashes recorded in it.
#[derive(Default)]
struct History {
    table: Table,
    requests: u64,
}

impl History {
    /// Records a crash at `ms` under requests with these prompts, sent 100 ms earlier.
    fn crash(&mut self, ms: u64, prompts: &[&[&str]]) {
        let backend = BackendIncarnation { id: format!("backend-{ms}"), started_ms: 0 };
        for parts in prompts {
            self.requests += 1;
            for key in prompt(parts, self.requests).iter() {
                self.table.record_crash(at(ms), *key, (&backend, POPULATION), at(ms - 100));
            }
        }
    }

    fn restriction(&self, ms: u64, parts: &[&str]) -> Option<Restriction> {
        self.table.restriction(at(ms), &prompt(parts, u64::MAX), RequestSource::Client)
    }

    fn is_held_back(&self, ms: u64, parts: &[&str]) -> bool {
        let status = self.restriction(ms, parts).map(|restriction| restriction.status);
        matches!(status, Some(SuspectStatus::HeldBack { .. }))
    }

    fn is_free(&self, ms: u64, parts: &[&str]) -> bool {
        self.restriction(ms, parts).is_none()
    }
}

#[test]
fn a_part_is_held_back_after_three_crashes_and_the_broader_part_beside_it_is_not() {
    let mut history = History::default();
    history.crash(500, &[&["popular", "fatal"]]);
    history.crash(1_000, &[&["popular", "fatal"], &["popular", "rare"]]);
    assert!(history.is_free(1_010, &["popular", "fatal"]));
    history.crash(1_500, &[&["popular", "fatal"]]);
    let held = history.restriction(1_510, &["popular", "fatal"]).expect("a restriction");
    assert_eq!(held.digest, part("fatal"));
    assert!(history.is_held_back(1_510, &["popular", "fatal"]));
    for sound in [&["popular", "rare"][..], &["popular", "other"], &["popular"], &["other"]] {
        assert!(history.is_free(1_510, sound), "{sound:?}");
    }
}

#[test]
fn a_broad_part_whose_crashes_nothing_else_explains_is_held_back() {
    let mut history = History::default();
    for (ms, other) in [(500, "b1"), (1_000, "b2"), (1_500, "b3")] {
        history.crash(ms, &[&["fatal", other]]);
    }
    assert!(history.is_held_back(1_510, &["fatal", "b4"]));
    assert!(history.is_free(1_510, &["popular", "b1"]));
}

#[test]
fn a_part_that_is_only_seen_beside_the_fatal_one_is_free_elsewhere() {
    let mut history = History::default();
    for ms in [500, 1_000, 1_500] {
        history.crash(ms, &[&["fatal", "rare"]]);
    }
    // Which of the two is the cause cannot be told yet.
    assert!(history.is_held_back(1_510, &["fatal", "rare"]));
    for (ms, other) in [(2_000, "b1"), (2_500, "b2"), (3_000, "b3")] {
        history.crash(ms, &[&["fatal", other]]);
    }
    assert!(history.is_held_back(3_010, &["fatal", "another"]));
    assert!(history.is_free(3_010, &["popular", "rare"]));
}

#[test]
fn a_fatal_part_is_held_back_although_it_had_a_constant_companion_each_time() {
    let mut history = History::default();
    for (ms, companion) in (1..).map(|number| number * 500).zip(["b1", "b2", "b3"].repeat(3)) {
        history.crash(ms, &[&["fatal", companion]]);
    }
    assert!(history.is_held_back(4_510, &["fatal", "another"]));
    for companion in ["b1", "b2", "b3"] {
        assert!(history.is_free(4_510, &["popular", companion]), "{companion}");
    }
}

#[test]
fn two_fatal_parts_are_both_held_back() {
    let mut history = History::default();
    for ms in [500, 1_000, 1_500] {
        history.crash(ms, &[&["popular", "fatal-1"]]);
        history.crash(ms + 250, &[&["popular", "fatal-2"]]);
    }
    assert!(history.is_held_back(2_000, &["popular", "fatal-1"]));
    assert!(history.is_held_back(2_000, &["popular", "fatal-2"]));
    assert!(history.is_free(2_000, &["popular", "other"]));
}

#[test]
fn a_crash_by_chance_beside_a_fatal_part_does_not_hold_the_popular_part_back() {
    let mut history = History::default();
    for ms in [500, 1_000, 1_500] {
        history.crash(ms, &[&["popular", "fatal"]]);
    }
    history.crash(2_000, &[&["popular", "other"]]);
    assert!(history.is_held_back(2_010, &["popular", "fatal"]));
    assert!(history.is_free(2_010, &["popular", "other"]));
}

#[test]
fn an_exact_request_that_crashes_back_ends_leaves_its_parts_free() {
    let mut history = History::default();
    let repeated = prompt(&["popular", "rare"], 7);
    for ms in [500, 1_000, 1_500] {
        let backend = BackendIncarnation { id: format!("backend-{ms}"), started_ms: 0 };
        for key in repeated.iter() {
            history.table.record_crash(at(ms), *key, (&backend, POPULATION), at(ms - 100));
        }
    }
    let held = history.table.restriction(at(1_510), &repeated, RequestSource::Client);
    assert!(matches!(held.map(|held| held.status), Some(SuspectStatus::HeldBack { .. })));
    assert!(history.is_free(1_510, &["popular", "rare"]));
    assert!(history.is_free(1_510, &["popular", "other"]));
}

#[test]
fn an_exact_request_is_held_back_although_a_part_of_others_was_at_all_of_its_crashes() {
    let mut history = History::default();
    let repeated = prompt(&[], 7);
    for ms in [500, 1_000, 1_500] {
        history.crash(ms, &[&["beside"]]);
        let backend = BackendIncarnation { id: format!("backend-{ms}"), started_ms: 0 };
        let population = (&backend, POPULATION);
        history.table.record_crash(at(ms), *repeated.request(), population, at(ms - 100));
    }
    let held = history.table.restriction(at(1_510), &repeated, RequestSource::Client);
    assert!(matches!(held.map(|held| held.status), Some(SuspectStatus::HeldBack { .. })));
    assert!(history.is_free(1_510, &["beside"]));
}

#[test]
fn an_answer_clears_a_part() {
    let mut history = History::default();
    for (ms, other) in [(500, "b1"), (1_000, "b2"), (1_500, "b3")] {
        history.crash(ms, &[&["sound", other]]);
    }
    assert!(history.is_held_back(1_510, &["sound", "b4"]));
    assert_eq!(history.table.record_answer(at(1_520), &part("sound")), 3);
    assert!(history.is_free(1_530, &["sound", "b4"]));
}

#[test]
fn items_with_a_part_of_many_simultaneous_crashes_run_one_at_a_time_until_one_is_answered() {
    let mut history = History::default();
    for number in 0..6 {
        history.crash(500 + number, &[&["popular", "fatal"]]);
    }
    let item = prompt(&["popular", "fatal"], u64::MAX);
    let of_items = |table: &Table, ms| table.restriction(at(ms), &item, RequestSource::Job);
    // Clients' requests may run: a rack may have failed.
    assert!(history.is_free(1_100, &["popular", "fatal"]));
    let held = of_items(&history.table, 1_100).expect("a restriction");
    assert_eq!(held, Restriction { digest: part("fatal"), status: SuspectStatus::Isolated });
    let first = history.table.grant(at(1_100), &held.digest, "backend-1", RequestSource::Job);
    let second = history.table.grant(at(1_110), &held.digest, "backend-2", RequestSource::Job);
    assert_eq!(first, Grant::Granted);
    assert!(matches!(second, Grant::Wait { .. }), "{second:?}");
    history.table.record_answer(at(1_500), &part("popular"));
    history.table.record_answer(at(1_500), &part("fatal"));
    assert_eq!(of_items(&history.table, 1_510), None);
}

#[test]
fn a_part_is_suspected_for_one_service_and_one_tenant() {
    let identity = PartIdentity { service: SERVICE, tenant: "guides", part: "p" };
    let digest = RequestDigest::of_part(&identity);
    assert_ne!(digest, RequestDigest::of_part(&PartIdentity { tenant: "", ..identity }));
    assert_ne!(digest, RequestDigest::of_part(&PartIdentity { service: "tiles", ..identity }));
    assert_ne!(digest, RequestDigest::of_part(&PartIdentity { part: "q", ..identity }));
}

/// A request of the model.
struct Run {
    keys: SuspectKeys,
    sent_ms: u64,
    writes_from_ms: u64,
    ends_ms: u64,
    is_fatal: bool,
}

/// Plays a service whose back ends also crash by chance. Requests share one of 40 first parts and
/// one of 444 second parts, whose popularity varies; with `fatal_per_s`, some have a fatal one.
struct Model {
    random: StdRng,
    table: Table,
    back_ends: Vec<(u64, Vec<Run>)>,
    crash_interval_ms: u64,
    fatal_per_s: u64,
    requests: u64,
    sound: u64,
    sound_restricted: u64,
    fatal_crashes: u64,
}

impl Model {
    fn play(seed: u64, crash_interval_ms: u64, fatal_per_s: u64) -> Self {
        let mut model = Self {
            random: StdRng::seed_from_u64(seed),
            table: Table::default(),
            back_ends: (0..POPULATION as u64).map(|_| (0, Vec::new())).collect(),
            crash_interval_ms,
            fatal_per_s,
            requests: 0,
            sound: 0,
            sound_restricted: 0,
            fatal_crashes: 0,
        };
        for ms in 0..60_000 {
            model.step(ms);
        }
        model
    }

    fn step(&mut self, ms: u64) {
        // 60 requests a second.
        if self.random.random_range(0..1_000) < 60 {
            let first = self.popular_index(40);
            let second = self.popular_index(444);
            self.send(ms, &[&format!("a{first}"), &format!("b{second}")], false);
        }
        if ms > 5_000 && self.random.random_range(0..1_000) < self.fatal_per_s {
            self.send(ms, &["a3", "fatal"], true);
        }
        if self.crash_interval_ms > 0 && self.random.random_range(0..self.crash_interval_ms) == 0 {
            let victim = self.random.random_range(0..self.back_ends.len());
            self.crash(ms, victim);
        }
        for number in 0..self.back_ends.len() {
            if self.back_ends[number].1.iter().any(|run| run.is_fatal && run.writes_from_ms <= ms) {
                self.fatal_crashes += 1;
                self.crash(ms, number);
                continue;
            }
            let runs = std::mem::take(&mut self.back_ends[number].1);
            let (done, running) = runs.into_iter().partition(|run: &Run| run.ends_ms <= ms);
            self.back_ends[number].1 = running;
            for run in done {
                for key in run.keys.iter() {
                    self.table.record_answer(at(ms), key);
                }
            }
        }
    }

    /// An index whose probability falls with its rank.
    fn popular_index(&mut self, count: usize) -> usize {
        let uniform: f64 = self.random.random();
        (uniform * uniform * count as f64) as usize
    }

    fn send(&mut self, ms: u64, parts: &[&str], is_fatal: bool) {
        self.requests += 1;
        let keys = prompt(parts, self.requests);
        self.sound += u64::from(!is_fatal);
        if self.table.restriction(at(ms), &keys, RequestSource::Client).is_some() {
            self.sound_restricted += u64::from(!is_fatal);
            return;
        }
        let running: Vec<usize> = (0..POPULATION).filter(|n| self.back_ends[*n].0 <= ms).collect();
        if running.is_empty() {
            return;
        }
        let chosen = running[self.random.random_range(0..running.len())];
        let writes_from_ms = ms + self.random.random_range(40..150);
        let ends_ms = writes_from_ms + self.random.random_range(100..1_500);
        let run = Run { keys, sent_ms: ms, writes_from_ms, ends_ms, is_fatal };
        self.back_ends[chosen].1.push(run);
    }

    fn crash(&mut self, ms: u64, victim: usize) {
        let backend = BackendIncarnation { id: format!("backend-{victim}-{ms}"), started_ms: 0 };
        let (back_at, runs) = &mut self.back_ends[victim];
        *back_at = ms + 3_000;
        for run in std::mem::take(runs) {
            let keys = &run.keys;
            let evidence = match run.writes_from_ms + 100 < ms {
                true => vec![keys.request()],
                false => keys.iter().collect(),
            };
            for key in evidence {
                let population = (&backend, POPULATION);
                self.table.record_crash(at(ms), *key, population, at(run.sent_ms));
            }
        }
    }
}

#[test]
fn crashes_by_chance_hold_hardly_any_request_back_for_its_parts() {
    for (seed, crash_interval_ms) in (0..6).flat_map(|seed| [(seed, 2_000), (seed, 400)]) {
        let model = Model::play(seed, crash_interval_ms, 0);
        println!("{seed} {crash_interval_ms}: {} of {}", model.sound_restricted, model.sound);
        assert!(model.sound_restricted * 100 <= model.sound);
    }
}

#[test]
fn a_fatal_part_crashes_few_back_ends_and_sound_requests_go_on_despite_crashes_by_chance() {
    for (seed, crash_interval_ms) in (0..6).flat_map(|seed| [(seed, 0), (seed, 2_000)]) {
        let model = Model::play(seed, crash_interval_ms, 4);
        println!(
            "{seed} {crash_interval_ms}: {} crashes, {} of {}",
            model.fatal_crashes, model.sound_restricted, model.sound
        );
        assert!(model.sound_restricted * 100 <= model.sound);
        assert!(model.fatal_crashes <= 8, "five, and three in 60 s by those that ran already");
    }
}
