//! Which back ends may take a request now, and why not the others.
//!
//! One place answers this for everything that sends to a back end: first tries, retries, resumed streams, items
//! of jobs at whichever process runs them. The answer is asked for twice: `Eligibility::candidates` before one is
//! chosen, and `Eligibility::permit` at the last moment before the request is written, since what is known may
//! have changed while a connection came up. Only `permit` makes a `Permit`, and nothing is sent without one
//! (`yokefall_upstream::exchange`), so that a new sender can't forget to ask.

pub mod cold_share;
pub mod cold_start;
pub mod cold_state;
pub mod freshness;
pub mod residency;
pub mod sample;
pub mod unknown_regions;
pub mod warmth;
pub mod zones;

use std::borrow::Cow;
use std::fmt;
use std::rc::Rc;
use std::sync::Arc;

pub use cold_share::SenderId;
pub use cold_start::{ColdStartLimiter, ColdStartLimiterOptions};
pub use freshness::Freshness;
pub use residency::Residency;
pub use sample::CandidateSample;
pub use unknown_regions::unknown_regions;
pub use zones::{Distance, ZoneMap};

use rand::Rng;
use yokefall_telemetry::{EventName, LogLine};

use crate::backend_table::BackendTable;
use crate::catalog::{Catalog, CatalogCell};
use crate::model::{Backend, BackendIncarnation, BackendState};

/// Why a back end may not take a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Ineligible {
    /// Nobody knows it any more.
    Unknown,
    /// Another life of it is running by now.
    AnotherLife,
    /// It is leaving.
    Draining,
    /// An operator has its zone evacuated.
    Evacuated,
    /// Nobody has told this process yet which zones are evacuated.
    EvacuationsUnknown,
    /// The request may not be served in its region.
    OtherRegion,
    /// It is cold, or may be, and this process has sent it as much as it may.
    Cold {
        /// Milliseconds until this process may send it a request, as far as known.
        wait_ms: u64,
    },
}

impl Ineligible {
    /// The reason's name, for lines and metrics.
    pub fn name(&self) -> &'static str {
        match self {
            Ineligible::Unknown => "unknown",
            Ineligible::AnotherLife => "another-life",
            Ineligible::Draining => "draining",
            Ineligible::Evacuated => "evacuated",
            Ineligible::EvacuationsUnknown => "evacuations-unknown",
            Ineligible::OtherRegion => "other-region",
            Ineligible::Cold { .. } => "cold",
        }
    }
}

impl Ineligible {
    /// Tells that a request or item, by its id, was kept from a back end that was chosen for it.
    pub fn record_rejection(&self, id: &str, backend: &Backend) {
        metrics::counter!("permits_refused_total", "cause" => self.name()).increment(1);
        if *self == Ineligible::Evacuated {
            LogLine::new(EventName::EvacuationObeyed)
                .id(id)
                .field("backend", backend.id.as_str())
                .field("zone", backend.zone.as_str())
                .write();
        }
    }
}

impl fmt::Display for Ineligible {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Ineligible::Unknown => formatter.write_str("it is not known any more"),
            Ineligible::AnotherLife => formatter.write_str("it has started again"),
            Ineligible::Draining => formatter.write_str("it is leaving"),
            Ineligible::Evacuated => formatter.write_str("its zone is evacuated"),
            Ineligible::EvacuationsUnknown => {
                formatter.write_str("which zones are evacuated is not known yet")
            }
            Ineligible::OtherRegion => {
                formatter.write_str("the request must stay in other regions")
            }
            Ineligible::Cold { wait_ms } => {
                write!(formatter, "it is cold, and has its share for {wait_ms} ms")
            }
        }
    }
}

/// What a request asks of a back end.
#[derive(Clone, Copy, Debug)]
pub struct Requirements<'a> {
    /// Service that is to run it.
    pub service: &'a str,
    /// Where it may be served.
    pub residency: &'a Residency,
}

/// The right to send one request to a back end, right now.
#[derive(Debug)]
pub struct Permit {
    incarnation: BackendIncarnation,
}

impl Permit {
    /// Where the request may be sent.
    pub fn incarnation(&self) -> &BackendIncarnation {
        &self.incarnation
    }
}

/// Which back ends may take a request, as this process knows it.
#[derive(Clone, Debug)]
pub struct Eligibility {
    catalog: CatalogCell,
    /// What may be sent to back ends that are not known to be warm; `None` where nobody keeps that.
    cold: Option<Rc<ColdStartLimiter>>,
}

impl Eligibility {
    /// Asks the newest catalog in a cell.
    pub fn new(catalog: CatalogCell) -> Self {
        Self { catalog, cold: None }
    }

    /// The same for a process that keeps what it sends to back ends that are not known to be warm.
    pub fn with_cold_start(catalog: CatalogCell, cold: Rc<ColdStartLimiter>) -> Self {
        Self { catalog, cold: Some(cold) }
    }

