//! What processes learn of configuration and back ends from each other.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;

use quickcheck::{quickcheck, Arbitrary, Gen};
use yokefall_clock::SuspensionSource;
use yokefall_core::Timestamp;
use yokefall_serving::observer::LoggingObserver;
use yokefall_serving::peer_sync::{exchange_rest, PeerSync, StateDigest};
use yokefall_serving::platform_state::PART_BACKENDS;
use yokefall_serving::state_exchange::{fetch, serve, AnswerBytes, StateRequest, StateResponse};
use yokefall_serving::watch::{PlatformState, SharedPlatformState, Sink, StateOptions};
use yokefall_serving::watch_role::{Ranking, WatcherElection};
use yokefall_serving::{
    empty_catalog, Backend, BackendState, Change, Configuration, Evacuation, Freshness, Listing,
};

type Process = SharedPlatformState<LoggingObserver>;

fn process() -> Process {
    process_on(SuspensionSource::Machine).0
}

/// A process that follows evacuations, and what it knows of the age of its news.
fn process_on(suspension: SuspensionSource) -> (Process, Freshness) {
    let freshness = Freshness::new(suspension);
    let following = StateOptions { evacuations: true, ages: true, freshness: freshness.clone() };
    let platform_state =
        PlatformState::with_options(empty_catalog(), Default::default(), following);
    let process = SharedPlatformState {
        platform_state: Rc::new(RefCell::new(platform_state)),
        observer: Rc::new(LoggingObserver::new(|| {})),
    };
    (process, freshness)
}

fn evacuation(id: u8, revision: u64, gone: bool) -> Change<Evacuation> {
    let zone = format!("hall-{id}");
    Change { value: (!gone).then(|| Evacuation { zone: zone.clone() }), name: zone, revision }
}

fn list_evacuations(process: &Process, revision: u64, changes: Vec<Change<Evacuation>>) {
    Sink::<Evacuation>::replace(process, Listing { items: changes, revision });
}

fn apply_evacuations(process: &Process, changes: Vec<Change<Evacuation>>, revision: u64) {
    Sink::<Evacuation>::apply(process, changes, revision);
}

/// Zones that are known to be evacuated, in order; `None` where none was heard of.
fn evacuated(process: &Process) -> Option<Vec<String>> {
    let platform_state = process.platform_state.borrow();
    let zones = platform_state.evacuations().values().map(|evacuation| evacuation.zone.clone());
    let mut zones: Vec<String> = zones.collect();
    zones.sort_unstable();
    (!platform_state.evacuations_unknown()).then_some(zones)
}

fn backend(id: &str, state: BackendState) -> Backend {
    Backend {
        id: id.into(),
        started_ms: 0,
        service: "models".into(),
        address: "127.0.0.1:9".parse().expect("an address"),
        zone: "hall-1".into(),
        slots: 8,
        state,
        cold_remaining_ms: 0,
    }
}

fn change(id: u8, revision: u64, state: Option<BackendState>) -> Change<Backend> {
    let name = format!("i-{id}");
    Change { value: state.map(|state| backend(&name, state)), name, revision }
}

fn list(process: &Process, revision: u64, changes: Vec<Change<Backend>>) {
    Sink::<Backend>::replace(process, Listing { items: changes, revision });
}

fn apply(process: &Process, changes: Vec<Change<Backend>>, revision: u64) {
    Sink::<Backend>::apply(process, changes, revision);
}

fn configure(process: &Process, version: u64) {
    let configuration = Configuration { version, ..Configuration::default() };
    process.platform_state.borrow_mut().take_configuration(configuration);
}

/// One exchange, as the tasks make it. Returns how many back ends were sent.
fn exchange(to: &Process, from: &Process) -> usize {
    let mut sent = 0;
    let mut whole = false;
    // Each datagram tells what its sender knows.
    to.platform_state.borrow_mut().confirm_evacuations(from.platform_state.borrow().digest());
    for _ in 0..2 {
        let request = StateRequest { known: to.platform_state.borrow().digest(), whole };
        let answer = from.platform_state.borrow().answer(&request);
        sent += answer.backends.changed.len();
        whole = to.apply_response(answer);
        if !whole {
            break;
        }
    }
    sent
}

