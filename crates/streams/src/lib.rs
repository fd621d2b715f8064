//! Which software version of a service began a stream.
//!
//! What two versions write does not fit together, so that a stream that broke off continues only at
//! the version that began it. Its client may come back at any gateway, after the first one has
//! ended. The gateway that relays the first event therefore records the origin of the stream at
//! two other gateways, before the event leaves, and whoever is asked to continue the stream asks
//! those that may hold the record. Without a record the stream is not continued.
//!
//! `origin` defines keys and origins, `holders` selects the gateways, `table` keeps the records of
//! one process, and `exchange` decides what to send; these have no clock, randomness or I/O.
//! `message` defines what processes exchange. `registry` adds the clock, messages and metrics.
//! `history` tells where the streams of a route may have begun lately, for clients that do not name
//! the attempt that began theirs, `history_registry` exchanges that, and `contacts` tells whether a
//! process is in touch with most others.

mod contacts;
pub mod exchange;
pub mod history;
pub mod history_registry;
pub mod holders;
pub mod message;
pub mod origin;
pub mod registry;
pub mod table;

pub use exchange::{OriginExchange, Outgoing, QueryOutcome};
pub use history_registry::HistoryRegistry;
pub use message::OriginMessage;
pub use origin::{StreamKey, StreamOrigin};
pub use registry::OriginRegistry;
pub use table::OriginTable;
