//! The domain model shared by gateways and job stores: routes, back ends and job calls; the ports
//! that a platform adapter implements; and the decision logic that performs no I/O.

pub mod admission;
pub(crate) mod affinity;
pub mod ages;
pub(crate) mod arrivals;
pub(crate) mod backend_record;
pub mod backend_table;
pub mod balance;
pub mod catalog;
pub(crate) mod catalog_lists;
pub mod current_configuration;
pub mod dialect;
pub mod direct_messages;
pub mod discovery;
pub mod eligibility;
pub mod fleet;
pub mod identity;
pub mod incarnations;
pub mod job;
pub mod known_processes;
pub(crate) mod lag;
pub mod lateness;
pub mod listing;
pub mod locality;
pub mod message_channel;
pub mod model;
pub mod objects;
pub mod observer;
pub mod outcomes;
pub mod peer_sync;
pub mod platform_state;
pub mod shared_state;
pub mod source;
pub mod stall_detector;
pub(crate) mod state_digest;
pub mod state_exchange;
pub mod state_sections;
pub mod table;
pub mod watch;
pub mod watch_role;
pub mod water_filling;

pub use balance::{Balancer, InFlight, Outcome};
pub use catalog::{empty_catalog, Catalog, CatalogCell, ZoneState};
pub use current_configuration::{ConfigurationReader, CurrentConfiguration, UnreadableRoute};
pub use dialect::{
    AddressQuery, BackendLoad, BadSubmission, Dialect, HeaderNames, JobCall, PrefixPart,
};
pub use eligibility::{
    CandidateSample, ColdStartLimiter, ColdStartLimiterOptions, Distance, Eligibility, Freshness,
    Ineligible, Permit, Requirements, Residency, SenderId, ZoneMap,
};
pub use fleet::{empty_fleet, Fleet, FleetCell, FleetMember};
pub use identity::{Caller, Requester};
pub use incarnations::ByIncarnation;
pub use job::{ItemHeader, ItemState, JobItem, PositionedResult, ResultPage};
pub use known_processes::KnownProcesses;
pub use model::{
    Backend, BackendIncarnation, BackendState, BatchPolicy, Configuration, Evacuation,
    RequestLimits, Route, RouteKind, Service, SoftwareVersion, SplitPart, WarmUp,
};
pub use outcomes::Outcomes;
pub use source::{
    Change, Claim, ListPage, Listing, Platform, Registry, Retirement, Source, SourceError,
    WatchResponse,
};
pub use yokefall_types::{KeyDigest, PlacementBounds, Policy, RateLimit, Tenant, TenantName};
