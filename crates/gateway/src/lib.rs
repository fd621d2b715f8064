//! Serves clients: takes requests, forwards them to back ends, passes job calls on to the job
//! store, tells which gateways there are.
//!
//! Two threads: control (members, configuration, back ends) publishes snapshots; traffic (sockets,
//! requests, answers) reads them. A request passes, in this order: `connection` (time limits),
//! `ingress` (which kind of call it is, and whose), `body` (size limits), `quota` (the tenant's limit),
//! `admission` (holds what back ends have no free slots for), `forward` (attempts, each after `suspect` has
//! cleared it), `relay` (the answer) or `jobs`. `order` is a request on this way; `request` is what a back end gets of it.

pub mod admission;
pub mod answer;
pub mod body;
pub mod connection;
pub mod control;
pub mod crowding;
pub mod daemon;
pub mod directory;
pub mod forward;
pub mod ingress;
pub mod jobs;
pub mod load;
pub mod named_gateways;
pub mod order;
pub mod quota;
pub mod read_ahead;
pub mod regions;
pub mod relay;
pub mod relay_port;
pub mod request;
pub mod sample;
pub mod shared;
pub mod suspect;

pub use daemon::{Gateway, GatewayOptions};
