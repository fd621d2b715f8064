//! Applies updates from lists, watches and peers to a process's state and notifies an observer.

use std::cell::RefCell;
use std::rc::Rc;

use yokefall_core::Timestamp;

use crate::ages::ObjectKind;
use crate::eligibility::unknown_regions;
use crate::model::{Backend, Configuration, Evacuation};
use crate::objects::{ObjectChange, Objects};
use crate::platform_state::PlatformState;
use crate::source::{Change, Listing, Revision, SourceError};
use crate::state_exchange::{StateResponse, VersionedEvacuation};
use crate::watch::Sink;

/// Receives each change of the state of a process.
pub trait Observer {
    /// A configuration came into force.
    fn configuration(&self, version: u64);
    /// The configuration in force names regions that no zone has, each as `route NAME: REGION`.
    fn unknown_regions(&self, version: u64, unknown: &[String]);
    /// Back ends changed: how many accept work now, and at which revision.
    fn backends(&self, ready: usize, revision: Revision);
    /// Evacuations began or ended.
    fn evacuations(&self, change: &EvacuationChange);
    /// Calls to the store started to fail, or to succeed again.
    fn reachable(&self, kind: &'static str, error: Option<&SourceError>);
}

/// A change of the set of evacuated zones.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EvacuationChange {
    /// Newly evacuated zones, each with its revision and the number of back ends without new work.
    pub begun: Vec<(String, Revision, usize)>,
    /// Zones that are no longer evacuated.
    pub ended: Vec<String>,
    /// Number of zones that are evacuated now.
    pub evacuated: usize,
    /// Revision up to which the set is known.
    pub revision: Revision,
    /// Source of the change: `store` or `peer`.
    pub source: &'static str,
    /// How long ago the store confirmed the previous state, in milliseconds.
    pub age_ms: Option<u32>,
}

/// The state of one process, usable as a sink for all kinds of objects.
pub struct SharedPlatformState<O> {
    /// The state.
    pub platform_state: Rc<RefCell<PlatformState>>,
    /// Receives the changes.
    pub observer: Rc<O>,
}

impl<O> Clone for SharedPlatformState<O> {
    fn clone(&self) -> Self {
        Self { platform_state: self.platform_state.clone(), observer: self.observer.clone() }
    }
}

impl<O: Observer> SharedPlatformState<O> {
    /// Applies a response of a peer. Returns whether its whole list of back ends is needed.
    pub fn apply_response(&self, response: StateResponse) -> bool {
        if let Some(configuration) = response.configuration {
            self.apply_configuration(configuration);
        }
        if let Some(named) = response.evacuations {
            let change = |named: VersionedEvacuation| Change {
                name: named.evacuation.zone.clone(),
                revision: named.revision,
                value: Some(named.evacuation),
            };
            let items = named.into_iter().map(change).collect();
            let listing = Listing { items, revision: response.known.evacuations.revision };
            self.change_evacuations("peer", |held| {
                held.replace(listing);
            });
        }
        self.platform_state.borrow_mut().complete_software_versions(&response.backends.changed);
        if response.known.backends_revision == 0 {
            // The peer sent only a subset, or has no complete list itself.
            self.apply_subset(response.backends.changed.into_iter().map(Change::from).collect());
            return false;
        }
        let own = self.platform_state.borrow().digest();
        let is_same = own.backends_digest == response.known.backends_digest;
        let (held, reported) = (own.backends_revision, response.known.backends_revision);
        if held > reported || (held == reported && is_same) {
            return false;
        }
        let is_same = {
            let mut platform_state = self.platform_state.borrow_mut();
            platform_state.apply_backend_updates(response.known, response.backends)
        };
        self.report_backends();
        !is_same
    }

    /// Applies a subset of the back ends before the whole list is known; reports it if any was new.
    fn apply_subset(&self, changes: Vec<Change<Backend>>) {
        let any = self.platform_state.borrow_mut().apply_subset(changes);
        if any {
            self.report_backends();
        }
    }

