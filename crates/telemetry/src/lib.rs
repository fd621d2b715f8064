//! Structured logs, metrics, health and readiness.

pub mod http;
pub mod line;
pub mod log;
pub mod version;

pub use http::{HealthState, MetricsServer};
pub use line::{dropped_log_lines, init_log_lines, EventName, LogLine};
pub use log::{init_logs, Event, Format, Level};
