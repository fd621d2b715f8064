//! Connections to back ends, and one exchange of request and answer on them.
//!
//! The one question that decides about repeats is answered here: whether a request that got no
//! answer may have run.

pub mod exchange;
pub mod place;
pub mod pool;

pub use exchange::{exchange, SendFailure};
pub use place::{BackendSlot, SharedBalancer};
pub use pool::{ConnectFailure, Connection, Pool};
