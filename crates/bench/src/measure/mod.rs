//! Measurements.

pub mod overhead;
pub mod slopes;
