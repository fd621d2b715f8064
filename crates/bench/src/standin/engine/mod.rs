//! Stand-in of a model engine: a simulation of continuous batching behind the engine's HTTP API.

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
