//! Simulators (stand-ins) of the external systems, load generation and measurements.
//!
//! Of the product, only the `demo` command depends on this crate.

pub mod chaos;
pub mod deployment;
pub mod fleet;
pub mod ledger;
pub mod load;
pub mod measure;
pub mod report;
pub mod standin;
pub mod text;
