//! Requests that end the back ends which run them.
//!
//! A back end that ends takes every request under way there with it, and a client, a gateway or the
//! runner of items sends them again. Where one of them is the cause, each repeat costs another back end.
//! No attempt, process or life of a process sees that by itself: the evidence adds up over the fleet.
//!
//! `digest` names a request whoever sends it and however often. `table` holds which back ends ended under
//! which request, each in an `entry`, and decides what may still be sent, `background` how much an end proves; both have no
//! clock, randomness or input of their own.
//! `message` is what processes tell each other of it, and `notices` tells it at once. `registry` is the table
//! of one process with its time, lines and metrics; `ended` finds out whether a back end has ended.

pub mod background;
pub mod digest;
pub mod ended;
pub mod entry;
pub mod message;
pub mod notices;
pub mod registry;
pub mod table;

pub use digest::{RequestDigest, RequestIdentity};
pub use entry::{RequestSource, SuspectStatus};
pub use message::{EndNews, EndedBackend, Grant, SuspectReport, SuspectUpdate};
pub use registry::{Conclusion, IsolatedRun, Registry};
pub use table::Table;
