//! Configuration and back ends in terms of the product, independent of the platform.

use std::fmt;
use std::net::SocketAddr;
use std::sync::Arc;

use borsh::{BorshDeserialize, BorshSerialize};
use http::HeaderValue;
use yokefall_types::Tenant;

use crate::objects::Incarnated;

/// Delivery semantics of a route.
#[derive(Clone, Copy, Debug, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub enum RouteKind {
    /// Requests may run more than once.
    Repeatable,
    /// Requests run at most once per request id.
    AtMostOnce,
    /// Responses are event streams.
    Stream,
    /// Accepts batch jobs.
    Batch,
}

/// One part of a traffic split.
#[derive(Clone, Debug, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub struct SplitPart {
    /// Service that receives this part.
    pub service: String,
    /// Weight relative to the other parts.
    pub weight: u32,
}

/// Limits for the items of a batch route.
#[derive(Clone, Copy, Debug, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub struct BatchPolicy {
    /// Time after the first submission at which all results are due, in milliseconds.
    pub completion_target_ms: u64,
    /// Time after the first submission at which an item may be abandoned, in milliseconds.
    pub max_queue_ms: u64,
    /// Maximum number of tokens of queued items on the route; `None` for no limit.
    pub max_queued_tokens: Option<u64>,
}

/// Maps requests of a host and path to services.
#[derive(Clone, Debug, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub struct Route {
    /// Name.
    pub name: String,
    /// Host, in lower case, without a port.
    pub host: String,
    /// Path prefix; begins and ends with a slash.
    pub path_prefix: String,
    /// Delivery semantics.
    pub kind: RouteKind,
    /// Maximum time for which a request is held, in milliseconds; 0 for no limit.
    pub timeout_ms: u64,
    /// Target response time, in milliseconds.
    pub target_latency_ms: u64,
    /// Priority; 0 is the highest.
    pub priority: u32,
    /// Maximum number of back ends that one request may be sent to.
    pub max_attempts: u32,
    /// Whether a stream may be continued by another back end.
    pub resumable: bool,
    /// Services; at least one, not all with weight zero.
    pub split: Vec<SplitPart>,
    /// Limits of a batch route.
    pub batch: Option<BatchPolicy>,
    /// Whether requests need no API key.
    pub auth_exempt: bool,
    /// Regions in which requests may be served and stored; empty for all.
    pub allowed_regions: Vec<String>,
}

impl Route {
    /// Services that requests of the route are sent to.
    pub fn services(&self) -> impl Iterator<Item = &str> {
        self.split.iter().filter(|part| part.weight > 0).map(|part| part.service.as_str())
    }
}

/// Load limit for back ends that are still cold after a start.
#[derive(Clone, Copy, Debug, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub struct WarmUp {
    /// Time after its start for which a back end is cold, in milliseconds.
    pub duration_ms: u64,
    /// Requests that a cold back end can handle in 1,000 seconds.
    pub per_1000_seconds: u64,
}

/// A group of interchangeable back ends.
#[derive(Clone, Debug, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub struct Service {
    /// Name.
    pub name: String,
    /// Path of health checks.
    pub health_path: String,
    /// Maximum number of connections that one back end accepts from all callers.
    pub max_connections: u32,
    /// Load limit of cold back ends; `None` if they need none.
    pub warm_up: Option<WarmUp>,
}

/// Limits on client requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub struct RequestLimits {
    /// Maximum size of a request head, in bytes.
    pub header_bytes: usize,
    /// Maximum size of a request body, in bytes.
    pub body_bytes: usize,
    /// Timeout for receiving a request head, in milliseconds.
    pub header_timeout_ms: u64,
    /// Maximum idle time of a persistent connection, in milliseconds.
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

/// A complete configuration.
#[derive(Clone, Debug, Default, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub struct Configuration {
    /// Version; a higher one replaces a lower one.
    pub version: u64,
    /// Routes.
    pub routes: Vec<Route>,
    /// Services.
    pub services: Vec<Service>,
    /// Request limits.
    pub limits: RequestLimits,
    /// Tenants; if there are none, requests need no API key.
    pub tenants: Vec<Tenant>,
}

