//! Messages between yokefall processes and the connections that carry them.

pub mod client;
pub mod error;
mod frame;
pub mod message;
pub mod server;

pub use client::{PeerClient, ReplyStream};
pub use error::{PeerError, PeerStep};
pub use message::*;
pub use server::{serve, PeerHandler, Responder};
