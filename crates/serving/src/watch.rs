//! The loop that keeps what a process knows of the platform's objects current, by lists and watches.

use std::rc::Rc;
use std::time::Duration;

use tokio::sync::Notify;
use yokefall_core::Timestamp;

use crate::listing::PartialList;
pub use crate::platform_state::{PlatformState, StateOptions};
pub use crate::shared_state::{EvacuationChange, Observer, SharedPlatformState};
use crate::source::{Change, Listing, Revision, Source, SourceError, WatchResponse};
use crate::watch_role::WatchRole;

/// Longest time for which one watch waits.
pub const WATCH_WAIT: Duration = Duration::from_millis(12_000);
/// Shortest and longest time for which the first watch after a list or a change waits, drawn anew each
/// time. All watchers begin again at the same moment then; where the store falls silent just after, each of
/// these calls is lost, and nothing shows it before its wait ends. Drawn apart, the first of them ends soon,
/// and in time for the rule: 6 s is the time by which a store that was down may delay a configuration.
const FIRST_WATCH_WAIT: std::ops::Range<Duration> =
    Duration::from_millis(1_500)..Duration::from_millis(6_000);
/// Shortest and longest time for which a watch waits where decisions rest on what was told lately. The answer to a
/// watch that told no change is the only proof that nothing changed. Of two watchers in each of three zones one is
/// answered every 0.6 s on average.
const FRESH_WATCH_WAIT: std::ops::Range<Duration> =
    Duration::from_millis(1_500)..Duration::from_millis(6_000);
/// Zones for whose watchers that holds.
const FRESH_WAIT_ZONES: f64 = 3.0;
/// The same for the first watch after a list or a change: all watchers begin again at once, and none of them proves
/// anything before its wait ends.
const FRESH_FIRST_WATCH_WAIT: std::ops::Range<Duration> =
    Duration::from_millis(700)..Duration::from_millis(3_000);
/// Pause after a watch that told changes before the next one: changes come together, as when a service
/// starts or is replaced, and each call is paid for by every process.
const GATHER_PAUSE: Duration = Duration::from_millis(200);
/// Time beyond the wait after which an unanswered watch counts as lost.
const WATCH_SLACK: Duration = Duration::from_millis(700);
/// Time after which an unanswered page of a list counts as lost.
const LIST_TIMEOUT: Duration = Duration::from_millis(1_500);
/// First pause after a failed call.
const FIRST_PAUSE: Duration = Duration::from_millis(50);
/// Longest pause after failed calls.
const LONGEST_PAUSE: Duration = Duration::from_millis(800);

/// What a watch loop feeds.
pub trait Sink<T> {
    /// Takes a whole list.
    fn replace(&self, listing: Listing<T>);
    /// Takes some objects of a list that has not been read to its end.
    fn part(&self, _items: &[Change<T>]) {}
    /// Takes changes.
    fn apply(&self, changes: Vec<Change<T>>, revision: Revision);
    /// Hears how a call ended; `None` for success.
    fn ended(&self, error: Option<&SourceError>);
    /// The present moment, of a clock that counts suspensions of the machine.
    fn now(&self) -> Timestamp {
        Timestamp(0)
    }
    /// The store answered a call that was made at a moment; it held a watch that tells no change back for a time.
    fn answered(&self, _asked: Timestamp, _held_back_ms: u64) {}
}

/// For how long watches wait.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Waits {
    /// As long as the store lets them, so that few calls are made.
    Long,
    /// Short enough that what is known is confirmed every few seconds: each zone has watchers of its own, so that the
    /// more zones there are the longer each watch may wait.
    Fresh {
        /// Zones of the fleet.
        zones: usize,
    },
}

impl Waits {
    /// Wait of the first watch after a list or a change.
    fn first(self) -> Duration {
        match self {
            Waits::Long => rand::random_range(FIRST_WATCH_WAIT),
            Waits::Fresh { zones } => fresh(FRESH_FIRST_WATCH_WAIT, zones),
        }
    }

    /// Wait of the watches after it.
    fn next(self) -> Duration {
        match self {
            Waits::Long => WATCH_WAIT,
            Waits::Fresh { zones } => fresh(FRESH_WATCH_WAIT, zones),
        }
    }
}

/// A wait out of a range, longer where more than three zones ask.
fn fresh(range: std::ops::Range<Duration>, zones: usize) -> Duration {
    let factor = (zones as f64 / FRESH_WAIT_ZONES).max(1.0);
    rand::random_range(range).mul_f64(factor).min(WATCH_WAIT)
}

