//! Stand-ins of the systems that yokefall is met by.

pub mod engine;
pub mod http;
pub mod machines;
pub mod objects;
pub mod plain;
pub mod weights;
