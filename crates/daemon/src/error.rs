//! Errors on start-up.

use std::fmt;

/// The daemon could not start. Names the failed step and the port, file or peer concerned.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StartError {
    /// A port could not be opened.
    Listen {
        /// The settings key of the port.
        port: &'static str,
        /// Its address.
        address: String,
        /// The cause.
        cause: String,
    },
    /// A file could not be read.
    File(String),
    /// The data folder could not be opened.
    Storage(String),
    /// A client of the platform could not be created.
    Platform(String),
    /// A thread could not be started.
    Thread(String),
}

impl fmt::Display for StartError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            StartError::Listen { port, address, cause } => {
                write!(formatter, "open listen.{port} {address}: {cause}")
            }
            StartError::File(cause) => write!(formatter, "{cause}"),
            StartError::Storage(cause) => write!(formatter, "open data folder: {cause}"),
            StartError::Platform(cause) => write!(formatter, "platform client: {cause}"),
            StartError::Thread(cause) => write!(formatter, "start thread: {cause}"),
        }
    }
}

impl std::error::Error for StartError {}
