//! Lists and watches, against a scripted source.

use std::cell::RefCell;
use std::collections::VecDeque;
use std::rc::Rc;
use std::time::Duration;

use tokio::sync::Notify;
use yokefall_serving::source::{Revision, Source, SourceError, WatchResponse};
use yokefall_serving::watch::{run_watch, Sink, WatchOptions, WatchWaits};
use yokefall_serving::watch_role::WatchRole;
use yokefall_serving::{Change, ListPage, Listing};

/// Result of the next watch; without a step it waits for the requested time and returns no change.
enum Step {
    Changes(Revision),
    Fail,
}

struct ScriptedSource {
    steps: VecDeque<Step>,
    watches: Rc<RefCell<Vec<tokio::time::Instant>>>,
}

fn failed() -> SourceError {
    SourceError::Failed { step: "watch", peer: "store".into(), cause: "scripted failure".into() }
}

impl Source<u64> for ScriptedSource {
    fn kind(&self) -> &'static str {
        "numbers"
    }

    async fn list(&mut self, _after: Option<&str>) -> Result<ListPage<u64>, SourceError> {
        Ok(ListPage { items: Vec::new(), revision: 1, next: None })
    }

    async fn watch(
        &mut self,
        from: Revision,
        wait: Duration,
    ) -> Result<WatchResponse<u64>, SourceError> {
        self.watches.borrow_mut().push(tokio::time::Instant::now());
        match self.steps.pop_front() {
            Some(Step::Changes(revision)) => {
                let change = Change { name: "a".into(), revision, value: Some(revision) };
                Ok(WatchResponse::Changes { changes: vec![change], revision })
            }
            Some(Step::Fail) => Err(failed()),
            None => {
                tokio::time::sleep(wait).await;
                Ok(WatchResponse::Changes { changes: Vec::new(), revision: from })
            }
        }
    }

    fn reset(&mut self) {}
}

struct NullSink;

fn options(watch_role: WatchRole) -> WatchOptions {
    WatchOptions { refresh: Rc::default(), others: Vec::new(), watch_role, waits: WatchWaits::Long }
}

/// Only a few processes may watch the store, because each call is billed.
#[tokio::test(start_paused = true)]
async fn the_store_is_queried_only_while_the_role_is_active() {
    let watches = Rc::new(RefCell::new(Vec::new()));
    let script = ScriptedSource { steps: VecDeque::new(), watches: watches.clone() };
    let (sender, watch_role) = WatchRole::controlled();
    let watching = run_watch(script, NullSink, options(watch_role));
    let steps = async {
        let pause = || tokio::time::sleep(Duration::from_secs(1));
        pause().await;
        assert_eq!(watches.borrow().len(), 0);
        sender.send_replace(true);
        pause().await;
        assert_eq!(watches.borrow().len(), 1);
        sender.send_replace(false);
        pause().await;
        sender.send_replace(true);
        pause().await;
        assert_eq!(watches.borrow().len(), 2);
    };
    tokio::select! {
        () = watching => {}
        () = steps => {}
    }
}

impl Sink<u64> for NullSink {
    fn replace(&self, _listing: Listing<u64>) {}
    fn apply(&self, _changes: Vec<Change<u64>>, _revision: Revision) {}
    fn ended(&self, _error: Option<&SourceError>) {}
}

/// Runs a script; returns whether the other watch was ended, and when watches began.
async fn run_script(steps: Vec<Step>) -> (bool, Vec<tokio::time::Instant>) {
    let watches = Rc::new(RefCell::new(Vec::new()));
    let script = ScriptedSource { steps: steps.into(), watches: watches.clone() };
    let other = Rc::new(Notify::new());
    let watching = run_watch(
        script,
        NullSink,
        WatchOptions { others: vec![other.clone()], ..options(WatchRole::always()) },
    );
    let _ = tokio::time::timeout(Duration::from_secs(5), watching).await;
    let ended = tokio::time::timeout(Duration::from_millis(1), other.notified()).await.is_ok();
    let watches = watches.borrow().clone();
    (ended, watches)
}

/// The store stops responding, and the watch of back ends fails and recovers. That of
/// configurations must be ended too: it was left on a connection that delivered nothing more.
#[tokio::test(start_paused = true)]
async fn other_watches_end_when_the_store_recovers() {
    let (ended, _) = run_script(vec![Step::Fail]).await;
    assert!(ended);
}

#[tokio::test(start_paused = true)]
async fn other_watches_continue_while_the_store_responds() {
    let (ended, _) = run_script(vec![Step::Changes(2), Step::Changes(3)]).await;
    assert!(!ended);
}

/// Each watch that returns a single change costs one call per process.
#[tokio::test(start_paused = true)]
async fn changes_are_batched_between_watches() {
    let (_, watches) = run_script((2..6).map(Step::Changes).collect()).await;
    let min_interval = watches.windows(2).map(|pair| pair[1] - pair[0]).min().expect("watches");
    assert!(
        min_interval >= Duration::from_millis(100) && min_interval <= Duration::from_millis(500)
    );
}

