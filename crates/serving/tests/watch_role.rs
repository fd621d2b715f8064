//! Which processes watch the platform's store: a simulation of whole fleets in virtual time.

use std::collections::{BTreeMap, BTreeSet};

use yokefall_core::Timestamp;
use yokefall_serving::watch_role::{
    Ranking, WatcherElection, HEARTBEAT_INTERVAL_MS, STANDBYS_PER_ZONE, WATCHERS_PER_ZONE,
};
use yokefall_serving::FleetMember;

const STEP_MS: u64 = 50;

fn member(index: usize, zones: usize) -> FleetMember {
    FleetMember {
        name: format!("node-{index}"),
        address: "127.0.0.1:1".parse().expect("an address"),
        zone: format!("zone-{}", index % zones),
        job_store: false,
        accepting: true,
    }
}

/// A fleet in which every member knows the others after `DETECTION_MS`.
struct Model {
    now: u64,
    zones: usize,
    members: Vec<FleetMember>,
    elections: Vec<WatcherElection>,
    /// Members that are down, and since when.
    gone: BTreeMap<usize, u64>,
    rejected: BTreeSet<usize>,
    watching: BTreeSet<usize>,
}

/// Time until membership probes detect a lost member.
const DETECTION_MS: u64 = 3_000;

impl Model {
    fn new(count: usize, zones: usize) -> Self {
        let members: Vec<FleetMember> = (0..count).map(|index| member(index, zones)).collect();
        let election =
            |index: usize| WatcherElection::new(Timestamp(0), false, index as f64 / count as f64);
        let elections = (0..count).map(election).collect();
        let (gone, rejected, watching) = Default::default();
        Self { now: 0, zones, members, elections, gone, rejected, watching }
    }

    fn run(&mut self, ms: u64) {
        for _ in 0..ms / STEP_MS {
            self.step();
        }
    }

    fn step(&mut self) {
        let now = Timestamp(self.now);
        let seen: Vec<FleetMember> = self
            .members
            .iter()
            .enumerate()
            .filter(|(index, _)| {
                self.gone.get(index).is_none_or(|since| self.now < since + DETECTION_MS)
            })
            .map(|(_, member)| member.clone())
            .collect();
        self.watching.clear();
        let sends_heartbeats = self.now % HEARTBEAT_INTERVAL_MS == 0;
        let mut heartbeats: Vec<(String, Vec<String>)> = Vec::new();
        for (index, member) in self.members.iter().enumerate() {
            if self.gone.contains_key(&index) {
                continue;
            }
            let election = &mut self.elections[index];
            election.rank(now, Ranking::new(&seen, &member.zone, &member.name));
            if !election.watches(now, true) {
                continue;
            }
            self.watching.insert(index);
            if sends_heartbeats && !self.rejected.contains(&index) {
                heartbeats.push((member.name.clone(), election.standbys().to_vec()));
            }
        }
        for (watcher, standbys) in heartbeats {
            for (index, member) in self.members.iter().enumerate() {
                if standbys.contains(&member.name) && !self.gone.contains_key(&index) {
                    self.elections[index].record_watcher_heartbeat(now, &watcher);
                }
            }
        }
        self.now += STEP_MS;
    }

    /// Members of each zone that watch the store and are answered.
    fn answered(&self) -> BTreeMap<&str, usize> {
        let mut zones: BTreeMap<&str, usize> = BTreeMap::new();
        for index in 0..self.zones {
            zones.insert(&self.members[index].zone, 0);
        }
        for index in self.watching.iter().filter(|index| !self.rejected.contains(index)) {
            *zones.entry(&self.members[*index].zone).or_default() += 1;
        }
        zones
    }
}

#[test]
fn calls_grow_with_zones_and_not_with_members() {
    for (count, zones) in [(11, 3), (76, 3), (195, 6), (295, 5), (550, 12)] {
        let mut model = Model::new(count, zones);
        model.run(5_000);
        assert!(
            model.watching.len() <= WATCHERS_PER_ZONE * zones,
            "{count}: {}",
            model.watching.len()
        );
        assert!(
            model.answered().values().all(|watchers| *watchers == WATCHERS_PER_ZONE),
            "{count}"
        );
    }
}

