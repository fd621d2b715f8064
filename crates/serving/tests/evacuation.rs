//! Evacuations and the age of news over whole fleets, in virtual time: real member lists and real knowledge, a store
//! that answers watchers or turns them away, and datagrams that are cut.
//!
//! What failed: nobody told a process that the store turned away, one that started meanwhile, or one that was cut off,
//! that a zone is evacuated. The clock stands still but for the steps of the tests.

use std::cell::RefCell;
use std::collections::{BTreeSet, VecDeque};
use std::rc::Rc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use yokefall_clock::SuspensionSource;
use yokefall_core::membership::{Datagram, MemberRecord, MemberState, Membership, Outgoing};
use yokefall_core::Timestamp;
use yokefall_serving::ages::ObjectKind;
use yokefall_serving::fleet::CONFIRMATION_FANOUT;
use yokefall_serving::observer::LoggingObserver;
use yokefall_serving::peer_sync::StateDigest;
use yokefall_serving::stall_detector::StallDetector;
use yokefall_serving::state_exchange::StateRequest;
use yokefall_serving::watch::{PlatformState, SharedPlatformState, Sink, StateOptions};
use yokefall_serving::watch_role::{Ranking, STANDBYS, WATCHERS};
use yokefall_serving::{
    empty_catalog, Backend, Change, Configuration, Evacuation, FleetMember, Freshness, Listing,
};

const STEP_MS: u64 = 100;
const ZONES: usize = 3;
const SEEDS: usize = 3;
/// Time in which a fleet has found itself.
const SETTLED_MS: u64 = 10_000;
/// What a deployment promises, less what the store takes to answer.
const BOUND_MS: u64 = 4_500;
/// Waits of watches, as `watch` draws them.
const WAIT_MS: std::ops::Range<u64> = 1_500..6_000;
const KINDS: [ObjectKind; 3] =
    [ObjectKind::Configuration, ObjectKind::Backends, ObjectKind::Evacuations];

struct Process {
    members: Membership,
    shared: SharedPlatformState<LoggingObserver>,
    freshness: Freshness,
    told: StateDigest,
    /// When the watch of each kind began, and when it ends.
    watches: [(Timestamp, u64); 3],
}

struct Fleet {
    now: u64,
    clock: Arc<AtomicU64>,
    processes: Vec<Option<Process>>,
    /// Whom the store turns away.
    refused: BTreeSet<usize>,
    /// Whom no datagram reaches, and who sends none; the store does not answer them either.
    cut: BTreeSet<usize>,
    evacuated: BTreeSet<String>,
    revision: u64,
    generator: SmallRng,
}

fn address(index: usize) -> String {
    format!("10.0.{}.{}:1", index / 200, index % 200)
}

fn zone(index: usize) -> String {
    format!("hall-{}", index % ZONES)
}

fn member(index: usize) -> FleetMember {
    FleetMember {
        name: format!("node-{index}"),
        address: address(index).parse().expect("an address"),
        zone: zone(index),
        job_store: false,
        accepting: true,
    }
}

impl Fleet {
    /// A fleet of which each member but the last one runs.
    fn new(count: usize) -> Self {
        let mut fleet = Self {
            now: 0,
            clock: Arc::default(),
            processes: Vec::new(),
            refused: BTreeSet::new(),
            cut: BTreeSet::new(),
            evacuated: BTreeSet::new(),
            revision: 10,
            generator: SmallRng::seed_from_u64(7),
        };
        fleet.processes.resize_with(count, || None);
        (0..count - 1).for_each(|index| fleet.start(index));
        fleet.run(SETTLED_MS);
        fleet
    }

    fn start(&mut self, index: usize) {
        let record = MemberRecord {
            node: format!("node-{index}").as_str().into(),
            incarnation: self.now + 1,
            address: address(index),
            zone: zone(index),
            region: "region".into(),
            data: false,
            state: MemberState::Alive,
        };
        let seeds = (0..SEEDS).map(address).collect();
        let freshness = Freshness::new(SuspensionSource::Simulated(self.clock.clone()));
        let following =
            StateOptions { evacuations: true, ages: true, freshness: freshness.clone() };
        let platform_state =
            PlatformState::with_options(empty_catalog(), Default::default(), following);
        let shared = SharedPlatformState {
            platform_state: Rc::new(RefCell::new(platform_state)),
            observer: Rc::new(LoggingObserver::new(|| {})),
        };
        self.processes[index] = Some(Process {
            members: Membership::new(record, seeds, index as u64 + 1),
            shared,
            freshness,
            told: StateDigest::default(),
            watches: [(Timestamp(0), 0); 3],
        });
    }

    /// Members that watch: the first of each zone.
    fn watchers(&self) -> Vec<usize> {
        let members: Vec<FleetMember> = (0..self.processes.len()).map(member).collect();
        let rank = |member: &FleetMember| Ranking::new(&members, &member.zone, &member.name).rank;
        (0..members.len()).filter(|index| rank(&members[*index]) < WATCHERS).collect()
    }

