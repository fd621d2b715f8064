//! What a process knows of the platform's objects, and the loop that keeps it current.
//!
//! Invariant: nothing goes backwards within a life of the process. A configuration is replaced only
//! by one of a higher version; an object only by one of a higher revision; and a list that is older
//! than what is held removes nothing.

use std::cell::RefCell;
use std::collections::BTreeSet;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use tokio::sync::Notify;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::catalog::{Catalog, CatalogCell, ZoneFacts};
use crate::duty::Duty;
use crate::eligibility::{unknown_regions, ZoneMap};
use crate::listing::PartialList;
use crate::model::{Backend, BackendState, Configuration, Evacuation};
use crate::news::Known;
use crate::news_exchange::{BackendNews, NamedBackend, NewsAnswer, NewsRequest};
use crate::objects::Objects;
use crate::source::{Change, Listing, Revision, Source, SourceError, Watched};

/// Longest time for which one watch waits.
pub const WATCH_WAIT: Duration = Duration::from_millis(12_000);
/// Shortest and longest time for which the first watch after a list or a change waits, drawn anew each
/// time. All watchers begin again at the same moment then; where the store falls silent just after, each of
/// these calls is lost, and nothing shows it before its wait ends. Drawn apart, the first of them ends soon,
/// and in time for the rule: 6 s is the time by which a store that was down may delay a configuration.
const FIRST_WATCH_WAIT: std::ops::Range<Duration> =
    Duration::from_millis(1_500)..Duration::from_millis(6_000);
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

/// All that is known, and the cell that others read it from.
#[derive(Debug)]
pub struct Knowledge {
    configuration: Option<Arc<Configuration>>,
    backends: Objects<Backend>,
    /// Zones that operators have evacuated, by the name of each request.
    evacuations: Objects<Evacuation>,
    /// Regions of zones.
    zones: Arc<ZoneMap>,
    /// Digest of the back ends and their states.
    digest: u64,
    cell: CatalogCell,
    /// Woken when what is known has changed.
    changed: Rc<Notify>,
    /// Kinds of objects that the store gave when it was last asked.
    answered: BTreeSet<&'static str>,
}

/// Kinds of objects that a process follows: configuration and back ends.
const FOLLOWED_KINDS: usize = 2;

impl Knowledge {
    /// Nothing known yet.
    pub fn new(cell: CatalogCell, zones: Arc<ZoneMap>) -> Self {
        Self {
            configuration: None,
            backends: Objects::default(),
            evacuations: Objects::default(),
            zones,
            digest: 0,
            cell,
            changed: Rc::default(),
            answered: BTreeSet::new(),
        }
    }

    /// Whether the store answers this process, by the last calls of each kind.
    pub fn is_in_touch(&self) -> bool {
        self.answered.len() == FOLLOWED_KINDS
    }

    fn note_answered(&mut self, kind: &'static str, answered: bool) {
        match answered {
            true => self.answered.insert(kind),
            false => self.answered.remove(kind),
        };
    }

    /// Takes a configuration; returns whether it is newer than the one in force.
    pub fn take_configuration(&mut self, configuration: Configuration) -> bool {
        let held = self.configuration.as_ref().map_or(0, |held| held.version);
        if configuration.version <= held {
            return false;
        }
        self.configuration = Some(Arc::new(configuration));
        self.publish();
        true
    }

    /// The configuration in force.
    pub fn configuration(&self) -> Option<&Arc<Configuration>> {
        self.configuration.as_ref()
    }

    /// Back ends that are known, draining ones too.
    pub fn backends(&self) -> &Objects<Backend> {
        &self.backends
    }

    /// Woken when what is known has changed.
    pub fn changed(&self) -> Rc<Notify> {
        self.changed.clone()
    }

    /// What is known, to be told to peers.
    pub fn known(&self) -> Known {
        Known {
            version: self.configuration.as_ref().map_or(0, |held| held.version),
            backends_digest: self.digest,
            backends_revision: self.backends.revision(),
        }
    }

    /// What a peer that knows less is told.
    pub fn answer(&self, request: &NewsRequest) -> NewsAnswer {
        let held = self.configuration.as_ref();
        let configuration = held.filter(|held| held.version > request.known.version);
        let known = request.known.backends_revision;
        let since = (!request.whole && self.backends.covers(known)).then_some(known);
        let after = since.unwrap_or(0);
        let changed = |(name, revision, backend): (&String, Revision, &Arc<Backend>)| {
            let (name, backend) = (name.clone(), Backend::clone(backend));
            NamedBackend { name, revision, backend }
        };
        NewsAnswer {
            known: self.known(),
            configuration: configuration.map(|held| Configuration::clone(held)),
            backends: BackendNews {
                since,
                changed: self.backends.changed_after(after).map(changed).collect(),
                removed: self.backends.removed_after(after).cloned().collect(),
            },
        }
    }