/// Back ends with their states, in order.
fn held(process: &Process) -> Vec<(String, BackendState)> {
    let platform_state = process.platform_state.borrow();
    let mut all: Vec<_> =
        platform_state.backends().values().map(|held| (held.id.clone(), held.state)).collect();
    all.sort_by(|left, right| left.0.cmp(&right.0));
    all
}

#[test]
fn a_process_that_starts_learns_all_from_one_peer() {
    let (watcher, new) = (process(), process());
    configure(&watcher, 7);
    list(&watcher, 10, (0..100).map(|id| change(id, 5, Some(BackendState::Ready))).collect());
    exchange(&new, &watcher);
    assert_eq!(held(&new), held(&watcher));
    assert_eq!(new.platform_state.borrow().digest(), watcher.platform_state.borrow().digest());
}

#[test]
fn one_change_costs_one_back_end_and_not_all() {
    let (watcher, other) = (process(), process());
    list(&watcher, 10, (0..100).map(|id| change(id, 5, Some(BackendState::Ready))).collect());
    exchange(&other, &watcher);
    apply(&watcher, vec![change(3, 11, Some(BackendState::Draining)), change(4, 5, None)], 12);
    assert_eq!(exchange(&other, &watcher), 1);
    assert_eq!(held(&other), held(&watcher));
    assert!(!other.platform_state.borrow().backends().values().any(|held| held.id == "i-4"));
}

#[test]
fn an_older_peer_takes_nothing_back() {
    let (old, new) = (process(), process());
    configure(&old, 1);
    list(&old, 10, vec![change(1, 5, Some(BackendState::Ready))]);
    exchange(&new, &old);
    configure(&new, 2);
    apply(&new, vec![change(1, 11, Some(BackendState::Draining))], 11);
    exchange(&new, &old);
    assert_eq!(held(&new), [("i-1".to_owned(), BackendState::Draining)]);
    assert_eq!(new.platform_state.borrow().digest().version, 2);
}

/// Steps of two watchers and a process that hears now of one and now of the other.
#[derive(Clone, Debug)]
enum Step {
    Change { id: u8, ready: bool },
    Remove { id: u8 },
    WatchFirst,
    ListSecond,
    HearFirst,
    HearSecond,
}

impl Arbitrary for Step {
    fn arbitrary(generator: &mut Gen) -> Self {
        let id = u8::arbitrary(generator) % 12;
        match u8::arbitrary(generator) % 8 {
            0 | 1 => Step::Change { id, ready: bool::arbitrary(generator) },
            2 => Step::Remove { id },
            3 => Step::WatchFirst,
            4 => Step::ListSecond,
            5 | 6 => Step::HearFirst,
            _ => Step::HearSecond,
        }
    }
}

quickcheck! {
    /// Whoever hears of the newest revision holds what the store held then.
    fn whoever_is_current_holds_what_the_store_holds(steps: Vec<Step>) -> bool {
        let mut store: std::collections::BTreeMap<u8, (u64, BackendState)> = Default::default();
        let mut events: Vec<Change<Backend>> = Vec::new();
        let mut revision = 1;
        let (first, second, other) = (process(), process(), process());
        list(&first, revision, Vec::new());
        let listing = |store: &std::collections::BTreeMap<u8, (u64, BackendState)>| {
            store.iter().map(|(id, (at, state))| change(*id, *at, Some(*state))).collect()
        };
        for step in steps {
            match step {
                Step::Change { id, ready } => {
                    revision += 1;
                    let state = if ready { BackendState::Ready } else { BackendState::Draining };
                    store.insert(id, (revision, state));
                    events.push(change(id, revision, Some(state)));
                }
                Step::Remove { id } => {
                    if let Some((at, _)) = store.remove(&id) {
                        revision += 1;
                        events.push(change(id, at, None));
                    }
                }
                Step::WatchFirst => apply(&first, std::mem::take(&mut events), revision),
                Step::ListSecond => list(&second, revision, listing(&store)),
                Step::HearFirst => { exchange(&other, &first); }
                Step::HearSecond => { exchange(&other, &second); }
            }
        }
        apply(&first, events, revision);
        list(&second, revision, listing(&store));
        exchange(&other, &first);
        let expected: Vec<(String, BackendState)> = {
            let mut all: Vec<_> =
                store.iter().map(|(id, (_, state))| (format!("i-{id}"), *state)).collect();
            all.sort_by(|left, right| left.0.cmp(&right.0));
            all
        };
        held(&other) == expected && held(&first) == expected
    }
}

