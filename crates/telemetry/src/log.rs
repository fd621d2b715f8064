//! Log lines of daemons and agents, with role, step, peer and request or job id, and no payload.

use std::fmt::Display;
use std::sync::{Arc, OnceLock};

use spdlog::formatter::{FullFormatter, JsonFormatter};
use spdlog::sink::{Sink, StdStream, StdStreamSink};
use spdlog::{LevelFilter, Logger};

/// Format of log lines.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Format {
    /// Human-readable text.
    Text,
    /// One JSON object per line.
    Json,
}

/// Severity of a log line.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Level {
    /// A failure that needs attention.
    Error,
    /// A rejection, or a failure that was handled.
    Warn,
    /// A change of state.
    Info,
    /// A single step.
    Debug,
}

impl Level {
    /// The name in a log line.
    pub(crate) fn text(self) -> &'static str {
        match self {
            Level::Error => "error",
            Level::Warn => "warn",
            Level::Info => "info",
            Level::Debug => "debug",
        }
    }

    pub(crate) fn native(self) -> spdlog::Level {
        match self {
            Level::Error => spdlog::Level::Error,
            Level::Warn => spdlog::Level::Warn,
            Level::Info => spdlog::Level::Info,
            Level::Debug => spdlog::Level::Debug,
        }
    }
}

static ROLE: OnceLock<String> = OnceLock::new();

/// Initializes logging to standard error.
pub fn init_logs(role: &str, format: Format, level: Level) {
    let _ = ROLE.set(role.to_owned());
    let builder = StdStreamSink::builder().std_stream(StdStream::Stderr);
    let sink = match format {
        Format::Text => {
            let formatter = FullFormatter::builder().source_location(false).build();
            builder.formatter(formatter).build()
        }
        Format::Json => builder.formatter(JsonFormatter::new()).build(),
    };
    let Ok(sink) = sink else { return };
    let sink: Arc<dyn Sink> = Arc::new(sink);
    let mut logger = Logger::builder();
    logger.sink(sink).level_filter(LevelFilter::MoreSevereEqual(level.native()));
    if let Ok(logger) = logger.build() {
        spdlog::set_default_logger(Arc::new(logger));
    }
}

/// Builder of a log line.
#[derive(Clone, Debug)]
pub struct Event {
    level: Level,
    step: &'static str,
    peer: String,
    id: String,
}

impl Event {
    /// Creates a log line with this level and step.
    pub fn new(level: Level, step: &'static str) -> Self {
        Self { level, step, peer: String::new(), id: String::new() }
    }

    /// Sets the other process.
    pub fn peer(mut self, peer: impl Display) -> Self {
        self.peer = peer.to_string();
        self
    }

    /// Sets the request or job.
    pub fn id(mut self, id: impl Display) -> Self {
        self.id = id.to_string();
        self
    }

    /// Writes the log line.
    pub fn write(self, message: impl Display) {
        let role = ROLE.get().map_or("", String::as_str);
        let (step, peer, id) = (self.step, self.peer.as_str(), self.id.as_str());
        spdlog::log!(self.level.native(), "{}", message, kv: { role, step, peer, id });
    }
}
