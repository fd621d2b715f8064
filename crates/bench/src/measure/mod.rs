//! Measurements: overhead, request digest and process resource use.

pub mod digest;
pub mod overhead;
pub mod process;
