//! What all tasks of the traffic thread share.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;

use yokefall_jobstore::JobClient;
use yokefall_serving::table::Splitter;
use yokefall_serving::{
    CatalogCell, ColdStartLimiter, Dialect, Eligibility, FleetCell, Freshness, Policy, ZoneMap,
};
use yokefall_suspects::Registry;
use yokefall_upstream::{Pool, SharedBalancer};

use crate::admission::Admission;
use crate::crowding::Crowding;
use crate::quota::Quota;
use crate::read_ahead::ReadAhead;

/// State of the traffic thread.
pub struct Shared {
    /// Routes and back ends.
    pub catalog: CatalogCell,
    /// Which back ends may take a request.
    pub eligibility: Eligibility,
    /// What may be sent to back ends that are not known to be warm.
    pub cold: Rc<ColdStartLimiter>,
    /// How old what is known of the platform is.
    pub freshness: Freshness,
    /// The system's processes.
    pub fleet: FleetCell,
    /// Regions of zones, as settings tell them: known before any configuration is.
    pub zones: Arc<ZoneMap>,
    /// Names and formats.
    pub dialect: Arc<dyn Dialect>,
    /// Load and health of back ends.
    pub balancer: Rc<SharedBalancer>,
    /// Limits of tenants.
    pub quota: Quota,
    /// Requests under which back ends ended.
    pub suspects: Rc<Registry>,
    /// Requests that are held until back ends have room.
    pub admission: Admission,
    /// Decisions that are switched on.
    pub policy: Policy,
    /// Shares of split routes.
    pub splitter: RefCell<Splitter>,
    /// Connections to back ends.
    pub pool: Pool,
    /// What gives way when no connection can be taken.
    pub crowding: Crowding,
    /// Answers that are being passed on, and what is held of them for slow clients.
    pub ahead: Rc<ReadAhead>,
    /// Calls to the job store.
    pub jobs: Rc<JobClient>,
    /// Address for clients; the other gateways use the same port.
    pub ingress: SocketAddr,
    /// Address for other processes.
    pub peer: SocketAddr,
    /// Whether a stop has begun.
    pub stopping: Cell<bool>,
    /// Whether a stop has come so far that new requests are refused.
    pub refusing: Cell<bool>,
    /// Requests that are being served.
    pub serving: Cell<usize>,
    /// Bytes of request bodies that are held.
    pub held_bytes: Cell<usize>,
    /// Most bytes of request bodies that are held.
    pub most_held_bytes: usize,
}

impl Shared {
    /// Whether this gateway takes requests.
    pub fn is_ready(&self) -> bool {
        !self.stopping.get() && self.catalog.load().can_serve()
    }
}
