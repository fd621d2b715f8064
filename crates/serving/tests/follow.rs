//! Lists and watches, against a source that does what the test says.

use std::cell::RefCell;
use std::collections::VecDeque;
use std::rc::Rc;
use std::time::Duration;

use tokio::sync::Notify;
use yokefall_serving::source::{Revision, Source, SourceError, WatchResponse};
use yokefall_serving::watch::{follow, Follow, Sink, Waits};
use yokefall_serving::watch_role::WatchRole;
use yokefall_serving::{Change, ListPage, Listing};

/// What a watch does next; without one it waits for as long as it was asked to, and tells no change.
enum Step {
    Changes(Revision),
    Fail,
}

struct Script {
    steps: VecDeque<Step>,
    watches: Rc<RefCell<Vec<tokio::time::Instant>>>,
}

fn failed() -> SourceError {
    SourceError::Failed { step: "watch", peer: "store".into(), cause: "the script says so".into() }
}

impl Source<u64> for Script {
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

struct Nobody;

fn controlled(watch_role: WatchRole) -> Follow {
    Follow { refresh: Rc::default(), others: Vec::new(), watch_role, waits: Waits::Long }
}

/// Only few processes watch the store: it is paid for each call.
#[tokio::test(start_paused = true)]
async fn the_store_is_asked_only_while_the_duty_lasts() {
    let watches = Rc::new(RefCell::new(Vec::new()));
    let script = Script { steps: VecDeque::new(), watches: watches.clone() };
    let (sender, watch_role) = WatchRole::controlled();
    let following = follow(script, Nobody, controlled(watch_role));
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
        () = following => {}
        () = steps => {}
    }
}

impl Sink<u64> for Nobody {
    fn replace(&self, _listing: Listing<u64>) {}
    fn apply(&self, _changes: Vec<Change<u64>>, _revision: Revision) {}
    fn ended(&self, _error: Option<&SourceError>) {}
}

/// Plays a script for a while; tells whether the other watch was ended, and when watches began.
async fn play(steps: Vec<Step>) -> (bool, Vec<tokio::time::Instant>) {
    let watches = Rc::new(RefCell::new(Vec::new()));
    let script = Script { steps: steps.into(), watches: watches.clone() };
    let other = Rc::new(Notify::new());
    let following = follow(
        script,
        Nobody,
        Follow { others: vec![other.clone()], ..controlled(WatchRole::always()) },
    );
    let _ = tokio::time::timeout(Duration::from_secs(5), following).await;
    let ended = tokio::time::timeout(Duration::from_millis(1), other.notified()).await.is_ok();
    let watches = watches.borrow().clone();
    (ended, watches)
}

/// Found by a hunt: the store fell silent, the watch of back ends was given up and came back, and the
/// watch of configurations waited on, on a connection that said nothing more.
#[tokio::test(start_paused = true)]
async fn when_the_store_answers_again_the_other_watch_is_ended() {
    let (ended, _) = play(vec![Step::Fail]).await;
    assert!(ended);
}

#[tokio::test(start_paused = true)]
async fn a_store_that_answers_ends_no_other_watch() {
    let (ended, _) = play(vec![Step::Changes(2), Step::Changes(3)]).await;
    assert!(!ended);
}

/// Each watch that tells one change costs a call of every process.
#[tokio::test(start_paused = true)]
async fn changes_are_gathered_between_two_watches() {
    let (_, watches) = play((2..6).map(Step::Changes).collect()).await;
    let least = watches.windows(2).map(|pair| pair[1] - pair[0]).min().expect("watches");
    assert!(least >= Duration::from_millis(100) && least <= Duration::from_millis(500));
}

/// A store that holds `PAGES` pages and turns every third call away.
struct Paged {
    calls: u32,
    asked: Rc<RefCell<Vec<Option<String>>>>,
}

const PAGES: u64 = 5;

impl Source<u64> for Paged {
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

/// Keeps what it was given.
#[derive(Clone, Default)]
struct Kept(Rc<RefCell<Vec<Listing<u64>>>>);

impl Sink<u64> for Kept {
    fn replace(&self, listing: Listing<u64>) {
        self.0.borrow_mut().push(listing);
    }

    fn apply(&self, _changes: Vec<Change<u64>>, _revision: Revision) {}

    fn ended(&self, _error: Option<&SourceError>) {}
}

/// The list of a large fleet takes many calls. One that is turned away must not cost those before it.
#[tokio::test(start_paused = true)]
async fn a_list_goes_on_after_a_call_that_was_turned_away() {
    let asked: Rc<RefCell<Vec<Option<String>>>> = Rc::default();
    let kept = Kept::default();
    let source = Paged { calls: 0, asked: asked.clone() };
    let following = follow(source, kept.clone(), controlled(WatchRole::always()));
    tokio::select! {
        () = following => {}
        () = tokio::time::sleep(Duration::from_secs(5)) => {}
    }
    let lists = kept.0.borrow();
    assert_eq!(lists.len(), 1);
    assert_eq!(lists[0].items.len() as u64, PAGES);
    assert_eq!(lists[0].revision, 100, "a watch goes on from the first page");
    let first_pages = asked.borrow().iter().filter(|after| after.is_none()).count();
    assert_eq!((first_pages, asked.borrow().len()), (1, 7), "five pages, two of them twice");
}

/// A store that answers lists and the first watch, and whose other watches are lost.
struct Silent {
    lists: Rc<RefCell<u32>>,
    told: bool,
}

impl Source<u64> for Silent {
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
        if std::mem::replace(&mut self.told, true) {
            return std::future::pending().await;
        }
        let change = Change { name: "a".into(), revision: 2, value: Some(2) };
        Ok(WatchResponse::Changes { changes: vec![change], revision: 2 })
    }

    fn reset(&mut self) {}
}

/// All watchers begin again when a change came. Where the store falls silent at that moment, somebody must
/// find out long before a whole wait has passed (Trasovka, trouble-3 64804258984).
#[tokio::test(start_paused = true)]
async fn a_watch_that_was_lost_after_a_change_is_found_out_soon() {
    let lists: Rc<RefCell<u32>> = Rc::default();
    let source = Silent { lists: lists.clone(), told: false };
    let following = follow(source, Nobody, controlled(WatchRole::always()));
    tokio::select! {
        () = following => {}
        () = tokio::time::sleep(Duration::from_millis(7_200)) => {}
    }
    assert!(*lists.borrow() >= 2, "listed again");
}

/// The answer to a watch that told no change is the only proof that what is known still holds.
#[tokio::test(start_paused = true)]
async fn where_news_is_to_be_fresh_each_watch_ends_within_seconds() {
    let watches = Rc::new(RefCell::new(Vec::new()));
    let script = Script { steps: VecDeque::new(), watches: watches.clone() };
    let waits = Follow { waits: Waits::Fresh { zones: 3 }, ..controlled(WatchRole::always()) };
    let following = follow(script, Nobody, waits);
    let _ = tokio::time::timeout(Duration::from_secs(60), following).await;
    let watches = watches.borrow();
    let longest = watches.windows(2).map(|pair| pair[1] - pair[0]).max().expect("watches");
    assert!(longest <= Duration::from_millis(6_000), "{longest:?}");
    assert!((10..=30).contains(&watches.len()), "{} calls in a minute", watches.len());
}
