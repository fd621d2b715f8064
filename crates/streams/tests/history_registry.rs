//! What a process knows of origins that it may have missed, and whom it asks.

mod support;

use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use support::{route, stream_origin};
use tokio::sync::mpsc;
use tokio::task::LocalSet;
use yokefall_clock::{ElapsedClock, SuspensionSource};
use yokefall_serving::direct_messages::{DirectMessage, Envelope, MessageKind};
use yokefall_serving::fleet::empty_fleet;
use yokefall_serving::{
    empty_catalog, Backend, BackendState, Catalog, CatalogCell, Configuration, Fleet, FleetMember,
    SoftwareVersion,
};
use yokefall_streams::history::{HistoryMessage, HistoryReport, RouteOrigin, WINDOW_MS};
use yokefall_streams::HistoryRegistry;

const OTHERS: usize = 10;
const SERVICE: &str = "models";

fn address(number: usize) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 2], 1_000 + number as u16))
}

fn member(number: usize) -> FleetMember {
    FleetMember {
        name: format!("member-{number}"),
        address: address(number),
        zone: "hall-1".into(),
        job_store: number < 3,
        accepting: true,
    }
}

/// Other processes, each of which answers with a complete history or not at all.
#[derive(Clone, Default)]
struct Others {
    silent: Arc<Mutex<HashMap<SocketAddr, bool>>>,
    known: Arc<Mutex<Vec<RouteOrigin>>>,
    /// Answers on their way, while the network holds them back.
    held: Arc<Mutex<Option<Vec<DirectMessage>>>>,
    /// So many of them run the build before, which drops queries that tell their round.
    older_builds: Arc<Mutex<usize>>,
}

impl Others {
    fn set_silent(&self, numbers: std::ops::Range<usize>, is_silent: bool) {
        let mut silent = self.silent.lock().expect("the others");
        silent.extend(numbers.map(|number| (address(number), is_silent)));
    }

    /// Streams begin at another software version.
    fn learn(&self, version: &str) {
        let origin = RouteOrigin::new(&route(SERVICE), &stream_origin(SERVICE, version));
        self.known.lock().expect("the others").push(origin);
    }

    fn set_older_builds(&self, count: usize) {
        *self.older_builds.lock().expect("the others") = count;
    }

    fn hold_answers(&self) {
        *self.held.lock().expect("the others") = Some(Vec::new());
    }

    fn take_held(&self) -> Vec<DirectMessage> {
        self.held.lock().expect("the others").take().unwrap_or_default()
    }

    fn answer(&self, question: DirectMessage) -> Option<DirectMessage> {
        let is_silent = self.silent.lock().expect("the others").get(&question.peer).copied();
        if is_silent == Some(true) {
            return None;
        }
        let known = self.known.lock().expect("the others").clone();
        let origins = known.into_iter().map(|found| (found, 0)).collect();
        let report = HistoryReport { complete_ms: WINDOW_MS, origins };
        let older_builds = *self.older_builds.lock().expect("the others");
        let is_older = question.peer.port() < address(older_builds).port();
        let query = borsh::from_slice(&question.envelope.content).expect("a query");
        let answer = match query {
            HistoryMessage::RoundQuery(_) if is_older => return None,
            HistoryMessage::RoundQuery(number) => HistoryMessage::RoundReport(number, report),
            _ => HistoryMessage::Report(report),
        };
        let answer = message(question.peer, &answer);
        match self.held.lock().expect("the others").as_mut() {
            Some(held) => {
                held.push(answer);
                None
            }
            None => Some(answer),
        }
    }
}

fn message(peer: SocketAddr, content: &HistoryMessage) -> DirectMessage {
    let content = borsh::to_vec(content).expect("bytes");
    DirectMessage { peer, envelope: Envelope { kind: MessageKind::OriginHistory, content } }
}

/// A process that started with the whole system two minutes ago, and what it is sent.
struct Running {
    process: Rc<HistoryRegistry>,
    others: Others,
    catalog: CatalogCell,
    incoming: mpsc::UnboundedSender<DirectMessage>,
}

