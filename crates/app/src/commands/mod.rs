//! The subcommands.

pub mod ask;
pub mod check;
pub mod connect;
pub mod ctl;
pub mod declarations;
pub mod demo;
pub mod explain;
pub mod job;
pub mod serve;
pub mod serving;
