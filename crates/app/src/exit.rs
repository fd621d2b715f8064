//! Exit codes.

use std::process::ExitCode;

/// Exit codes, as shown by `--help`.
pub const HELP: &str = "\
Exit codes:
  0  done
  1  failed or refused; nothing was changed or run
  2  bad arguments, settings or declarations
  3  a planned stop cut something off
  4  the data folder failed
  5  it is not known whether the change or the call took effect
  6  a demo or a load run found something lost or doubled";

/// How a command ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ExitStatus {
    /// Done.
    Done,
    /// Failed or refused.
    Failed,
    /// Bad arguments, settings or declarations.
    BadInput,
    /// A planned stop cut something off.
    StopCut,
    /// The data folder failed.
    StorageFailed,
    /// The outcome is not known.
    Unknown,
    /// Something was lost or doubled.
    Broken,
}

impl From<ExitStatus> for ExitCode {
    fn from(status: ExitStatus) -> Self {
        ExitCode::from(match status {
            ExitStatus::Done => 0,
            ExitStatus::Failed => 1,
            ExitStatus::BadInput => 2,
            ExitStatus::StopCut => 3,
            ExitStatus::StorageFailed => 4,
            ExitStatus::Unknown => 5,
            ExitStatus::Broken => 6,
        })
    }
}

/// Prints an error and gives its exit status.
pub fn fail(status: ExitStatus, message: impl std::fmt::Display) -> ExitStatus {
    eprintln!("yokefall: {message}");
    status
}
