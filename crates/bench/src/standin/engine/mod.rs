//! The model engine stand-in: a model of continuous batching behind the engines' HTTP calls.

pub mod cache;
pub mod control;
pub mod fault;
pub mod model;
pub mod parameters;
pub mod report;
pub mod server;

pub use fault::EngineFault;
pub use model::{EngineModel, Sequence, StepOutcome};
pub use parameters::EngineParameters;
pub use server::EngineStandIn;
