//! Exit codes of the command line.

use std::process::ExitCode;

/// Table of the exit codes, shown by `--help`.
pub const HELP: &str = "\
Exit codes:
  0  done
  1  failed or refused; nothing was changed or run
  2  bad arguments, settings or declarations
  3  a graceful shutdown interrupted work in progress
  4  the data folder failed
  5  it is not known whether the change or the call took effect
  6  a demo or a load run found something lost, duplicated or interrupted";

/// Outcome of a command, which determines its exit code.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ExitStatus {
    Success,
    /// Failed or refused; nothing was changed or run.
    Failed,
    /// Bad arguments, settings or declarations.
    InvalidInput,
    /// A graceful shutdown interrupted work that was in progress.
    WorkInterrupted,
    /// Storage in the data folder failed.
    StorageFailed,
    /// It is unknown whether the change or the call took effect.
    OutcomeUnknown,
    /// A demo or a load run found lost, duplicated or interrupted work.
    IntegrityViolated,
}

impl From<ExitStatus> for ExitCode {
    fn from(status: ExitStatus) -> Self {
        ExitCode::from(match status {
            ExitStatus::Success => 0,
            ExitStatus::Failed => 1,
            ExitStatus::InvalidInput => 2,
            ExitStatus::WorkInterrupted => 3,
            ExitStatus::StorageFailed => 4,
            ExitStatus::OutcomeUnknown => 5,
            ExitStatus::IntegrityViolated => 6,
        })
    }
}

/// Prints an error to standard error and returns its exit status.
pub fn fail(status: ExitStatus, message: impl std::fmt::Display) -> ExitStatus {
    eprintln!("yokefall: {message}");
    status
}
