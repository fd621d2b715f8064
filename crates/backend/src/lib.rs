//! HTTP clients of model engines and plain services.

pub mod client;
pub mod completion;
pub mod error;
pub mod schema;

pub use client::BackendClient;
pub use completion::{CompletionEvent, CompletionStream};
pub use error::{BackendError, BackendStep};
pub use schema::CompletionRequest;