    /// Back ends that may take a request of this process, by the facts of one catalog.
    pub fn candidates<'a>(
        &self,
        catalog: &'a Catalog,
        requirements: &Requirements,
    ) -> Cow<'a, [Arc<Backend>]> {
        let placed = self.placed(catalog, requirements);
        let open = self.cold.as_ref().and_then(|cold| cold.open(requirements.service, &placed));
        open.map_or(placed, Cow::Owned)
    }

    /// The same as tables, with those that this process may not use now still in them.
    pub fn tables<'a>(
        &self,
        catalog: &'a Catalog,
        requirements: &'a Requirements,
    ) -> Vec<&'a BackendTable> {
        match requirements.residency {
            Residency::Anywhere => catalog.ready_table(requirements.service).into_iter().collect(),
            Residency::Within(regions) => {
                catalog.ready_tables_within(requirements.service, regions).collect()
            }
        }
    }

    /// Back ends out of many for one request, by chance, with those that its `affinity` prefers; `None` where there
    /// are so few that all are looked at, or where this process may use none of them.
    pub fn sample(
        &self,
        catalog: &Catalog,
        requirements: &Requirements,
        affinity: Option<u64>,
        generator: &mut impl Rng,
    ) -> Option<CandidateSample> {
        let sample = CandidateSample::of(&self.tables(catalog, requirements), affinity, generator)?;
        let Some(cold) = &self.cold else { return Some(sample) };
        let sample = sample.filtered(|backends| cold.open(requirements.service, backends));
        (!sample.backends.is_empty()).then_some(sample)
    }

    /// The same for an item; see `item_candidates`.
    pub fn sample_for_items(
        &self,
        catalog: &Catalog,
        requirements: &Requirements,
        usable: impl Fn(&str) -> bool,
        generator: &mut impl Rng,
    ) -> Option<CandidateSample> {
        let sample = CandidateSample::of(&self.tables(catalog, requirements), None, generator)?;
        let Some(cold) = &self.cold else { return Some(sample) };
        let sample = sample.filtered(|backends| {
            cold.open(requirements.service, backends)?;
            Some(self.usable_for_items(cold, backends, &usable))
        });
        (!sample.backends.is_empty()).then_some(sample)
    }

    /// Back ends of a service that may not take an item now because they are not known to be warm; `None` where
    /// what is known is too old, so that each is to be looked at.
    pub fn closed_to_items(
        &self,
        service: &str,
        usable: impl Fn(&str) -> bool,
    ) -> Option<Vec<Arc<Backend>>> {
        let Some(cold) = &self.cold else { return Some(Vec::new()) };
        let mut doubted = cold.doubted(service)?;
        doubted.retain(|backend| cold.item_sender(backend, &usable).is_none());
        Some(doubted)
    }

    fn usable_for_items(
        &self,
        cold: &ColdStartLimiter,
        backends: &[Arc<Backend>],
        usable: impl Fn(&str) -> bool,
    ) -> Vec<Arc<Backend>> {
        let may_go = |backend: &&Arc<Backend>| {
            cold.is_warm(backend) || cold.item_sender(backend, &usable).is_some()
        };
        backends.iter().filter(may_go).cloned().collect()
    }

    /// Back ends that may take an item: of those that are not known to be warm the ones for which a job store that
    /// is `usable` has a share left, as far as the leader who gave them items knows.
    pub fn item_candidates<'a>(
        &self,
        catalog: &'a Catalog,
        requirements: &Requirements,
        usable: impl Fn(&str) -> bool,
    ) -> Cow<'a, [Arc<Backend>]> {
        let placed = self.placed(catalog, requirements);
        let Some(cold) = &self.cold else { return placed };
        if cold.open(requirements.service, &placed).is_none() {
            return placed;
        }
        Cow::Owned(self.usable_for_items(cold, &placed, usable))
    }

    /// Where every back end that might take a request is cold and this process has no share left: milliseconds
    /// until its next one.
    pub fn cold_wait_ms(&self, catalog: &Catalog, requirements: &Requirements) -> Option<u64> {
        let cold = self.cold.as_ref()?;
        cold.wait_ms(&self.placed(catalog, requirements))
    }

    /// Back ends that take work where the request may be served.
    fn placed<'a>(
        &self,
        catalog: &'a Catalog,
        requirements: &Requirements,
    ) -> Cow<'a, [Arc<Backend>]> {
        match requirements.residency {
            Residency::Anywhere => Cow::Borrowed(catalog.ready(requirements.service)),
            Residency::Within(regions) => catalog.ready_within(requirements.service, regions),
        }
    }

    /// The right to send a request to a back end now, by the newest catalog. To be asked for right before the
    /// request is written: where the back end is not known to be warm, it takes this process's share.
    pub fn permit(
        &self,
        backend: &Backend,
        requirements: &Requirements,
    ) -> Result<Permit, Ineligible> {
        self.check_placement(backend, requirements)?;
        if let Some(cold) = &self.cold {
            cold.spend(backend)?;
        }
        Ok(Permit { incarnation: backend.incarnation() })
    }

    /// Whether `permit` would be given now.
    pub fn check(&self, backend: &Backend, requirements: &Requirements) -> Result<(), Ineligible> {
        self.check_placement(backend, requirements)?;
        match &self.cold {
            Some(cold) => cold.check(backend),
            None => Ok(()),
        }
    }

    fn check_placement(
        &self,
        backend: &Backend,
        requirements: &Requirements,
    ) -> Result<(), Ineligible> {
        let catalog = self.catalog.load();
        let known = catalog.known.get(&backend.id).ok_or(Ineligible::Unknown)?;
        if known.started_ms != backend.started_ms {
            return Err(Ineligible::AnotherLife);
        }
        if known.state != BackendState::Ready {
            return Err(Ineligible::Draining);
        }
        if catalog.evacuations_unknown {
            return Err(Ineligible::EvacuationsUnknown);
        }
        if catalog.is_evacuated(&known.zone) {
            return Err(Ineligible::Evacuated);
        }
        if !requirements.residency.allows(catalog.zones.region_of(&known.zone)) {
            return Err(Ineligible::OtherRegion);
        }
        Ok(())
    }
}
