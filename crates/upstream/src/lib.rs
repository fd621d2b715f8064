//! Connections to back ends and request/response exchanges on them.
//!
//! Retries depend on one question that is answered here: whether a request that got no response may
//! have been executed.

pub mod exchange;
pub mod framing;
pub mod pool;
pub mod slot;

pub use exchange::{exchange, SendFailure};
pub use framing::Framing;
pub use pool::{ConnectFailure, Connection, Pool};
pub use slot::{BackendSlot, SharedBalancer};
