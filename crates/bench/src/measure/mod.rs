//! Measurements.

pub mod overhead;
pub mod process;