/// Steps of the store's evacuations, of two watchers, and of two others that hear now of one and now of another.
#[derive(Clone, Debug)]
enum EvacuationStep {
    Set { zone: u8 },
    TakeBack { zone: u8 },
    WatchFirst,
    ListSecond,
    ListSecondLate,
    Exchange { to: usize, from: usize },
}

impl Arbitrary for EvacuationStep {
    fn arbitrary(generator: &mut Gen) -> Self {
        let zone = u8::arbitrary(generator) % 3;
        match u8::arbitrary(generator) % 9 {
            0 | 1 => EvacuationStep::Set { zone },
            2 | 3 => EvacuationStep::TakeBack { zone },
            4 => EvacuationStep::WatchFirst,
            5 => EvacuationStep::ListSecond,
            6 => EvacuationStep::ListSecondLate,
            _ => EvacuationStep::Exchange {
                to: usize::arbitrary(generator) % 4,
                from: usize::arbitrary(generator) % 4,
            },
        }
    }
}

/// The evacuations of the store, with what it held at each revision.
#[derive(Default)]
struct EvacuationStore {
    revision: u64,
    held: std::collections::BTreeMap<u8, u64>,
    events: Vec<Change<Evacuation>>,
    history: std::collections::BTreeMap<u64, Vec<String>>,
    /// A list that was answered and is still under way.
    underway: Option<(u64, Vec<Change<Evacuation>>)>,
}

impl EvacuationStore {
    fn step(&mut self) -> u64 {
        self.revision += 1;
        self.revision
    }

    fn listing(&self) -> (u64, Vec<Change<Evacuation>>) {
        let all = self.held.iter().map(|(zone, at)| evacuation(*zone, *at, false));
        (self.revision, all.collect())
    }

    fn note(&mut self) {
        let zones = self.held.keys().map(|zone| format!("hall-{zone}")).collect();
        self.history.insert(self.revision, zones);
    }
}

quickcheck! {
    /// Whatever a process believes of evacuated zones is what the store held at the revision that it names, and
    /// that revision never falls. So nobody takes back what was true before for what is true now.
    fn what_is_believed_of_evacuations_is_what_the_store_held(steps: Vec<EvacuationStep>) -> bool {
        let mut store = EvacuationStore::default();
        store.step();
        store.note();
        let processes: Vec<Process> = (0..4).map(|_| process()).collect();
        list_evacuations(&processes[0], store.revision, Vec::new());
        let mut revisions = [0; 4];
        let last = [
            EvacuationStep::WatchFirst,
            EvacuationStep::Exchange { to: 1, from: 0 },
            EvacuationStep::Exchange { to: 2, from: 1 },
            EvacuationStep::Exchange { to: 3, from: 2 },
        ];
        for step in steps.into_iter().chain(last) {
            match step {
                EvacuationStep::Set { zone } => {
                    let at = store.step();
                    store.held.insert(zone, at);
                    store.events.push(evacuation(zone, at, false));
                }
                EvacuationStep::TakeBack { zone } => {
                    if let Some(at) = store.held.remove(&zone) {
                        store.step();
                        store.events.push(evacuation(zone, at, true));
                    }
                }
                EvacuationStep::WatchFirst => {
                    let events = std::mem::take(&mut store.events);
                    apply_evacuations(&processes[0], events, store.revision);
                }
                EvacuationStep::ListSecond => {
                    let (revision, all) = store.listing();
                    list_evacuations(&processes[1], revision, all);
                }
                EvacuationStep::ListSecondLate => {
                    let next = store.listing();
                    if let Some((revision, all)) = store.underway.replace(next) {
                        list_evacuations(&processes[1], revision, all);
                    }
                }
                EvacuationStep::Exchange { to, from } if to != from => {
                    exchange(&processes[to], &processes[from]);
                }
                EvacuationStep::Exchange { .. } => {}
            }
            store.note();
            for (index, process) in processes.iter().enumerate() {
                let revision = process.platform_state.borrow().digest().evacuations.revision;
                let believed = evacuated(process);
                let held = store.history.get(&revision).cloned();
                if revision < revisions[index] || (revision > 0 && believed != held) {
                    return false;
                }
                revisions[index] = revision;
            }
        }
        processes.iter().all(|process| evacuated(process) == store.history.get(&store.revision).cloned())
    }
}

