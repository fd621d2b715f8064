//! One snapshot of all that routing needs: configuration and back ends.

use std::borrow::Cow;
use std::collections::{BTreeSet, HashMap};
use std::sync::Arc;

use arc_swap::ArcSwap;

use yokefall_types::{KeyIndex, Tenant, TenantName};

use crate::eligibility::{Residency, ZoneMap};
use crate::model::{Backend, BackendLife, BackendState, Configuration, Route};
use crate::table::RouteTable;

/// Configuration and back ends at one moment.
#[derive(Debug, Default)]
pub struct Catalog {
    /// The configuration; `None` until the first is known.
    pub configuration: Option<Arc<Configuration>>,
    /// Its routes.
    pub routes: RouteTable,
    /// Its tenants by key; `None` where it holds none.
    pub tenants: Option<KeyIndex<Arc<Tenant>>>,
    /// Service to its back ends that take work.
    pub ready: HashMap<String, Vec<Arc<Backend>>>,
    /// The same by region, for requests that may be served in some regions alone.
    ready_by_region: HashMap<String, HashMap<String, Vec<Arc<Backend>>>>,
    /// Every back end by its id, those too that take no work.
    pub known: HashMap<String, Arc<Backend>>,
    /// Zones whose back ends get nothing new.
    pub evacuated: BTreeSet<String>,
    /// Regions of zones.
    pub zones: Arc<ZoneMap>,
    /// Whether nobody has told yet which zones are evacuated, so that no back end may be used.
    pub awaits_evacuations: bool,
}

/// What is known of zones beside the back ends in them.
#[derive(Clone, Debug, Default)]
pub struct ZoneFacts {
    /// Zones whose back ends get nothing new.
    pub evacuated: BTreeSet<String>,
    /// Regions of zones.
    pub zones: Arc<ZoneMap>,
}

