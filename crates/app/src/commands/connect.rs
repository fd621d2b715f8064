//! Arguments that tell how to reach a gRPC port.

use std::path::PathBuf;

use clap::Args;
use tonic::{Code, Status};
use yokefall_rpc::client::Target;

use crate::exit::{fail, ExitStatus};

/// How to reach a port.
#[derive(Debug, Args)]
pub struct ConnectArguments {
    /// URL of the port, such as http://127.0.0.1:7200.
    #[arg(long, env = "YOKEFALL_SERVER")]
    server: String,
    /// File with the key; or set YOKEFALL_KEY.
    #[arg(long, value_name = "FILE")]
    key_file: Option<PathBuf>,
    /// Certificate of the authority that signed the port's certificate, PEM.
    #[arg(long, value_name = "FILE")]
    authority: Option<PathBuf>,
    /// Name in the port's certificate, where it is not that of the URL.
    #[arg(long)]
    server_name: Option<String>,
}

/// Variable that holds the key where no file is named.
const KEY_VARIABLE: &str = "YOKEFALL_KEY";

impl ConnectArguments {
    /// The port to connect to.
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

/// Prints a status and gives its exit status.
pub fn fail_status(status: &Status) -> ExitStatus {
    let exit = match status.code() {
        Code::Unknown => ExitStatus::Unknown,
        Code::InvalidArgument | Code::FailedPrecondition => ExitStatus::BadInput,
        _ => ExitStatus::Failed,
    };
    fail(exit, format!("{:?}: {}", status.code(), status.message()))
}
