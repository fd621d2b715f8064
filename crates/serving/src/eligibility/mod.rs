//! Which back ends may be sent a request now, and why the others may not.
//!
//! This module decides it for everything that sends to a back end: first attempts, retries, resumed
//! streams, and items of jobs at any process. It is asked twice: `Eligibility::candidates` before
//! the choice, and `Eligibility::permit` right before the request is written, because the state may
//! have changed while a connection was established. Only `permit` creates a `Permit`, and nothing
//! is sent without one (`yokefall_upstream::exchange`), so that no sender can skip the check.

pub mod cold_quota;
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

pub use cold_quota::SenderId;
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
use crate::model::{Backend, BackendIncarnation, BackendState, SoftwareVersion};

/// Why a back end may not be sent a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Ineligible {
    /// The back end is no longer known.
    Unknown,
    /// Another incarnation of the back end is running.
    OtherIncarnation,
    /// The back end is draining.
    Draining,
    /// An operator evacuated the back end's zone.
    Evacuated,
    /// This process does not know yet which zones are evacuated.
    EvacuationsUnknown,
    /// The request may not be served in the back end's region.
    OtherRegion,
    /// The request continues output of another software version.
    OtherSoftwareVersion,
    /// The back end is not known to be warm, and this process has used up its quota.
    Cold {
        /// Milliseconds until this process may send it a request, as far as known.
        wait_ms: u64,
    },
}

impl Ineligible {
    /// Name of the reason in log lines and metrics.
    pub fn name(&self) -> &'static str {
        match self {
            Ineligible::Unknown => "unknown",
            Ineligible::OtherIncarnation => "another-life",
            Ineligible::Draining => "draining",
            Ineligible::Evacuated => "evacuated",
            Ineligible::EvacuationsUnknown => "evacuations-unknown",
            Ineligible::OtherRegion => "other-region",
            Ineligible::OtherSoftwareVersion => "other-software-version",
            Ineligible::Cold { .. } => "cold",
        }
    }
}

impl Ineligible {
    /// Counts a request or item denied a permit, and logs its id if the zone is evacuated.
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
            Ineligible::OtherIncarnation => formatter.write_str("it has started again"),
            Ineligible::Draining => formatter.write_str("it is leaving"),
            Ineligible::Evacuated => formatter.write_str("its zone is evacuated"),
            Ineligible::EvacuationsUnknown => {
                formatter.write_str("which zones are evacuated is not known yet")
            }
            Ineligible::OtherRegion => {
                formatter.write_str("the request must stay in other regions")
            }
            Ineligible::OtherSoftwareVersion => {
                formatter.write_str("the request continues output of another software version")
            }
            Ineligible::Cold { wait_ms } => {
                write!(formatter, "it is cold, and has its share for {wait_ms} ms")
            }
        }
    }
}

/// What a request requires of a back end.
#[derive(Clone, Copy, Debug)]
pub struct Requirements<'a> {
    /// Service that serves it.
    pub service: &'a str,
    /// Regions in which it may be served.
    pub residency: &'a Residency,
    /// Software version whose output it continues; `None` if it continues none.
    pub software_version: Option<&'a SoftwareVersion>,
}

impl Requirements<'_> {
    fn allows_software_version(&self, backend: &Backend) -> bool {
        self.software_version.is_none_or(|version| version.fits(&backend.software_version))
    }
}

/// Permission to send one request to a back end now.
#[derive(Debug)]
pub struct Permit {
    incarnation: BackendIncarnation,
}

impl Permit {
    /// The incarnation to which the request may be sent.
    pub fn incarnation(&self) -> &BackendIncarnation {
        &self.incarnation
    }
}

/// Eligibility of back ends by this process's view.
#[derive(Clone, Debug)]
pub struct Eligibility {
    catalog: CatalogCell,
    /// Limits for back ends that are not known to be warm; `None` if not tracked.
    cold: Option<Rc<ColdStartLimiter>>,
}

impl Eligibility {
    /// Checks against the latest catalog in a cell.
    pub fn new(catalog: CatalogCell) -> Self {
        Self { catalog, cold: None }
    }

    /// Also limits requests to back ends that are not known to be warm.
    pub fn with_cold_start(catalog: CatalogCell, cold: Rc<ColdStartLimiter>) -> Self {
        Self { catalog, cold: Some(cold) }
    }

