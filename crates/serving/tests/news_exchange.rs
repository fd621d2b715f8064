//! Exchange of configuration and back ends between peers.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;

use quickcheck::{quickcheck, Arbitrary, Gen};
use yokefall_clock::SuspensionSource;
use yokefall_core::Timestamp;
use yokefall_serving::duty::{Ranking, Roster};
use yokefall_serving::knowledge::PART_BACKENDS;
use yokefall_serving::news::{exchange_rest, Known, News};
use yokefall_serving::news_exchange::{fetch, serve, AnswerBytes, NewsAnswer, NewsRequest};
use yokefall_serving::observer::LineObserver;
use yokefall_serving::watch::{Following, Knowledge, SharedKnowledge, Sink};
use yokefall_serving::{
    empty_catalog, Backend, BackendState, Change, Configuration, Evacuation, Freshness, Listing,
};

type Process = SharedKnowledge<LineObserver>;

fn process() -> Process {
    process_on(SuspensionSource::Machine).0
}

/// A process that watches evacuations, with the age of its state.
fn process_on(suspension: SuspensionSource) -> (Process, Freshness) {
    let freshness = Freshness::new(suspension);
    let following = Following { evacuations: true, ages: true, freshness: freshness.clone() };
    let knowledge = Knowledge::following(empty_catalog(), Default::default(), following);
    let process = SharedKnowledge {
        knowledge: Rc::new(RefCell::new(knowledge)),
        observer: Rc::new(LineObserver::new(|| {})),
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

/// Evacuated zones in order; `None` if nothing has been received.
fn evacuated(process: &Process) -> Option<Vec<String>> {
    let knowledge = process.knowledge.borrow();
    let zones = knowledge.evacuations().values().map(|evacuation| evacuation.zone.clone());
    let mut zones: Vec<String> = zones.collect();
    zones.sort_unstable();
    (!knowledge.awaits_evacuations()).then_some(zones)
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
    process.knowledge.borrow_mut().take_configuration(configuration);
}

/// Runs one exchange like the production tasks. Returns the number of back ends sent.
fn exchange(to: &Process, from: &Process) -> usize {
    let mut sent = 0;
    let mut whole = false;
    // Each datagram carries the digest of its sender.
    to.knowledge.borrow_mut().confirm_evacuations(from.knowledge.borrow().known());
    for _ in 0..2 {
        let request = NewsRequest { known: to.knowledge.borrow().known(), whole };
        let answer = from.knowledge.borrow().answer(&request);
        sent += answer.backends.changed.len();
        whole = to.take_news(answer);
        if !whole {
            break;
        }
    }
    sent
}

/// Back ends with their states, in order.
fn held(process: &Process) -> Vec<(String, BackendState)> {
    let knowledge = process.knowledge.borrow();
    let mut all: Vec<_> =
        knowledge.backends().values().map(|held| (held.id.clone(), held.state)).collect();
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
    assert_eq!(new.knowledge.borrow().known(), watcher.knowledge.borrow().known());
}

#[test]
fn one_change_costs_one_back_end_and_not_all() {
    let (watcher, other) = (process(), process());
    list(&watcher, 10, (0..100).map(|id| change(id, 5, Some(BackendState::Ready))).collect());
    exchange(&other, &watcher);
    apply(&watcher, vec![change(3, 11, Some(BackendState::Draining)), change(4, 5, None)], 12);
    assert_eq!(exchange(&other, &watcher), 1);
    assert_eq!(held(&other), held(&watcher));
    assert!(!other.knowledge.borrow().backends().values().any(|held| held.id == "i-4"));
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
    assert_eq!(new.knowledge.borrow().known().version, 2);
}

/// Steps of two watchers and a third process that fetches from either.
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
    /// A process that has the newest revision holds what the store held then.
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

/// Steps of the store's evacuations, of two watchers, and of two other processes that fetch from
/// any.
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

/// The evacuations in the store, with its content at each revision.
#[derive(Default)]
struct EvacuationStore {
    revision: u64,
    held: std::collections::BTreeMap<u8, u64>,
    events: Vec<Change<Evacuation>>,
    history: std::collections::BTreeMap<u64, Vec<String>>,
    /// A list response that is still in flight.
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
    /// The evacuated zones known to a process are those that the store held at the process's
    /// revision, and that revision never decreases. So no outdated state replaces a newer one.
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
                let revision = process.knowledge.borrow().known().evacuations.revision;
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

/// A process is partitioned while a zone is evacuated, and rejoins with its old state.
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

/// A peer that has received nothing itself must not report that no zone is evacuated.
#[test]
fn that_no_zone_is_evacuated_is_news_for_who_has_heard_nothing() {
    let (watcher, new, newer) = (process(), process(), process());
    exchange(&newer, &new);
    assert_eq!(evacuated(&newer), None);
    list_evacuations(&watcher, 5, Vec::new());
    exchange(&newer, &watcher);
    assert_eq!(evacuated(&newer), Some(Vec::new()));
}

/// Each kind is as recent as the best source reports, and the whole state is as old as its oldest
/// kind.
#[test]
fn the_age_of_news_is_that_of_the_oldest_kind_and_of_what_is_known_here() {
    let passed = Arc::new(AtomicU64::new(0));
    let pass = |ms: u64| passed.fetch_add(ms, Ordering::Relaxed);
    let of = || process_on(SuspensionSource::Told(passed.clone()));
    let ((watcher, _), (other, freshness)) = (of(), of());
    let ages = |process: &Process| process.knowledge.borrow().ages();
    let hear = || {
        let known = watcher.knowledge.borrow().known();
        other.knowledge.borrow_mut().hear_ages(known, ages(&watcher), 100);
    };
    // Both have run for a while; ages are limited by the time since the start.
    pass(10_000);
    configure(&watcher, 1);
    list(&watcher, 5, vec![change(1, 5, Some(BackendState::Ready))]);
    list_evacuations(&watcher, 5, Vec::new());
    // Requested now, answered 4 s later: the first response reports a change, the second that
    // nothing changed for 3 s, and the third arrives early.
    let asked = Sink::<Backend>::now(&watcher);
    pass(4_000);
    Sink::<Configuration>::answered(&watcher, asked, 3_000);
    Sink::<Backend>::answered(&watcher, asked, 0);
    Sink::<Evacuation>::answered(&watcher, asked, 9_000);
    let told = ages(&watcher);
    assert_eq!(told.configuration_ms.map(|ms| ms / 500), Some(2));
    assert_eq!(told.backends_ms.map(|ms| ms / 500), Some(8));
    assert_eq!(told.evacuations_ms.map(|ms| ms / 500), Some(8));
    // State that this process has not received does not become recent because a peer has it.
    hear();
    assert_eq!(freshness.age_ms(), None);
    exchange(&other, &watcher);
    hear();
    let age_ms = freshness.age_ms().expect("an age");
    assert!((4_100..4_600).contains(&age_ms), "{age_ms}");
    // Confirmation of one kind proves nothing about the others.
    pass(2_000);
    Sink::<Backend>::answered(&other, Sink::<Backend>::now(&other), 0);
    assert!(freshness.age_ms().is_some_and(|age_ms| age_ms >= 6_000));
    Sink::<Evacuation>::answered(&other, Sink::<Evacuation>::now(&other), 0);
    assert!(freshness.age_ms().is_some_and(|age_ms| (3_000..4_000).contains(&age_ms)));
}

/// Steps of a back end that restarts under its id, whose old heartbeats reach the store late, and
/// of processes that watch, list and exchange state.
#[derive(Clone, Debug)]
enum LifeStep {
    Beat { life: u64, ready: bool },
    Watch { process: usize },
    List { process: usize },
    Exchange { to: usize, from: usize },
}

impl Arbitrary for LifeStep {
    fn arbitrary(generator: &mut Gen) -> Self {
        let process = usize::arbitrary(generator) % 3;
        match u8::arbitrary(generator) % 4 {
            0 => LifeStep::Beat {
                life: u64::arbitrary(generator) % 4 + 1,
                ready: bool::arbitrary(generator),
            },
            1 => LifeStep::Watch { process },
            2 => LifeStep::List { process },
            _ => LifeStep::Exchange { to: process, from: usize::arbitrary(generator) % 3 },
        }
    }
}

quickcheck! {
    /// In whatever order and with whatever revisions the records of a back end's incarnations
    /// arrive, no process goes back from a later incarnation to an earlier one, and no other back
    /// end is lost.
    fn nobody_goes_back_to_an_older_life(steps: Vec<LifeStep>) -> bool {
        let mut events: Vec<Change<Backend>> = Vec::new();
        let beat = |life: u64, revision: u64, state: BackendState| {
            let mut change = change(1, revision, Some(state));
            if let Some(backend) = &mut change.value {
                backend.started_ms = life;
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
                LifeStep::Beat { life, ready } => {
                    let state = if ready { BackendState::Ready } else { BackendState::Draining };
                    entry = beat(life, events.len() as u64 + 2, state);
                    events.push(entry.clone());
                }
                LifeStep::Watch { process } if processes[process].knowledge.borrow().backends().revision() > 0 => {
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
                let knowledge = process.knowledge.borrow();
                let held: Vec<_> = knowledge.backends().values().collect();
                let life = held.iter().find(|held| held.id == "i-1").map_or(0, |held| held.started_ms);
                if life < lives[index] || (knowledge.backends().revision() > 0 && held.len() != 2) {
                    return false;
                }
                lives[index] = life;
            }
        }
        true
    }
}

/// Serves peers from a process, on the current `LocalSet`.
async fn start_answering(process: &Process) -> std::net::SocketAddr {
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    tokio::task::spawn_local(serve(listener, process.knowledge.clone()));
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
            let request = NewsRequest { known: new.knowledge.borrow().known(), whole: false };
            let answer = fetch(address, request).await.expect("an answer");
            assert!(!new.take_news(answer));
            assert_eq!(new.knowledge.borrow().known(), watcher.knowledge.borrow().known());
        })
        .await;
}

#[tokio::test]
async fn a_peer_that_is_gone_gives_an_error_with_step_and_address() {
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    drop(listener);
    let request = NewsRequest { known: Default::default(), whole: false };
    let error = fetch(address, request).await.expect_err("an error");
    assert_eq!((error.step, error.peer), ("connect", address));
}

/// After a restart of the whole fleet, all processes ask the first ones that have the state.
/// Serving all of them at once would serve none in time.
#[tokio::test]
async fn a_peer_that_answers_many_turns_the_next_one_away_at_once() {
    let local = tokio::task::LocalSet::new();
    local
        .run_until(async {
            let watcher = process();
            let address = start_answering(&watcher).await;
            // Peers that connect and send nothing occupy the slots.
            let mut silent = Vec::new();
            for _ in 0..8 {
                silent.push(tokio::net::TcpStream::connect(address).await.expect("a connection"));
            }
            let request = NewsRequest { known: Default::default(), whole: false };
            let error = fetch(address, request).await.expect_err("turned away");
            assert_ne!(error.step, "await answer");
            drop(silent);
            // The slots are free again.
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

/// A process that was asking one peer forgot another that was ahead of it.
#[tokio::test]
async fn the_newer_of_two_peers_is_asked_after_the_older() {
    let local = tokio::task::LocalSet::new();
    local
        .run_until(async {
            let (older, newer, asking) = (process(), process(), process());
            configure(&older, 2);
            configure(&newer, 3);
            let known = |process: &Process| process.knowledge.borrow().known();
            let addresses = (start_answering(&older).await, start_answering(&newer).await);
            let take = {
                let asking = asking.clone();
                Box::new(move |answer| asking.take_news(answer))
            };
            let roster = Roster::new(Timestamp(0), false, 1.0);
            let (news, _duty) = News::new(asking.knowledge.clone(), take, roster);
            news.hear(Timestamp(1), known(&older), addresses.0);
            news.hear(Timestamp(1), known(&newer), addresses.1);
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

/// Eight peers shared a link of 30 Mbit/s, each for a list of 10,000 back ends: after 1.5 s all of
/// them timed out and asked again.
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

/// A service that is being replaced changes many times per second, and each change reached each of
/// 986 processes by an exchange of its own: 119 exchanges per process within 7 s of a start of all.
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
                    asking.take_news(answer)
                })
            };
            let roster = Roster::new(Timestamp(0), false, 1.0);
            let (news, _duty) = News::new(asking.knowledge.clone(), take, roster);
            news.rank(Timestamp(0), Ranking::default(), 1_000);
            let known = |process: &Process| process.knowledge.borrow().known();
            let began = std::time::Instant::now();
            for revision in 1..=50_u64 {
                let ready = Some(BackendState::Ready);
                apply(&told, vec![change(revision as u8, revision, ready)], revision);
                news.hear(Timestamp(1), known(&told), address);
                tokio::time::sleep(std::time::Duration::from_millis(10)).await;
            }
            while known(&asking) != known(&told) {
                tokio::time::sleep(std::time::Duration::from_millis(10)).await;
            }
            // The first at once, and one after each interval.
            let most = 2 + (began.elapsed().as_millis() / exchange_rest(1_000).as_millis()) as u32;
            assert!(exchanges.get() <= most, "{} exchanges, {most} at most", exchanges.get());
        })
        .await;
    // A small fleet exchanges each change immediately.
    assert!(exchange_rest(11).as_millis() < 3);
    assert_eq!(exchange_rest(2_000), exchange_rest(20_000));
}

/// A configuration and evacuated zones are not delayed, even during the interval between exchanges
/// of back ends.
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
                Box::new(move |answer: NewsAnswer| {
                    order.borrow_mut().push(answer.known.version);
                    asking.take_news(answer)
                })
            };
            let roster = Roster::new(Timestamp(0), false, 1.0);
            let (news, _duty) = News::new(asking.knowledge.clone(), take, roster);
            news.rank(Timestamp(0), Ranking::default(), 1_000);
            let known = |process: &Process| process.knowledge.borrow().known();
            for step in 1..=3_u64 {
                apply(&told, vec![change(step as u8, step, Some(BackendState::Ready))], step);
                news.hear(Timestamp(1), known(&told), address);
                tokio::task::yield_now().await;
            }
            // A digest that is behind, received afterwards, must not replace it.
            let before = known(&told);
            configure(&told, 7);
            news.hear(Timestamp(1), known(&told), address);
            news.hear(Timestamp(1), before, address);
            while known(&asking).version != 7 {
                tokio::time::sleep(std::time::Duration::from_millis(5)).await;
            }
            assert!(order.borrow().len() <= 2, "asked for the configuration at once: {order:?}");
        })
        .await;
}

