//! Deterministic state machines without I/O or clocks; random generators are seeded by the caller.
//!
//! Each machine takes the current time and an event, and returns effects for the caller to carry
//! out. Thousands of nodes can therefore be simulated in one process under virtual time.

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