    fn run(&mut self, ms: u64) {
        let watchers = self.watchers();
        for _ in 0..ms / STEP_MS {
            self.now += STEP_MS;
            self.clock.fetch_add(STEP_MS, Ordering::Relaxed);
            watchers.iter().for_each(|index| self.ask_store(*index));
            let mut underway: VecDeque<(usize, Outgoing)> = VecDeque::new();
            for index in 0..self.processes.len() {
                underway.extend(self.act(index).into_iter().map(|datagram| (index, datagram)));
            }
            while let Some((from, Outgoing { to, datagram })) = underway.pop_front() {
                let to = (0..self.processes.len()).find(|index| address(*index) == to);
                let Some(to) = to.filter(|to| !self.cut.contains(to) && !self.cut.contains(&from))
                else {
                    continue;
                };
                underway
                    .extend(self.hear(to, from, datagram).into_iter().map(|answer| (to, answer)));
            }
        }
    }

    /// The store answers a watcher once a watch has ended, or something changed.
    fn ask_store(&mut self, index: usize) {
        let Some(process) = &mut self.processes[index] else { return };
        if self.refused.contains(&index) || self.cut.contains(&index) {
            return;
        }
        for (number, kind) in KINDS.into_iter().enumerate() {
            let known = process.shared.platform_state.borrow().digest();
            let (asked, ends) = process.watches[number];
            let behind =
                kind == ObjectKind::Evacuations && known.evacuations.revision < self.revision;
            if !behind && self.now < ends {
                continue;
            }
            let wait = ends.saturating_sub(asked.0);
            match kind {
                ObjectKind::Configuration => {
                    let configuration = Configuration { version: 1, ..Configuration::default() };
                    let change =
                        Change { name: "main".into(), revision: 1, value: Some(configuration) };
                    Sink::<Configuration>::apply(&process.shared, vec![change], 1);
                    Sink::<Configuration>::answered(&process.shared, asked, wait);
                }
                ObjectKind::Backends => {
                    let listing = Listing { items: Vec::new(), revision: self.revision };
                    Sink::<Backend>::replace(&process.shared, listing);
                    Sink::<Backend>::answered(&process.shared, asked, wait);
                }
                ObjectKind::Evacuations => {
                    let item = |zone: &String| Change {
                        name: zone.clone(),
                        revision: self.revision,
                        value: Some(Evacuation { zone: zone.clone() }),
                    };
                    let items = self.evacuated.iter().map(item).collect();
                    let listing = Listing { items, revision: self.revision };
                    Sink::<Evacuation>::replace(&process.shared, listing);
                    Sink::<Evacuation>::answered(
                        &process.shared,
                        asked,
                        if behind { 0 } else { wait },
                    );
                }
            }
            let wait = self.generator.random_range(WAIT_MS);
            process.watches[number] = (Timestamp(self.now), self.now + wait);
        }
    }

    /// What `fleet` does each time that it runs.
    fn act(&mut self, index: usize) -> Vec<Outgoing> {
        let Some(process) = &mut self.processes[index] else { return Vec::new() };
        let (own, ages) = {
            let platform_state = process.shared.platform_state.borrow();
            (platform_state.digest(), platform_state.ages())
        };
        process.members.set_configuration_version(own.version);
        process.members.set_evacuations(own.evacuations);
        process.members.set_state_ages(ages);
        let mut outgoing = Vec::new();
        if own.differs_from(process.told) {
            process.told = own;
            outgoing.extend(process.members.gossip_to_some(3, 1));
        } else if process.shared.platform_state.borrow_mut().take_confirmation() {
            let (near, far) = CONFIRMATION_FANOUT;
            outgoing.extend(process.members.gossip_to_some(near, far));
        }
        outgoing.extend(process.members.tick(Timestamp(self.now)));
        outgoing
    }

    fn hear(&mut self, to: usize, from: usize, datagram: Datagram) -> Vec<Outgoing> {
        let Some(told) = self.processes[from].as_ref() else { return Vec::new() };
        let told = told.shared.platform_state.clone();
        let Some(process) = &mut self.processes[to] else { return Vec::new() };
        let peer = told.borrow().digest();
        process.shared.platform_state.borrow_mut().confirm_evacuations(peer);
        let own = process.shared.platform_state.borrow().digest();
        if own.version < peer.version || own.lacks_evacuations(peer) || own.lacks_backends(peer) {
            let answer = told.borrow().answer(&StateRequest { known: own, whole: false });
            process.shared.apply_response(answer);
        }
        let now = Timestamp(self.now);
        let way_ms = StallDetector::default().delay_ms().expect("nobody is held up");
        let delay_ms = process.members.probe_age_ms(now, &datagram).unwrap_or(way_ms);
        process.shared.platform_state.borrow_mut().receive_ages(peer, datagram.ages, delay_ms);
        let mut outgoing = process.members.receive(now, datagram, &address(from));
        outgoing.extend(self.act_on_news(to));
        outgoing
    }