/// What happens: a process was cut off while a zone was evacuated, and is back with what it knew before.
#[test]
fn a_peer_that_was_cut_off_learns_and_takes_nothing_back() {
    let (watcher, other, cut) = (process(), process(), process());
    list_evacuations(&watcher, 5, Vec::new());
    exchange(&other, &watcher);
    exchange(&cut, &watcher);
    apply_evacuations(&watcher, vec![evacuation(1, 8, false)], 8);
    exchange(&other, &watcher);
    exchange(&other, &cut);
    assert_eq!(evacuated(&other), Some(vec!["hall-1".to_owned()]));
    exchange(&cut, &other);
    assert_eq!(evacuated(&cut), Some(vec!["hall-1".to_owned()]));
}

/// Nobody is told that no zone is evacuated by a peer that has not heard of any either.
#[test]
fn that_no_zone_is_evacuated_is_news_for_who_has_heard_nothing() {
    let (watcher, new, newer) = (process(), process(), process());
    exchange(&newer, &new);
    assert_eq!(evacuated(&newer), None);
    list_evacuations(&watcher, 5, Vec::new());
    exchange(&newer, &watcher);
    assert_eq!(evacuated(&newer), Some(Vec::new()));
}

/// Each kind of object is as old as whoever knows it best tells, and the whole as old as its oldest kind.
#[test]
fn the_age_of_news_is_that_of_the_oldest_kind_and_of_what_is_known_here() {
    let passed = Arc::new(AtomicU64::new(0));
    let pass = |ms: u64| passed.fetch_add(ms, Ordering::Relaxed);
    let of = || process_on(SuspensionSource::Simulated(passed.clone()));
    let ((watcher, _), (other, freshness)) = (of(), of());
    let ages = |process: &Process| process.platform_state.borrow().ages();
    let hear = || {
        let known = watcher.platform_state.borrow().digest();
        other.platform_state.borrow_mut().receive_ages(known, ages(&watcher), 100);
    };
    // Both have run for a while: nothing is older than they are.
    pass(10_000);
    configure(&watcher, 1);
    list(&watcher, 5, vec![change(1, 5, Some(BackendState::Ready))]);
    list_evacuations(&watcher, 5, Vec::new());
    // Asked now, answered 4 s later: the first told a change, the second that nothing changed for 3 s, the third
    // came early.
    let asked = Sink::<Backend>::now(&watcher);
    pass(4_000);
    Sink::<Configuration>::answered(&watcher, asked, 3_000);
    Sink::<Backend>::answered(&watcher, asked, 0);
    Sink::<Evacuation>::answered(&watcher, asked, 9_000);
    let told = ages(&watcher);
    assert_eq!(told.configuration_ms.map(|ms| ms / 500), Some(2));
    assert_eq!(told.backends_ms.map(|ms| ms / 500), Some(8));
    assert_eq!(told.evacuations_ms.map(|ms| ms / 500), Some(8));
    // What this process has not learnt itself is not made new by who knows it.
    hear();
    assert_eq!(freshness.age_ms(), None);
    exchange(&other, &watcher);
    hear();
    let age_ms = freshness.age_ms().expect("an age");
    assert!((4_100..4_600).contains(&age_ms), "{age_ms}");
    // One kind alone is no proof of the others.
    pass(2_000);
    Sink::<Backend>::answered(&other, Sink::<Backend>::now(&other), 0);
    assert!(freshness.age_ms().is_some_and(|age_ms| age_ms >= 6_000));
    Sink::<Evacuation>::answered(&other, Sink::<Evacuation>::now(&other), 0);
    assert!(freshness.age_ms().is_some_and(|age_ms| (3_000..4_000).contains(&age_ms)));
}

