//! How long items may be withheld: nobody sends an item again, so that it must run once all is calm.

use std::collections::HashMap;

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use yokefall_core::Timestamp;
use yokefall_serving::BackendIncarnation;
use yokefall_suspects::{
    Grant, RequestDigest, RequestIdentity, RequestSource, Restriction, SuspectKeys, SuspectStatus,
    Table,
};

const POPULATION: usize = 16;
/// Longest time from the last crash or the last run without a result until an item may run.
const MAX_WITHHELD_MS: u64 = 10_000;
/// Time after which a leader asks again for an item that waits.
const POLL_MS: u64 = 100;

fn keys() -> SuspectKeys {
    keys_of(b"item", &["popular", "rare"])
}

fn keys_of(body: &[u8], parts: &[&str]) -> SuspectKeys {
    let (method, host, path, tenant) = ("POST", "maps.example", "/jobs/1", "");
    let identity = RequestIdentity { method, host, path, tenant, body };
    SuspectKeys::of(&identity, "models", parts.iter().copied())
}

/// Plays random crashes by chance, runs and restarts, and then calm.
struct Play {
    random: StdRng,
    now: Timestamp,
    table: Table,
    crashes: u64,
}

impl Play {
    fn new(seed: u64) -> Self {
        let random = StdRng::seed_from_u64(seed);
        Self { random, now: Timestamp(1_000_000), table: Table::default(), crashes: 0 }
    }

    fn crash(&mut self, digests: &[RequestDigest], run_ms: u64) {
        self.crashes += 1;
        let backend = BackendIncarnation { id: format!("b-{}", self.crashes), started_ms: 0 };
        let sent_at = Timestamp(self.now.0 - run_ms);
        for digest in digests {
            self.table.record_crash(self.now, *digest, (&backend, POPULATION), sent_at);
        }
    }

    /// A run of the source, if it is allowed, that crashes, ends without a result, or is lost.
    fn run(&mut self, source: RequestSource) {
        let restriction = self.table.restriction(self.now, &keys(), source);
        let digest = restriction.map_or(*keys().request(), |restriction| restriction.digest);
        let is_held_back =
            restriction.is_some_and(|found| matches!(found.status, SuspectStatus::HeldBack { .. }));
        let backend = format!("to-{}", self.random.random_range(0..POPULATION));
        if is_held_back || self.table.grant(self.now, &digest, &backend, source) != Grant::Granted {
            return;
        }
        let run_ms = self.random.random_range(1..2_000);
        self.now = self.now.plus_millis(run_ms);
        match self.random.random_range(0..4) {
            0 | 1 => self.crash(&all_digests(), run_ms),
            2 => {
                self.table.record_inconclusive_run(self.now, &digest, run_ms);
            }
            _ => {}
        }
    }

    /// All processes are killed and start again from what was stored.
    fn restart(&mut self) {
        let stored = self.table.updates(self.now);
        self.now = self.now.plus_millis(self.random.random_range(100..3_000));
        self.table = Table::default();
        for update in stored {
            self.table.merge(self.now, update);
        }
    }

    fn step(&mut self) {
        self.now = self.now.plus_millis(self.random.random_range(1..3_000));
        let run_ms = self.random.random_range(1..2_000);
        match self.random.random_range(0..7) {
            0 => self.crash(&all_digests(), run_ms),
            1 => self.crash(&keys().parts()[1..], run_ms),
            2 => (0..4).for_each(|_| self.crash(&all_digests(), run_ms)),
            3 => self.crash(&[], run_ms),
            4 => self.run(RequestSource::Client),
            5 => self.run(RequestSource::Job),
            _ => self.restart(),
        }
    }

    /// Time until a job's item may run, if nothing else happens.
    fn time_to_next_run(&mut self) -> u64 {
        let calm_from = self.now;
        loop {
            let restriction = self.table.restriction(self.now, &keys(), RequestSource::Job);
            let Some(restriction) = restriction else { return self.now.millis_since(calm_from) };
            let may_ask = restriction.status == SuspectStatus::Isolated;
            let digest = &restriction.digest;
            if may_ask
                && self.table.grant(self.now, digest, "calm", RequestSource::Job) == Grant::Granted
            {
                return self.now.millis_since(calm_from);
            }
            self.now = self.now.plus_millis(POLL_MS);
        }
    }
}

fn all_digests() -> Vec<RequestDigest> {
    keys().iter().copied().collect()
}

/// Seen: 30 s and more, by the number of runs that had been granted.
#[test]
fn an_item_may_run_soon_after_any_number_of_crashes_by_chance() {
    for seed in 0..400 {
        let mut play = Play::new(seed);
        (0..seed % 60).for_each(|_| play.step());
        let waited_ms = play.time_to_next_run();
        assert!(waited_ms <= MAX_WITHHELD_MS + POLL_MS, "seed {seed}: {waited_ms} ms");
    }
}

