//! Stand-ins for the systems around yokefall: back ends and platform services.

pub mod engine;
pub mod http;
pub mod machines;
pub mod objects;
pub mod plain;
pub mod weights;