/// Steps of a back end that starts again under its id, whose old beats reach the store late, and of processes that
/// watch, list, and tell each other.
#[derive(Clone, Debug)]
enum LifeStep {
    Beat { incarnation: u64, ready: bool },
    Watch { process: usize },
    List { process: usize },
    Exchange { to: usize, from: usize },
}

impl Arbitrary for LifeStep {
    fn arbitrary(generator: &mut Gen) -> Self {
        let process = usize::arbitrary(generator) % 3;
        match u8::arbitrary(generator) % 4 {
            0 => LifeStep::Beat {
                incarnation: u64::arbitrary(generator) % 4 + 1,
                ready: bool::arbitrary(generator),
            },
            1 => LifeStep::Watch { process },
            2 => LifeStep::List { process },
            _ => LifeStep::Exchange { to: process, from: usize::arbitrary(generator) % 3 },
        }
    }
}

quickcheck! {
    /// Whatever order news of a back end's lives arrive in, and with whatever revisions, no process goes back from a
    /// later life to one before, and no neighbour is lost.
    fn nobody_goes_back_to_an_older_life(steps: Vec<LifeStep>) -> bool {
        let mut events: Vec<Change<Backend>> = Vec::new();
        let beat = |incarnation: u64, revision: u64, state: BackendState| {
            let mut change = change(1, revision, Some(state));
            if let Some(backend) = &mut change.value {
                backend.started_ms = incarnation;
            }
            change
        };
        let neighbour = || change(2, 1, Some(BackendState::Ready));
        let mut entry = beat(1, 1, BackendState::Ready);
        let processes: Vec<Process> = (0..3).map(|_| process()).collect();
        let mut watched = [0; 3];
        let mut lives = [0; 3];
        list(&processes[0], 1, vec![entry.clone(), neighbour()]);
        for step in steps {
            match step {
                LifeStep::Beat { incarnation, ready } => {
                    let state = if ready { BackendState::Ready } else { BackendState::Draining };
                    entry = beat(incarnation, events.len() as u64 + 2, state);
                    events.push(entry.clone());
                }
                LifeStep::Watch { process } if processes[process].platform_state.borrow().backends().revision() > 0 => {
                    let new = events[watched[process]..].to_vec();
                    watched[process] = events.len();
                    apply(&processes[process], new, events.len() as u64 + 1);
                }
                LifeStep::Watch { .. } => {}
                LifeStep::List { process } => {
                    watched[process] = events.len();
                    list(&processes[process], events.len() as u64 + 1, vec![entry.clone(), neighbour()]);
                }
                LifeStep::Exchange { to, from } if to != from => {
                    exchange(&processes[to], &processes[from]);
                }
                LifeStep::Exchange { .. } => {}
            }
            for (index, process) in processes.iter().enumerate() {
                let platform_state = process.platform_state.borrow();
                let held: Vec<_> = platform_state.backends().values().collect();
                let incarnation = held.iter().find(|held| held.id == "i-1").map_or(0, |held| held.started_ms);
                if incarnation < lives[index] || (platform_state.backends().revision() > 0 && held.len() != 2) {
                    return false;
                }
                lives[index] = incarnation;
            }
        }
        true
    }
}

/// Has a process answer peers, on the present `LocalSet`.
async fn start_answering(process: &Process) -> std::net::SocketAddr {
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    tokio::task::spawn_local(serve(listener, process.platform_state.clone()));
    address
}

#[tokio::test]
async fn peers_answer_over_a_connection() {
    let local = tokio::task::LocalSet::new();
    local
        .run_until(async {
            let watcher = process();
            configure(&watcher, 3);
            list(&watcher, 4, vec![change(1, 2, Some(BackendState::Ready))]);
            let address = start_answering(&watcher).await;
            let new = process();
            let request =
                StateRequest { known: new.platform_state.borrow().digest(), whole: false };
            let answer = fetch(address, request).await.expect("an answer");
            assert!(!new.apply_response(answer));
            assert_eq!(
                new.platform_state.borrow().digest(),
                watcher.platform_state.borrow().digest()
            );
        })
        .await;
}

