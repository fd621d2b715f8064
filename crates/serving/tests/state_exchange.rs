//! Exchange of configuration and back ends between peers.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;

use quickcheck::{quickcheck, Arbitrary, Gen};
use yokefall_clock::SuspensionSource;
use yokefall_core::Timestamp;
use yokefall_serving::observer::LoggingObserver;
use yokefall_serving::peer_sync::{exchange_interval, PeerSync, StateDigest};
use yokefall_serving::platform_state::SUBSET_BACKENDS;
use yokefall_serving::state_exchange::{fetch, serve, ResponseBudget, StateRequest, StateResponse};
use yokefall_serving::watch::{PlatformState, SharedPlatformState, Sink, StateOptions};
use yokefall_serving::watch_role::{Ranking, WatcherElection};
use yokefall_serving::{
    empty_catalog, Backend, BackendState, Change, Configuration, Evacuation, Freshness, Listing,
};

type Process = SharedPlatformState<LoggingObserver>;

fn process() -> Process {
    process_on(SuspensionSource::Machine).0
}

/// A process that watches evacuations, with the age of its state.
fn process_on(suspension: SuspensionSource) -> (Process, Freshness) {
    let freshness = Freshness::new(suspension);
    let options = StateOptions { evacuations: true, ages: true, freshness: freshness.clone() };
    let platform_state = PlatformState::with_options(empty_catalog(), Default::default(), options);
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

/// Evacuated zones in order; `None` if nothing has been received.
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
        software_version: Default::default(),
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
    process.platform_state.borrow_mut().apply_configuration(configuration);
}

