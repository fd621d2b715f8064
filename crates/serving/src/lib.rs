//! The domain model shared by gateways and job stores: routes, back ends and job calls; the ports
//! that a platform adapter implements; and the decision logic that performs no I/O.

pub mod admission;
pub(crate) mod affinity;
pub mod ages;
pub(crate) mod arrivals;
pub(crate) mod backend_record;
pub mod backend_table;
pub mod backlog;
pub mod balance;
pub mod catalog;
pub(crate) mod catalog_lists;
pub mod dialect;
pub mod discovery;
pub mod duty;
pub mod eligibility;
pub mod fleet;
pub mod identity;
pub mod job;
pub mod knowledge;
pub(crate) mod lag;
pub mod lateness;
pub mod listing;
pub mod lives;
pub mod model;
pub mod names;
pub mod nearness;
pub mod news;
pub mod news_exchange;
pub mod objects;
pub mod observer;
pub mod outcomes;
pub mod shared_knowledge;
pub mod source;
pub mod spread;
pub(crate) mod state_digest;
pub mod table;
pub mod watch;

pub use balance::{Balancer, InFlight, Outcome};
pub use catalog::{empty_catalog, Catalog, CatalogCell, ZoneFacts};
pub use dialect::{
    AddressQuery, BackendLoad, BadSubmission, Dialect, HeaderNames, JobCall, PrefixPart,
};
pub use eligibility::{
    ColdStart, ColdStartOptions, Distance, Drawn, Eligibility, Freshness, Ineligible, Need, Permit,
    Residency, Sender, ZoneMap,
};
pub use fleet::{empty_fleet, Fleet, FleetCell, FleetMember};
pub use identity::{Caller, Requester};
pub use job::{ItemHeader, ItemState, JobItem, PositionedResult, ResultPage};
pub use lives::ByLife;
pub use model::{
    Backend, BackendLife, BackendState, BatchPolicy, Configuration, Evacuation, RequestLimits,
    Route, RouteKind, Service, SplitPart, WarmUp,
};
pub use names::KnownNames;
pub use outcomes::Outcomes;
pub use source::{
    Change, Claim, ListPage, Listing, Platform, Registry, Retirement, Source, SourceError, Watched,
};
pub use yokefall_types::{KeyDigest, PlacementBounds, Policy, RateLimit, Tenant, TenantName};