impl Configuration {
    /// Whether any tenant has a rate limit.
    pub fn has_limits(&self) -> bool {
        self.tenants.iter().any(|tenant| tenant.limit.is_some())
    }
}

/// Whether a back end accepts new work.
#[derive(Clone, Copy, Debug, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub enum BackendState {
    /// Accepts work.
    Ready,
    /// Finishes its current work and accepts no more.
    Draining,
}

/// Version of the software of a back end. Output of two versions does not fit together.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub enum SoftwareVersion {
    /// Not known here: a process of an older build passed the record on.
    #[default]
    Unknown,
    /// The record names none; such back ends of a service are taken to be of one version.
    Unnamed,
    /// The version that the record names.
    Named(Arc<str>),
}

impl SoftwareVersion {
    /// The version that a record names; `None` or an empty name for none.
    pub fn of_record(name: Option<&str>) -> Self {
        match name {
            None | Some("") => SoftwareVersion::Unnamed,
            Some(name) => SoftwareVersion::Named(name.into()),
        }
    }

    /// Whether the version is known.
    pub fn is_known(&self) -> bool {
        *self != SoftwareVersion::Unknown
    }

    /// Whether output of both versions fits together. Nothing fits to what is not known.
    pub fn fits(&self, other: &SoftwareVersion) -> bool {
        self.is_known() && self == other
    }
}

impl fmt::Display for SoftwareVersion {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            SoftwareVersion::Unknown => "unknown",
            SoftwareVersion::Unnamed => "unnamed",
            SoftwareVersion::Named(name) => name,
        })
    }
}

/// One process that runs a service.
#[derive(Clone, Debug, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub struct Backend {
    /// Id; a restarted process may have the same one.
    pub id: String,
    /// Start time by the back end's own clock, in milliseconds since the Unix epoch; 0 if it
    /// reports none. Only compared with that of other incarnations under the same id.
    pub started_ms: u64,
    /// Service that it runs.
    pub service: String,
    /// Address for requests.
    pub address: SocketAddr,
    /// Zone of the back end.
    pub zone: String,
    /// Number of requests it processes concurrently.
    pub slots: u32,
    /// Whether it accepts work.
    pub state: BackendState,
    /// Remaining time for which it is cold when the record was written, in milliseconds.
    pub cold_remaining_ms: u64,
    /// Version of its software. Not part of the encoded form, which older builds read as well;
    /// `state_exchange` passes it on beside the record.
    #[borsh(skip)]
    pub software_version: SoftwareVersion,
}

impl Backend {
    /// The incarnation described by this record.
    pub fn incarnation(&self) -> BackendIncarnation {
        BackendIncarnation { id: self.id.clone(), started_ms: self.started_ms }
    }

    /// Whether requests can name it: each carries the id in a header.
    pub fn has_sendable_id(&self) -> bool {
        !self.id.is_empty() && HeaderValue::try_from(&self.id).is_ok()
    }
}

/// One incarnation of a back end; load, outcomes, connections and caches are not carried over.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, BorshSerialize, BorshDeserialize)]
pub struct BackendIncarnation {
    /// Id of the back end.
    pub id: String,
    /// Start time, in milliseconds since the Unix epoch; 0 if it reports none.
    pub started_ms: u64,
}

/// An operator's request to send no new work to a zone, in force until it is removed.
#[derive(Clone, Debug, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub struct Evacuation {
    /// The zone.
    pub zone: String,
}

impl Incarnated for Backend {
    fn started_ms(&self) -> u64 {
        self.started_ms
    }

    /// The software version of an incarnation does not change, and older builds do not pass it on.
    fn complete_from(&mut self, other: &Self) {
        if !self.software_version.is_known() && self.started_ms == other.started_ms {
            self.software_version = other.software_version.clone();
        }
    }
}

impl Incarnated for Evacuation {
    /// An evacuation has a single incarnation.
    fn started_ms(&self) -> u64 {
        0
    }
}
