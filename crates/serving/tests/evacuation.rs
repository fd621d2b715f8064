//! Evacuations and the age of the platform state in whole fleets, in virtual time, with real
//! membership and knowledge, a simulated store that rejects some watchers, and dropped datagrams.
//!
//! Guards against evacuations that do not reach a process which the store rejects, which started
//! meanwhile, or which was partitioned. The clock advances only with the steps of the tests.

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
use yokefall_serving::watch_role::{Ranking, STANDBYS_PER_ZONE, WATCHERS_PER_ZONE};
use yokefall_serving::{
    empty_catalog, Backend, Change, Configuration, Evacuation, FleetMember, Freshness, Listing,
};

const STEP_MS: u64 = 100;
const ZONES: usize = 3;
const SEEDS: usize = 3;
/// Time in which members of a fleet find each other.
const SETTLED_MS: u64 = 10_000;
/// Guaranteed time to follow an evacuation, less the time that the store takes to answer.
const BOUND_MS: u64 = 4_500;
/// Durations of watches, as `watch` chooses them.
const WAIT_MS: std::ops::Range<u64> = 1_500..6_000;
const KINDS: [ObjectKind; 3] =
    [ObjectKind::Configuration, ObjectKind::Backends, ObjectKind::Evacuations];

struct Process {
    members: Membership,
    shared: SharedPlatformState<LoggingObserver>,
    freshness: Freshness,
    announced: StateDigest,
    /// When the watch of each kind began, and when it ends.
    watches: [(Timestamp, u64); 3],
}

struct Fleet {
    now: u64,
    clock: Arc<AtomicU64>,
    processes: Vec<Option<Process>>,
    rejected: BTreeSet<usize>,
    /// Members that neither send nor receive datagrams and that the store does not answer.
    partitioned_members: BTreeSet<usize>,
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
    /// A fleet of which every member but the last runs.
    fn new(count: usize) -> Self {
        let mut fleet = Self {
            now: 0,
            clock: Arc::default(),
            processes: Vec::new(),
            rejected: BTreeSet::new(),
            partitioned_members: BTreeSet::new(),
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
        let options = StateOptions { evacuations: true, ages: true, freshness: freshness.clone() };
        let platform_state =
            PlatformState::with_options(empty_catalog(), Default::default(), options);
        let shared = SharedPlatformState {
            platform_state: Rc::new(RefCell::new(platform_state)),
            observer: Rc::new(LoggingObserver::new(|| {})),
        };
        self.processes[index] = Some(Process {
            members: Membership::new(record, seeds, index as u64 + 1),
            shared,
            freshness,
            announced: StateDigest::default(),
            watches: [(Timestamp(0), 0); 3],
        });
    }

    /// Members that watch the store: the first of each zone.
    fn watchers(&self) -> Vec<usize> {
        let members: Vec<FleetMember> = (0..self.processes.len()).map(member).collect();
        let rank = |member: &FleetMember| Ranking::new(&members, &member.zone, &member.name).rank;
        (0..members.len()).filter(|index| rank(&members[*index]) < WATCHERS_PER_ZONE).collect()
    }

    fn run(&mut self, ms: u64) {
        let watchers = self.watchers();
        for _ in 0..ms / STEP_MS {
            self.now += STEP_MS;
            self.clock.fetch_add(STEP_MS, Ordering::Relaxed);
            watchers.iter().for_each(|index| self.poll_store(*index));
            let mut in_transit: VecDeque<(usize, Outgoing)> = VecDeque::new();
            for index in 0..self.processes.len() {
                in_transit.extend(self.act(index).into_iter().map(|datagram| (index, datagram)));
            }
            while let Some((from, Outgoing { to, datagram })) = in_transit.pop_front() {
                let to = (0..self.processes.len()).find(|index| address(*index) == to);
                let Some(to) = to.filter(|to| {
                    !self.partitioned_members.contains(to)
                        && !self.partitioned_members.contains(&from)
                }) else {
                    continue;
                };
                in_transit.extend(
                    self.receive_datagram(to, from, datagram)
                        .into_iter()
                        .map(|answer| (to, answer)),
                );
            }
        }
    }

    /// The store answers a watcher when a watch ends or something changed.
    fn poll_store(&mut self, index: usize) {
        let Some(process) = &mut self.processes[index] else { return };
        if self.rejected.contains(&index) || self.partitioned_members.contains(&index) {
            return;
        }
        for (number, kind) in KINDS.into_iter().enumerate() {
            let known = process.shared.platform_state.borrow().digest();
            let (began, ends) = process.watches[number];
            let behind =
                kind == ObjectKind::Evacuations && known.evacuations.revision < self.revision;
            if !behind && self.now < ends {
                continue;
            }
            let wait = ends.saturating_sub(began.0);
            match kind {
                ObjectKind::Configuration => {
                    let configuration = Configuration { version: 1, ..Configuration::default() };
                    let change =
                        Change { name: "main".into(), revision: 1, value: Some(configuration) };
                    Sink::<Configuration>::apply(&process.shared, vec![change], 1);
                    Sink::<Configuration>::answered(&process.shared, began, wait);
                }
                ObjectKind::Backends => {
                    let listing = Listing { items: Vec::new(), revision: self.revision };
                    Sink::<Backend>::replace(&process.shared, listing);
                    Sink::<Backend>::answered(&process.shared, began, wait);
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
                        began,
                        if behind { 0 } else { wait },
                    );
                }
            }
            let wait = self.generator.random_range(WAIT_MS);
            process.watches[number] = (Timestamp(self.now), self.now + wait);
        }
    }

