//! A replicated log among a few members: Raft (Ongaro and Ousterhout, 2014) with pre-votes, leader
//! leases and membership changes of one member at a time.
//!
//! A deterministic state machine: it takes the time and an event and returns [`Effects`] for the
//! caller to carry out. It has no I/O, clock or randomness of its own.
//!
//! A member is a name *and* the identity of its disk. A process with an empty disk is a new member:
//! it receives the log before it votes, so that it never elects a leader with an outdated log.

mod election;
mod follower;
pub mod log;
pub mod membership;
pub mod message;
pub mod node;
pub mod pair;
pub mod policy;
pub mod replication;
pub mod transfer;
mod zones;

pub use log::{Entry, Index, Payload, Snapshot, Term};
pub use membership::ChangeEvent;
pub use message::{Body, MemberId, Members, Message};
pub use node::{Consensus, Effects, Millis, Recovered, Role, Write};
pub use pair::Pair;
pub use transfer::TransferEvent;
pub use zones::Zones;
