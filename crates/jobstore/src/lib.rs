//! Keeps batch jobs on a replicated log and runs their items.
//!
//! `state` is the replicated state machine; `wal` the log on disk; `protocol` what processes say to
//! a job store; `client` the gateways' side of it; `store` ties consensus, disk and state together, `reads` and
//! `abandon` are what others ask of it;
//! `runner` decides while the process leads which item runs at which back end; `delegation` asks other
//! job stores for it, whose `worker` does it, each by a `run`; `preemption` takes slots back for online
//! requests; `backlog` tells what waits; `loads` adds load reports up, and `aggregators` exchanges the
//! sums.

mod abandon;
pub mod addresses;
pub mod aggregators;
mod backlog;
pub mod client;
pub mod connections;
pub mod daemon;
pub mod delegation;
pub mod disk;
pub mod group;
pub mod held_items;
pub mod intake;
mod item_run;
pub mod item_worker;
pub mod kept_file;
pub mod loads;
pub mod packed;
pub mod pool_slots;
pub mod preemption;
pub mod protocol;
pub mod quota;
pub mod reads;
pub mod residency;
pub mod room;
pub mod run;
pub mod runner;
pub mod running;
pub mod server;
mod slots;
pub mod snapshot;
pub mod state;
pub mod store;
pub mod suspects;
pub mod urgency;
pub mod wal;
pub mod worker;

pub use client::{CallOutcome, JobClient};
pub use daemon::{JobStore, JobStoreOptions};
pub use protocol::{
    BackendCount, BackendOutcomes, BackendTotal, LoadAnswer, LoadReport, LoadSums, Reply, Request,
    ServiceRate, Submission,
};
