//! What processes learn of configuration and back ends from each other.

use std::cell::RefCell;
use std::rc::Rc;

use quickcheck::{quickcheck, Arbitrary, Gen};
use yokefall_core::Timestamp;
use yokefall_serving::duty::Roster;
use yokefall_serving::news::News;
use yokefall_serving::news_exchange::{fetch, serve, NewsRequest};
use yokefall_serving::observer::LineObserver;
use yokefall_serving::watch::{Knowledge, SharedKnowledge, Sink};
use yokefall_serving::{empty_catalog, Backend, BackendState, Change, Configuration, Listing};

type Process = SharedKnowledge<LineObserver>;

fn process() -> Process {
    SharedKnowledge {
        knowledge: Rc::new(RefCell::new(Knowledge::new(empty_catalog(), Default::default()))),
        observer: Rc::new(LineObserver::new(|| {})),
    }
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

/// One exchange, as the tasks make it. Returns how many back ends were sent.
fn exchange(to: &Process, from: &Process) -> usize {
    let mut sent = 0;
    let mut whole = false;
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

/// Has a process answer peers, on the present `LocalSet`.
async fn start_answering(process: &Process) -> std::net::SocketAddr {
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    let knowledge = process.knowledge.clone();
    let answer = Rc::new(move |request: &NewsRequest| knowledge.borrow().answer(request));
    tokio::task::spawn_local(serve(listener, answer));
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
            let request = NewsRequest { known: Default::default(), whole: false };
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
