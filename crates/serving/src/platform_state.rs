//! State of the platform's objects held by one process, received from the store or from a peer.
//!
//! Invariant: state never goes backwards while the process runs. A configuration is replaced only
//! by one with a higher version; an object only by one of a later incarnation or a higher revision;
//! and a list older than the current one removes nothing.

use std::cell::RefCell;
use std::collections::BTreeSet;
use std::rc::Rc;
use std::sync::Arc;

use rand::seq::IteratorRandom;
use tokio::sync::Notify;
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};
use yokefall_clock::SuspensionSource;
use yokefall_core::membership::{ObjectDigest, StateAges};
use yokefall_core::Timestamp;

use crate::ages::{AgeTracker, ObjectKind};
use crate::catalog::{Catalog, CatalogCell, ZoneState};
use crate::eligibility::{Freshness, ZoneMap};
use crate::model::{Backend, BackendState, Configuration, Evacuation};
use crate::objects::{ObjectChange, Objects};
use crate::peer_sync::StateDigest;
use crate::source::{Change, Listing, Revision, SourceError};
use crate::state_exchange::{
    BackendUpdates, StateProvider, StateRequest, StateResponse, VersionedBackend,
    VersionedEvacuation,
};

/// Number of back ends sent first to a process that has none: enough to serve requests until it has
/// received all, and 60 kB, which takes 16 ms on a link of 30 Mbit/s. A list of 10,000 takes 0.3 s,
/// and as long again at each peer that sends it.
pub const SUBSET_BACKENDS: usize = 512;

/// All objects known, and the cell from which other threads read them.
#[derive(Debug)]
pub struct PlatformState {
    configuration: Option<Arc<Configuration>>,
    pub(crate) backends: Objects<Backend>,
    /// Zones evacuated by operators, by object name.
    pub(crate) evacuations: Objects<Evacuation>,
    watches_evacuations: bool,
    zones: Arc<ZoneMap>,
    backends_digest: u64,
    /// Number of back ends whose software version is not known.
    unknown_versions: usize,
    pub(crate) cell: CatalogCell,
    changed: Rc<Notify>,
    /// Kinds of objects whose last call to the store succeeded.
    reachable_kinds: BTreeSet<ObjectKind>,
    pub(crate) ages: AgeTracker,
    /// Whether peers are notified each time the store confirms the state.
    announces_confirmations: bool,
    confirmed: bool,
}

/// What a process watches in addition to configuration and back ends.
#[derive(Debug)]
pub struct StateOptions {
    /// Whether evacuations are watched; if so, nothing is served before the zones are known.
    pub evacuations: bool,
    /// Whether decisions depend on the age of the state, so that peers learn of confirmations.
    pub ages: bool,
    /// Receives the age of the state.
    pub freshness: Freshness,
}

impl Default for StateOptions {
    fn default() -> Self {
        Self {
            evacuations: false,
            ages: false,
            freshness: Freshness::new(SuspensionSource::Machine),
        }
    }
}

impl PlatformState {
    /// Creates an empty state that does not watch evacuations.
    pub fn new(cell: CatalogCell, zones: Arc<ZoneMap>) -> Self {
        Self::with_options(cell, zones, StateOptions::default())
    }

    /// Creates an empty state.
    pub fn with_options(cell: CatalogCell, zones: Arc<ZoneMap>, options: StateOptions) -> Self {
        let mut platform_state = Self {
            configuration: None,
            backends: Objects::default(),
            evacuations: Objects::default(),
            watches_evacuations: options.evacuations,
            zones,
            backends_digest: 0,
            unknown_versions: 0,
            cell,
            changed: Rc::default(),
            reachable_kinds: BTreeSet::new(),
            ages: AgeTracker::new(options.freshness, options.evacuations),
            announces_confirmations: options.ages,
            confirmed: false,
        };
        platform_state.publish_zones();
        platform_state
    }

    /// Whether the last calls to the store of every kind succeeded.
    pub fn is_store_reachable(&self) -> bool {
        let kinds = 2 + usize::from(self.watches_evacuations);
        self.reachable_kinds.len() == kinds
    }