/// Whichever watcher is down, paused, partitioned or rejected, it is replaced within a second.
#[test]
fn a_lost_watcher_is_replaced_within_a_second() {
    for reject in [false, true] {
        let mut model = Model::new(550, 12);
        model.run(5_000);
        let lost = *model.watching.first().expect("a watcher");
        let (zone, since) = (model.members[lost].zone.clone(), model.now);
        if reject {
            model.rejected.insert(lost);
        } else {
            model.gone.insert(lost, since);
        }
        // The other watcher of the zone keeps running.
        model.run(1_000 + HEARTBEAT_INTERVAL_MS);
        assert!(model.answered()[zone.as_str()] >= WATCHERS_PER_ZONE, "rejected: {reject}");
        model.run(10_000);
        for _ in 0..100 {
            model.step();
            assert_eq!(model.answered()[zone.as_str()], WATCHERS_PER_ZONE, "rejected: {reject}");
        }
    }
}

#[test]
fn a_store_that_rejects_a_third_leaves_zones_watched_and_calls_bounded() {
    for offset in 0..3 {
        let mut model = Model::new(550, 12);
        model.run(5_000);
        model.rejected = (0..550).filter(|index| (index / 12) % 3 == offset).collect();
        model.run(4_000);
        assert!(model.watching.len() <= (WATCHERS_PER_ZONE + STANDBYS_PER_ZONE) * 12);
        let unwatched = model.answered().values().filter(|watchers| **watchers == 0).count();
        // All of the first four of a zone are rejected with a probability of one in 81.
        assert!(unwatched <= 1, "{unwatched} zones without a watcher");
    }
}

#[test]
fn zones_stay_watched_when_more_than_half_are_killed_at_once() {
    let mut model = Model::new(300, 5);
    model.run(5_000);
    for index in (0..300).filter(|index| index % 9 < 5) {
        model.gone.insert(index, model.now);
    }
    model.run(DETECTION_MS + 1_500);
    assert!(model.answered().values().all(|watchers| *watchers >= WATCHERS_PER_ZONE));
    model.gone.clear();
    model.run(3_000);
    assert!(model.watching.len() <= (WATCHERS_PER_ZONE + STANDBYS_PER_ZONE) * 5);
    model.run(3_000);
    assert!(model.watching.len() <= WATCHERS_PER_ZONE * 5);
}

#[test]
fn a_process_without_a_configuration_reads_it_itself() {
    let mut election = WatcherElection::new(Timestamp(0), false, 1.0);
    assert!(!election.watches(Timestamp(50), false));
    assert!(election.watches(Timestamp(500), false));
    let mut first = WatcherElection::new(Timestamp(0), true, 0.0);
    assert!(!first.watches(Timestamp(500), false));
    assert!(first.watches(Timestamp(2_000), false));
}

#[test]
fn a_process_whose_peers_do_not_answer_reads_the_store_for_a_while() {
    let mut election = WatcherElection::new(Timestamp(0), false, 0.0);
    let members: Vec<FleetMember> = (0..20).map(|index| member(index, 1)).collect();
    let last = (0..20)
        .map(|index| Ranking::new(&members, "zone-0", &format!("node-{index}")))
        .max_by_key(|ranking| ranking.rank)
        .expect("a ranking");
    election.rank(Timestamp(0), last);
    assert!(!election.watches(Timestamp(5_000), true));
    election.catch_up(Timestamp(5_000));
    assert!(election.watches(Timestamp(5_100), true));
    assert!(!election.watches(Timestamp(8_000), true));
}

