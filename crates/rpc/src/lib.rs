//! Common parts of gRPC servers and clients: TLS with certificates from files, authentication by
//! API keys, and conversion of the protobuf types.

pub mod auth;
pub mod client;
pub mod convert;
pub mod incoming;

pub use auth::{Authenticator, FileError};
pub use incoming::{serve_incoming, IncomingStream};
