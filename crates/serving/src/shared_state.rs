//! What a process knows, as lists, watches and peers change it, and who is told of the changes.

use std::cell::RefCell;
use std::rc::Rc;

use yokefall_core::Timestamp;

use crate::ages::ObjectKind;
use crate::eligibility::unknown_regions;
use crate::model::{Backend, Configuration, Evacuation};
use crate::objects::{ObjectChange, Objects};
use crate::platform_state::PlatformState;
use crate::source::{Change, Listing, Revision, SourceError};
use crate::state_exchange::{NamedEvacuation, StateResponse};
use crate::watch::Sink;

/// Told of each change of what a process believes.
pub trait Observer {
    /// A configuration came into force.
    fn configuration(&self, version: u64);
    /// A configuration in force names regions that no zone has, each as `route NAME: REGION`.
    fn unknown_regions(&self, version: u64, unknown: &[String]);
    /// Back ends changed: how many take work now, and at which revision.
    fn backends(&self, ready: usize, revision: Revision);
    /// Requests to evacuate zones became known, or ended.
    fn evacuations(&self, change: &EvacuationChange);
    /// Calls to the store began to fail, or succeed again.
    fn reachable(&self, kind: &'static str, error: Option<&SourceError>);
}

/// What a process has learnt of evacuated zones.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EvacuationChange {
    /// Zones that are evacuated from now on, with the revision of each request and the back ends there that get
    /// nothing new.
    pub begun: Vec<(String, Revision, usize)>,
    /// Zones that are not evacuated any more.
    pub ended: Vec<String>,
    /// Zones that are evacuated now.
    pub evacuated: usize,
    /// Revision up to which this is known.
    pub revision: Revision,
    /// Who told it: `store` or `peer`.
    pub source: &'static str,
    /// How long ago the store confirmed what was known before, in milliseconds.
    pub age_ms: Option<u32>,
}

/// The knowledge of one process as a sink of all kinds.
pub struct SharedPlatformState<O> {
    /// What is known.
    pub platform_state: Rc<RefCell<PlatformState>>,
    /// Who is told.
    pub observer: Rc<O>,
}

impl<O> Clone for SharedPlatformState<O> {
    fn clone(&self) -> Self {
        Self { platform_state: self.platform_state.clone(), observer: self.observer.clone() }
    }
}

impl<O: Observer> SharedPlatformState<O> {
    /// Takes what a peer told. Returns whether its whole list of back ends is needed.
    pub fn apply_response(&self, answer: StateResponse) -> bool {
        if let Some(configuration) = answer.configuration {
            self.take_configuration(configuration);
        }
        if let Some(named) = answer.evacuations {
            let change = |named: NamedEvacuation| Change {
                name: named.evacuation.zone.clone(),
                revision: named.revision,
                value: Some(named.evacuation),
            };
            let items = named.into_iter().map(change).collect();
            let listing = Listing { items, revision: answer.known.evacuations.revision };
            self.change_evacuations("peer", |held| {
                held.replace(listing);
            });
        }
        if answer.known.backends_revision == 0 {
            // A peer that tells no more, or knows no more.
            self.take_part(answer.backends.changed.into_iter().map(Change::from).collect());
            return false;
        }
        let own = self.platform_state.borrow().digest();
        let is_same = own.backends_digest == answer.known.backends_digest;
        let (held, told) = (own.backends_revision, answer.known.backends_revision);
        if held > told || (held == told && is_same) {
            return false;
        }
        let is_same = {
            let mut platform_state = self.platform_state.borrow_mut();
            platform_state.take_backend_news(answer.known, answer.backends)
        };
        self.tell_backends();
        !is_same
    }

    /// Takes some back ends before all are known, and tells of it where any was new.
    fn take_part(&self, changes: Vec<Change<Backend>>) {
        let any = self.platform_state.borrow_mut().take_part(changes);
        if any {
            self.tell_backends();
        }
    }

    fn take_configuration(&self, configuration: Configuration) {
        let version = configuration.version;
        let unknown = unknown_regions(&configuration, self.platform_state.borrow().zones());
        if self.platform_state.borrow_mut().take_configuration(configuration) {
            self.observer.configuration(version);
            if !unknown.is_empty() {
                self.observer.unknown_regions(version, &unknown);
            }
        }
    }