fn exchange(to: &Process, from: &Process) -> usize {
    let mut sent = 0;
    let mut whole = false;
    // Each datagram carries the digest of its sender.
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

fn held(process: &Process) -> Vec<(String, BackendState)> {
    let platform_state = process.platform_state.borrow();
    let mut all: Vec<_> =
        platform_state.backends().values().map(|held| (held.id.clone(), held.state)).collect();
    all.sort_by(|left, right| left.0.cmp(&right.0));
    all
}

#[test]
fn a_new_process_fetches_all_state_from_one_peer() {
    let (watcher, new) = (process(), process());
    configure(&watcher, 7);
    list(&watcher, 10, (0..100).map(|id| change(id, 5, Some(BackendState::Ready))).collect());
    exchange(&new, &watcher);
    assert_eq!(held(&new), held(&watcher));
    assert_eq!(new.platform_state.borrow().digest(), watcher.platform_state.borrow().digest());
}

#[test]
fn a_change_transfers_one_back_end_and_not_all() {
    let (watcher, other) = (process(), process());
    list(&watcher, 10, (0..100).map(|id| change(id, 5, Some(BackendState::Ready))).collect());
    exchange(&other, &watcher);
    apply(&watcher, vec![change(3, 11, Some(BackendState::Draining)), change(4, 5, None)], 12);
    assert_eq!(exchange(&other, &watcher), 1);
    assert_eq!(held(&other), held(&watcher));
    assert!(!other.platform_state.borrow().backends().values().any(|held| held.id == "i-4"));
}

#[test]
fn a_peer_that_is_behind_reverts_nothing() {
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

/// Steps of two watchers and a third process that fetches from either.
#[derive(Clone, Debug)]
enum Step {
    Change { id: u8, ready: bool },
    Remove { id: u8 },
    WatchFirst,
    ListSecond,
    FetchFromFirst,
    FetchFromSecond,
}

impl Arbitrary for Step {
    fn arbitrary(generator: &mut Gen) -> Self {
        let id = u8::arbitrary(generator) % 12;
        match u8::arbitrary(generator) % 8 {
            0 | 1 => Step::Change { id, ready: bool::arbitrary(generator) },
            2 => Step::Remove { id },
            3 => Step::WatchFirst,
            4 => Step::ListSecond,
            5 | 6 => Step::FetchFromFirst,
            _ => Step::FetchFromSecond,
        }
    }
}

quickcheck! {
    fn a_current_process_holds_the_content_of_the_store(steps: Vec<Step>) -> bool {
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
                Step::FetchFromFirst => { exchange(&other, &first); }
                Step::FetchFromSecond => { exchange(&other, &second); }
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

/// Steps of the store's evacuations, of two watchers, and of two processes that fetch from any.
#[derive(Clone, Debug)]
enum EvacuationStep {
    Set { zone: u8 },
    Remove { zone: u8 },
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
            2 | 3 => EvacuationStep::Remove { zone },
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
    in_flight: Option<(u64, Vec<Change<Evacuation>>)>,
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
    /// The zones known to a process are those of the store at its revision, which never decreases.
    fn evacuations_match_the_store_at_the_same_revision(steps: Vec<EvacuationStep>) -> bool {
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
                EvacuationStep::Remove { zone } => {
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
                    if let Some((revision, all)) = store.in_flight.replace(next) {
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
                let known = evacuated(process);
                let held = store.history.get(&revision).cloned();
                if revision < revisions[index] || (revision > 0 && known != held) {
                    return false;
                }
                revisions[index] = revision;
            }
        }
        processes
            .iter()
            .all(|process| evacuated(process) == store.history.get(&store.revision).cloned())
    }
}

/// A process is partitioned while a zone is evacuated, and rejoins with its old state.
#[test]
fn a_partitioned_peer_catches_up_and_reverts_nothing() {
    let (watcher, other, partitioned) = (process(), process(), process());
    list_evacuations(&watcher, 5, Vec::new());
    exchange(&other, &watcher);
    exchange(&partitioned, &watcher);
    apply_evacuations(&watcher, vec![evacuation(1, 8, false)], 8);
    exchange(&other, &watcher);
    exchange(&other, &partitioned);
    assert_eq!(evacuated(&other), Some(vec!["hall-1".to_owned()]));
    exchange(&partitioned, &other);
    assert_eq!(evacuated(&partitioned), Some(vec!["hall-1".to_owned()]));
}

/// A peer that has received nothing itself must not report that no zone is evacuated.
#[test]
fn the_absence_of_evacuations_is_propagated() {
    let (watcher, new, newer) = (process(), process(), process());
    exchange(&newer, &new);
    assert_eq!(evacuated(&newer), None);
    list_evacuations(&watcher, 5, Vec::new());
    exchange(&newer, &watcher);
    assert_eq!(evacuated(&newer), Some(Vec::new()));
}

/// Each kind is as recent as its best source, and the whole state as old as its oldest kind.
#[test]
fn the_age_of_the_state_is_that_of_its_oldest_kind() {
    let elapsed = Arc::new(AtomicU64::new(0));
    let advance = |ms: u64| elapsed.fetch_add(ms, Ordering::Relaxed);
    let new_process = || process_on(SuspensionSource::Simulated(elapsed.clone()));
    let ((watcher, _), (other, freshness)) = (new_process(), new_process());
    let ages = |process: &Process| process.platform_state.borrow().ages();
    let receive_ages = || {
        let known = watcher.platform_state.borrow().digest();
        other.platform_state.borrow_mut().receive_ages(known, ages(&watcher), 100);
    };
    // Both have run for a while; ages are limited by the time since the start.
    advance(10_000);
    configure(&watcher, 1);
    list(&watcher, 5, vec![change(1, 5, Some(BackendState::Ready))]);
    list_evacuations(&watcher, 5, Vec::new());
    // Answered 4 s later: first a change, then no change for 3 s, then an early response.
    let asked = Sink::<Backend>::now(&watcher);
    advance(4_000);
    Sink::<Configuration>::answered(&watcher, asked, 3_000);
    Sink::<Backend>::answered(&watcher, asked, 0);
    Sink::<Evacuation>::answered(&watcher, asked, 9_000);
    let reported = ages(&watcher);
    assert_eq!(reported.configuration_ms.map(|ms| ms / 500), Some(2));
    assert_eq!(reported.backends_ms.map(|ms| ms / 500), Some(8));
    assert_eq!(reported.evacuations_ms.map(|ms| ms / 500), Some(8));
    // State that this process has not received does not become recent because a peer has it.
    receive_ages();
    assert_eq!(freshness.age_ms(), None);
    exchange(&other, &watcher);
    receive_ages();
    let age_ms = freshness.age_ms().expect("an age");
    assert!((4_100..4_600).contains(&age_ms), "{age_ms}");
    // Confirmation of one kind proves nothing about the others.
    advance(2_000);
    Sink::<Backend>::answered(&other, Sink::<Backend>::now(&other), 0);
    assert!(freshness.age_ms().is_some_and(|age_ms| age_ms >= 6_000));
    Sink::<Evacuation>::answered(&other, Sink::<Evacuation>::now(&other), 0);
    assert!(freshness.age_ms().is_some_and(|age_ms| (3_000..4_000).contains(&age_ms)));
}

/// A back end restarts under its id, and its old heartbeats reach the store late.
#[derive(Clone, Debug)]
enum RestartStep {
    Heartbeat { incarnation: u64, ready: bool },
    Watch { process: usize },
    List { process: usize },
    Exchange { to: usize, from: usize },
}

impl Arbitrary for RestartStep {
    fn arbitrary(generator: &mut Gen) -> Self {
        let process = usize::arbitrary(generator) % 3;
        match u8::arbitrary(generator) % 4 {
            0 => RestartStep::Heartbeat {
                incarnation: u64::arbitrary(generator) % 4 + 1,
                ready: bool::arbitrary(generator),
            },
            1 => RestartStep::Watch { process },
            2 => RestartStep::List { process },
            _ => RestartStep::Exchange { to: process, from: usize::arbitrary(generator) % 3 },
        }
    }
}

quickcheck! {
    /// In whatever order and with whatever revisions records of incarnations arrive, no process
    /// goes back to an earlier one, and no other back end is lost.
    fn no_process_reverts_to_an_older_incarnation(steps: Vec<RestartStep>) -> bool {
        let mut events: Vec<Change<Backend>> = Vec::new();
        let heartbeat = |incarnation: u64, revision: u64, state: BackendState| {
            let mut change = change(1, revision, Some(state));
            if let Some(backend) = &mut change.value {
                backend.started_ms = incarnation;
            }
            change
        };
        let neighbour = || change(2, 1, Some(BackendState::Ready));
        let mut entry = heartbeat(1, 1, BackendState::Ready);
        let processes: Vec<Process> = (0..3).map(|_| process()).collect();
        let mut watched = [0; 3];
        let mut incarnations = [0; 3];
        list(&processes[0], 1, vec![entry.clone(), neighbour()]);
        for step in steps {
            match step {
                RestartStep::Heartbeat { incarnation, ready } => {
                    let state = if ready { BackendState::Ready } else { BackendState::Draining };
                    entry = heartbeat(incarnation, events.len() as u64 + 2, state);
                    events.push(entry.clone());
                }
                RestartStep::Watch { process }
                    if processes[process].platform_state.borrow().backends().revision() > 0 =>
                {
                    let new = events[watched[process]..].to_vec();
                    watched[process] = events.len();
                    apply(&processes[process], new, events.len() as u64 + 1);
                }
                RestartStep::Watch { .. } => {}
                RestartStep::List { process } => {
                    watched[process] = events.len();
                    list(
                        &processes[process],
                        events.len() as u64 + 1,
                        vec![entry.clone(), neighbour()],
                    );
                }
                RestartStep::Exchange { to, from } if to != from => {
                    exchange(&processes[to], &processes[from]);
                }
                RestartStep::Exchange { .. } => {}
            }
            for (index, process) in processes.iter().enumerate() {
                let platform_state = process.platform_state.borrow();
                let held: Vec<_> = platform_state.backends().values().collect();
                let incarnation = held
                    .iter()
                    .find(|held| held.id == "i-1")
                    .map_or(0, |held| held.started_ms);
                if incarnation < incarnations[index]
                    || (platform_state.backends().revision() > 0 && held.len() != 2)
                {
                    return false;
                }
                incarnations[index] = incarnation;
            }
        }
        true
    }
}

async fn start_serving(process: &Process) -> std::net::SocketAddr {
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    tokio::task::spawn_local(serve(listener, process.platform_state.clone()));
    address
}

#[tokio::test]
async fn peers_serve_their_state_over_tcp() {
    let local = tokio::task::LocalSet::new();
    local
        .run_until(async {
            let watcher = process();
            configure(&watcher, 3);
            list(&watcher, 4, vec![change(1, 2, Some(BackendState::Ready))]);
            let address = start_serving(&watcher).await;
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
async fn an_unreachable_peer_gives_an_error_with_step_and_address() {
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    drop(listener);
    let request = StateRequest { known: Default::default(), whole: false };
    let error = fetch(address, request).await.expect_err("an error");
    assert_eq!((error.step, error.peer), ("connect", address));
}

/// After a restart all ask the first processes with the state; serving all serves none in time.
#[tokio::test]
async fn a_busy_peer_rejects_further_requests_at_once() {
    let local = tokio::task::LocalSet::new();
    local
        .run_until(async {
            let watcher = process();
            let address = start_serving(&watcher).await;
            // Peers that connect and send nothing occupy the slots.
            let mut silent = Vec::new();
            for _ in 0..8 {
                silent.push(tokio::net::TcpStream::connect(address).await.expect("a connection"));
            }
            let request = StateRequest { known: Default::default(), whole: false };
            let error = fetch(address, request).await.expect_err("a rejection");
            assert_ne!(error.step, "await answer");
            drop(silent);
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

/// While a process was asking one peer, it forgot another peer that was further ahead.
#[tokio::test]
async fn a_peer_ahead_of_the_one_being_asked_is_asked_next() {
    let local = tokio::task::LocalSet::new();
    local
        .run_until(async {
            let (older, newer, asking) = (process(), process(), process());
            configure(&older, 2);
            configure(&newer, 3);
            let digest_of = |process: &Process| process.platform_state.borrow().digest();
            let addresses = (start_serving(&older).await, start_serving(&newer).await);
            let apply_response = {
                let asking = asking.clone();
                Box::new(move |answer| asking.apply_response(answer))
            };
            let election = WatcherElection::new(Timestamp(0), false, 1.0);
            let (peer_sync, _watch_roles) =
                PeerSync::new(asking.platform_state.clone(), apply_response, election);
            peer_sync.receive_digest(Timestamp(1), digest_of(&older), addresses.0);
            peer_sync.receive_digest(Timestamp(1), digest_of(&newer), addresses.1);
            for _ in 0..200 {
                if digest_of(&asking).version == 3 {
                    return;
                }
                tokio::time::sleep(std::time::Duration::from_millis(10)).await;
            }
            panic!("version {} after both digests were received", digest_of(&asking).version);
        })
        .await;
}

/// Eight peers shared a link of 30 Mbit/s, each for a list of 10,000 back ends: after 1.5 s all of
/// them timed out and asked again.
#[test]
fn concurrent_lists_are_limited_to_the_capacity_of_a_link() {
    const LINK_BYTES_PER_MS: usize = 30_000 / 8;
    const EXCHANGE_TIMEOUT_MS: usize = 1_500;
    for backends in [3_000, 10_000, 20_000] {
        let budget = Rc::new(ResponseBudget::default());
        let reservations: Vec<_> =
            std::iter::from_fn(|| budget.reserve(backends)).take(100).collect();
        let transfer_ms = reservations.len() * backends * 110 / LINK_BYTES_PER_MS;
        assert!(
            !reservations.is_empty() && transfer_ms < EXCHANGE_TIMEOUT_MS / 2 + 200,
            "{backends}: {transfer_ms} ms"
        );
        assert!(budget.reserve(1).is_some() || reservations.len() == 1, "small responses fit");
        drop(reservations);
        assert!(budget.reserve(backends).is_some(), "the reservation is released");
    }
}

/// A service that is being replaced changes many times per second, and each change reached each of
/// 986 processes by an exchange of its own: 119 exchanges per process within 7 s of a start of all.
#[tokio::test]
async fn back_end_changes_are_batched_in_large_fleets() {
    let local = tokio::task::LocalSet::new();
    local
        .run_until(async {
            let (source, asking) = (process(), process());
            let address = start_serving(&source).await;
            let exchanges = Rc::new(Cell::new(0_u32));
            let apply_response = {
                let (asking, exchanges) = (asking.clone(), exchanges.clone());
                Box::new(move |answer| {
                    exchanges.set(exchanges.get() + 1);
                    asking.apply_response(answer)
                })
            };
            let election = WatcherElection::new(Timestamp(0), false, 1.0);
            let (peer_sync, _watch_roles) =
                PeerSync::new(asking.platform_state.clone(), apply_response, election);
            peer_sync.rank(Timestamp(0), Ranking::default(), 1_000);
            let digest_of = |process: &Process| process.platform_state.borrow().digest();
            let began = std::time::Instant::now();
            for revision in 1..=50_u64 {
                let ready = Some(BackendState::Ready);
                apply(&source, vec![change(revision as u8, revision, ready)], revision);
                peer_sync.receive_digest(Timestamp(1), digest_of(&source), address);
                tokio::time::sleep(std::time::Duration::from_millis(10)).await;
            }
            while digest_of(&asking) != digest_of(&source) {
                tokio::time::sleep(std::time::Duration::from_millis(10)).await;
            }
            // The first at once, and one after each interval.
            let max_exchanges =
                2 + (began.elapsed().as_millis() / exchange_interval(1_000).as_millis()) as u32;
            assert!(
                exchanges.get() <= max_exchanges,
                "{} exchanges, {max_exchanges} at most",
                exchanges.get()
            );
        })
        .await;
    // A small fleet exchanges each change immediately.
    assert!(exchange_interval(11).as_millis() < 3);
    assert_eq!(exchange_interval(2_000), exchange_interval(20_000));
}

/// Configuration and evacuated zones are not delayed by the interval between back-end exchanges.
#[tokio::test]
async fn a_configuration_does_not_wait_for_batched_back_ends() {
    let local = tokio::task::LocalSet::new();
    local
        .run_until(async {
            let (source, asking) = (process(), process());
            let address = start_serving(&source).await;
            let order = Rc::new(RefCell::new(Vec::new()));
            let apply_response = {
                let (asking, order) = (asking.clone(), order.clone());
                Box::new(move |answer: StateResponse| {
                    order.borrow_mut().push(answer.known.version);
                    asking.apply_response(answer)
                })
            };
            let election = WatcherElection::new(Timestamp(0), false, 1.0);
            let (peer_sync, _watch_roles) =
                PeerSync::new(asking.platform_state.clone(), apply_response, election);
            peer_sync.rank(Timestamp(0), Ranking::default(), 1_000);
            let digest_of = |process: &Process| process.platform_state.borrow().digest();
            for step in 1..=3_u64 {
                apply(&source, vec![change(step as u8, step, Some(BackendState::Ready))], step);
                peer_sync.receive_digest(Timestamp(1), digest_of(&source), address);
                tokio::task::yield_now().await;
            }
            // A digest that is behind, received afterwards, must not replace it.
            let before = digest_of(&source);
            configure(&source, 7);
            peer_sync.receive_digest(Timestamp(1), digest_of(&source), address);
            peer_sync.receive_digest(Timestamp(1), before, address);
            while digest_of(&asking).version != 7 {
                tokio::time::sleep(std::time::Duration::from_millis(5)).await;
            }
            assert!(
                order.borrow().len() <= 2,
                "the configuration was not requested at once: {order:?}"
            );
        })
        .await;
}

/// After a restart of the whole fleet no request was served for 8 s and more: back ends arrived as
/// a list of 1 MB, from the few processes that had read it to its end in 50 pages.
#[test]
fn a_process_without_back_ends_receives_a_subset_and_then_all() {
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
            watcher.platform_state.borrow().response_backends(&request),
            watcher.platform_state.borrow().answer(&request),
        )
    };
    let empty_digest = new.platform_state.borrow().digest();
    let (estimated, part) = ask(empty_digest.requesting_subset());
    assert_eq!((estimated, part.backends.changed.len()), (SUBSET_BACKENDS, SUBSET_BACKENDS));
    assert!(!new.apply_response(part));
    assert_eq!(held(&new).len(), SUBSET_BACKENDS);
    let partial_digest = new.platform_state.borrow().digest();
    assert_eq!(partial_digest.backends_revision, 0, "a subset is not mistaken for the whole list");
    // Others receive the subset from this process and lose nothing by it.
    let third = process();
    apply(&third, Vec::new(), 0);
    let request = StateRequest {
        known: third.platform_state.borrow().digest().requesting_subset(),
        whole: false,
    };
    let answer = new.platform_state.borrow().answer(&request);
    third.apply_response(answer);
    assert_eq!(held(&third).len(), SUBSET_BACKENDS);
    assert_eq!(exchange(&third, &process()), 0);
    assert_eq!(held(&third).len(), SUBSET_BACKENDS, "a peer without back ends removes none");
    let (_, whole) = ask(partial_digest);
    assert!(!new.apply_response(whole));
    assert_eq!(new.platform_state.borrow().digest(), watcher.platform_state.borrow().digest());
    // A subset removes nothing after that.
    let (_, late) = ask(empty_digest.requesting_subset());
    new.apply_response(late);
    assert_eq!(held(&new).len(), 10_000);
}

#[test]
fn a_short_list_is_sent_whole() {
    let (watcher, new) = (process(), process());
    list(&watcher, 4, vec![change(1, 2, Some(BackendState::Ready))]);
    let request = StateRequest {
        known: new.platform_state.borrow().digest().requesting_subset(),
        whole: false,
    };
    let answer = watcher.platform_state.borrow().answer(&request);
    assert!(!new.apply_response(answer));
    assert_eq!(new.platform_state.borrow().digest(), watcher.platform_state.borrow().digest());
}

#[test]
fn pages_are_applied_before_the_list_is_complete() {
    let process = process();
    Sink::<Backend>::apply_page(&process, &[change(1, 2, Some(BackendState::Ready))]);
    assert_eq!(held(&process).len(), 1);
    assert_eq!(process.platform_state.borrow().digest().backends_revision, 0);
    list(&process, 9, vec![change(2, 3, Some(BackendState::Ready))]);
    assert_eq!(held(&process), [("i-2".to_owned(), BackendState::Ready)]);
    Sink::<Backend>::apply_page(&process, &[change(1, 2, Some(BackendState::Ready))]);
    assert_eq!(held(&process).len(), 1, "a page of an older list adds nothing");
}

/// Soon after a start, the list is requested in the own zone only; urgent state from any peer.
#[tokio::test]
async fn another_zone_supplies_the_configuration_but_not_the_list() {
    let local = tokio::task::LocalSet::new();
    local
        .run_until(async {
            let (source, asking) = (process(), process());
            configure(&source, 7);
            let many = |index: u64| Change {
                name: format!("i-{index}"),
                revision: index,
                value: Some(backend(&format!("i-{index}"), BackendState::Ready)),
            };
            list(&source, 2_000, (1..=1_000).map(many).collect());
            let address = start_serving(&source).await;
            let apply_response = {
                let asking = asking.clone();
                Box::new(move |answer| asking.apply_response(answer))
            };
            let (peer_sync, _watch_roles) = PeerSync::new(
                asking.platform_state.clone(),
                apply_response,
                WatcherElection::new(Timestamp(0), false, 1.0),
            );
            let digest_of = |process: &Process| process.platform_state.borrow().digest();
            peer_sync.receive_cross_zone_digest(Timestamp(1), digest_of(&source), address);
            while digest_of(&asking).version != 7 {
                tokio::time::sleep(std::time::Duration::from_millis(5)).await;
            }
            assert_eq!(
                (held(&asking).len(), digest_of(&asking).backends_revision),
                (SUBSET_BACKENDS, 0)
            );
            // The next configuration also arrives before the list.
            configure(&source, 8);
            peer_sync.receive_cross_zone_digest(Timestamp(2), digest_of(&source), address);
            while digest_of(&asking).version != 8 {
                tokio::time::sleep(std::time::Duration::from_millis(5)).await;
            }
            assert_eq!(digest_of(&asking).backends_revision, 0);
            peer_sync.receive_digest(Timestamp(3), digest_of(&source), address);
            while digest_of(&asking) != digest_of(&source) {
                tokio::time::sleep(std::time::Duration::from_millis(5)).await;
            }
        })
        .await;
}