    /// Takes what a peer told of back ends. Returns whether the same is known here now; where it is
    /// not, the whole list is to be asked for.
    pub fn take_backend_news(&mut self, peer: Known, news: BackendNews) -> bool {
        let revision = peer.backends_revision;
        let BackendNews { since, changed, removed } = news;
        let changes = changed.into_iter().map(|named| Change {
            name: named.name,
            revision: named.revision,
            value: Some(named.backend),
        });
        match since {
            None => {
                self.backends.replace(Listing { items: changes.collect(), revision });
            }
            // What changed in between came from elsewhere meanwhile: it is newer or the same.
            Some(_) => {
                self.backends.remove(removed);
                self.backends.apply(changes.collect(), revision);
            }
        }
        self.publish();
        self.backends.revision() != revision || self.digest == peer.backends_digest
    }

    fn publish(&mut self) {
        let hash = |backend: &Arc<Backend>| {
            let ready = u64::from(backend.state == BackendState::Ready);
            xxh3_64_with_seed(backend.id.as_bytes(), ready)
        };
        self.digest = self.backends.values().map(hash).fold(0, u64::wrapping_add);
        let evacuated = self.evacuations.values().map(|evacuation| evacuation.zone.clone());
        let facts = ZoneFacts { evacuated: evacuated.collect(), zones: self.zones.clone() };
        let catalog =
            Catalog::with_zones(self.configuration.clone(), self.backends.values(), facts);
        self.cell.store(Arc::new(catalog));
        self.changed.notify_one();
    }
}

/// What a watch loop feeds.
pub trait Sink<T> {
    /// Takes a whole list.
    fn replace(&self, listing: Listing<T>);
    /// Takes changes.
    fn apply(&self, changes: Vec<Change<T>>, revision: Revision);
    /// Hears how a call ended; `None` for success.
    fn ended(&self, error: Option<&SourceError>);
}

/// Told of each change of what a process believes.
pub trait Observer {
    /// A configuration came into force.
    fn configuration(&self, version: u64);
    /// A configuration in force names regions that no zone has, each as `route NAME: REGION`.
    fn unknown_regions(&self, version: u64, unknown: &[String]);
    /// Back ends changed: how many take work now, and at which revision.
    fn backends(&self, ready: usize, revision: Revision);
    /// Calls to the store began to fail, or succeed again.
    fn reachable(&self, kind: &'static str, error: Option<&SourceError>);
}

/// The knowledge of one process as a sink of both kinds.
pub struct SharedKnowledge<O> {
    /// What is known.
    pub knowledge: Rc<RefCell<Knowledge>>,
    /// Who is told.
    pub observer: Rc<O>,
}

impl<O> Clone for SharedKnowledge<O> {
    fn clone(&self) -> Self {
        Self { knowledge: self.knowledge.clone(), observer: self.observer.clone() }
    }
}

impl<O: Observer> Sink<Configuration> for SharedKnowledge<O> {
    fn replace(&self, listing: Listing<Configuration>) {
        self.apply(listing.items, listing.revision);
    }

    fn apply(&self, changes: Vec<Change<Configuration>>, _revision: Revision) {
        for configuration in changes.into_iter().filter_map(|change| change.value) {
            self.take_configuration(configuration);
        }
    }

    fn ended(&self, error: Option<&SourceError>) {
        self.knowledge.borrow_mut().note_answered("configuration", error.is_none());
        self.observer.reachable("configuration", error);
    }
}

impl<O: Observer> SharedKnowledge<O> {
    /// Takes what a peer told. Returns whether its whole list of back ends is needed.
    pub fn take_news(&self, answer: NewsAnswer) -> bool {
        if let Some(configuration) = answer.configuration {
            self.take_configuration(configuration);
        }
        let own = self.knowledge.borrow().known();
        let is_same = own.backends_digest == answer.known.backends_digest;
        let (held, told) = (own.backends_revision, answer.known.backends_revision);
        if held > told || (held == told && is_same) {
            return false;
        }
        let is_same = {
            let mut knowledge = self.knowledge.borrow_mut();
            knowledge.take_backend_news(answer.known, answer.backends)
        };
        self.tell_backends();
        !is_same
    }

