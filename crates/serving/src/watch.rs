//! List-and-watch loop that keeps the local copy of the platform's objects current.

use std::rc::Rc;
use std::time::Duration;

use tokio::sync::Notify;
use yokefall_core::Timestamp;
use yokefall_telemetry::{EventName, LogLine};

use crate::listing::{ListEnd, PartialList};
pub use crate::platform_state::{PlatformState, StateOptions};
pub use crate::shared_state::{EvacuationChange, Observer, SharedPlatformState};
use crate::source::{Change, Listing, Revision, Source, SourceError, WatchResponse};
use crate::watch_role::WatchRole;

/// Maximum time for which one watch waits.
pub const MAX_WATCH_WAIT: Duration = Duration::from_millis(12_000);
/// Range of the random first wait after a list or a change. All watchers restart at once; if the
/// store then stops responding, this is noticed only when a wait ends. With random waits the first
/// ends early enough: a store that was down may delay a configuration by at most 6 s.
const FIRST_WATCH_WAIT: std::ops::Range<Duration> =
    Duration::from_millis(1_500)..Duration::from_millis(6_000);
/// Range of watch waits if decisions need recent state: only a response without changes proves that
/// nothing changed. With two watchers in each of three zones, one comes every 0.6 s on average.
const FRESH_WATCH_WAIT: std::ops::Range<Duration> =
    Duration::from_millis(1_500)..Duration::from_millis(6_000);
/// Number of zones up to which `WatchWaits::Fresh` uses its ranges unscaled.
const FRESH_WAIT_ZONES: f64 = 3.0;
/// Range of the wait of the first watch after a list or a change if decisions depend on recent
/// state: all watchers restart at once, and none of them proves anything before its wait ends.
const FRESH_FIRST_WATCH_WAIT: std::ops::Range<Duration> =
    Duration::from_millis(700)..Duration::from_millis(3_000);
/// Pause after a watch that returned changes. Changes come in bursts, for example when a service
/// starts or is replaced, and every process pays for each call.
const BATCH_INTERVAL: Duration = Duration::from_millis(200);
/// Time beyond the wait after which an unanswered watch counts as failed.
const WATCH_GRACE: Duration = Duration::from_millis(700);
/// Timeout for one page of a list.
const LIST_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Time after which a list that ended early is read again.
const RELIST_INTERVAL: Duration = Duration::from_secs(10);
const INITIAL_BACKOFF: Duration = Duration::from_millis(50);
const MAX_BACKOFF: Duration = Duration::from_millis(800);

/// Revision of changes to objects that are not all known: it raises none.
pub const INCOMPLETE: Revision = 0;

/// Receives the results of lists and watches.
pub trait Sink<T> {
    /// Replaces all objects with a list.
    fn replace(&self, listing: Listing<T>);
    /// Receives one page of a list that is still being read.
    fn apply_page(&self, _items: &[Change<T>]) {}
    /// Applies changes. The objects are complete up to `revision`, unless it is [`INCOMPLETE`].
    fn apply(&self, changes: Vec<Change<T>>, revision: Revision);
    /// Reports the outcome of a call; `None` for success.
    fn ended(&self, error: Option<&SourceError>);
    /// Current time of a clock that includes the time for which the machine was suspended.
    fn now(&self) -> Timestamp {
        Timestamp(0)
    }
    /// Reports a response to a call made at `asked`, held back for `held_back_ms` without changes.
    fn answered(&self, _asked: Timestamp, _held_back_ms: u64) {}
}

/// How long watches wait.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WatchWaits {
    /// As long as the store allows, so that few calls are made.
    Long,
    /// Short enough that the state is confirmed every few seconds. Each zone has its own watchers,
    /// so the waits grow with the number of zones.
    Fresh {
        /// Number of zones of the fleet.
        zones: usize,
    },
}

