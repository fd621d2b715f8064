//! Protocol between yokefall processes: messages, client and server.

pub mod client;
pub mod error;
mod frame;
pub mod message;
pub mod server;

pub use client::{PeerClient, ReplyStream};
pub use error::{PeerError, PeerStep};
pub use message::*;
pub use server::{serve, PeerHandler, Responder};