/// After a restart of the whole fleet no request was served for 8 s and more: back ends arrived as
/// a list of 1 MB, from the few processes that had read it to its end in 50 pages.
#[test]
fn a_process_that_knows_no_back_ends_is_told_some_first_and_then_all() {
    let (watcher, new) = (process(), process());
    let many = |index: u64| Change {
        name: format!("i-{index}"),
        revision: index,
        value: Some(backend(&format!("i-{index}"), BackendState::Ready)),
    };
    list(&watcher, 20_000, (1..=10_000).map(many).collect());
    let ask = |known: Known| {
        let request = NewsRequest { known, whole: false };
        (
            watcher.knowledge.borrow().backends_to_tell(&request),
            watcher.knowledge.borrow().answer(&request),
        )
    };
    let none = new.knowledge.borrow().known();
    let (reckoned, part) = ask(none.asking_for_part());
    assert_eq!((reckoned, part.backends.changed.len()), (PART_BACKENDS, PART_BACKENDS));
    assert!(!new.take_news(part));
    assert_eq!(held(&new).len(), PART_BACKENDS);
    let knows_some = new.knowledge.borrow().known();
    assert_eq!(knows_some.backends_revision, 0, "nobody takes it for the whole");
    // Others receive the subset from this process and lose nothing by it.
    let third = process();
    apply(&third, Vec::new(), 0);
    let request =
        NewsRequest { known: third.knowledge.borrow().known().asking_for_part(), whole: false };
    let answer = new.knowledge.borrow().answer(&request);
    third.take_news(answer);
    assert_eq!(held(&third).len(), PART_BACKENDS);
    assert_eq!(exchange(&third, &process()), 0);
    assert_eq!(held(&third).len(), PART_BACKENDS, "one that knows none takes none away");
    // Then the whole list arrives.
    let (_, whole) = ask(knows_some);
    assert!(!new.take_news(whole));
    assert_eq!(new.knowledge.borrow().known(), watcher.knowledge.borrow().known());
    // A subset removes nothing after that.
    let (_, late) = ask(none.asking_for_part());
    new.take_news(late);
    assert_eq!(held(&new).len(), 10_000);
}

