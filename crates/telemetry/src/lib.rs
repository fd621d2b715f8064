//! Structured logs, metrics, health and readiness.

pub mod http;
pub mod log;

pub use http::{HealthState, MetricsServer};
pub use log::{init_logs, Event, Format, Level};
