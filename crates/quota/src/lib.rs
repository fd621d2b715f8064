//! Limits of tenants over all gateways.
//!
//! Each limit is divided into parts of equal size. A part is held by one job store, its accountant,
//! under a lease; whoever sends a request of the tenant takes a token from one of the accountants
//! first. The group of job stores agrees on who holds what (`assignment`), leases end by a steady
//! clock (`token_issuer`), and a gateway chooses whom it asks (`meter`).
//!
//! Invariant: in any window the requests that are sent stay within the limit and the tolerance that
//! the bounds state. It follows from three others: a part has one accountant at a time; what an
//! accountant grants follows a token bucket that begins empty with its lease; and a token is spent
//! within its lifetime, counted from before it was granted.

pub mod assignment;
pub mod bounds;
pub mod bucket;
pub mod message;
pub mod meter;
pub mod slot;
pub mod token_issuer;

pub use assignment::{Assignment, Candidate, Holder, LeaseManager};
pub use bounds::QuotaBounds;
pub use message::{SlotLease, TokenGrant, TokenRequest};
pub use meter::{IssuerSelector, NextStep, PartRefusal};
pub use slot::{Part, SlotId, PARTS};
pub use token_issuer::TokenIssuer;