/// Runs a test with a process that started with the whole system two minutes ago.
async fn with_process<F>(others: Others, test: impl FnOnce(Rc<HistoryRegistry>, Others) -> F)
where
    F: std::future::Future<Output = ()>,
{
    with_running(others, |running| test(running.process, running.others)).await;
}

async fn with_running<F>(others: Others, test: impl FnOnce(Running) -> F)
where
    F: std::future::Future<Output = ()>,
{
    let (asked, mut questions) = mpsc::unbounded_channel();
    let (answers, answered) = mpsc::unbounded_channel();
    let (fleet, catalog) = (empty_fleet(), empty_catalog());
    let members = (0..OTHERS).map(member).collect();
    fleet.store(Arc::new(Fleet { members, ..Fleet::default() }));
    let clock = ElapsedClock::new(SuspensionSource::Machine);
    let process = HistoryRegistry::new("me".into(), true, catalog.clone(), fleet, clock, asked);
    let answering = others.clone();
    let incoming = answers.clone();
    LocalSet::new()
        .run_until(async {
            tokio::task::spawn_local(process.clone().run(answered));
            tokio::task::spawn_local(async move {
                while let Some(question) = questions.recv().await {
                    if let Some(answer) = answering.answer(question) {
                        let _ = answers.send(answer);
                    }
                }
            });
            tokio::time::sleep(Duration::from_secs(120)).await;
            test(Running { process, others, catalog, incoming }).await;
        })
        .await;
}

#[tokio::test(start_paused = true)]
async fn a_process_knows_all_origins_while_most_others_answer() {
    with_process(Others::default(), |process, others| async move {
        assert!(process.confirm().await);
        others.set_silent(0..2, true);
        for _ in 0..20 {
            assert!(process.confirm().await);
            tokio::time::sleep(Duration::from_secs(1)).await;
        }
    })
    .await;
}

/// Seen by reading: a gateway that was cut off relied on a list that others knew to be old.
#[tokio::test(start_paused = true)]
async fn a_process_that_is_cut_off_does_not_know_all_origins() {
    with_process(Others::default(), |process, others| async move {
        others.set_silent(0..OTHERS, true);
        assert!(!process.confirm().await);
        tokio::time::sleep(Duration::from_secs(300)).await;
        assert!(!process.confirm().await);
        others.set_silent(0..OTHERS, false);
        assert!(process.confirm().await);
    })
    .await;
}

/// The same for one that is cut off together with a few others.
#[tokio::test(start_paused = true)]
async fn a_process_in_touch_with_a_minority_does_not_know_all_origins() {
    with_process(Others::default(), |process, others| async move {
        others.set_silent(0..9, true);
        for _ in 0..20 {
            assert!(!process.confirm().await);
            tokio::time::sleep(Duration::from_secs(1)).await;
        }
    })
    .await;
}

/// Seen by reading: processes that were replaced by others were expected to answer while requests came
/// all the time.
#[tokio::test(start_paused = true)]
async fn processes_that_are_gone_are_forgotten_while_requests_come() {
    with_process(Others::default(), |process, others| async move {
        for gone in 1..=8 {
            others.set_silent(0..gone, true);
            for _ in 0..200 {
                process.confirm().await;
                tokio::time::sleep(Duration::from_millis(100)).await;
            }
            assert!(process.confirm().await, "{gone} are gone");
        }
    })
    .await;
}

#[tokio::test(start_paused = true)]
async fn processes_that_never_answered_are_not_waited_for() {
    let silent = Others::default();
    silent.set_silent(0..OTHERS, true);
    with_process(silent, |process, _| async move {
        assert!(process.confirm().await, "older builds do not answer");
    })
    .await;
}

/// Guards against a gateway that continued streams at the version of its own list: what it was sent
/// before it stood still, or was cut off, counted as the answer to what it asked afterwards.
#[tokio::test(start_paused = true)]
async fn answers_to_earlier_questions_confirm_nothing() {
    with_running(Others::default(), |Running { process, others, incoming, .. }| async move {
        assert!(process.confirm().await);
        others.hold_answers();
        assert!(!process.confirm().await);
        let held = others.take_held();
        assert!(!held.is_empty());
        others.learn("v2");
        others.set_silent(0..OTHERS, true);
        tokio::time::sleep(Duration::from_secs(2)).await;
        for answer in held {
            incoming.send(answer).expect("it runs");
        }
        assert!(!process.confirm().await, "nobody has answered");
        others.set_silent(0..OTHERS, false);
        assert!(process.confirm().await);
        assert!(process.has_other(&route(SERVICE), &stream_origin(SERVICE, "v1")));
    })
    .await;
}

