//! The subcommands.

pub mod chaos;
pub mod load;
pub mod measure;
pub mod soak;
pub mod standin;