    /// Whoever has learnt something tells others at once.
    fn act_on_news(&mut self, index: usize) -> Vec<Outgoing> {
        let Some(process) = &mut self.processes[index] else { return Vec::new() };
        let own = process.shared.platform_state.borrow().digest();
        if !own.differs_from(process.told) {
            return Vec::new();
        }
        process.told = own;
        process.members.set_configuration_version(own.version);
        process.members.set_evacuations(own.evacuations);
        process.members.gossip_to_some(3, 1)
    }

    fn evacuate(&mut self, zone: &str) {
        self.revision += 1;
        self.evacuated.insert(zone.to_owned());
    }

    fn take_back(&mut self, zone: &str) {
        self.revision += 1;
        self.evacuated.remove(zone);
    }

    fn obeys(&self, index: usize) -> bool {
        let process = self.processes[index].as_ref().expect("it runs");
        let platform_state = process.shared.platform_state.borrow();
        let believed: BTreeSet<String> =
            platform_state.evacuations().values().map(|held| held.zone.clone()).collect();
        !platform_state.evacuations_unknown() && believed == self.evacuated
    }

    /// All that run obey.
    fn assert_all_obey(&self, what: &str) {
        let running = (0..self.processes.len()).filter(|index| self.processes[*index].is_some());
        let others: Vec<usize> = running.filter(|index| !self.obeys(*index)).collect();
        assert!(others.is_empty(), "{what}: {others:?} do not");
    }
}

#[tokio::test(start_paused = true)]
async fn everybody_obeys_in_time_whomever_the_store_turns_away() {
    for count in [30, 90, 250] {
        let mut fleet = Fleet::new(count);
        // A third of the members, and with them some watchers.
        fleet.refused = (0..count).filter(|index| (index / ZONES) % 3 == 0).collect();
        fleet.evacuate("hall-1");
        fleet.run(BOUND_MS);
        fleet.assert_all_obey("a third is refused");
        // Every member of a zone, and so all who may watch for it.
        fleet.refused = (0..count).filter(|index| zone(*index) == "hall-0").collect();
        assert!(fleet.refused.len() > WATCHERS + STANDBYS);
        fleet.take_back("hall-1");
        fleet.evacuate("hall-2");
        fleet.run(BOUND_MS);
        fleet.assert_all_obey("a whole zone is refused");
    }
}

#[tokio::test(start_paused = true)]
async fn who_was_cut_off_obeys_again_soon_after_and_takes_nothing_back() {
    let mut fleet = Fleet::new(60);
    let lonely = 20;
    fleet.cut.insert(lonely);
    fleet.evacuate("hall-1");
    fleet.run(15_000);
    assert!(!fleet.obeys(lonely), "nobody could tell it");
    assert!(fleet.processes[lonely]
        .as_ref()
        .is_some_and(|cut| { cut.freshness.age_ms().is_some_and(|age_ms| age_ms >= 12_000) }));
    fleet.cut.clear();
    for _ in 0..BOUND_MS / STEP_MS {
        fleet.run(STEP_MS);
        let others = (0..59).filter(|index| *index != lonely);
        assert!(others.into_iter().all(|index| fleet.obeys(index)), "somebody believed the old");
    }
    fleet.assert_all_obey("all are back");
}

#[tokio::test(start_paused = true)]
async fn who_starts_meanwhile_and_is_turned_away_obeys_or_serves_nobody() {
    let mut fleet = Fleet::new(60);
    fleet.evacuate("hall-0");
    fleet.run(BOUND_MS);
    let new = 59;
    fleet.refused.insert(new);
    fleet.start(new);
    for _ in 0..BOUND_MS / STEP_MS {
        fleet.run(STEP_MS);
        let process = fleet.processes[new].as_ref().expect("it runs");
        let awaits = process.shared.platform_state.borrow().evacuations_unknown();
        assert!(awaits || fleet.obeys(new), "it serves without knowing");
    }
    assert!(fleet.obeys(new));
}

/// Decisions rest on the age of what is known: it stays at some 3 s while nothing changes, everywhere, though only two
/// members of each zone ask the store, each every few seconds.
#[tokio::test(start_paused = true)]
async fn while_nothing_changes_everybody_knows_that_what_it_knows_is_fresh() {
    for count in [30, 90, 180] {
        let mut fleet = Fleet::new(count);
        let (mut ages, mut oldest) = (Vec::new(), 0);
        for _ in 0..200 {
            fleet.run(STEP_MS);
            for process in fleet.processes.iter().flatten() {
                let age_ms = process.freshness.age_ms().expect("an age");
                ages.push(age_ms);
                oldest = oldest.max(age_ms);
            }
        }
        ages.sort_unstable();
        let (median, most) = (ages[ages.len() / 2], ages[ages.len() * 99 / 100]);
        eprintln!("{count}: median {median} ms, 99 of 100 within {most} ms, oldest {oldest} ms");
        assert!(most <= 3_700 && oldest <= 5_000, "{count}: {most} {oldest}");
    }
}