#[test]
fn an_item_that_crashes_each_back_end_crashes_few_of_them() {
    let mut play = Play::new(1);
    let began = play.now;
    let mut crashes_ms = Vec::new();
    while play.now.millis_since(began) < 60_000 {
        play.time_to_next_run();
        play.now = play.now.plus_millis(80);
        play.crash(&all_digests(), 80);
        crashes_ms.push(play.now.millis_since(began));
    }
    println!("{crashes_ms:?}");
    assert!(crashes_ms.iter().filter(|at| **at < 5_000).count() <= 5);
    assert!(crashes_ms.len() <= 12, "{} back ends crashed in a minute", crashes_ms.len());
}

/// Seen: each run that was granted to an item made clients wait longer, up to an hour.
#[test]
fn runs_of_items_do_not_make_clients_wait_longer() {
    let mut play = Play::new(1);
    (0..3).for_each(|_| {
        play.now = play.now.plus_millis(500);
        play.crash(&all_digests(), 80);
    });
    let request = *keys().request();
    let SuspectStatus::HeldBack { wait_ms } = play.table.status(play.now, &request) else {
        panic!("it is not held back");
    };
    let due = play.now.plus_millis(wait_ms);
    for _ in 0..5 {
        play.time_to_next_run();
        play.now = play.now.plus_millis(1_000);
        play.table.record_inconclusive_run(play.now, &request, 0);
    }
    assert_eq!(play.table.status(due, &request), SuspectStatus::Isolated);
}

/// Duration of a run of a sound item, in milliseconds.
const RUN_MS: u64 = 5_000;
const SLOTS: usize = 8;

/// Time from the last crash until each of many items has begun a run that is not interrupted. All
/// have met the same waves of crashes; `parts` are those that they share.
fn time_until_all_run(items: usize, parts: &[&str]) -> u64 {
    let mut table = Table::default();
    let keys: Vec<SuspectKeys> =
        (0..items).map(|number| keys_of(format!("item {number}").as_bytes(), parts)).collect();
    for wave in 1..=4 {
        for (number, keys) in keys.iter().enumerate() {
            let id = format!("b-{}-{wave}", number % POPULATION);
            let now = Timestamp(10_000 + wave * 400 + (number % POPULATION) as u64);
            let sent_at = Timestamp(now.0 - 250);
            for digest in keys.iter() {
                let backend = BackendIncarnation { id: id.clone(), started_ms: 0 };
                table.record_crash(now, *digest, (&backend, POPULATION), sent_at);
            }
        }
    }
    let calm_from = Timestamp(10_000 + 4 * 400 + POPULATION as u64);
    let mut now = calm_from;
    let mut ends: HashMap<usize, (Timestamp, usize)> = HashMap::new();
    while ends.len() < items {
        now = now.plus_millis(POLL_MS);
        assert!(now.millis_since(calm_from) < 600_000, "{} of {items} items ran", ends.len());
        for (number, keys) in keys.iter().enumerate() {
            if ends.get(&number).is_some_and(|(at, _)| *at <= now && now.0 < at.0 + POLL_MS) {
                keys.iter().for_each(|digest| {
                    table.record_answer(now, digest);
                });
            }
        }
        for (number, keys) in keys.iter().enumerate() {
            if ends.contains_key(&number) {
                continue;
            }
            let restriction = table.restriction(now, keys, RequestSource::Job);
            if restriction.is_some_and(|found| found.status != SuspectStatus::Isolated) {
                continue;
            }
            let has_slot = |backend: &usize| {
                ends.values().filter(|(at, to)| *at > now && to == backend).count() < SLOTS
            };
            let granted = (0..POPULATION).filter(has_slot).find(|backend| {
                restriction.is_none_or(|Restriction { digest, .. }| {
                    let (to, source) = (format!("to-{backend}"), RequestSource::Job);
                    table.grant(now, &digest, &to, source) == Grant::Granted
                })
            });
            if let Some(backend) = granted {
                ends.insert(number, (now.plus_millis(RUN_MS), backend));
            }
        }
    }
    now.millis_since(calm_from)
}

/// Seen: each back end ran one item at a time that had met crashes, whatever became of the others.
#[test]
fn many_items_that_met_the_same_crashes_do_not_wait_for_each_other() {
    for items in [20, 100, 128] {
        let waited_ms = time_until_all_run(items, &[]);
        println!("{items} items: {waited_ms} ms");
        assert!(waited_ms <= MAX_WITHHELD_MS + RUN_MS, "{items} items: {waited_ms} ms");
    }
}

/// Seen: items that shared a part waited for the whole run of the first of them.
#[test]
fn items_that_share_a_suspected_part_do_not_wait_for_a_whole_run_of_another() {
    let waited_ms = time_until_all_run(100, &["shared"]);
    println!("{waited_ms} ms");
    assert!(waited_ms <= MAX_WITHHELD_MS + RUN_MS, "{waited_ms} ms");
}