#[tokio::test]
async fn a_peer_that_is_gone_gives_an_error_with_step_and_address() {
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    drop(listener);
    let request = StateRequest { known: Default::default(), whole: false };
    let error = fetch(address, request).await.expect_err("an error");
    assert_eq!((error.step, error.peer), ("connect", address));
}

/// After a restart of all, everybody asks the first who know everything: one that answered all of them at
/// once would answer none in time.
#[tokio::test]
async fn a_peer_that_answers_many_turns_the_next_one_away_at_once() {
    let local = tokio::task::LocalSet::new();
    local
        .run_until(async {
            let watcher = process();
            let address = start_answering(&watcher).await;
            // Peers that ask and then say nothing hold their places.
            let mut silent = Vec::new();
            for _ in 0..8 {
                silent.push(tokio::net::TcpStream::connect(address).await.expect("a connection"));
            }
            let request = StateRequest { known: Default::default(), whole: false };
            let error = fetch(address, request).await.expect_err("turned away");
            assert_ne!(error.step, "await answer");
            drop(silent);
            // Their places are free again.
            let mut answered = false;
            for _ in 0..500 {
                answered = fetch(address, request).await.is_ok();
                if answered {
                    break;
                }
                tokio::time::sleep(std::time::Duration::from_millis(10)).await;
            }
            assert!(answered);
        })
        .await;
}

/// Found on reading the change again: whoever asked one peer forgot another that knew more.
#[tokio::test]
async fn the_newer_of_two_peers_is_asked_after_the_older() {
    let local = tokio::task::LocalSet::new();
    local
        .run_until(async {
            let (older, newer, asking) = (process(), process(), process());
            configure(&older, 2);
            configure(&newer, 3);
            let known = |process: &Process| process.platform_state.borrow().digest();
            let addresses = (start_answering(&older).await, start_answering(&newer).await);
            let take = {
                let asking = asking.clone();
                Box::new(move |answer| asking.apply_response(answer))
            };
            let election = WatcherElection::new(Timestamp(0), false, 1.0);
            let (peer_sync, _duty) = PeerSync::new(asking.platform_state.clone(), take, election);
            peer_sync.hear(Timestamp(1), known(&older), addresses.0);
            peer_sync.hear(Timestamp(1), known(&newer), addresses.1);
            for _ in 0..200 {
                if known(&asking).version == 3 {
                    return;
                }
                tokio::time::sleep(std::time::Duration::from_millis(10)).await;
            }
            panic!("version {} after both were heard", known(&asking).version);
        })
        .await;
}

/// Eight askers at once shared a link of 30 Mbit/s for a list of 10,000 back ends each: after 1.5 s all of them gave
/// up, and asked again.
#[test]
fn no_more_whole_lists_are_told_at_once_than_a_link_takes_in_time() {
    const LINK_BYTES_PER_MS: usize = 30_000 / 8;
    const ASKERS_PATIENCE_MS: usize = 1_500;
    for backends in [3_000, 10_000, 20_000] {
        let bytes = Rc::new(AnswerBytes::default());
        let rooms: Vec<_> = std::iter::from_fn(|| bytes.take(backends)).take(100).collect();
        let told_ms = rooms.len() * backends * 110 / LINK_BYTES_PER_MS;
        assert!(
            !rooms.is_empty() && told_ms < ASKERS_PATIENCE_MS / 2 + 200,
            "{backends}: {told_ms} ms"
        );
        assert!(bytes.take(1).is_some() || rooms.len() == 1, "small answers find room");
        drop(rooms);
        assert!(bytes.take(backends).is_some(), "room is given back");
    }
}

