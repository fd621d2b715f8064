//! Common parts of gRPC servers and clients: TLS, API keys and conversion of protobuf types.

pub mod auth;
pub mod client;
pub mod convert;
pub mod incoming;

pub use auth::{Authenticator, FileError};
pub use incoming::{serve_incoming, IncomingStream};