impl WatchWaits {
    /// Wait of the first watch after a list or a change.
    fn first(self) -> Duration {
        match self {
            WatchWaits::Long => rand::random_range(FIRST_WATCH_WAIT),
            WatchWaits::Fresh { zones } => scaled_wait(FRESH_FIRST_WATCH_WAIT, zones),
        }
    }

    fn next(self) -> Duration {
        match self {
            WatchWaits::Long => MAX_WATCH_WAIT,
            WatchWaits::Fresh { zones } => scaled_wait(FRESH_WATCH_WAIT, zones),
        }
    }
}

/// Returns a random wait out of a range, scaled up if there are more than three zones.
fn scaled_wait(range: std::ops::Range<Duration>, zones: usize) -> Duration {
    let factor = (zones as f64 / FRESH_WAIT_ZONES).max(1.0);
    rand::random_range(range).mul_f64(factor).min(MAX_WATCH_WAIT)
}

/// Controls the list-and-watch loop of one kind.
pub struct WatchOptions {
    /// Ends the current watch so that the store is queried again.
    pub refresh: Rc<Notify>,
    /// Handles that end the watches of other kinds.
    pub others: Vec<Rc<Notify>>,
    /// Whether the store is to be queried.
    pub watch_role: WatchRole,
    /// How long watches wait.
    pub waits: WatchWaits,
}

/// Lists, then watches, while the role is active; lists again after a watch failed, lost its
/// history or was ended by `refresh`. A store that answers after a failure ends other watches too:
/// after a lost response, a connection may deliver nothing more, unnoticed until the wait ends.
pub async fn run_watch<T, S: Source<T>>(
    mut source: S,
    sink: impl Sink<T>,
    mut options: WatchOptions,
) {
    let mut backoff = INITIAL_BACKOFF;
    let mut failed = false;
    let mut list = PartialList::default();
    loop {
        options.watch_role.started().await;
        let once =
            list_and_watch(&mut source, &mut list, &sink, &mut options, &mut failed, &mut backoff)
                .await;
        if let Err(error) = once {
            failed = true;
            sink.ended(Some(&error));
            source.reset();
            // Jitter keeps processes that failed together from retrying together.
            tokio::time::sleep(backoff.mul_f64(rand::random_range(0.5..1.5))).await;
            backoff = (backoff * 2).min(MAX_BACKOFF);
        }
    }
}

async fn list_and_watch<T, S: Source<T>>(
    source: &mut S,
    list: &mut PartialList<T>,
    sink: &impl Sink<T>,
    options: &mut WatchOptions,
    failed: &mut bool,
    backoff: &mut Duration,
) -> Result<(), SourceError> {
    let Some(end) = read_list(source, list, sink, options, backoff).await? else { return Ok(()) };
    let asked = list.asked();
    let listing = list.take();
    let revision = listing.revision;
    match end {
        ListEnd::LastPage => {
            sink.replace(listing);
            sink.answered(asked, 0);
        }
        ListEnd::NoFurtherPage => sink.apply(listing.items, INCOMPLETE),
    }
    sink.ended(None);
    if std::mem::take(failed) {
        options.others.iter().for_each(|other| other.notify_one());
    }
    *backoff = INITIAL_BACKOFF;
    match end {
        ListEnd::LastPage => watch_changes(source, sink, options, (revision, end)).await,
        ListEnd::NoFurtherPage => {
            let watching = watch_changes(source, sink, options, (revision, end));
            // When the time is up, the list is read again.
            tokio::time::timeout(RELIST_INTERVAL, watching).await.unwrap_or(Ok(()))
        }
    }
}

