//! A replicated log among a few members (the Raft scheme, Ongaro and Ousterhout, 2014, with
//! pre-votes, leases and changes of one member at a time).
//!
//! A pure state machine: it takes the time and an event and returns [`Effects`] for the shell to
//! carry out. It has no input or output, no clock and no randomness of its own.
//!
//! A member is a name *and* the identity of its disk. A process that returns with an empty disk is
//! a new member: it learns first and votes after, so that an empty disk never elects the past.

mod election;
mod follower;
pub mod log;
pub mod message;
pub mod node;
pub mod policy;
pub mod replication;
mod zones;

pub use log::{Entry, Index, Payload, Snapshot, Term};
pub use message::{Body, MemberId, Members, Message};
pub use node::{Consensus, Effects, Millis, Pair, Recovered, Role, Write};
pub use zones::Zones;
