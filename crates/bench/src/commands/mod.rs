//! The subcommands.

pub mod measure;
pub mod standin;
