//! Rate limits of tenants, enforced across all gateways.
//!
//! Each limit is divided into parts of equal size. A part is held by one job store, its token
//! issuer, under a lease; a sender of requests first takes a token from one of the issuers. The job
//! stores agree through their replicated log on who holds which part (`assignment`), leases are
//! timed on a monotonic clock (`token_issuer`), and a gateway selects the issuer that it asks
//! (`issuer_selector`).
//!
//! Invariant: in any window the number of requests sent stays within the limit plus the tolerance
//! that `QuotaBounds` states. It follows from three further invariants: a part has one issuer at a
//! time; an issuer grants from a token bucket that starts empty with its lease; and a token must be
//! spent within its lifetime, which is counted from before it was granted.

pub mod assignment;
pub mod bounds;
pub mod bucket;
pub mod issuer_selector;
pub mod message;
pub mod slot;
pub mod token_issuer;

pub use assignment::{Assignment, Candidate, Holder, LeaseManager};
pub use bounds::QuotaBounds;
pub use issuer_selector::{IssuerSelector, NextStep, PartRefusal};
pub use message::{SlotLease, TokenGrant, TokenRequest};
pub use slot::{Part, SlotId, PARTS_PER_LIMIT};
pub use token_issuer::TokenIssuer;