impl Catalog {
    /// Builds a snapshot of a fleet in which nothing is known of zones.
    pub fn new<'a>(
        configuration: Option<Arc<Configuration>>,
        backends: impl Iterator<Item = &'a Arc<Backend>>,
    ) -> Self {
        Self::with_zones(configuration, backends, ZoneFacts::default())
    }

    /// Builds a snapshot.
    pub fn with_zones<'a>(
        configuration: Option<Arc<Configuration>>,
        backends: impl Iterator<Item = &'a Arc<Backend>>,
        facts: ZoneFacts,
    ) -> Self {
        let ZoneFacts { evacuated, zones } = facts;
        let routes = configuration.as_deref().map(RouteTable::new).unwrap_or_default();
        let tenants = configuration.as_deref().and_then(index_tenants);
        let known: HashMap<String, Arc<Backend>> =
            backends.map(|backend| (backend.id.clone(), backend.clone())).collect();
        let takes_work = |backend: &&Arc<Backend>| {
            backend.state == BackendState::Ready && !evacuated.contains(&backend.zone)
        };
        let mut ready: HashMap<String, Vec<Arc<Backend>>> = HashMap::new();
        let mut ready_by_region: HashMap<String, HashMap<String, Vec<Arc<Backend>>>> =
            HashMap::new();
        for backend in known.values().filter(takes_work) {
            ready.entry(backend.service.clone()).or_default().push(backend.clone());
            if let Some(region) = zones.region_of(&backend.zone) {
                let regions = ready_by_region.entry(backend.service.clone()).or_default();
                regions.entry(region.to_owned()).or_default().push(backend.clone());
            }
        }
        let awaits_evacuations = false;
        Self {
            configuration,
            routes,
            tenants,
            ready,
            ready_by_region,
            known,
            evacuated,
            zones,
            awaits_evacuations,
        }
    }

    /// The same where nobody has told yet which zones are evacuated: a process that starts during an evacuation
    /// may know configuration and back ends before it hears of that.
    pub fn awaiting_evacuations(mut self) -> Self {
        self.ready.clear();
        self.ready_by_region.clear();
        self.awaits_evacuations = true;
        self
    }

    /// Whether requests can be served: what is needed for it has been heard.
    pub fn can_serve(&self) -> bool {
        self.configuration.is_some() && !self.awaits_evacuations
    }

    /// Back ends of a service that take work.
    pub fn ready(&self, service: &str) -> &[Arc<Backend>] {
        self.ready.get(service).map_or(&[], Vec::as_slice)
    }

    /// Back ends of a service that take work, in some regions alone.
    pub fn ready_within(
        &self,
        service: &str,
        regions: &BTreeSet<String>,
    ) -> Cow<'_, [Arc<Backend>]> {
        let Some(by_region) = self.ready_by_region.get(service) else { return Cow::Borrowed(&[]) };
        let mut parts = regions.iter().filter_map(|region| by_region.get(region));
        match (parts.next(), parts.next()) {
            (None, _) => Cow::Borrowed(&[]),
            (Some(only), None) => Cow::Borrowed(only),
            (Some(first), Some(second)) => {
                let all = first.iter().chain(second).chain(parts.flatten());
                Cow::Owned(all.cloned().collect())
            }
        }
    }

    /// Whether a back end takes work.
    pub fn is_ready(&self, id: &str) -> bool {
        self.known.get(id).is_some_and(|backend| {
            let takes_work = backend.state == BackendState::Ready && !self.awaits_evacuations;
            takes_work && !self.is_evacuated(&backend.zone)
        })
    }

    /// Whether a back end takes work in this life.
    pub fn is_ready_life(&self, life: &BackendLife) -> bool {
        let is_same = |known: &Arc<Backend>| known.started_ms == life.started_ms;
        self.known.get(&life.id).is_some_and(is_same) && self.is_ready(&life.id)
    }

    /// Whether the back ends of a zone get nothing new.
    pub fn is_evacuated(&self, zone: &str) -> bool {
        self.evacuated.contains(zone)
    }

    /// Where requests of a tenant on a route may be served. A tenant that the configuration does not name any
    /// more binds nothing.
    pub fn residency(&self, route: &Route, tenant: Option<&TenantName>) -> Residency {
        let tenants = self.configuration.iter().flat_map(|configuration| &configuration.tenants);
        let owner = tenant.and_then(|name| tenants.clone().find(|tenant| tenant.name == *name));
        Residency::of(
            &route.allowed_regions,
            owner.map_or(&[], |owner| owner.allowed_regions.as_slice()),
        )
    }

    /// Whether any route or tenant must stay in some regions.
    pub fn has_regions(&self) -> bool {
        self.configuration.iter().any(|configuration| {
            let routes = configuration.routes.iter();
            let tenants = configuration.tenants.iter();
            routes.clone().any(|route| !route.allowed_regions.is_empty())
                || tenants.clone().any(|tenant| !tenant.allowed_regions.is_empty())
        })
    }

    /// Where a request of a host and path may be served; `None` where no route has them any more.
    pub fn residency_at(
        &self,
        host: &str,
        path: &str,
        tenant: Option<&TenantName>,
    ) -> Option<Residency> {
        let route = self.routes.find(host, path)?;
        Some(self.residency(route, tenant))
    }

    /// Version of the configuration; 0 when none is known.
    pub fn version(&self) -> u64 {
        self.configuration.as_ref().map_or(0, |configuration| configuration.version)
    }

    /// Connections that one back end of a service accepts from all callers.
    pub fn max_connections(&self, service: &str) -> u32 {
        let services = self.configuration.iter().flat_map(|c| &c.services);
        services
            .filter(|candidate| candidate.name == service)
            .map(|candidate| candidate.max_connections)
            .next()
            .unwrap_or(DEFAULT_MAX_CONNECTIONS)
    }
}

/// Finds tenants by key. A key that two tenants have is the first one's; `check` names it.
fn index_tenants(configuration: &Configuration) -> Option<KeyIndex<Arc<Tenant>>> {
    if configuration.tenants.is_empty() {
        return None;
    }
    let mut index = KeyIndex::default();
    for tenant in &configuration.tenants {
        let owner = Arc::new(tenant.clone());
        for key in &tenant.keys {
            index.add(*key, owner.clone());
        }
    }
    Some(index)
}

/// Connections to a back end whose service is not in the configuration.
const DEFAULT_MAX_CONNECTIONS: u32 = 64;

/// The snapshot in force, shared between the threads of a process.
pub type CatalogCell = Arc<ArcSwap<Catalog>>;

/// A cell without anything known.
pub fn empty_catalog() -> CatalogCell {
    Arc::new(ArcSwap::from_pointee(Catalog::default()))
}
