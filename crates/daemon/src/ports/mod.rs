//! What reaches the daemon from outside.

pub mod calls;
pub mod datagrams;
pub mod jobs;
pub mod operator;
pub mod peers;
pub mod platform;
pub mod repair;