    fn take_configuration(&self, configuration: Configuration) {
        let version = configuration.version;
        let unknown = unknown_regions(&configuration, &self.knowledge.borrow().zones);
        if self.knowledge.borrow_mut().take_configuration(configuration) {
            self.observer.configuration(version);
            if !unknown.is_empty() {
                self.observer.unknown_regions(version, &unknown);
            }
        }
    }

    fn publish_backends(&self) {
        self.knowledge.borrow_mut().publish();
        self.tell_backends();
    }

    fn tell_backends(&self) {
        let knowledge = self.knowledge.borrow();
        let ready = knowledge.cell.load().ready.values().map(Vec::len).sum();
        self.observer.backends(ready, knowledge.backends.revision());
    }
}

impl<O: Observer> Sink<Backend> for SharedKnowledge<O> {
    fn replace(&self, listing: Listing<Backend>) {
        if self.knowledge.borrow_mut().backends.replace(listing) {
            self.publish_backends();
        }
    }

    fn apply(&self, changes: Vec<Change<Backend>>, revision: Revision) {
        let changed = !changes.is_empty();
        self.knowledge.borrow_mut().backends.apply(changes, revision);
        if changed {
            self.publish_backends();
        }
    }

    fn ended(&self, error: Option<&SourceError>) {
        self.knowledge.borrow_mut().note_answered("backends", error.is_none());
        self.observer.reachable("backends", error);
    }
}

/// Lists, then watches, while this process has the duty to. A watch that fails, has lost its history or
/// is ended by `refresh` lists again. When the store answers after a failure, `other` ends the watch of another kind: a
/// connection on which an answer was lost says nothing more, and nobody would know before its wait ends.
pub async fn follow<T, S: Source<T>>(
    mut source: S,
    sink: impl Sink<T>,
    refresh: Rc<Notify>,
    other: Rc<Notify>,
    mut duty: Duty,
) {
    let mut pause = FIRST_PAUSE;
    let mut failed = false;
    let mut list = PartialList::default();
    loop {
        duty.begun().await;
        let listed = || {
            if std::mem::take(&mut failed) {
                other.notify_one();
            }
        };
        let once =
            follow_once(&mut source, &mut list, &sink, listed, &mut pause, &refresh, &mut duty);
        match once.await {
            Ok(()) => {}
            Err(error) => {
                failed = true;
                sink.ended(Some(&error));
                source.reset();
                // Spread, so that processes that failed together do not call together.
                tokio::time::sleep(pause.mul_f64(rand::random_range(0.5..1.5))).await;
                pause = (pause * 2).min(LONGEST_PAUSE);
            }
        }
    }
}

async fn follow_once<T, S: Source<T>>(
    source: &mut S,
    list: &mut PartialList<T>,
    sink: &impl Sink<T>,
    listed: impl FnOnce(),
    pause: &mut Duration,
    refresh: &Notify,
    duty: &mut Duty,
) -> Result<(), SourceError> {
    while !list.is_complete() {
        let page = within(LIST_TIMEOUT, source.list(list.after())).await;
        count(source.kind(), "list", &page);
        list.add(page?);
        *pause = FIRST_PAUSE;
    }
    let listing = list.take();
    let mut revision = listing.revision;
    sink.replace(listing);
    sink.ended(None);
    listed();
    *pause = FIRST_PAUSE;
    let mut wait = first_watch_wait();
    loop {
        let watched = tokio::select! {
            watched = within(wait + WATCH_SLACK, source.watch(revision, wait)) => {
                Some(watched)
            }
            () = refresh.notified() => None,
            () = duty.ended() => None,
        };
        let Some(watched) = watched else {
            source.reset();
            return Ok(());
        };
        count(source.kind(), "watch", &watched);
        match watched? {
            Watched::Changes { changes, revision: next } => {
                revision = revision.max(next);
                let changed = !changes.is_empty();
                sink.apply(changes, revision);
                wait = WATCH_WAIT;
                if changed {
                    wait = first_watch_wait();
                    tokio::time::sleep(GATHER_PAUSE).await;
                }
            }
            Watched::HistoryLost => return Ok(()),
        }
    }
}

fn first_watch_wait() -> Duration {
    rand::random_range(FIRST_WATCH_WAIT)
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
