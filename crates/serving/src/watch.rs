//! What a process knows of the platform's objects, and the loop that keeps it current.
//!
//! Invariant: nothing goes backwards within a life of the process. A configuration is replaced only
//! by one of a higher version; an object only by one of a higher revision; and a list that is older
//! than what is held removes nothing.

use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use tokio::sync::Notify;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::catalog::{Catalog, CatalogCell};
use crate::model::{Backend, BackendState, Configuration};
use crate::news::Known;
use crate::source::{Change, Listing, Revision, Source, SourceError, Watched};

/// Longest time for which one watch waits.
pub const WATCH_WAIT: Duration = Duration::from_millis(12_000);
/// Pause after a watch that told changes before the next one: changes come together, as when a service
/// starts or is replaced, and each call is paid for by every process.
const GATHER_PAUSE: Duration = Duration::from_millis(200);
/// Time beyond the wait after which an unanswered watch counts as lost.
const WATCH_SLACK: Duration = Duration::from_millis(700);
/// Time after which an unanswered list counts as lost.
const LIST_TIMEOUT: Duration = Duration::from_millis(1_500);
/// First pause after a failed call.
const FIRST_PAUSE: Duration = Duration::from_millis(50);
/// Longest pause after failed calls.
const LONGEST_PAUSE: Duration = Duration::from_millis(800);

/// Objects of one kind by name, with the revision of each.
#[derive(Debug)]
pub struct Objects<T> {
    held: HashMap<String, (Revision, Arc<T>)>,
    /// Revision up to which everything is known.
    revision: Revision,
}

impl<T> Default for Objects<T> {
    fn default() -> Self {
        Self { held: HashMap::new(), revision: 0 }
    }
}

impl<T> Objects<T> {
    /// Takes a whole list. Returns false, and changes nothing, when it is older than what is held.
    pub fn replace(&mut self, listing: Listing<T>) -> bool {
        if listing.revision < self.revision {
            return false;
        }
        self.revision = listing.revision;
        let mut held = HashMap::new();
        for item in listing.items {
            if let Some(value) = item.value {
                held.insert(item.name, (item.revision, Arc::new(value)));
            }
        }
        self.held = held;
        true
    }

    /// Takes changes up to a revision; those older than what is held are left out.
    pub fn apply(&mut self, changes: Vec<Change<T>>, revision: Revision) {
        for change in changes {
            self.apply_one(change);
        }
        self.revision = self.revision.max(revision);
    }

    fn apply_one(&mut self, change: Change<T>) {
        let older = |(revision, _): &(Revision, Arc<T>)| *revision >= change.revision;
        let held_is_newer = self.held.get(&change.name).is_some_and(older);
        match change.value {
            // The removal of an object has no revision above its last change at every store.
            None => {
                self.held.remove(&change.name);
            }
            Some(_) if held_is_newer => {}
            Some(value) => {
                self.held.insert(change.name, (change.revision, Arc::new(value)));
            }
        }
    }

    /// Revision up to which everything is known.
    pub fn revision(&self) -> Revision {
        self.revision
    }

    /// The objects.
    pub fn values(&self) -> impl Iterator<Item = &Arc<T>> {
        self.held.values().map(|(_, value)| value)
    }
}

/// All that is known, and the cell that others read it from.
#[derive(Debug)]
pub struct Knowledge {
    configuration: Option<Arc<Configuration>>,
    backends: Objects<Backend>,
    /// Digest of the back ends and their states.
    digest: u64,
    cell: CatalogCell,
    /// Woken when what is known has changed.
    changed: Rc<Notify>,
}

impl Knowledge {
    /// Nothing known yet.
    pub fn new(cell: CatalogCell) -> Self {
        Self {
            configuration: None,
            backends: Objects::default(),
            digest: 0,
            cell,
            changed: Rc::default(),
        }
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

    fn publish(&mut self) {
        let hash = |backend: &Arc<Backend>| {
            let ready = u64::from(backend.state == BackendState::Ready);
            xxh3_64_with_seed(backend.id.as_bytes(), ready)
        };
        self.digest = self.backends.values().map(hash).fold(0, u64::wrapping_add);
        let catalog = Catalog::new(self.configuration.clone(), self.backends.values());
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
            let version = configuration.version;
            if self.knowledge.borrow_mut().take_configuration(configuration) {
                self.observer.configuration(version);
            }
        }
    }

    fn ended(&self, error: Option<&SourceError>) {
        self.observer.reachable("configuration", error);
    }
}

impl<O: Observer> SharedKnowledge<O> {
    fn tell_backends(&self) {
        let mut knowledge = self.knowledge.borrow_mut();
        knowledge.publish();
        let ready = knowledge.cell.load().ready.values().map(Vec::len).sum();
        self.observer.backends(ready, knowledge.backends.revision());
    }
}

impl<O: Observer> Sink<Backend> for SharedKnowledge<O> {
    fn replace(&self, listing: Listing<Backend>) {
        if self.knowledge.borrow_mut().backends.replace(listing) {
            self.tell_backends();
        }
    }

    fn apply(&self, changes: Vec<Change<Backend>>, revision: Revision) {
        let changed = !changes.is_empty();
        self.knowledge.borrow_mut().backends.apply(changes, revision);
        if changed {
            self.tell_backends();
        }
    }

    fn ended(&self, error: Option<&SourceError>) {
        self.observer.reachable("backends", error);
    }
}

/// Lists, then watches, for ever. A watch that fails, has lost its history or is ended by `refresh`
/// lists again. When the store answers after a failure, `other` ends the watch of another kind: a
/// connection on which an answer was lost says nothing more, and nobody would know before its wait ends.
pub async fn follow<T, S: Source<T>>(
    mut source: S,
    sink: impl Sink<T>,
    refresh: Rc<Notify>,
    other: Rc<Notify>,
) {
    let mut pause = FIRST_PAUSE;
    let mut failed = false;
    loop {
        let listed = || {
            if std::mem::take(&mut failed) {
                other.notify_one();
            }
        };
        match follow_once(&mut source, &sink, listed, &mut pause, &refresh).await {
            Ok(()) => {}
            Err(error) => {
                failed = true;
                sink.ended(Some(&error));
                source.reset();
                tokio::time::sleep(pause).await;
                pause = (pause * 2).min(LONGEST_PAUSE);
            }
        }
    }
}

async fn follow_once<T, S: Source<T>>(
    source: &mut S,
    sink: &impl Sink<T>,
    listed: impl FnOnce(),
    pause: &mut Duration,
    refresh: &Notify,
) -> Result<(), SourceError> {
    let listing = within(LIST_TIMEOUT, source.list()).await;
    count(source.kind(), "list", &listing);
    let listing = listing?;
    let mut revision = listing.revision;
    sink.replace(listing);
    sink.ended(None);
    listed();
    *pause = FIRST_PAUSE;
    loop {
        let watched = tokio::select! {
            watched = within(WATCH_WAIT + WATCH_SLACK, source.watch(revision, WATCH_WAIT)) => {
                Some(watched)
            }
            () = refresh.notified() => None,
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
                if changed {
                    tokio::time::sleep(GATHER_PAUSE).await;
                }
            }
            Watched::HistoryLost => return Ok(()),
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
