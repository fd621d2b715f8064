//! Identifiers, priorities, outcomes and declarations shared by every crate.

pub mod call;
pub mod declaration;
pub mod id;
pub mod job;
pub mod key;
pub mod limits;
pub mod placement;
pub mod policy;
pub mod rendezvous;
pub mod tenant;

pub use call::{Answer, CallHeader, Outcome, Priority, Refusal, RefusalReason, RepeatPolicy};
pub use declaration::{
    BackendSpec, Declaration, Kind, MachineSpec, ObjectKey, ServiceKind, ServiceSpec,
    ValidationError,
};
pub use id::{
    BackendId, JobId, NodeName, PartnerName, RequestId, ServiceId, ServiceName, TenantName,
};
pub use job::{ItemOutcome, ItemResult, JobProgress, JobState};
pub use key::{KeyDigest, KeyIndex};
pub use placement::PlacementBounds;
pub use policy::Policy;
pub use rendezvous::{rendezvous_order, rendezvous_score};
pub use tenant::{RateLimit, Tenant};
