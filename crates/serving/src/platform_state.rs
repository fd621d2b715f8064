//! What a process knows of the platform's objects, whether the store or a peer told it.
//!
//! Invariant: nothing goes backwards within a life of the process. A configuration is replaced only
//! by one of a higher version; an object only by one of a later life or of a higher revision; and a list
//! that is older than what is held removes nothing.

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

use crate::ages::{Ages, ObjectKind};
use crate::catalog::{Catalog, CatalogCell, ZoneState};
use crate::eligibility::{Freshness, ZoneMap};
use crate::model::{Backend, BackendState, Configuration, Evacuation};
use crate::objects::{ObjectChange, Objects};
use crate::peer_sync::StateDigest;
use crate::source::{Change, Listing, Revision, SourceError};
use crate::state_exchange::{
    BackendNews, NamedBackend, NamedEvacuation, StateRequest, StateResponse, Teller,
};

/// Back ends that a process is told first which knows none: enough to serve with until it knows all, and 60 kB, which a
/// link of 30 Mbit/s takes 16 ms for. A list of 10,000 takes it 0.3 s, and as long at each peer that tells it.
pub const PART_BACKENDS: usize = 512;

/// All that is known, and the cell that others read it from.
#[derive(Debug)]
pub struct PlatformState {
    configuration: Option<Arc<Configuration>>,
    pub(crate) backends: Objects<Backend>,
    /// Zones that operators have evacuated, by the name of each request.
    pub(crate) evacuations: Objects<Evacuation>,
    /// Whether requests to evacuate zones are followed.
    follows_evacuations: bool,
    /// Regions of zones.
    zones: Arc<ZoneMap>,
    /// Digest of the back ends and their states.
    digest: u64,
    pub(crate) cell: CatalogCell,
    /// Woken when what is known has changed.
    changed: Rc<Notify>,
    /// Kinds of objects that the store gave when it was last asked.
    answered: BTreeSet<ObjectKind>,
    pub(crate) ages: Ages,
    /// Whether peers are told each time that the store confirms what is known.
    tells_confirmations: bool,
    /// Whether it has since that was last asked.
    confirmed: bool,
}

/// What a process follows beside configuration and back ends.
#[derive(Debug)]
pub struct StateOptions {
    /// Whether it follows requests to evacuate zones. It serves nobody then before it has heard of them.
    pub evacuations: bool,
    /// Whether decisions rest on how old what is known is, so that peers are told whenever the store confirms it.
    pub ages: bool,
    /// Is told the age of what is known.
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
    /// Nothing known yet, and requests to evacuate zones not followed.
    pub fn new(cell: CatalogCell, zones: Arc<ZoneMap>) -> Self {
        Self::with_options(cell, zones, StateOptions::default())
    }

    /// Nothing known yet.
    pub fn with_options(cell: CatalogCell, zones: Arc<ZoneMap>, following: StateOptions) -> Self {
        let mut platform_state = Self {
            configuration: None,
            backends: Objects::default(),
            evacuations: Objects::default(),
            follows_evacuations: following.evacuations,
            zones,
            digest: 0,
            cell,
            changed: Rc::default(),
            answered: BTreeSet::new(),
            ages: Ages::new(following.freshness, following.evacuations),
            tells_confirmations: following.ages,
            confirmed: false,
        };
        platform_state.publish_zones();
        platform_state
    }

    /// Whether the store answers this process, by the last calls of each kind.
    pub fn is_in_touch(&self) -> bool {
        let kinds = 2 + usize::from(self.follows_evacuations);
        self.answered.len() == kinds
    }

    pub(crate) fn note_ended(&mut self, kind: ObjectKind, error: Option<&SourceError>) {
        match error {
            None => self.answered.insert(kind),
            Some(_) => self.answered.remove(&kind),
        };
    }

    /// The store answered a call of a kind that was made at a moment, and that it may have held back for a time
    /// because nothing changed: what it told held at the end of that time.
    pub(crate) fn note_answered(&mut self, kind: ObjectKind, asked: Timestamp, held_back_ms: u64) {
        let since_asked = self.ages.now().millis_since(asked);
        // An answer that came sooner than it was to come tells less.
        let age_ms = since_asked.checked_sub(held_back_ms).unwrap_or(since_asked);
        self.ages.note(kind, age_ms);
        if self.tells_confirmations {
            self.confirmed = true;
            self.changed.notify_one();
        }
    }

    /// Whether the store has confirmed something since this was last asked, which peers are to be told.
    pub fn take_confirmation(&mut self) -> bool {
        std::mem::take(&mut self.confirmed)
    }

    /// How long ago the store confirmed what is known, by kind.
    pub fn ages(&self) -> StateAges {
        self.ages.told()
    }

    /// The same as peers are told; nothing where no decision rests on it.
    pub fn told_ages(&self) -> StateAges {
        match self.tells_confirmations {
            true => self.ages(),
            false => StateAges::default(),
        }
    }

