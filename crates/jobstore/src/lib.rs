//! Keeps batch jobs on a replicated log and runs their items.
//!
//! - `state` is the replicated state machine and `wal` the log on disk; `store` combines consensus,
//!   disk and state, with its queries in `reads` and the abandoning of items in `abandon`.
//! - `group` changes the members, and `pair` the groups of two whose other member is lost.
//! - `protocol` defines the frames, `server` answers them, and `client` is the gateways' side.
//! - `runner` decides on the leader which item runs at which back end. `delegation` hands items to
//!   other job stores, whose `worker` executes them; `run` is one run at a back end.
//! - `unrouted_items` tells which items have no route, and `route_removal` abandons them once the
//!   removal of the route is proven.
//! - `suspects` and `origin_history` exchange and persist what must outlive all processes.
//! - `log_observer` writes what happens to the group as lines and metrics.
//! - `preemption` returns slots to online requests, `backlog` reports what services lack, and
//!   `item_waits` how long items wait and why.
//! - `loads` sums load reports, and `aggregators` exchanges the sums.

mod abandon;
pub mod addresses;
pub mod admission;
pub mod aggregators;
mod backlog;
pub mod capacity;
pub mod client;
pub mod connections;
pub mod daemon;
pub mod delegation;
pub mod disk;
pub mod group;
pub mod held_items;
pub mod hint_file;
pub mod interrupted_output;
mod item_run;
mod item_waits;
pub mod item_worker;
pub mod loads;
mod log_observer;
mod origin_history;
pub mod output;
pub mod packed;
pub mod pair;
pub mod pool_slots;
pub mod preemption;
pub mod protocol;
pub mod quota;
pub mod reads;
pub mod residency;
mod route_removal;
pub mod run;
pub mod runner;
pub mod running;
pub mod server;
mod slots;
pub mod snapshot;
pub mod state;
pub mod store;
pub mod suspects;
pub mod unrouted_items;
pub mod urgency;
pub mod wal;
pub mod worker;

pub use client::{CallOutcome, JobClient};
pub use daemon::{JobStore, JobStoreOptions};
pub use protocol::{
    BackendCount, BackendOutcomes, BackendTotal, LoadAnswer, LoadReport, LoadSums, Reply, Request,
    ServiceRate, Submission,
};
