//! Measurements.

pub mod journal;
pub mod overhead;
pub mod process;
pub mod slopes;
