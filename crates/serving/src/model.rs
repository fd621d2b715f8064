//! Configuration and back ends, as the product names them.

use std::net::SocketAddr;

use borsh::{BorshDeserialize, BorshSerialize};
use yokefall_types::Tenant;

use crate::objects::Lived;

/// What a route allows to be repeated.
#[derive(Clone, Copy, Debug, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub enum RouteKind {
    /// May run more than once.
    Repeatable,
    /// Runs at most once for each request id.
    AtMostOnce,
    /// Answers with a stream of events.
    Stream,
    /// Takes batch jobs.
    Batch,
}

/// One part of a traffic split.
#[derive(Clone, Debug, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub struct SplitPart {
    /// Service that gets the part.
    pub service: String,
    /// Its weight beside the other parts.
    pub weight: u32,
}

/// Time limits of the items of a batch route.
#[derive(Clone, Copy, Debug, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub struct BatchPolicy {
    /// Time after the first submission at which all results are due, in milliseconds.
    pub completion_target_ms: u64,
    /// Time after the first submission at which an item may be given up, in milliseconds.
    pub max_queue_ms: u64,
    /// Most tokens of items that may wait on the route; `None` for no limit.
    pub max_queued_tokens: Option<u64>,
}

/// Where requests of a host and path go.
#[derive(Clone, Debug, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub struct Route {
    /// Name.
    pub name: String,
    /// Host, in lower case, without a port.
    pub host: String,
    /// Path prefix; begins and ends with a slash.
    pub path_prefix: String,
    /// What may be repeated.
    pub kind: RouteKind,
    /// Longest time a request is held, in milliseconds; 0 for no limit.
    pub timeout_ms: u64,
    /// Time within which an answer is wanted, in milliseconds.
    pub target_latency_ms: u64,
    /// Rank, 0 the highest.
    pub priority: u32,
    /// Most back ends that one request may be sent to.
    pub max_attempts: u32,
    /// Whether a stream may continue at another back end.
    pub resumable: bool,
    /// Services; one or more parts, none of weight zero alone.
    pub split: Vec<SplitPart>,
    /// Limits of a batch route.
    pub batch: Option<BatchPolicy>,
    /// Whether requests need no key.
    pub auth_exempt: bool,
    /// Regions in which its requests may be served and kept; empty for all.
    pub allowed_regions: Vec<String>,
}

/// How slowly a back end is to be given work after its start, until it is warm.
#[derive(Clone, Copy, Debug, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub struct WarmUp {
    /// Time after its start for which it is cold, in milliseconds.
    pub duration_ms: u64,
    /// Requests that it bears while it is cold, in 1,000 seconds.
    pub per_1000_seconds: u64,
}

/// A group of back ends that do the same.
#[derive(Clone, Debug, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub struct Service {
    /// Name.
    pub name: String,
    /// Path of health checks.
    pub health_path: String,
    /// Connections that one back end accepts from all callers.
    pub max_connections: u32,
    /// What its back ends bear while they are cold; `None` where it makes no difference.
    pub warm_up: Option<WarmUp>,
}

/// What clients may send.
#[derive(Clone, Copy, Debug, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub struct RequestLimits {
    /// Bytes of a request's head.
    pub header_bytes: usize,
    /// Bytes of a request's body.
    pub body_bytes: usize,
    /// Time for a request's head, in milliseconds.
    pub header_timeout_ms: u64,
    /// Time for which a kept connection may rest, in milliseconds.
    pub idle_timeout_ms: u64,
}

impl Default for RequestLimits {
    fn default() -> Self {
        Self {
            header_bytes: 16_384,
            body_bytes: 4_194_304,
            header_timeout_ms: 3_000,
            idle_timeout_ms: 15_000,
        }
    }
}

/// A whole configuration.
#[derive(Clone, Debug, Default, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub struct Configuration {
    /// Version; a higher one replaces a lower one.
    pub version: u64,
    /// Routes.
    pub routes: Vec<Route>,
    /// Services.
    pub services: Vec<Service>,
    /// Limits of requests.
    pub limits: RequestLimits,
    /// Tenants; where there are none, requests need no key.
    pub tenants: Vec<Tenant>,
}

impl Configuration {
    /// Whether any tenant has a limit.
    pub fn has_limits(&self) -> bool {
        self.tenants.iter().any(|tenant| tenant.limit.is_some())
    }
}

/// Whether a back end takes new work.
#[derive(Clone, Copy, Debug, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub enum BackendState {
    /// Takes work.
    Ready,
    /// Finishes what it has.
    Draining,
}

/// One process that runs a service.
#[derive(Clone, Debug, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub struct Backend {
    /// Identity; a process that starts again may have the same one.
    pub id: String,
    /// When it started, in milliseconds since the Unix epoch by its own time of day; 0 where it tells none.
    /// Only compared with that of other lives under the same id.
    pub started_ms: u64,
    /// Service that it runs.
    pub service: String,
    /// Address for requests.
    pub address: SocketAddr,
    /// Zone in which it stands.
    pub zone: String,
    /// Requests it works on at once.
    pub slots: u32,
    /// Whether it takes work.
    pub state: BackendState,
    /// Time for which it is still slow, in milliseconds, as told when it was recorded.
    pub cold_remaining_ms: u64,
}

impl Backend {
    /// The life of the process that this record is of.
    pub fn incarnation(&self) -> BackendIncarnation {
        BackendIncarnation { id: self.id.clone(), started_ms: self.started_ms }
    }
}

/// One life of a back end: what is known of it (load, outcomes, connections, what it holds in memory) says
/// nothing of a later life under the same id.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, BorshSerialize, BorshDeserialize)]
pub struct BackendIncarnation {
    /// Identity of the back end.
    pub id: String,
    /// Its start, in milliseconds since the Unix epoch; 0 where it tells none.
    pub started_ms: u64,
}

/// An operator's request that nothing more go to the back ends of a zone. It stands until it is removed.
#[derive(Clone, Debug, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub struct Evacuation {
    /// The zone.
    pub zone: String,
}

impl Lived for Backend {
    fn started_ms(&self) -> u64 {
        self.started_ms
    }
}

impl Lived for Evacuation {
    /// A request has one life.
    fn started_ms(&self) -> u64 {
        0
    }
}