    /// Changes what is known of evacuated zones, and tells what came of it.
    fn change_evacuations(
        &self,
        source: &'static str,
        change: impl FnOnce(&mut Objects<Evacuation>),
    ) {
        let mut platform_state = self.platform_state.borrow_mut();
        let (known, awaited) =
            (platform_state.digest().evacuations, platform_state.evacuations_unknown());
        let before = platform_state.cell.load_full();
        let age_ms = platform_state.ages().evacuations_ms;
        change(&mut platform_state.evacuations);
        if platform_state.digest().evacuations.digest == known.digest
            && platform_state.evacuations_unknown() == awaited
        {
            return;
        }
        platform_state.publish_zones();
        let after = platform_state.cell.load_full();
        let named = platform_state.evacuations.named();
        let begun = named.filter(|(_, _, evacuation)| !before.is_evacuated(&evacuation.zone)).map(
            |(_, revision, evacuation)| {
                let zone = &evacuation.zone;
                let there = after.known.values().filter(|backend| backend.zone == *zone);
                (zone.clone(), revision, there.count())
            },
        );
        let change = EvacuationChange {
            begun: begun.collect(),
            ended: before.evacuated.difference(&after.evacuated).cloned().collect(),
            evacuated: after.evacuated.len(),
            revision: platform_state.evacuations.revision(),
            source,
            age_ms,
        };
        drop(platform_state);
        self.observer.evacuations(&change);
    }

    /// Changes what is known of back ends, and tells of it where anything did; `None` where nothing was to change.
    fn change_backends(
        &self,
        change: impl FnOnce(&mut Objects<Backend>) -> Option<Vec<ObjectChange<Backend>>>,
    ) {
        let changed = {
            let mut platform_state = self.platform_state.borrow_mut();
            let changed = change(&mut platform_state.backends);
            changed.map(|changed| platform_state.publish_backends(&changed))
        };
        if changed.is_some() {
            self.tell_backends();
        }
    }

    fn tell_backends(&self) {
        let platform_state = self.platform_state.borrow();
        let ready = platform_state.cell.load().ready_count();
        self.observer.backends(ready, platform_state.backends.revision());
    }

    fn now(&self) -> Timestamp {
        self.platform_state.borrow().ages.now()
    }

    fn note_answered(&self, kind: ObjectKind, asked: Timestamp, held_back_ms: u64) {
        self.platform_state.borrow_mut().note_answered(kind, asked, held_back_ms);
    }

    fn note_ended(&self, kind: ObjectKind, error: Option<&SourceError>) {
        self.platform_state.borrow_mut().note_ended(kind, error);
        self.observer.reachable(kind.name(), error);
    }
}

impl<O: Observer> Sink<Configuration> for SharedPlatformState<O> {
    fn replace(&self, listing: Listing<Configuration>) {
        self.apply(listing.items, listing.revision);
    }

    fn apply(&self, changes: Vec<Change<Configuration>>, _revision: Revision) {
        for configuration in changes.into_iter().filter_map(|change| change.value) {
            self.take_configuration(configuration);
        }
    }

    fn ended(&self, error: Option<&SourceError>) {
        self.note_ended(ObjectKind::Configuration, error);
    }

    fn now(&self) -> Timestamp {
        self.now()
    }

    fn answered(&self, asked: Timestamp, held_back_ms: u64) {
        self.note_answered(ObjectKind::Configuration, asked, held_back_ms);
    }
}

impl<O: Observer> Sink<Backend> for SharedPlatformState<O> {
    fn replace(&self, listing: Listing<Backend>) {
        self.change_backends(|held| held.replace(listing));
    }

    fn part(&self, items: &[Change<Backend>]) {
        self.take_part(items.to_vec());
    }

    fn apply(&self, changes: Vec<Change<Backend>>, revision: Revision) {
        let any = !changes.is_empty();
        self.change_backends(|held| {
            let changed = held.apply(changes, revision);
            any.then_some(changed)
        });
    }

    fn ended(&self, error: Option<&SourceError>) {
        self.note_ended(ObjectKind::Backends, error);
    }

    fn now(&self) -> Timestamp {
        self.now()
    }

    fn answered(&self, asked: Timestamp, held_back_ms: u64) {
        self.note_answered(ObjectKind::Backends, asked, held_back_ms);
    }
}

impl<O: Observer> Sink<Evacuation> for SharedPlatformState<O> {
    fn replace(&self, mut listing: Listing<Evacuation>) {
        // Revision 0 is for whoever has heard nothing yet.
        listing.revision = listing.revision.max(1);
        self.change_evacuations("store", |held| {
            held.replace(listing);
        });
    }

    fn apply(&self, changes: Vec<Change<Evacuation>>, revision: Revision) {
        self.change_evacuations("store", |held| {
            held.apply(changes, revision);
        });
    }

    fn ended(&self, error: Option<&SourceError>) {
        self.note_ended(ObjectKind::Evacuations, error);
    }

    fn now(&self) -> Timestamp {
        self.now()
    }

    fn answered(&self, asked: Timestamp, held_back_ms: u64) {
        self.note_answered(ObjectKind::Evacuations, asked, held_back_ms);
    }
}
