//! Stand-ins of the outside systems, and the commands that load and measure.
//!
//! The product never depends on this crate, its `demo` command aside.

pub mod chaos;
pub mod deployment;
pub mod fleet;
pub mod ledger;
pub mod load;
pub mod measure;
pub mod report;
pub mod standin;
pub mod text;
