//! Lists and watches, against a source that does what the test says.

use std::cell::RefCell;
use std::collections::VecDeque;
use std::rc::Rc;
use std::time::Duration;

use tokio::sync::Notify;
use yokefall_serving::duty::Duty;
use yokefall_serving::source::{Revision, Source, SourceError, Watched};
use yokefall_serving::watch::{follow, Sink};
use yokefall_serving::{Change, Listing};

/// What a watch does next; without one it waits for ever.
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

    async fn list(&mut self) -> Result<Listing<u64>, SourceError> {
        Ok(Listing { items: Vec::new(), revision: 1 })
    }

    async fn watch(
        &mut self,
        _from: Revision,
        _wait: Duration,
    ) -> Result<Watched<u64>, SourceError> {
        self.watches.borrow_mut().push(tokio::time::Instant::now());
        match self.steps.pop_front() {
            Some(Step::Changes(revision)) => {
                let change = Change { name: "a".into(), revision, value: Some(revision) };
                Ok(Watched::Changes { changes: vec![change], revision })
            }
            Some(Step::Fail) => Err(failed()),
            None => std::future::pending().await,
        }
    }

    fn reset(&mut self) {}
}

struct Nobody;

/// Only few processes watch the store: it is paid for each call.
#[tokio::test(start_paused = true)]
async fn the_store_is_asked_only_while_the_duty_lasts() {
    let watches = Rc::new(RefCell::new(Vec::new()));
    let script = Script { steps: VecDeque::new(), watches: watches.clone() };
    let (sender, duty) = Duty::told();
    let following = follow(script, Nobody, Rc::default(), Rc::default(), duty);
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
    let following = follow(script, Nobody, Rc::default(), other.clone(), Duty::always());
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
