//! Client of the machine list, a JSON document served over HTTP.

use std::time::Duration;

use http_body_util::{BodyExt, Empty, Limited};
use hyper::body::Bytes;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::client::legacy::Client;
use hyper_util::rt::TokioExecutor;
use serde::{Deserialize, Serialize};

use crate::error::{PlatformError, PlatformStep};

/// Path of the machine list.
pub const MACHINES_PATH: &str = "/v1/machines";
const MAX_LIST_BYTES: usize = 4 * 1024 * 1024;
const READ_TIMEOUT: Duration = Duration::from_secs(3);

/// State of a machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum MachineState {
    /// In use.
    Live,
    /// About to be removed: no new work may be sent to it.
    Leaving,
}

/// One machine.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Machine {
    /// Name of the machine.
    pub name: String,
    /// State of the machine.
    pub state: MachineState,
    /// Revision of the list at which the state last changed.
    pub revision: u64,
}

/// The complete machine list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MachineListing {
    /// Revision of the list.
    pub revision: u64,
    /// All machines.
    pub machines: Vec<Machine>,
}

/// Client of the machine list.
#[derive(Clone, Debug)]
pub struct MachineListClient {
    url: String,
    http: Client<HttpConnector, Empty<Bytes>>,
}

impl MachineListClient {
    /// Creates a client of the machine list at `url`.
    pub fn new(url: &str) -> Self {
        let http = Client::builder(TokioExecutor::new()).build_http();
        Self { url: url.trim_end_matches('/').to_owned(), http }
    }

    /// Reads the complete list.
    pub async fn read(&self) -> Result<MachineListing, PlatformError> {
        match tokio::time::timeout(READ_TIMEOUT, self.read_body()).await {
            Ok(Ok(body)) => serde_json::from_slice(&body)
                .map_err(|error| PlatformError::new(PlatformStep::Decode, &self.url, error)),
            Ok(Err(error)) => Err(error),
            Err(_) => Err(PlatformError::new(PlatformStep::Machines, &self.url, "timed out")),
        }
    }

    async fn read_body(&self) -> Result<Bytes, PlatformError> {
        let failed = |cause: String| PlatformError::new(PlatformStep::Machines, &self.url, cause);
        let uri = format!("{}{MACHINES_PATH}", self.url).parse();
        let uri = uri.map_err(|error: http::uri::InvalidUri| failed(error.to_string()))?;
        let response = self.http.get(uri).await.map_err(|error| failed(error.to_string()))?;
        if !response.status().is_success() {
            return Err(failed(format!("status {}", response.status())));
        }
        let body = Limited::new(response.into_body(), MAX_LIST_BYTES).collect().await;
        body.map(|collected| collected.to_bytes()).map_err(|error| failed(error.to_string()))
    }
}