/// What begins, ends and paces the lists and watches of a kind.
pub struct Follow {
    /// Ends the present watch, so that the store is asked again.
    pub refresh: Rc<Notify>,
    /// End the watches of other kinds.
    pub others: Vec<Rc<Notify>>,
    /// Whether the store is to be asked.
    pub watch_role: WatchRole,
    /// For how long watches wait.
    pub waits: Waits,
}

/// Lists, then watches, while this process has the duty to. A watch that fails, has lost its history or
/// is ended by `refresh` lists again. When the store answers after a failure, the watches of other kinds are ended: a
/// connection on which an answer was lost says nothing more, and nobody would know before its wait ends.
pub async fn follow<T, S: Source<T>>(mut source: S, sink: impl Sink<T>, mut follow: Follow) {
    let mut pause = FIRST_PAUSE;
    let mut failed = false;
    let mut list = PartialList::default();
    loop {
        follow.watch_role.started().await;
        let once =
            follow_once(&mut source, &mut list, &sink, &mut follow, &mut failed, &mut pause).await;
        if let Err(error) = once {
            failed = true;
            sink.ended(Some(&error));
            source.reset();
            // Spread, so that processes that failed together do not call together.
            tokio::time::sleep(pause.mul_f64(rand::random_range(0.5..1.5))).await;
            pause = (pause * 2).min(LONGEST_PAUSE);
        }
    }
}

async fn follow_once<T, S: Source<T>>(
    source: &mut S,
    list: &mut PartialList<T>,
    sink: &impl Sink<T>,
    follow: &mut Follow,
    failed: &mut bool,
    pause: &mut Duration,
) -> Result<(), SourceError> {
    while !list.is_complete() {
        // What a peer has told meanwhile is not read as well.
        if !follow.watch_role.is_active() {
            return Ok(());
        }
        let asked = sink.now();
        let page = within(LIST_TIMEOUT, source.list(list.after())).await;
        count(source.kind(), "list", &page);
        let page = page?;
        if page.next.is_some() {
            sink.part(&page.items);
        }
        list.add(page, asked);
        *pause = FIRST_PAUSE;
    }
    let asked = list.asked();
    let listing = list.take();
    let mut revision = listing.revision;
    sink.replace(listing);
    sink.answered(asked, 0);
    sink.ended(None);
    if std::mem::take(failed) {
        follow.others.iter().for_each(|other| other.notify_one());
    }
    *pause = FIRST_PAUSE;
    let mut wait = follow.waits.first();
    loop {
        let asked = sink.now();
        let watched = tokio::select! {
            watched = within(wait + WATCH_SLACK, source.watch(revision, wait)) => {
                Some(watched)
            }
            () = follow.refresh.notified() => None,
            () = follow.watch_role.ended() => None,
        };
        let Some(watched) = watched else {
            source.reset();
            return Ok(());
        };
        count(source.kind(), "watch", &watched);
        match watched? {
            WatchResponse::Changes { changes, revision: next } => {
                revision = revision.max(next);
                let changed = !changes.is_empty();
                sink.apply(changes, revision);
                sink.answered(asked, if changed { 0 } else { wait.as_millis() as u64 });
                wait = follow.waits.next();
                if changed {
                    wait = follow.waits.first();
                    tokio::time::sleep(GATHER_PAUSE).await;
                }
            }
            WatchResponse::HistoryLost => return Ok(()),
        }
    }
}

/// Counts a call to the platform's store by its outcome.
fn count<T>(kind: &'static str, call: &'static str, answer: &Result<T, SourceError>) {
    let outcome = match answer {
        Ok(_) => "ok",
        Err(SourceError::Refused { .. }) => "refused",
        Err(SourceError::Failed { .. }) => "failed",
    };
    metrics::counter!("platform_calls_total", "kind" => kind, "call" => call, "outcome" => outcome)
        .increment(1);
}

async fn within<T>(
    limit: Duration,
    call: impl std::future::Future<Output = Result<T, SourceError>>,
) -> Result<T, SourceError> {
    match tokio::time::timeout(limit, call).await {
        Ok(answer) => answer,
        Err(_) => Err(SourceError::Failed {
            step: "await answer",
            peer: String::new(),
            cause: format!("none within {limit:?}"),
        }),
    }
}