    pub(crate) fn record_outcome(&mut self, kind: ObjectKind, error: Option<&SourceError>) {
        match error {
            None => self.reachable_kinds.insert(kind),
            Some(_) => self.reachable_kinds.remove(&kind),
        };
    }

    /// Records that the store answered a call made at `asked`, after holding the response back for
    /// `held_back_ms` because nothing changed; it is valid as of the end of that time.
    pub(crate) fn record_response(
        &mut self,
        kind: ObjectKind,
        asked: Timestamp,
        held_back_ms: u64,
    ) {
        let since_asked = self.ages.now().millis_since(asked);
        // A response before the end of the wait is only valid as of the time of the request.
        let age_ms = since_asked.checked_sub(held_back_ms).unwrap_or(since_asked);
        self.ages.record(kind, age_ms);
        if self.announces_confirmations {
            self.confirmed = true;
            self.changed.notify_one();
        }
    }

    /// Whether the store has confirmed something since the last call, to be announced to peers.
    pub fn take_confirmation(&mut self) -> bool {
        std::mem::take(&mut self.confirmed)
    }

    /// Returns, by kind, how long ago the store confirmed the state.
    pub fn ages(&self) -> StateAges {
        self.ages.snapshot()
    }

    /// Returns the ages advertised to peers; empty if no decision depends on them.
    pub fn advertised_ages(&self) -> StateAges {
        match self.announces_confirmations {
            true => self.ages(),
            false => StateAges::default(),
        }
    }

    /// Processes the ages reported by a peer at most `delay_ms` ago. For kinds in which the peer is
    /// not ahead, the local state is as recent as the peer's.
    pub fn receive_ages(&mut self, peer: StateDigest, ages: StateAges, delay_ms: u64) {
        let own = self.digest();
        let reported = [
            (ObjectKind::Configuration, ages.configuration_ms, own.version < peer.version),
            (ObjectKind::Backends, ages.backends_ms, own.lacks_backends(peer)),
            (ObjectKind::Evacuations, ages.evacuations_ms, own.lacks_evacuations(peer)),
        ];
        for (kind, age_ms, lacks) in reported {
            if let Some(age_ms) = age_ms.filter(|_| !lacks) {
                self.ages.record(kind, u64::from(age_ms).saturating_add(delay_ms));
            }
        }
    }

    /// Applies a configuration; returns whether it is newer than the current one.
    pub fn apply_configuration(&mut self, configuration: Configuration) -> bool {
        let held = self.configuration.as_ref().map_or(0, |held| held.version);
        if configuration.version <= held {
            return false;
        }
        self.configuration = Some(Arc::new(configuration));
        let catalog = Catalog::clone(&self.cell.load());
        let catalog = catalog.with_configuration(self.configuration.clone());
        let changes = self.slot_changes(&catalog);
        self.publish(catalog.with_changes(&changes));
        true
    }

    /// Back ends to which the connection limits of a new configuration allow other numbers of slots.
    fn slot_changes(&self, catalog: &Catalog) -> Vec<ObjectChange<Backend>> {
        let change = |backend: &Arc<Backend>| {
            let before = catalog.known.get(&backend.id)?.clone();
            let is_changed = before.slots != catalog.bounded(backend).slots;
            is_changed.then(|| ObjectChange { before: Some(before), after: Some(backend.clone()) })
        };
        self.backends.values().filter_map(change).collect()
    }

    /// Region of each zone.
    pub fn zones(&self) -> &ZoneMap {
        &self.zones
    }

    /// The current configuration.
    pub fn configuration(&self) -> Option<&Arc<Configuration>> {
        self.configuration.as_ref()
    }

    /// All known back ends, including draining ones.
    pub fn backends(&self) -> &Objects<Backend> {
        &self.backends
    }

    /// All known evacuations.
    pub fn evacuations(&self) -> &Objects<Evacuation> {
        &self.evacuations
    }

    /// Whether it is not known yet which zones are evacuated.
    pub fn evacuations_unknown(&self) -> bool {
        self.watches_evacuations && self.evacuations.revision() == 0
    }

    /// Notified when the state changes.
    pub fn changed(&self) -> Rc<Notify> {
        self.changed.clone()
    }