    fn apply_configuration(&self, configuration: Configuration) {
        let version = configuration.version;
        let unknown = unknown_regions(&configuration, self.platform_state.borrow().zones());
        if self.platform_state.borrow_mut().apply_configuration(configuration) {
            self.observer.configuration(version);
            if !unknown.is_empty() {
                self.observer.unknown_regions(version, &unknown);
            }
        }
    }

    fn change_evacuations(
        &self,
        source: &'static str,
        change: impl FnOnce(&mut Objects<Evacuation>),
    ) {
        let mut platform_state = self.platform_state.borrow_mut();
        let (known, was_unknown) =
            (platform_state.digest().evacuations, platform_state.evacuations_unknown());
        let before = platform_state.cell.load_full();
        let age_ms = platform_state.ages().evacuations_ms;
        change(&mut platform_state.evacuations);
        if platform_state.digest().evacuations.digest == known.digest
            && platform_state.evacuations_unknown() == was_unknown
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

    /// Changes the back ends and reports it; `change` returns `None` if there was nothing to apply.
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
            self.report_backends();
        }
    }

    fn report_backends(&self) {
        let platform_state = self.platform_state.borrow();
        let ready = platform_state.cell.load().ready_count();
        self.observer.backends(ready, platform_state.backends.revision());
    }

    fn now(&self) -> Timestamp {
        self.platform_state.borrow().ages.now()
    }

    fn record_response(&self, kind: ObjectKind, asked: Timestamp, held_back_ms: u64) {
        self.platform_state.borrow_mut().record_response(kind, asked, held_back_ms);
    }

    fn record_outcome(&self, kind: ObjectKind, error: Option<&SourceError>) {
        self.platform_state.borrow_mut().record_outcome(kind, error);
        self.observer.reachable(kind.name(), error);
    }
}

impl<O: Observer> Sink<Configuration> for SharedPlatformState<O> {
    fn replace(&self, listing: Listing<Configuration>) {
        self.apply(listing.items, listing.revision);
    }

    fn apply(&self, changes: Vec<Change<Configuration>>, _revision: Revision) {
        for configuration in changes.into_iter().filter_map(|change| change.value) {
            self.apply_configuration(configuration);
        }
    }

    fn ended(&self, error: Option<&SourceError>) {
        self.record_outcome(ObjectKind::Configuration, error);
    }

    fn now(&self) -> Timestamp {
        self.now()
    }

    fn answered(&self, asked: Timestamp, held_back_ms: u64) {
        self.record_response(ObjectKind::Configuration, asked, held_back_ms);
    }
}

impl<O: Observer> Sink<Backend> for SharedPlatformState<O> {
    fn replace(&self, listing: Listing<Backend>) {
        self.change_backends(|held| held.replace(listing));
    }

    fn apply_page(&self, items: &[Change<Backend>]) {
        self.apply_subset(items.to_vec());
    }

    fn apply(&self, changes: Vec<Change<Backend>>, revision: Revision) {
        let any = !changes.is_empty();
        self.change_backends(|held| {
            let changed = held.apply(changes, revision);
            any.then_some(changed)
        });
    }

    fn ended(&self, error: Option<&SourceError>) {
        self.record_outcome(ObjectKind::Backends, error);
    }

    fn now(&self) -> Timestamp {
        self.now()
    }

    fn answered(&self, asked: Timestamp, held_back_ms: u64) {
        self.record_response(ObjectKind::Backends, asked, held_back_ms);
    }
}

impl<O: Observer> Sink<Evacuation> for SharedPlatformState<O> {
    fn replace(&self, mut listing: Listing<Evacuation>) {
        // Revision 0 means that nothing has been received yet.
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
        self.record_outcome(ObjectKind::Evacuations, error);
    }

    fn now(&self) -> Timestamp {
        self.now()
    }

    fn answered(&self, asked: Timestamp, held_back_ms: u64) {
        self.record_response(ObjectKind::Evacuations, asked, held_back_ms);
    }
}