    /// What the `fleet` module does each time that it runs.
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
        if own.differs_from(process.announced) {
            process.announced = own;
            outgoing.extend(process.members.gossip_to_sample(3, 1));
        } else if process.shared.platform_state.borrow_mut().take_confirmation() {
            let (near, far) = CONFIRMATION_FANOUT;
            outgoing.extend(process.members.gossip_to_sample(near, far));
        }
        outgoing.extend(process.members.tick(Timestamp(self.now)));
        outgoing
    }

    fn receive_datagram(&mut self, to: usize, from: usize, datagram: Datagram) -> Vec<Outgoing> {
        let Some(sender) = self.processes[from].as_ref() else { return Vec::new() };
        let sender = sender.shared.platform_state.clone();
        let Some(process) = &mut self.processes[to] else { return Vec::new() };
        let peer = sender.borrow().digest();
        process.shared.platform_state.borrow_mut().confirm_evacuations(peer);
        let own = process.shared.platform_state.borrow().digest();
        if own.version < peer.version || own.lacks_evacuations(peer) || own.lacks_backends(peer) {
            let answer = sender.borrow().answer(&StateRequest { known: own, whole: false });
            process.shared.apply_response(answer);
        }
        let now = Timestamp(self.now);
        let transit_ms =
            StallDetector::default().delay_ms().expect("a transit time without a stall");
        let delay_ms = process.members.probe_age_ms(now, &datagram).unwrap_or(transit_ms);
        process.shared.platform_state.borrow_mut().receive_ages(peer, datagram.ages, delay_ms);
        let mut outgoing = process.members.receive(now, datagram, &address(from));
        outgoing.extend(self.announce_changes(to));
        outgoing
    }

    /// A process that has learnt something informs others at once.
    fn announce_changes(&mut self, index: usize) -> Vec<Outgoing> {
        let Some(process) = &mut self.processes[index] else { return Vec::new() };
        let own = process.shared.platform_state.borrow().digest();
        if !own.differs_from(process.announced) {
            return Vec::new();
        }
        process.announced = own;
        process.members.set_configuration_version(own.version);
        process.members.set_evacuations(own.evacuations);
        process.members.gossip_to_sample(3, 1)
    }

    fn evacuate(&mut self, zone: &str) {
        self.revision += 1;
        self.evacuated.insert(zone.to_owned());
    }

    fn end_evacuation(&mut self, zone: &str) {
        self.revision += 1;
        self.evacuated.remove(zone);
    }

    fn follows_evacuations(&self, index: usize) -> bool {
        let process = self.processes[index].as_ref().expect("a running process");
        let platform_state = process.shared.platform_state.borrow();
        let known: BTreeSet<String> = platform_state
            .evacuations()
            .values()
            .map(|evacuation| evacuation.zone.clone())
            .collect();
        !platform_state.evacuations_unknown() && known == self.evacuated
    }

    fn assert_all_follow(&self, what: &str) {
        let running = (0..self.processes.len()).filter(|index| self.processes[*index].is_some());
        let lagging: Vec<usize> =
            running.filter(|index| !self.follows_evacuations(*index)).collect();
        assert!(lagging.is_empty(), "{what}: {lagging:?} do not follow");
    }
}