    /// Returns the digest of the state that is advertised to peers.
    pub fn digest(&self) -> StateDigest {
        // The hash covers revisions: equal digests mean equal lists, and the higher one is valid.
        let hash = |(name, revision, _): (&String, Revision, &Arc<Evacuation>)| {
            xxh3_64_with_seed(name.as_bytes(), revision)
        };
        StateDigest {
            version: self.configuration.as_ref().map_or(0, |held| held.version),
            backends_digest: self.backends_digest,
            backends_revision: self.backends.revision(),
            evacuations: ObjectDigest {
                digest: self.evacuations.named().map(hash).fold(0, u64::wrapping_add),
                revision: self.evacuations.revision(),
            },
        }
    }

    /// Builds the response to a peer that is behind.
    pub fn answer(&self, request: &StateRequest) -> StateResponse {
        let held = self.configuration.as_ref();
        let configuration = held.filter(|held| held.version > request.known.version);
        let own = self.digest();
        let (backends, backends_revision) = match self.sends_subset(request) {
            // Revision 0 marks the response as incomplete.
            true => (self.random_subset(), 0),
            false => (self.backend_updates(request), own.backends_revision),
        };
        StateResponse {
            known: StateDigest { backends_revision, ..own },
            configuration: configuration.map(|held| Configuration::clone(held)),
            backends,
            evacuations: request.known.lacks_evacuations(own).then(|| self.evacuation_updates()),
        }
    }

    /// Returns the revision after which changes are sent to a peer; `None` to send the whole list.
    fn changes_since(&self, request: &StateRequest) -> Option<Revision> {
        let known = request.known.backends_revision;
        (!request.whole && self.backends.covers(known)).then_some(known)
    }

    /// Number of back ends in the response to a peer.
    pub fn response_backends(&self, request: &StateRequest) -> usize {
        if self.sends_subset(request) {
            return self.backends.len().min(SUBSET_BACKENDS);
        }
        match self.changes_since(request) {
            None => self.backends.len(),
            Some(revision) => self.backends.changed_after(revision).count(),
        }
    }

    /// Whether a peer is sent a subset: it asked for no more, or no more is known here.
    fn sends_subset(&self, request: &StateRequest) -> bool {
        let exceeds_subset = self.backends.len() > SUBSET_BACKENDS;
        self.backends.revision() == 0 || (request.known.requests_subset() && exceeds_subset)
    }

    /// Returns a random subset, so that processes that start together use different back ends.
    fn random_subset(&self) -> BackendUpdates {
        let all = self.backends.named();
        let chosen = all.choose_multiple(&mut rand::rng(), SUBSET_BACKENDS);
        let named = chosen.into_iter().map(|(name, revision, backend)| VersionedBackend {
            name: name.clone(),
            revision,
            backend: Backend::clone(backend),
        });
        BackendUpdates { since: None, changed: named.collect(), removed: Vec::new() }
    }

    fn backend_updates(&self, request: &StateRequest) -> BackendUpdates {
        let since = self.changes_since(request);
        let after = since.unwrap_or(0);
        let changed = |(name, revision, backend): (&String, Revision, &Arc<Backend>)| {
            let (name, backend) = (name.clone(), Backend::clone(backend));
            VersionedBackend { name, revision, backend }
        };
        BackendUpdates {
            since,
            changed: self.backends.changed_after(after).map(changed).collect(),
            removed: self.backends.removed_after(after).cloned().collect(),
        }
    }

    fn evacuation_updates(&self) -> Vec<VersionedEvacuation> {
        let named = |(_, revision, evacuation): (&String, Revision, &Arc<Evacuation>)| {
            VersionedEvacuation { revision, evacuation: Evacuation::clone(evacuation) }
        };
        self.evacuations.named().map(named).collect()
    }

    /// Applies a peer's back ends; returns false if the whole list is needed as states differ.
    pub fn apply_backend_updates(&mut self, peer: StateDigest, updates: BackendUpdates) -> bool {
        let revision = peer.backends_revision;
        let BackendUpdates { since, changed, removed } = updates;
        let changes = changed.into_iter().map(Change::from);
        let changed = match since {
            None => {
                let listing = Listing { items: changes.collect(), revision };
                self.backends.replace(listing).unwrap_or_default()
            }
            // Objects changed here meanwhile came from another source and are at least as new.
            Some(_) => {
                let mut changed = self.backends.remove(removed);
                changed.extend(self.backends.apply(changes.collect(), revision));
                changed
            }
        };
        self.publish_backends(&changed);
        self.backends.revision() != revision || self.backends_digest == peer.backends_digest
    }