/// Guards against the same with a question that an earlier request had asked just before.
#[tokio::test(start_paused = true)]
async fn a_question_asked_before_a_request_confirms_nothing() {
    with_process(Others::default(), |process, others| async move {
        assert!(process.confirm().await);
        assert!(!process.has_other(&route(SERVICE), &stream_origin(SERVICE, "v1")));
        others.learn("v2");
        tokio::time::sleep(Duration::from_millis(5)).await;
        assert!(process.confirm().await);
        assert!(
            process.has_other(&route(SERVICE), &stream_origin(SERVICE, "v1")),
            "the others know v2"
        );
    })
    .await;
}

/// Guards against a process that forgets all others after it was cut off for some minutes, and then
/// takes what it knows itself for all that there is.
#[tokio::test(start_paused = true)]
async fn a_process_that_was_cut_off_for_an_hour_does_not_know_all_origins() {
    with_process(Others::default(), |process, others| async move {
        assert!(process.confirm().await);
        others.set_silent(0..OTHERS, true);
        tokio::time::sleep(Duration::from_secs(3_600)).await;
        assert!(!process.confirm().await);
        others.set_silent(0..OTHERS, false);
        assert!(process.confirm().await);
    })
    .await;
}

#[tokio::test(start_paused = true)]
async fn processes_of_older_builds_confirm_what_they_know() {
    let others = Others::default();
    others.set_older_builds(OTHERS);
    with_process(others, |process, others| async move {
        assert!(process.confirm().await);
        others.learn("v2");
        tokio::time::sleep(Duration::from_millis(5)).await;
        assert!(process.confirm().await);
        assert!(process.has_other(&route(SERVICE), &stream_origin(SERVICE, "v1")));
        others.set_silent(0..OTHERS, true);
        assert!(!process.confirm().await);
    })
    .await;
}

/// Others are replaced, one after the other, by processes of the build before at the same addresses.
#[tokio::test(start_paused = true)]
async fn processes_that_go_back_to_an_older_build_are_not_missed() {
    with_process(Others::default(), |process, others| async move {
        for replaced in 1..=OTHERS {
            others.set_older_builds(replaced);
            for _ in 0..200 {
                process.confirm().await;
                tokio::time::sleep(Duration::from_millis(100)).await;
            }
            assert!(process.confirm().await, "{replaced} run the older build");
        }
        others.set_silent(0..OTHERS, true);
        assert!(!process.confirm().await);
    })
    .await;
}

/// The catalog of a service with one back end.
fn catalog_of(version: &str) -> Catalog {
    let backend = Arc::new(Backend {
        id: "i-0".into(),
        started_ms: 1,
        service: SERVICE.into(),
        address: "127.0.0.1:1".parse().expect("an address"),
        zone: "hall-1".into(),
        slots: 8,
        state: BackendState::Ready,
        cold_remaining_ms: 0,
        software_version: SoftwareVersion::of_record(Some(version)),
    });
    let configuration = Configuration { routes: vec![route(SERVICE)], ..Configuration::default() };
    Catalog::new(Some(Arc::new(configuration)), [backend].iter())
}

/// Guards against a process that confirms the list of another although its own tells of a version that
/// has joined since it last observed it.
#[tokio::test(start_paused = true)]
async fn a_report_tells_of_a_version_that_has_just_joined() {
    with_running(Others::default(), |Running { process, catalog, .. }| async move {
        catalog.store(Arc::new(catalog_of("v2")));
        let expected = RouteOrigin::new(&route(SERVICE), &stream_origin(SERVICE, "v2"));
        let reported = process.report().origins;
        assert!(reported.iter().any(|(found, _)| *found == expected));
    })
    .await;
}
