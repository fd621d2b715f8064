//! Structured logs, metrics, health and readiness.

pub mod http;
pub mod line;
pub mod log;
pub mod version;

pub use http::{HealthState, MetricsServer};
pub use line::{dropped_lines, init_lines, EventName, Line};
pub use log::{init_logs, Event, Format, Level};
