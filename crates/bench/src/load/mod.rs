//! Load generation and verification of every answer.

pub mod batch;
pub mod online;
pub mod run;

pub use run::{run, RunOptions};
