//! Peers tell each other which configuration and back ends they know, so that a process whose watch
//! was lost in silence finds out long before the watch would have ended.

use std::cell::RefCell;
use std::rc::Rc;

use tokio::sync::Notify;
use yokefall_core::Timestamp;

use crate::watch::Knowledge;

/// Time for which a peer must know more before a process asks the store again, in milliseconds:
/// news reaches processes within this time of each other.
const PATIENCE_MS: u64 = 300;
/// Least time between two such askings, in milliseconds.
const LEAST_INTERVAL_MS: u64 = 1_000;

/// What one process knows, in numbers that fit a datagram.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Known {
    /// Version of the configuration.
    pub version: u64,
    /// Digest of the back ends and their states.
    pub backends_digest: u64,
    /// Store revision up to which the back ends are known.
    pub backends_revision: u64,
}

/// Finds out whether peers know more, for longer than news takes.
#[derive(Debug, Default)]
pub struct Comparison {
    /// Since when a peer knows more: what was known here, and what the peer knows.
    behind_since: Option<(Timestamp, Known, Known)>,
    asked_at: Option<Timestamp>,
}

impl Comparison {
    /// A peer told what it knows. Returns whether the store should be asked again.
    pub fn is_behind(&mut self, now: Timestamp, own: Known, peer: Known) -> bool {
        if !own.lacks(peer) {
            return false;
        }
        match &mut self.behind_since {
            Some((_, known, told)) if *known == own => *told = peer,
            _ => self.behind_since = Some((now, own, peer)),
        }
        self.is_due(now, own)
    }

    /// Whether the store should be asked again, by what peers told before.
    pub fn is_due(&mut self, now: Timestamp, own: Known) -> bool {
        let Some((since, known, peer)) = self.behind_since else { return false };
        if !own.lacks(peer) {
            self.behind_since = None;
            return false;
        }
        if known != own {
            self.behind_since = Some((now, own, peer));
            return false;
        }
        let patient = now.millis_since(since) >= PATIENCE_MS;
        let rested = self.asked_at.is_none_or(|at| now.millis_since(at) >= LEAST_INTERVAL_MS);
        if patient && rested {
            self.asked_at = Some(now);
        }
        patient && rested
    }

    /// When `is_due` should be asked; `None` while no peer knows more.
    pub fn next_look(&self) -> Option<Timestamp> {
        let (since, _, _) = self.behind_since?;
        let patient = since.plus_millis(PATIENCE_MS);
        let rested = self.asked_at.map(|at| at.plus_millis(LEAST_INTERVAL_MS));
        Some(rested.map_or(patient, |rested| rested.max(patient)))
    }
}

impl Known {
    /// Whether this says more than what was told before.
    pub fn is_news_after(self, told: Known) -> bool {
        self.version > told.version || self.backends_digest != told.backends_digest
    }

    /// Whether a peer knows more.
    fn lacks(self, peer: Known) -> bool {
        let older = self.version < peer.version;
        let other_backends = self.backends_digest != peer.backends_digest
            && self.backends_revision < peer.backends_revision;
        older || other_backends
    }
}

/// What this process tells its peers, and what it does about what they tell.
pub struct News {
    knowledge: Rc<RefCell<Knowledge>>,
    comparison: RefCell<Comparison>,
    changed: Rc<Notify>,
    /// Ends the present watches, so that the store is asked again.
    pub refresh: Refresh,
}

/// Ends watches of either kind.
#[derive(Clone, Debug, Default)]
pub struct Refresh {
    configuration: Rc<Notify>,
    backends: Rc<Notify>,
}

impl Refresh {
    /// Ends the present watch of configurations.
    pub fn configuration(&self) -> Rc<Notify> {
        self.configuration.clone()
    }

    /// Ends the present watch of back ends.
    pub fn backends(&self) -> Rc<Notify> {
        self.backends.clone()
    }
}

impl News {
    /// News about what is known.
    pub fn new(knowledge: Rc<RefCell<Knowledge>>) -> Rc<Self> {
        let changed = knowledge.borrow().changed();
        Rc::new(Self {
            knowledge,
            comparison: RefCell::default(),
            changed,
            refresh: Refresh::default(),
        })
    }

    /// What this process knows.
    pub fn own(&self) -> Known {
        self.knowledge.borrow().known()
    }

    /// A peer told what it knows.
    pub fn hear(&self, now: Timestamp, peer: Known) {
        if self.comparison.borrow_mut().is_behind(now, self.own(), peer) {
            self.ask_again();
        }
    }

    /// Time has passed: asks the store again where a peer has known more for long enough.
    pub fn tick(&self, now: Timestamp) {
        if self.comparison.borrow_mut().is_due(now, self.own()) {
            self.ask_again();
        }
    }

    /// When `tick` has something to do.
    pub fn next_look(&self) -> Option<Timestamp> {
        self.comparison.borrow().next_look()
    }

    /// Waits until what this process knows has changed.
    pub async fn changed(&self) {
        self.changed.notified().await;
    }

    fn ask_again(&self) {
        self.refresh.configuration.notify_one();
        self.refresh.backends.notify_one();
    }
}
