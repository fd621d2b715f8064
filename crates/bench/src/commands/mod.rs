//! The subcommands.

pub mod load;
pub mod measure;
pub mod standin;
