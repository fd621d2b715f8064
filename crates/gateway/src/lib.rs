//! The gateway: accepts client requests, forwards them to back ends, passes job calls on to the job
//! store and announces the addresses of gateways.
//!
//! It runs two threads. The control thread (membership, configuration, back ends) publishes
//! snapshots; the traffic thread (sockets, requests, responses) reads them. A request passes
//! through `connection` (timeouts), `ingress` (routing and authentication), `body` (size limits),
//! `quota` (rate limits of tenants), `admission` (queues requests while back ends have no
//! capacity), `forward` (attempts, each checked by `suspect`), and then `relay` (the response) or
//! `jobs`. `stream` finds where a continued stream began. `context` holds the state of a request on
//! this path; `request` builds the request that is sent to a back end.

pub mod admission;
pub mod body;
pub mod connection;
pub mod context;
pub mod control;
pub mod daemon;
pub mod directory;
pub mod forward;
pub mod gateway_ranking;
pub mod gateway_selection;
pub mod idle_eviction;
pub mod ingress;
pub mod jobs;
pub mod load;
pub mod quota;
pub mod read_ahead;
pub mod regions;
pub mod relay;
pub mod relay_port;
pub mod request;
pub mod response;
pub mod shared;
pub mod stop;
pub mod stream;
pub mod suspect;

pub use daemon::{Gateway, GatewayOptions};