    /// A peer told how old what it knows is, `delay_ms` ago at most. Where it knows no more of a kind, what is
    /// known here is as new.
    pub fn receive_ages(&mut self, peer: StateDigest, ages: StateAges, delay_ms: u64) {
        let own = self.digest();
        let told = [
            (ObjectKind::Configuration, ages.configuration_ms, own.version < peer.version),
            (ObjectKind::Backends, ages.backends_ms, own.lacks_backends(peer)),
            (ObjectKind::Evacuations, ages.evacuations_ms, own.lacks_evacuations(peer)),
        ];
        for (kind, age_ms, lacks) in told {
            if let Some(age_ms) = age_ms.filter(|_| !lacks) {
                self.ages.note(kind, u64::from(age_ms).saturating_add(delay_ms));
            }
        }
    }

    /// Takes a configuration; returns whether it is newer than the one in force.
    pub fn take_configuration(&mut self, configuration: Configuration) -> bool {
        let held = self.configuration.as_ref().map_or(0, |held| held.version);
        if configuration.version <= held {
            return false;
        }
        self.configuration = Some(Arc::new(configuration));
        let catalog = Catalog::clone(&self.cell.load());
        self.publish(catalog.with_configuration(self.configuration.clone()));
        true
    }

    /// Regions of zones.
    pub fn zones(&self) -> &ZoneMap {
        &self.zones
    }

    /// The configuration in force.
    pub fn configuration(&self) -> Option<&Arc<Configuration>> {
        self.configuration.as_ref()
    }

    /// Back ends that are known, draining ones too.
    pub fn backends(&self) -> &Objects<Backend> {
        &self.backends
    }

    /// Requests to evacuate zones that are known.
    pub fn evacuations(&self) -> &Objects<Evacuation> {
        &self.evacuations
    }

    /// Whether nobody has told yet which zones are evacuated.
    pub fn evacuations_unknown(&self) -> bool {
        self.follows_evacuations && self.evacuations.revision() == 0
    }

    /// Woken when what is known has changed.
    pub fn changed(&self) -> Rc<Notify> {
        self.changed.clone()
    }

    /// What is known, to be told to peers.
    pub fn digest(&self) -> StateDigest {
        // With the revision of each: equal digests are equal lists, of which the higher revision is true of both.
        let hash = |(name, revision, _): (&String, Revision, &Arc<Evacuation>)| {
            xxh3_64_with_seed(name.as_bytes(), revision)
        };
        StateDigest {
            version: self.configuration.as_ref().map_or(0, |held| held.version),
            backends_digest: self.digest,
            backends_revision: self.backends.revision(),
            evacuations: ObjectDigest {
                digest: self.evacuations.named().map(hash).fold(0, u64::wrapping_add),
                revision: self.evacuations.revision(),
            },
        }
    }

    /// What a peer that knows less is told.
    pub fn answer(&self, request: &StateRequest) -> StateResponse {
        let held = self.configuration.as_ref();
        let configuration = held.filter(|held| held.version > request.known.version);
        let own = self.digest();
        let (backends, backends_revision) = match self.tells_part(request) {
            // Of a part nobody may take that it is all.
            true => (self.part(), 0),
            false => (self.backend_news(request), own.backends_revision),
        };
        StateResponse {
            known: StateDigest { backends_revision, ..own },
            configuration: configuration.map(|held| Configuration::clone(held)),
            backends,
            evacuations: request.known.lacks_evacuations(own).then(|| self.evacuation_news()),
        }
    }

    /// Revision after which a peer is told what changed; `None` where it is told all.
    fn told_since(&self, request: &StateRequest) -> Option<Revision> {
        let known = request.known.backends_revision;
        (!request.whole && self.backends.covers(known)).then_some(known)
    }

    /// How many back ends a peer that knows less is told.
    pub fn backends_to_tell(&self, request: &StateRequest) -> usize {
        if self.tells_part(request) {
            return self.backends.len().min(PART_BACKENDS);
        }
        match self.told_since(request) {
            None => self.backends.len(),
            Some(revision) => self.backends.changed_after(revision).count(),
        }
    }

    /// Whether a peer is told some of the back ends: it wants no more, or no more is known here.
    fn tells_part(&self, request: &StateRequest) -> bool {
        let is_many = self.backends.len() > PART_BACKENDS;
        self.backends.revision() == 0 || (request.known.wants_part() && is_many)
    }

    /// Some back ends, drawn by chance so that processes that start together do not all use the same ones.
    fn part(&self) -> BackendNews {
        let all = self.backends.named();
        let drawn = all.choose_multiple(&mut rand::rng(), PART_BACKENDS);
        let named = drawn.into_iter().map(|(name, revision, backend)| NamedBackend {
            name: name.clone(),
            revision,
            backend: Backend::clone(backend),
        });
        BackendNews { since: None, changed: named.collect(), removed: Vec::new() }
    }