#[tokio::test(start_paused = true)]
async fn all_processes_follow_evacuations_in_time_whichever_the_store_rejects() {
    for count in [30, 90, 250] {
        let mut fleet = Fleet::new(count);
        // A third of the members, some watchers among them.
        fleet.rejected = (0..count).filter(|index| (index / ZONES) % 3 == 0).collect();
        fleet.evacuate("hall-1");
        fleet.run(BOUND_MS);
        fleet.assert_all_follow("a third is rejected");
        // Every member of a zone, and so all of its possible watchers.
        fleet.rejected = (0..count).filter(|index| zone(*index) == "hall-0").collect();
        assert!(fleet.rejected.len() > WATCHERS_PER_ZONE + STANDBYS_PER_ZONE);
        fleet.end_evacuation("hall-1");
        fleet.evacuate("hall-2");
        fleet.run(BOUND_MS);
        fleet.assert_all_follow("a whole zone is rejected");
    }
}

#[tokio::test(start_paused = true)]
async fn a_partitioned_process_catches_up_and_reverts_nothing_elsewhere() {
    let mut fleet = Fleet::new(60);
    let partitioned = 20;
    fleet.partitioned_members.insert(partitioned);
    fleet.evacuate("hall-1");
    fleet.run(15_000);
    assert!(!fleet.follows_evacuations(partitioned), "a partitioned process cannot know");
    assert!(fleet.processes[partitioned].as_ref().is_some_and(|process| {
        process.freshness.age_ms().is_some_and(|age_ms| age_ms >= 12_000)
    }));
    fleet.partitioned_members.clear();
    for _ in 0..BOUND_MS / STEP_MS {
        fleet.run(STEP_MS);
        let others = (0..59).filter(|index| *index != partitioned);
        assert!(
            others.into_iter().all(|index| fleet.follows_evacuations(index)),
            "a process reverted to old state"
        );
    }
    fleet.assert_all_follow("all are connected");
}

#[tokio::test(start_paused = true)]
async fn a_starting_process_that_the_store_rejects_follows_evacuations_or_does_not_serve() {
    let mut fleet = Fleet::new(60);
    fleet.evacuate("hall-0");
    fleet.run(BOUND_MS);
    let new = 59;
    fleet.rejected.insert(new);
    fleet.start(new);
    for _ in 0..BOUND_MS / STEP_MS {
        fleet.run(STEP_MS);
        let process = fleet.processes[new].as_ref().expect("a running process");
        let is_waiting = process.shared.platform_state.borrow().evacuations_unknown();
        assert!(
            is_waiting || fleet.follows_evacuations(new),
            "the new process serves without knowing the evacuations"
        );
    }
    assert!(fleet.follows_evacuations(new));
}

/// Decisions rest on the age of the platform state. It must stay at about 3 s everywhere while
/// nothing changes, although only two members of each zone query the store, each every few seconds.
#[tokio::test(start_paused = true)]
async fn the_platform_state_stays_fresh_everywhere_while_nothing_changes() {
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
