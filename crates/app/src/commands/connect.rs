//! Command-line arguments for connecting to a gRPC port.

use std::path::PathBuf;

use clap::Args;
use tonic::{Code, Status};
use yokefall_rpc::client::Target;

use crate::exit::{fail, ExitStatus};

/// Connection arguments.
#[derive(Debug, Args)]
pub struct ConnectArguments {
    /// URL of the port, such as http://127.0.0.1:7200.
    #[arg(long, env = "YOKEFALL_SERVER")]
    server: String,
    /// File that contains the key; without it, the key is read from YOKEFALL_KEY.
    #[arg(long, value_name = "FILE")]
    key_file: Option<PathBuf>,
    /// PEM certificate of the authority that signed the server's certificate.
    #[arg(long, value_name = "FILE")]
    authority: Option<PathBuf>,
    /// Name in the server's certificate, if it differs from the host in the URL.
    #[arg(long)]
    server_name: Option<String>,
}

/// Environment variable that holds the key if no key file is given.
const KEY_VARIABLE: &str = "YOKEFALL_KEY";

impl ConnectArguments {
    /// Connection target with the key and the certificate read from their files.
    pub fn target(&self) -> Result<Target, String> {
        let key = match &self.key_file {
            Some(file) => std::fs::read_to_string(file)
                .map_err(|error| format!("read key {}: {error}", file.display()))?,
            None => std::env::var(KEY_VARIABLE)
                .map_err(|_| format!("give --key-file or set {KEY_VARIABLE}"))?,
        };
        let authority = self.authority.as_ref().map(|file| {
            std::fs::read_to_string(file)
                .map_err(|error| format!("read authority {}: {error}", file.display()))
        });
        Ok(Target {
            url: self.server.clone(),
            key: key.trim().to_owned(),
            authority: authority.transpose()?,
            server_name: self.server_name.clone(),
        })
    }
}

/// Prints a gRPC status and returns the matching exit status.
pub fn fail_with_status(status: &Status) -> ExitStatus {
    let exit = match status.code() {
        Code::Unknown => ExitStatus::OutcomeUnknown,
        Code::InvalidArgument | Code::FailedPrecondition => ExitStatus::InvalidInput,
        _ => ExitStatus::Failed,
    };
    fail(exit, format!("{:?}: {}", status.code(), status.message()))
}