    /// Back ends that may be sent a request of this process, by one catalog.
    pub fn candidates<'a>(
        &self,
        catalog: &'a Catalog,
        requirements: &Requirements,
    ) -> Cow<'a, [Arc<Backend>]> {
        let allowed_by_placement = self.allowed_by_placement(catalog, requirements);
        let permitted = self
            .cold
            .as_ref()
            .and_then(|cold| cold.permitted(requirements.service, &allowed_by_placement));
        permitted.map_or(allowed_by_placement, Cow::Owned)
    }

    /// The candidates as tables, including those to which this process may not send now.
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

    /// A random sample of many candidates, with those preferred by `affinity`; `None` if there are
    /// few enough to look at all, if this process may send to none of the sampled ones, or if a
    /// software version is required, which few of them may have.
    pub fn sample(
        &self,
        catalog: &Catalog,
        requirements: &Requirements,
        affinity: Option<u64>,
        generator: &mut impl Rng,
    ) -> Option<CandidateSample> {
        if requirements.software_version.is_some() {
            return None;
        }
        let sample = CandidateSample::of(&self.tables(catalog, requirements), affinity, generator)?;
        let Some(cold) = &self.cold else { return Some(sample) };
        let sample = sample.filtered(|backends| cold.permitted(requirements.service, backends));
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
        if requirements.software_version.is_some() {
            return None;
        }
        let sample = CandidateSample::of(&self.tables(catalog, requirements), None, generator)?;
        let Some(cold) = &self.cold else { return Some(sample) };
        let sample = sample.filtered(|backends| {
            cold.permitted(requirements.service, backends)?;
            Some(self.usable_for_items(cold, backends, &usable))
        });
        (!sample.backends.is_empty()).then_some(sample)
    }

    /// Cold back ends that may get no item now; `None` if the platform state is too old.
    pub fn ineligible_for_items(
        &self,
        service: &str,
        usable: impl Fn(&str) -> bool,
    ) -> Option<Vec<Arc<Backend>>> {
        let Some(cold) = &self.cold else { return Some(Vec::new()) };
        let mut cold_backends = cold.cold_backends(service)?;
        cold_backends.retain(|backend| cold.item_sender(backend, &usable).is_none());
        Some(cold_backends)
    }

    fn usable_for_items(
        &self,
        cold: &ColdStartLimiter,
        backends: &[Arc<Backend>],
        usable: impl Fn(&str) -> bool,
    ) -> Vec<Arc<Backend>> {
        let is_usable = |backend: &&Arc<Backend>| {
            cold.is_warm(backend) || cold.item_sender(backend, &usable).is_some()
        };
        backends.iter().filter(is_usable).cloned().collect()
    }

    /// Back ends that may be sent an item. One that is not known to be warm is included only if a
    /// `usable` job store has quota left for it, as far as the assigning leader knows.
    pub fn item_candidates<'a>(
        &self,
        catalog: &'a Catalog,
        requirements: &Requirements,
        usable: impl Fn(&str) -> bool,
    ) -> Cow<'a, [Arc<Backend>]> {
        let allowed_by_placement = self.allowed_by_placement(catalog, requirements);
        let Some(cold) = &self.cold else { return allowed_by_placement };
        if cold.permitted(requirements.service, &allowed_by_placement).is_none() {
            return allowed_by_placement;
        }
        Cow::Owned(self.usable_for_items(cold, &allowed_by_placement, usable))
    }

    /// Milliseconds until this process may send if all candidates are cold and no quota is left.
    pub fn cold_wait_ms(&self, catalog: &Catalog, requirements: &Requirements) -> Option<u64> {
        let cold = self.cold.as_ref()?;
        cold.wait_ms(&self.allowed_by_placement(catalog, requirements))
    }

    /// Ready back ends in the regions where the request may be served, of the required software
    /// version.
    fn allowed_by_placement<'a>(
        &self,
        catalog: &'a Catalog,
        requirements: &Requirements,
    ) -> Cow<'a, [Arc<Backend>]> {
        let in_regions = match requirements.residency {
            Residency::Anywhere => Cow::Borrowed(catalog.ready(requirements.service)),
            Residency::Within(regions) => catalog.ready_within(requirements.service, regions),
        };
        if requirements.software_version.is_none() {
            return in_regions;
        }
        let mut fitting = in_regions.into_owned();
        fitting.retain(|backend| requirements.allows_software_version(backend));
        Cow::Owned(fitting)
    }

    /// Whether any back end may be sent the request, regardless of load and quota.
    pub fn has_candidates(&self, catalog: &Catalog, requirements: &Requirements) -> bool {
        !self.allowed_by_placement(catalog, requirements).is_empty()
    }

    /// Permission to send a request to a back end now, by the latest catalog. Must be requested
    /// right before the request is written: for a back end not known to be warm it uses up quota.
    pub fn permit(
        &self,
        backend: &Backend,
        requirements: &Requirements,
    ) -> Result<Permit, Ineligible> {
        self.check_placement(backend, requirements)?;
        if let Some(cold) = &self.cold {
            cold.consume(backend)?;
        }
        Ok(Permit { incarnation: backend.incarnation() })
    }

    /// Whether `permit` would succeed now.
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
            return Err(Ineligible::OtherIncarnation);
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
        if !requirements.allows_software_version(known) {
            return Err(Ineligible::OtherSoftwareVersion);
        }
        Ok(())
    }
}
