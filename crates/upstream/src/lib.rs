//! Connections to back ends and request/response exchanges on them.
//!
//! Retries depend on two questions that are answered here: whether a request that got no response
//! may have been executed, and whether a response is whole.

pub mod body;
pub mod event_stream;
pub mod exchange;
pub mod framing;
pub mod head;
pub mod memory;
pub mod pool;
pub mod slot;
mod surplus;

pub use body::{BackendBody, BodyError, ExpectedBody};
pub use event_stream::{EventBoundaries, StreamPosition};
pub use exchange::{exchange, SendFailure};
pub use framing::{announces_close, Framing};
pub use head::{check_head, HeadError};
pub use memory::{MemoryBudget, Reservation};
pub use pool::{ConnectFailure, Connection, Pool};
pub use slot::{BackendSlot, SharedBalancer};
