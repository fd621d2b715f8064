//! State shared by all tasks of the traffic thread.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;

use yokefall_jobstore::JobClient;
use yokefall_serving::table::Splitter;
use yokefall_serving::{
    CatalogCell, ColdStartLimiter, Dialect, Eligibility, FleetCell, Freshness, Policy, ZoneMap,
};
use yokefall_streams::{HistoryRegistry, OriginRegistry};
use yokefall_suspects::Registry;
use yokefall_upstream::{MemoryBudget, Pool, SharedBalancer};

use crate::admission::Admission;
use crate::idle_eviction::IdleEviction;
use crate::quota::Quota;
use crate::read_ahead::ReadAhead;
use crate::stop::Stop;

/// State of the traffic thread.
pub struct Shared {
    /// Routes and back ends.
    pub catalog: CatalogCell,
    /// Which back ends may receive a request.
    pub eligibility: Eligibility,
    /// Limits on requests to back ends that are not known to be warm.
    pub cold: Rc<ColdStartLimiter>,
    /// Age of the data from the platform.
    pub freshness: Freshness,
    /// The processes of the system.
    pub fleet: FleetCell,
    /// Regions of zones from the settings, known before any configuration is.
    pub zones: Arc<ZoneMap>,
    /// Header names and message formats of the platform.
    pub dialect: Arc<dyn Dialect>,
    /// Load and health of back ends.
    pub balancer: Rc<SharedBalancer>,
    /// Rate limits of tenants.
    pub quota: Quota,
    /// Requests during which back ends terminated.
    pub suspects: Rc<Registry>,
    /// Which software versions began the streams that may be continued.
    pub streams: Rc<OriginRegistry>,
    /// Where streams of each route may have begun lately.
    pub origin_history: Rc<HistoryRegistry>,
    /// Requests that are queued until back ends have capacity.
    pub admission: Admission,
    /// Enabled policies.
    pub policy: Policy,
    /// Weights of routes with a traffic split.
    pub splitter: RefCell<Splitter>,
    /// Connections to back ends.
    pub pool: Pool,
    /// Closes idle client connections when no new one can be accepted.
    pub idle_eviction: IdleEviction,
    /// Buffers responses for slow clients.
    pub read_ahead: Rc<ReadAhead>,
    /// Client of the job store.
    pub jobs: Rc<JobClient>,
    /// Address for clients; the other gateways use the same port.
    pub ingress: SocketAddr,
    /// Address for other processes.
    pub peer: SocketAddr,
    /// The planned stop.
    pub stop: Stop,
    /// Number of requests being served.
    pub serving: Cell<usize>,
    /// Memory for request bodies.
    pub body_memory: Rc<MemoryBudget>,
    /// Memory for the parts of responses that are held back until more has arrived.
    pub response_memory: Rc<MemoryBudget>,
}

impl Shared {
    /// Whether this gateway accepts requests.
    pub fn is_ready(&self) -> bool {
        !self.stop.has_begun() && self.catalog.load().can_serve()
    }
}
