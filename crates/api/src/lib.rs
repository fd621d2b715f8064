//! The schema of callers and operators, with its committed generated code.
//!
//! The source is `proto/yokefall/v1/yokefall.proto`; `tools/api-codegen` writes the code.

/// Generated messages, clients and servers.
#[allow(missing_docs, clippy::all)]
pub mod v1 {
    include!("generated/yokefall.v1.rs");
}
