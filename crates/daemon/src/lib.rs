//! The serving process: membership, admission, records, jobs, configuration.
//!
//! Layers, from the inside out:
//!
//! 1. `yokefall-core` decides; it knows no sockets, files or clocks.
//! 2. `control` holds the core's machines in kameo actors, all on one thread, so that control
//!    state needs no locks. Actors never wait for traffic.
//! 3. `traffic` carries out what control orders and moves the bytes of calls, on other threads. It
//!    reads the fleet through a snapshot and never waits for control while bytes flow.
//! 4. `ports` accept peers, datagrams and operators.
//! 5. `daemon` assembles these and stops them in order.

mod clock;
mod control;
mod daemon;
mod error;
mod ports;
mod shared;
mod traffic;

pub use daemon::{Daemon, Listeners, StopReport};
pub use error::StartError;