/// A service that is replaced changes many times a second, and each change went by an exchange of its own to each of
/// 986 processes: 119 exchanges for each within 7 s of a start of all.
#[tokio::test]
async fn changes_of_back_ends_are_gathered_where_members_are_many() {
    let local = tokio::task::LocalSet::new();
    local
        .run_until(async {
            let (told, asking) = (process(), process());
            let address = start_answering(&told).await;
            let exchanges = Rc::new(Cell::new(0_u32));
            let take = {
                let (asking, exchanges) = (asking.clone(), exchanges.clone());
                Box::new(move |answer| {
                    exchanges.set(exchanges.get() + 1);
                    asking.apply_response(answer)
                })
            };
            let election = WatcherElection::new(Timestamp(0), false, 1.0);
            let (peer_sync, _duty) = PeerSync::new(asking.platform_state.clone(), take, election);
            peer_sync.rank(Timestamp(0), Ranking::default(), 1_000);
            let known = |process: &Process| process.platform_state.borrow().digest();
            let began = std::time::Instant::now();
            for revision in 1..=50_u64 {
                let ready = Some(BackendState::Ready);
                apply(&told, vec![change(revision as u8, revision, ready)], revision);
                peer_sync.hear(Timestamp(1), known(&told), address);
                tokio::time::sleep(std::time::Duration::from_millis(10)).await;
            }
            while known(&asking) != known(&told) {
                tokio::time::sleep(std::time::Duration::from_millis(10)).await;
            }
            // The first at once, and one after each rest that has passed.
            let most = 2 + (began.elapsed().as_millis() / exchange_rest(1_000).as_millis()) as u32;
            assert!(exchanges.get() <= most, "{} exchanges, {most} at most", exchanges.get());
        })
        .await;
    // Few members exchange each change as soon as it is known.
    assert!(exchange_rest(11).as_millis() < 3);
    assert_eq!(exchange_rest(2_000), exchange_rest(20_000));
}

/// A configuration and evacuated zones wait for nothing, also while back ends rest.
#[tokio::test]
async fn a_configuration_does_not_wait_for_back_ends_to_be_gathered() {
    let local = tokio::task::LocalSet::new();
    local
        .run_until(async {
            let (told, asking) = (process(), process());
            let address = start_answering(&told).await;
            let order = Rc::new(RefCell::new(Vec::new()));
            let take = {
                let (asking, order) = (asking.clone(), order.clone());
                Box::new(move |answer: StateResponse| {
                    order.borrow_mut().push(answer.known.version);
                    asking.apply_response(answer)
                })
            };
            let election = WatcherElection::new(Timestamp(0), false, 1.0);
            let (peer_sync, _duty) = PeerSync::new(asking.platform_state.clone(), take, election);
            peer_sync.rank(Timestamp(0), Ranking::default(), 1_000);
            let known = |process: &Process| process.platform_state.borrow().digest();
            for step in 1..=3_u64 {
                apply(&told, vec![change(step as u8, step, Some(BackendState::Ready))], step);
                peer_sync.hear(Timestamp(1), known(&told), address);
                tokio::task::yield_now().await;
            }
            // One that knows less is heard after it, and must not take its place.
            let before = known(&told);
            configure(&told, 7);
            peer_sync.hear(Timestamp(1), known(&told), address);
            peer_sync.hear(Timestamp(1), before, address);
            while known(&asking).version != 7 {
                tokio::time::sleep(std::time::Duration::from_millis(5)).await;
            }
            assert!(order.borrow().len() <= 2, "asked for the configuration at once: {order:?}");
        })
        .await;
}