/// Reads the remaining pages; returns `None` if the role has ended meanwhile.
async fn read_list<T, S: Source<T>>(
    source: &mut S,
    list: &mut PartialList<T>,
    sink: &impl Sink<T>,
    options: &WatchOptions,
    backoff: &mut Duration,
) -> Result<Option<ListEnd>, SourceError> {
    let mut cause = None;
    loop {
        if let Some(end) = list.end() {
            if end == ListEnd::NoFurtherPage {
                log_incomplete(source.kind(), list, cause.as_ref());
            }
            return Ok(Some(end));
        }
        // The list is not read further if a peer has supplied it in the meantime.
        if !options.watch_role.is_active() {
            return Ok(None);
        }
        let asked = sink.now();
        let page = with_timeout(LIST_TIMEOUT, source.list(list.after())).await;
        count_call(source.kind(), "list", &page);
        match page {
            Ok(page) => {
                if page.next.is_some() {
                    sink.apply_page(&page.items);
                }
                list.add(page, asked);
                *backoff = INITIAL_BACKOFF;
            }
            Err(error @ SourceError::Unusable { .. }) => {
                if !list.skip_position() {
                    return Err(error);
                }
                cause = Some(error);
            }
            Err(error @ SourceError::Failed { .. }) => {
                list.postpone_position();
                return Err(error);
            }
            Err(error @ SourceError::Refused { .. }) => return Err(error),
        }
    }
}

fn log_incomplete<T>(kind: &'static str, list: &PartialList<T>, cause: Option<&SourceError>) {
    metrics::counter!("platform_lists_incomplete_total", "kind" => kind).increment(1);
    LogLine::new(EventName::ListIncomplete)
        .id(kind)
        .field("objects", list.len())
        .field("cause", cause.map_or_else(|| "pages repeat".to_owned(), ToString::to_string))
        .write();
}

/// Applies changes after a revision until the history is lost, the watch is ended by `refresh`, or
/// the role ends.
async fn watch_changes<T, S: Source<T>>(
    source: &mut S,
    sink: &impl Sink<T>,
    options: &mut WatchOptions,
    (mut revision, list_end): (Revision, ListEnd),
) -> Result<(), SourceError> {
    let mut wait = options.waits.first();
    loop {
        let asked = sink.now();
        let watched = tokio::select! {
            watched = with_timeout(wait + WATCH_GRACE, source.watch(revision, wait)) => {
                Some(watched)
            }
            () = options.refresh.notified() => None,
            () = options.watch_role.ended() => None,
        };
        let Some(watched) = watched else {
            source.reset();
            return Ok(());
        };
        count_call(source.kind(), "watch", &watched);
        match watched? {
            WatchResponse::Changes { changes, revision: next } => {
                revision = revision.max(next);
                let changed = !changes.is_empty();
                match list_end {
                    ListEnd::LastPage => {
                        sink.apply(changes, revision);
                        let held_back_ms = if changed { 0 } else { wait.as_millis() as u64 };
                        sink.answered(asked, held_back_ms);
                    }
                    ListEnd::NoFurtherPage => sink.apply(changes, INCOMPLETE),
                }
                wait = options.waits.next();
                if changed {
                    wait = options.waits.first();
                    tokio::time::sleep(BATCH_INTERVAL).await;
                }
            }
            WatchResponse::HistoryLost => return Ok(()),
        }
    }
}

fn count_call<T>(kind: &'static str, call: &'static str, response: &Result<T, SourceError>) {
    let outcome = match response {
        Ok(_) => "ok",
        Err(SourceError::Refused { .. }) => "refused",
        Err(SourceError::Failed { .. } | SourceError::Unusable { .. }) => "failed",
    };
    metrics::counter!("platform_calls_total", "kind" => kind, "call" => call, "outcome" => outcome)
        .increment(1);
}

async fn with_timeout<T>(
    limit: Duration,
    call: impl std::future::Future<Output = Result<T, SourceError>>,
) -> Result<T, SourceError> {
    match tokio::time::timeout(limit, call).await {
        Ok(result) => result,
        Err(_) => Err(SourceError::Failed {
            step: "await answer",
            peer: String::new(),
            cause: format!("no response within {limit:?}"),
        }),
    }
}
