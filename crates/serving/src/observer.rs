//! Writes a line for each change of what a process believes of the platform's objects.

use std::cell::RefCell;

use yokefall_telemetry::{EventName, LogLine};

use crate::shared_state::{EvacuationChange, Observer};
use crate::source::{Revision, SourceError};

/// Names in a line at most.
const MOST_NAMES: usize = 10;

/// Writes lines, and tells whoever acts on a change.
pub struct LoggingObserver {
    failing: RefCell<Vec<&'static str>>,
    changed: Box<dyn Fn()>,
}

impl LoggingObserver {
    /// An observer that calls `changed` after each change.
    pub fn new(changed: impl Fn() + 'static) -> Self {
        Self { failing: RefCell::default(), changed: Box::new(changed) }
    }
}

impl Observer for LoggingObserver {
    fn configuration(&self, version: u64) {
        LogLine::new(EventName::ConfigurationInForce).field("version", version).write();
        (self.changed)();
    }

    fn unknown_regions(&self, version: u64, unknown: &[String]) {
        LogLine::new(EventName::RegionUnknown)
            .field("version", version)
            .field("count", unknown.len())
            .field("some", &unknown[..unknown.len().min(MOST_NAMES)])
            .write();
    }

    fn backends(&self, ready: usize, revision: Revision) {
        LogLine::new(EventName::BackendsChanged)
            .field("ready", ready)
            .field("revision", revision)
            .write();
        (self.changed)();
    }

    fn evacuations(&self, change: &EvacuationChange) {
        metrics::gauge!("evacuated_zones").set(change.evacuated as f64);
        for (zone, revision, backends) in &change.begun {
            LogLine::new(EventName::ZoneEvacuated)
                .id(zone)
                .field("revision", *revision)
                .field("source", change.source)
                .field("knowledge_age_ms", change.age_ms)
                .field("backends_without_new_work", *backends)
                .write();
        }
        for zone in &change.ended {
            LogLine::new(EventName::EvacuationEnded)
                .id(zone)
                .field("revision", change.revision)
                .field("source", change.source)
                .field("knowledge_age_ms", change.age_ms)
                .write();
        }
        (self.changed)();
    }

    fn reachable(&self, kind: &'static str, error: Option<&SourceError>) {
        let mut failing = self.failing.borrow_mut();
        let was_failing = failing.contains(&kind);
        match error {
            Some(error) if !was_failing => {
                failing.push(kind);
                LogLine::new(EventName::DependencyLost)
                    .id("platform-store")
                    .field("kind", kind)
                    .text("cause", error)
                    .write();
            }
            None if was_failing => {
                failing.retain(|other| *other != kind);
                LogLine::new(EventName::DependencyRegained)
                    .id("platform-store")
                    .field("kind", kind)
                    .write();
            }
            _ => {}
        }
    }
}