    fn backend_news(&self, request: &StateRequest) -> BackendNews {
        let since = self.told_since(request);
        let after = since.unwrap_or(0);
        let changed = |(name, revision, backend): (&String, Revision, &Arc<Backend>)| {
            let (name, backend) = (name.clone(), Backend::clone(backend));
            NamedBackend { name, revision, backend }
        };
        BackendNews {
            since,
            changed: self.backends.changed_after(after).map(changed).collect(),
            removed: self.backends.removed_after(after).cloned().collect(),
        }
    }

    fn evacuation_news(&self) -> Vec<NamedEvacuation> {
        let named = |(_, revision, evacuation): (&String, Revision, &Arc<Evacuation>)| {
            NamedEvacuation { revision, evacuation: Evacuation::clone(evacuation) }
        };
        self.evacuations.named().map(named).collect()
    }

    /// Takes what a peer told of back ends. Returns whether the same is known here now; where it is
    /// not, the whole list is to be asked for.
    pub fn take_backend_news(&mut self, peer: StateDigest, peer_sync: BackendNews) -> bool {
        let revision = peer.backends_revision;
        let BackendNews { since, changed, removed } = peer_sync;
        let changes = changed.into_iter().map(Change::from);
        let changed = match since {
            None => {
                let listing = Listing { items: changes.collect(), revision };
                self.backends.replace(listing).unwrap_or_default()
            }
            // What changed in between came from elsewhere meanwhile: it is newer or the same.
            Some(_) => {
                let mut changed = self.backends.remove(removed);
                changed.extend(self.backends.apply(changes.collect(), revision));
                changed
            }
        };
        self.publish_backends(&changed);
        self.backends.revision() != revision || self.digest == peer.backends_digest
    }

    /// Takes some back ends, as a peer or a page of a list tells them, until all are known. It takes none away.
    /// Returns whether any of them was new.
    pub fn take_part(&mut self, changes: Vec<Change<Backend>>) -> bool {
        if self.backends.revision() > 0 {
            return false;
        }
        let changed = self.backends.apply(changes, 0);
        if !changed.is_empty() {
            self.publish_backends(&changed);
        }
        !changed.is_empty()
    }

    /// A peer that knows the same evacuated zones at a higher revision: so does this process. An older peer could
    /// else tell what was true before them.
    pub fn confirm_evacuations(&mut self, peer: StateDigest) {
        let own = self.digest().evacuations;
        if own.revision > 0 && own.digest == peer.evacuations.digest {
            self.evacuations.confirm(peer.evacuations.revision);
        }
    }

    /// Puts changes of back ends, which `backends` holds already, into force.
    pub(crate) fn publish_backends(&mut self, changes: &[ObjectChange<Backend>]) {
        let sum = |backends: &mut dyn Iterator<Item = &Arc<Backend>>| {
            backends.map(digest_of).fold(0, u64::wrapping_add)
        };
        let before = sum(&mut changes.iter().filter_map(|change| change.before.as_ref()));
        let after = sum(&mut changes.iter().filter_map(|change| change.after.as_ref()));
        self.digest = self.digest.wrapping_sub(before).wrapping_add(after);
        let mut catalog = Catalog::clone(&self.cell.load()).with_changes(changes);
        catalog.is_partial = self.backends.revision() == 0;
        self.publish(catalog);
    }

    /// Puts what is known of zones into force.
    pub(crate) fn publish_zones(&mut self) {
        let evacuated = self.evacuations.values().map(|evacuation| evacuation.zone.clone());
        let facts = ZoneState { evacuated: evacuated.collect(), zones: self.zones.clone() };
        let catalog = Catalog::clone(&self.cell.load()).with_zone_facts(facts);
        let catalog = match self.evacuations_unknown() {
            true => catalog.awaiting_evacuations(),
            false => catalog,
        };
        self.publish(catalog);
    }

    fn publish(&self, catalog: Catalog) {
        self.cell.store(Arc::new(catalog));
        self.changed.notify_one();
    }
}

impl Teller for RefCell<PlatformState> {
    fn backends_to_tell(&self, request: &StateRequest) -> usize {
        self.borrow().backends_to_tell(request)
    }

    fn answer(&self, request: &StateRequest) -> StateResponse {
        self.borrow().answer(request)
    }
}

/// Digest of what decides whether a back end may be used. Its load and the like change with each of its
/// heartbeats, and are not worth an exchange.
fn digest_of(backend: &Arc<Backend>) -> u64 {
    let ready = backend.state == BackendState::Ready;
    let cold = backend.cold_remaining_ms > 0;
    let facts = (&backend.id, backend.started_ms, ready, cold, backend.address, &backend.zone);
    xxh3_64(format!("{facts:?} {}", backend.service).as_bytes())
}