/// A store with `PAGES` pages that rejects every third call.
struct PagedSource {
    calls: u32,
    asked: Rc<RefCell<Vec<Option<String>>>>,
}

const PAGES: u64 = 5;

impl Source<u64> for PagedSource {
    fn kind(&self) -> &'static str {
        "numbers"
    }

    async fn list(&mut self, after: Option<&str>) -> Result<ListPage<u64>, SourceError> {
        self.asked.borrow_mut().push(after.map(str::to_owned));
        self.calls += 1;
        if self.calls % 3 == 0 {
            return Err(SourceError::Refused { status: 429 });
        }
        let number = after.map_or(0, |name| name.parse::<u64>().expect("a number") + 1);
        let item = Change { name: number.to_string(), revision: number, value: Some(number) };
        let next = (number + 1 < PAGES).then(|| number.to_string());
        Ok(ListPage { items: vec![item], revision: 100 + number, next })
    }

    async fn watch(
        &mut self,
        from: Revision,
        wait: Duration,
    ) -> Result<WatchResponse<u64>, SourceError> {
        tokio::time::sleep(wait).await;
        Ok(WatchResponse::Changes { changes: Vec::new(), revision: from })
    }

    fn reset(&mut self) {}
}

#[derive(Clone, Default)]
struct RecordingSink(Rc<RefCell<Vec<Listing<u64>>>>);

impl Sink<u64> for RecordingSink {
    fn replace(&self, listing: Listing<u64>) {
        self.0.borrow_mut().push(listing);
    }

    fn apply(&self, _changes: Vec<Change<u64>>, _revision: Revision) {}

    fn ended(&self, _error: Option<&SourceError>) {}
}

/// A large fleet's list takes many calls; a rejected one must not discard the pages before it.
#[tokio::test(start_paused = true)]
async fn a_list_resumes_after_a_rejected_call() {
    let asked: Rc<RefCell<Vec<Option<String>>>> = Rc::default();
    let sink = RecordingSink::default();
    let source = PagedSource { calls: 0, asked: asked.clone() };
    let watching = run_watch(source, sink.clone(), options(WatchRole::always()));
    tokio::select! {
        () = watching => {}
        () = tokio::time::sleep(Duration::from_secs(5)) => {}
    }
    let lists = sink.0.borrow();
    assert_eq!(lists.len(), 1);
    assert_eq!(lists[0].items.len() as u64, PAGES);
    assert_eq!(lists[0].revision, 100, "the watch starts from the revision of the first page");
    let first_pages = asked.borrow().iter().filter(|after| after.is_none()).count();
    assert_eq!(
        (first_pages, asked.borrow().len()),
        (1, 7),
        "five pages, two of them requested twice"
    );
}

/// A store that answers lists and the first watch; all other watches are lost.
struct UnresponsiveSource {
    lists: Rc<RefCell<u32>>,
    change_sent: bool,
}

impl Source<u64> for UnresponsiveSource {
    fn kind(&self) -> &'static str {
        "numbers"
    }

    async fn list(&mut self, _after: Option<&str>) -> Result<ListPage<u64>, SourceError> {
        *self.lists.borrow_mut() += 1;
        Ok(ListPage { items: Vec::new(), revision: 1, next: None })
    }

    async fn watch(
        &mut self,
        _from: Revision,
        _wait: Duration,
    ) -> Result<WatchResponse<u64>, SourceError> {
        if std::mem::replace(&mut self.change_sent, true) {
            return std::future::pending().await;
        }
        let change = Change { name: "a".into(), revision: 2, value: Some(2) };
        Ok(WatchResponse::Changes { changes: vec![change], revision: 2 })
    }

    fn reset(&mut self) {}
}

/// A store that stops responding when all restart must be noticed long before a full wait ends.
#[tokio::test(start_paused = true)]
async fn a_watch_lost_after_a_change_is_detected_soon() {
    let lists: Rc<RefCell<u32>> = Rc::default();
    let source = UnresponsiveSource { lists: lists.clone(), change_sent: false };
    let watching = run_watch(source, NullSink, options(WatchRole::always()));
    tokio::select! {
        () = watching => {}
        () = tokio::time::sleep(Duration::from_millis(7_200)) => {}
    }
    assert!(*lists.borrow() >= 2, "the list is read again");
}

/// Only the response to a watch without changes proves that the state is still current.
#[tokio::test(start_paused = true)]
async fn watches_end_within_seconds_if_recent_state_is_required() {
    let watches = Rc::new(RefCell::new(Vec::new()));
    let script = ScriptedSource { steps: VecDeque::new(), watches: watches.clone() };
    let fresh_options =
        WatchOptions { waits: WatchWaits::Fresh { zones: 3 }, ..options(WatchRole::always()) };
    let watching = run_watch(script, NullSink, fresh_options);
    let _ = tokio::time::timeout(Duration::from_secs(60), watching).await;
    let watches = watches.borrow();
    let longest = watches.windows(2).map(|pair| pair[1] - pair[0]).max().expect("watches");
    assert!(longest <= Duration::from_millis(6_000), "{longest:?}");
    assert!((10..=30).contains(&watches.len()), "{} calls in a minute", watches.len());
}
