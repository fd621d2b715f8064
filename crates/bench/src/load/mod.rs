//! Load on a fleet, and the check of every answer.

pub mod batch;
pub mod online;
pub mod run;

pub use run::{run, RunOptions};
