//! Detection of requests that crash the back ends which run them.
//!
//! When a back end crashes, all of its requests in flight fail with it, and clients, gateways or
//! the job runner send them again. If one of them is the cause, each retry costs another back end.
//! No single attempt or process can detect that: the evidence accumulates across the fleet.
//! The cause may be the request itself, or a part of its prompt that otherwise different requests
//! share; `keys` names both, and evidence is kept for each.
//!
//! `digest` identifies a request independently of its sender and of the number of attempts. `table`
//! records which back ends crashed under which request, each in an `entry`, and decides what may
//! still be sent; `entries` tells which of them explain others, `isolated_runs` limits how many
//! suspects run at a back end, and `background` computes how much a crash proves. These modules have
//! no clock, randomness or I/O. `message` defines what processes exchange, and `notices` broadcasts
//! it. `registry` is the table of one process with its clock, log lines and metrics; `exit_check`
//! determines whether the process of a back end is gone, `ended_runs` what ran there when it went,
//! and `progress` how far it had come with a response.

pub mod background;
pub mod digest;
mod ended_runs;
mod entries;
pub mod entry;
pub mod exit_check;
mod isolated_runs;
pub mod keys;
pub mod message;
pub mod notices;
pub mod progress;
pub mod registry;
pub mod table;

pub use digest::{RequestDigest, RequestIdentity};
pub use entry::{RequestSource, SuspectStatus};
pub use keys::{PartIdentity, SuspectKeys};
pub use message::{CrashInfo, CrashedBackend, Grant, SuspectReport, SuspectUpdate};
pub use progress::{ProgressTracker, ResponseProgress};
pub use registry::{DisconnectCause, IsolatedRun, Registry};
pub use table::{Restriction, Table};
