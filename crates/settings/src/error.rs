//! Errors of settings files.

use std::fmt;
use std::path::PathBuf;

/// An error of a settings file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SettingsError {
    /// The file cannot be read.
    Read {
        /// The file.
        file: PathBuf,
        /// The cause.
        cause: String,
    },
    /// The file is not valid TOML, or contains an unknown key or a value of the wrong type.
    Parse {
        /// The file.
        file: PathBuf,
        /// Line, key and expected type.
        cause: String,
    },
    /// A value is invalid.
    Value {
        /// The file.
        file: PathBuf,
        /// The key, such as `listen.peer`.
        key: String,
        /// The given value.
        value: String,
        /// The accepted values.
        wanted: String,
    },
}

impl fmt::Display for SettingsError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            SettingsError::Read { file, cause } => {
                write!(formatter, "{}: cannot be read: {cause}", file.display())
            }
            SettingsError::Parse { file, cause } => {
                write!(formatter, "{}: {cause}", file.display())
            }
            SettingsError::Value { file, key, value, wanted } => {
                write!(formatter, "{}: {key} = {value:?}: {wanted}", file.display())
            }
        }
    }
}

impl std::error::Error for SettingsError {}
