//! Pure state machines: no input or output, no clock, no randomness of their own.
//!
//! Each machine takes the time and an event and returns effects for the shell to carry out, so
//! that thousands of nodes can be driven in one process under virtual time.

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