/// After a start of all, none knows back ends; few may read a list of 3,000, which takes 61 calls.
#[test]
fn after_a_start_of_all_few_read_back_ends_first() {
    let (count, zones) = (300, 3);
    let members: Vec<FleetMember> = (0..count).map(|index| member(index, zones)).collect();
    let election =
        |index: usize| WatcherElection::new(Timestamp(0), false, index as f64 / count as f64);
    let mut elections: Vec<WatcherElection> = (0..count).map(election).collect();
    let mut readers: BTreeSet<usize> = BTreeSet::new();
    for now in (0..6_000).step_by(STEP_MS as usize) {
        for (index, member) in members.iter().enumerate() {
            let election = &mut elections[index];
            election.rank(Timestamp(now), Ranking::new(&members, &member.zone, &member.name));
            if election.reads_backends(Timestamp(now), false) {
                readers.insert(index);
            }
        }
        if now == 450 {
            assert_eq!(readers.len(), WATCHERS_PER_ZONE * zones, "the first of each zone");
        }
        if now == 2_400 {
            assert_eq!(
                readers.len(),
                (WATCHERS_PER_ZONE + STANDBYS_PER_ZONE) * zones,
                "standbys take over without heartbeats"
            );
        }
    }
    assert_eq!(readers.len(), count, "every process without peers that know them reads");
    // A process that knows back ends reads them only if it watches.
    let mut idle = 0;
    for (member, election) in members.iter().zip(&mut elections) {
        election.rank(Timestamp(6_000), Ranking::new(&members, &member.zone, &member.name));
        if !election.reads_backends(Timestamp(6_000), true) {
            idle += 1;
        }
    }
    assert_eq!(idle, count - (WATCHERS_PER_ZONE + STANDBYS_PER_ZONE) * zones);
}

/// Guards against reading too early: at 10,000 back ends the list had not reached most of 986
/// processes when their wait ended, and each of them requested 50 pages from the store.
#[test]
fn a_process_waits_for_back_ends_while_peers_know_them() {
    let members: Vec<FleetMember> = (0..20).map(|index| member(index, 1)).collect();
    let rankings = (0..20).map(|index| Ranking::new(&members, "zone-0", &format!("node-{index}")));
    let last = rankings.max_by_key(|ranking| ranking.rank).expect("a ranking");
    let reads_after = |jitter: f64, known_from: u64, known_until: u64| {
        let mut election = WatcherElection::new(Timestamp(0), known_from > 0, jitter);
        election.rank(Timestamp(0), last.clone());
        let reads = |now: &u64| {
            if (known_from..known_until).contains(now) {
                election.record_peer_with_backends(Timestamp(*now));
            }
            election.reads_backends(Timestamp(*now), false)
        };
        (0..20_000).step_by(STEP_MS as usize).find(reads)
    };
    for jitter in [0.0, 1.0] {
        let alone = reads_after(jitter, 0, 0).expect("back ends are read");
        let announced = reads_after(jitter, 0, 5_000).expect("back ends are read");
        let always = reads_after(jitter, 0, 20_000).expect("back ends are read");
        // After a first start the reading processes know back ends some seconds later.
        let first_start = reads_after(jitter, 3_900, 20_000).expect("back ends are read");
        assert!(alone <= 4_500, "no peer knows them: {alone}");
        assert!(
            (7_400..=7_600).contains(&announced),
            "peers that knew them are silent: {announced}"
        );
        assert!(
            (8_000..=9_600).contains(&always),
            "peers know them and do not send them: {always}"
        );
        assert!((11_900..=13_500).contains(&first_start), "after a first start: {first_start}");
    }
}

/// After a start of all processes each knows a few members and ranks first among them: most of 986
/// then read a list of 50 pages, of which the store answers 320 a second.
#[test]
fn a_transient_first_rank_does_not_read_back_ends() {
    let members: Vec<FleetMember> = (0..60).map(|index| member(index, 1)).collect();
    let mut readers = 0;
    for member in &members {
        let mut election = WatcherElection::new(Timestamp(0), false, 0.0);
        let reads = |now: u64| {
            // Known members double every 100 ms, this process among them.
            let known = (2_usize << (now / 100).min(10)).min(60);
            let mut seen: Vec<FleetMember> = members.iter().take(known).cloned().collect();
            seen.push(member.clone());
            election.rank(Timestamp(now), Ranking::new(&seen, &member.zone, &member.name));
            election.reads_backends(Timestamp(now), false)
        };
        readers += usize::from((0..2_000).step_by(STEP_MS as usize).any(reads));
    }
    assert!(readers <= WATCHERS_PER_ZONE + STANDBYS_PER_ZONE, "{readers} of 60 read back ends");
}