#[test]
fn few_back_ends_are_told_at_once() {
    let (watcher, new) = (process(), process());
    list(&watcher, 4, vec![change(1, 2, Some(BackendState::Ready))]);
    let request =
        NewsRequest { known: new.knowledge.borrow().known().asking_for_part(), whole: false };
    let answer = watcher.knowledge.borrow().answer(&request);
    assert!(!new.take_news(answer));
    assert_eq!(new.knowledge.borrow().known(), watcher.knowledge.borrow().known());
}

/// Pages are used before the list has been read to its end.
#[test]
fn what_a_page_tells_is_known_before_the_list_is() {
    let process = process();
    Sink::<Backend>::part(&process, &[change(1, 2, Some(BackendState::Ready))]);
    assert_eq!(held(&process).len(), 1);
    assert_eq!(process.knowledge.borrow().known().backends_revision, 0);
    list(&process, 9, vec![change(2, 3, Some(BackendState::Ready))]);
    assert_eq!(held(&process), [("i-2".to_owned(), BackendState::Ready)]);
    Sink::<Backend>::part(&process, &[change(1, 2, Some(BackendState::Ready))]);
    assert_eq!(held(&process).len(), 1, "a page of a list that is older adds nothing");
}

/// Soon after a start, a process without back ends requests the list from peers in its zone; urgent
/// state comes from any peer.
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
                Box::new(move |answer| asking.take_news(answer))
            };
            let (news, _duty) =
                News::new(asking.knowledge.clone(), take, Roster::new(Timestamp(0), false, 1.0));
            let known = |process: &Process| process.knowledge.borrow().known();
            news.hear_far(Timestamp(1), known(&told), address);
            while known(&asking).version != 7 {
                tokio::time::sleep(std::time::Duration::from_millis(5)).await;
            }
            assert_eq!((held(&asking).len(), known(&asking).backends_revision), (PART_BACKENDS, 0));
            // The next configuration also arrives before the list.
            configure(&told, 8);
            news.hear_far(Timestamp(2), known(&told), address);
            while known(&asking).version != 8 {
                tokio::time::sleep(std::time::Duration::from_millis(5)).await;
            }
            assert_eq!(known(&asking).backends_revision, 0);
            news.hear(Timestamp(3), known(&told), address);
            while known(&asking) != known(&told) {
                tokio::time::sleep(std::time::Duration::from_millis(5)).await;
            }
        })
        .await;
}
