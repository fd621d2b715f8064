//! The process beside each caller: it authenticates calls, finds the daemons that serve them, and
//! sees each answer through to its end.

mod agent;
mod calls;
mod jobs;
mod members;
mod port;

pub use agent::{Agent, AgentListeners, AgentStartError};
