//! gRPC ports: TLS from files, API keys, and conversion of the schema's types.

pub mod auth;
pub mod client;
pub mod convert;
pub mod incoming;

pub use auth::{Authenticator, FileError};
pub use incoming::{serve_incoming, IncomingStream};
