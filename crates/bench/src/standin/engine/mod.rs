//! The model engine stand-in: a model of continuous batching behind the engines' HTTP calls.

pub mod cache;
pub mod control;
pub mod model;
pub mod parameters;
pub mod server;

pub use model::{EngineModel, Sequence, StepOutcome};
pub use parameters::EngineParameters;
pub use server::{EngineFault, EngineStandIn};
