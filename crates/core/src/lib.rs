//! Deterministic state machines without I/O or clocks; random generators are seeded by the caller.
//!
//! Each machine takes the current time and an event, and returns effects for the caller to carry
//! out. Thousands of nodes can therefore be simulated in one process under virtual time.
//!
//! Roles of a daemon:
//!
//! - The *home* daemon of an online request keeps its record and its answer.
//! - The *holders* of a record keep copies of it for the case that the home daemon fails.
//! - The *owner* of a back end decides what runs on it. It is also the holder of the leases of the
//!   batch items that it runs.
//! - A *data daemon* stores jobs.

pub mod admission;
pub mod batch;
pub mod configuration;
pub mod coordinator;
pub mod execution;
pub mod fleet;
pub mod jobs;
pub mod membership;
pub mod router;
pub mod time;

pub use fleet::{FleetView, OwnedBackend, OwnerView, ServiceView};
pub use time::Timestamp;
