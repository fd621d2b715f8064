//! The agent, a local proxy that runs next to each caller. It authenticates calls, selects the
//! daemons that serve them, and fails over to another daemon when one is lost.

mod agent;
mod calls;
mod jobs;
mod members;
mod port;

pub use agent::{Agent, AgentListeners, AgentStartError};
