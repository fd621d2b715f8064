//! One snapshot of all that routing needs: configuration and back ends.

use std::collections::HashMap;
use std::sync::Arc;

use arc_swap::ArcSwap;

use yokefall_types::{KeyIndex, Tenant};

use crate::model::{Backend, BackendState, Configuration};
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
}

impl Catalog {
    /// Builds a snapshot.
    pub fn new<'a>(
        configuration: Option<Arc<Configuration>>,
        backends: impl Iterator<Item = &'a Arc<Backend>>,
    ) -> Self {
        let routes = configuration.as_deref().map(RouteTable::new).unwrap_or_default();
        let tenants = configuration.as_deref().and_then(index_tenants);
        let mut ready: HashMap<String, Vec<Arc<Backend>>> = HashMap::new();
        for backend in backends.filter(|backend| backend.state == BackendState::Ready) {
            ready.entry(backend.service.clone()).or_default().push(backend.clone());
        }
        Self { configuration, routes, tenants, ready }
    }

    /// Back ends of a service that take work.
    pub fn ready(&self, service: &str) -> &[Arc<Backend>] {
        self.ready.get(service).map_or(&[], Vec::as_slice)
    }

    /// Whether a back end takes work.
    pub fn is_ready(&self, id: &str) -> bool {
        self.ready.values().flatten().any(|backend| backend.id == id)
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