/// After a restart of all nobody served for 8 s and more: back ends came with a list of 1 MB, from few who had read it
/// to its end in 50 pages.
#[test]
fn a_process_that_knows_no_back_ends_is_told_some_first_and_then_all() {
    let (watcher, new) = (process(), process());
    let many = |index: u64| Change {
        name: format!("i-{index}"),
        revision: index,
        value: Some(backend(&format!("i-{index}"), BackendState::Ready)),
    };
    list(&watcher, 20_000, (1..=10_000).map(many).collect());
    let ask = |known: StateDigest| {
        let request = StateRequest { known, whole: false };
        (
            watcher.platform_state.borrow().backends_to_tell(&request),
            watcher.platform_state.borrow().answer(&request),
        )
    };
    let none = new.platform_state.borrow().digest();
    let (reckoned, part) = ask(none.asking_for_part());
    assert_eq!((reckoned, part.backends.changed.len()), (PART_BACKENDS, PART_BACKENDS));
    assert!(!new.apply_response(part));
    assert_eq!(held(&new).len(), PART_BACKENDS);
    let knows_some = new.platform_state.borrow().digest();
    assert_eq!(knows_some.backends_revision, 0, "nobody takes it for the whole");
    // Others learn the part from this process, and lose nothing by it.
    let third = process();
    apply(&third, Vec::new(), 0);
    let request = StateRequest {
        known: third.platform_state.borrow().digest().asking_for_part(),
        whole: false,
    };
    let answer = new.platform_state.borrow().answer(&request);
    third.apply_response(answer);
    assert_eq!(held(&third).len(), PART_BACKENDS);
    assert_eq!(exchange(&third, &process()), 0);
    assert_eq!(held(&third).len(), PART_BACKENDS, "one that knows none takes none away");
    // Then all come.
    let (_, whole) = ask(knows_some);
    assert!(!new.apply_response(whole));
    assert_eq!(new.platform_state.borrow().digest(), watcher.platform_state.borrow().digest());
    // And no part takes any away after that.
    let (_, late) = ask(none.asking_for_part());
    new.apply_response(late);
    assert_eq!(held(&new).len(), 10_000);
}

#[test]
fn few_back_ends_are_told_at_once() {
    let (watcher, new) = (process(), process());
    list(&watcher, 4, vec![change(1, 2, Some(BackendState::Ready))]);
    let request = StateRequest {
        known: new.platform_state.borrow().digest().asking_for_part(),
        whole: false,
    };
    let answer = watcher.platform_state.borrow().answer(&request);
    assert!(!new.apply_response(answer));
    assert_eq!(new.platform_state.borrow().digest(), watcher.platform_state.borrow().digest());
}

/// Pages of a list that is being read are used before it has been read to its end.
#[test]
fn what_a_page_tells_is_known_before_the_list_is() {
    let process = process();
    Sink::<Backend>::part(&process, &[change(1, 2, Some(BackendState::Ready))]);
    assert_eq!(held(&process).len(), 1);
    assert_eq!(process.platform_state.borrow().digest().backends_revision, 0);
    list(&process, 9, vec![change(2, 3, Some(BackendState::Ready))]);
    assert_eq!(held(&process), [("i-2".to_owned(), BackendState::Ready)]);
    Sink::<Backend>::part(&process, &[change(1, 2, Some(BackendState::Ready))]);
    assert_eq!(held(&process).len(), 1, "a page of a list that is older adds nothing");
}

/// Soon after a start a process without back ends asks peers of its zone for the list; what can't wait comes from any.
#[tokio::test]
async fn a_configuration_comes_from_another_zone_where_the_list_does_not() {
    let local = tokio::task::LocalSet::new();
    local
        .run_until(async {
            let (told, asking) = (process(), process());
            configure(&told, 7);
            let many = |index: u64| Change {
                name: format!("i-{index}"),
                revision: index,
                value: Some(backend(&format!("i-{index}"), BackendState::Ready)),
            };
            list(&told, 2_000, (1..=1_000).map(many).collect());
            let address = start_answering(&told).await;
            let take = {
                let asking = asking.clone();
                Box::new(move |answer| asking.apply_response(answer))
            };
            let (peer_sync, _duty) = PeerSync::new(
                asking.platform_state.clone(),
                take,
                WatcherElection::new(Timestamp(0), false, 1.0),
            );
            let known = |process: &Process| process.platform_state.borrow().digest();
            peer_sync.hear_far(Timestamp(1), known(&told), address);
            while known(&asking).version != 7 {
                tokio::time::sleep(std::time::Duration::from_millis(5)).await;
            }
            assert_eq!((held(&asking).len(), known(&asking).backends_revision), (PART_BACKENDS, 0));
            // Another one is known there before the list is.
            configure(&told, 8);
            peer_sync.hear_far(Timestamp(2), known(&told), address);
            while known(&asking).version != 8 {
                tokio::time::sleep(std::time::Duration::from_millis(5)).await;
            }
            assert_eq!(known(&asking).backends_revision, 0);
            peer_sync.hear(Timestamp(3), known(&told), address);
            while known(&asking) != known(&told) {
                tokio::time::sleep(std::time::Duration::from_millis(5)).await;
            }
        })
        .await;
}