    /// Whether the software version of any back end is not known: the processes that passed its
    /// record on are of an older build.
    pub fn lacks_software_versions(&self) -> bool {
        self.unknown_versions > 0
    }

    /// Takes over software versions that a peer tells of back ends known here.
    pub fn complete_software_versions(&mut self, told: &[VersionedBackend]) {
        if self.lacks_software_versions() {
            let records = told.iter().map(|change| (change.name.as_str(), &change.backend));
            let changed = self.backends.complete(records);
            if !changed.is_empty() {
                self.publish_backends(&changed);
            }
        }
    }

    /// Adds a subset or page of back ends until the whole list is known; true if any was new.
    pub fn apply_subset(&mut self, changes: Vec<Change<Backend>>) -> bool {
        if self.backends.revision() > 0 {
            return false;
        }
        let changed = self.backends.apply(changes, 0);
        if !changed.is_empty() {
            self.publish_backends(&changed);
        }
        !changed.is_empty()
    }

    /// Raises the revision of the evacuations if a peer holds the same ones at a higher revision.
    /// Otherwise an older peer could restore an outdated state.
    pub fn confirm_evacuations(&mut self, peer: StateDigest) {
        let own = self.digest().evacuations;
        if own.revision > 0 && own.digest == peer.evacuations.digest {
            self.evacuations.confirm(peer.evacuations.revision);
        }
    }

    /// Publishes changes that `backends` already contains.
    pub(crate) fn publish_backends(&mut self, changes: &[ObjectChange<Backend>]) {
        let sum = |backends: &mut dyn Iterator<Item = &Arc<Backend>>| {
            backends.map(digest_of).fold(0, u64::wrapping_add)
        };
        let before = sum(&mut changes.iter().filter_map(|change| change.before.as_ref()));
        let after = sum(&mut changes.iter().filter_map(|change| change.after.as_ref()));
        self.backends_digest = self.backends_digest.wrapping_sub(before).wrapping_add(after);
        let is_unknown = |backend: &&Arc<Backend>| !backend.software_version.is_known();
        let before = changes.iter().filter_map(|change| change.before.as_ref());
        let after = changes.iter().filter_map(|change| change.after.as_ref());
        self.unknown_versions += after.filter(is_unknown).count();
        self.unknown_versions -= before.filter(is_unknown).count();
        let mut catalog = Catalog::clone(&self.cell.load()).with_changes(changes);
        catalog.is_partial = self.backends.revision() == 0;
        self.publish(catalog);
    }

    pub(crate) fn publish_zones(&mut self) {
        let evacuated = self.evacuations.values().map(|evacuation| evacuation.zone.clone());
        let zone_state = ZoneState { evacuated: evacuated.collect(), zones: self.zones.clone() };
        let catalog = Catalog::clone(&self.cell.load()).with_zone_state(zone_state);
        let catalog = match self.evacuations_unknown() {
            true => catalog.with_evacuations_unknown(),
            false => catalog,
        };
        self.publish(catalog);
    }

    fn publish(&self, catalog: Catalog) {
        self.cell.store(Arc::new(catalog));
        self.changed.notify_one();
    }
}

impl StateProvider for RefCell<PlatformState> {
    fn response_backends(&self, request: &StateRequest) -> usize {
        self.borrow().response_backends(request)
    }

    fn answer(&self, request: &StateRequest) -> StateResponse {
        self.borrow().answer(request)
    }
}

/// Digest of the properties that decide whether a back end may be used. Load and similar values
/// change with every heartbeat and do not justify an exchange.
fn digest_of(backend: &Arc<Backend>) -> u64 {
    let ready = backend.state == BackendState::Ready;
    let cold = backend.cold_remaining_ms > 0;
    let properties = (&backend.id, backend.started_ms, ready, cold, backend.address, &backend.zone);
    xxh3_64(format!("{properties:?} {}", backend.service).as_bytes())
}
