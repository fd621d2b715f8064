//! Interfaces of the daemon to the outside: peers, operators and the platform.

pub mod calls;
pub mod datagrams;
pub mod jobs;
pub mod operator;
pub mod peers;
pub mod platform;
pub mod repair;
