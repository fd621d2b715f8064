//! The serving process: membership, admission, records, jobs, configuration.
//!
//! Layers, from the inside out:
//!
//! 1. `yokefall-core` makes the decisions; it uses no sockets, files or clocks.
//! 2. `control` runs the state machines of the core in kameo actors, all on one thread, so that
//!    control state needs no locks. Actors never wait for traffic.
//! 3. `traffic` carries out the effects returned by the state machines and transfers the bytes of
//!    calls, on other threads. It reads the fleet through a snapshot and never waits for control
//!    during a transfer.
//! 4. `ports` serves peers, datagrams and operators.
//! 5. `daemon` assembles these layers and shuts them down in order.

mod clock;
mod control;
mod daemon;
mod error;
mod ports;
mod shared;
mod traffic;

pub use daemon::{Daemon, Listeners, StopReport};
pub use error::StartError;
