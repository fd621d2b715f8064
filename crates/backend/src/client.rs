//! HTTP client of the back ends, with pooled connections.

use std::time::Duration;

use bytes::Bytes;
use http::{Method, Request, Response};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::client::legacy::Client;
use hyper_util::rt::TokioExecutor;
use percent_encoding::{utf8_percent_encode, NON_ALPHANUMERIC};
use yokefall_types::limits::MAX_ANSWER_BYTES;
use yokefall_upstream::check_head;

use crate::completion::CompletionStream;
use crate::error::{BackendError, BackendStep};
use crate::schema::{
    CompletionRequest, ATTEMPT_HEADER, COMPLETIONS_PATH, PLAIN_CALL_PATH, REQUESTS_PATH,
    REQUEST_ID_HEADER,
};

const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
const CANCEL_TIMEOUT: Duration = Duration::from_secs(2);
/// Maximum size of an error response that is read for its cause.
const MAX_CAUSE_BYTES: usize = 4096;

/// Calls model engines and plain services.
#[derive(Clone, Debug)]
pub struct BackendClient {
    http: Client<HttpConnector, Full<Bytes>>,
    stall_timeout: Duration,
}

impl BackendClient {
    /// Creates a client whose requests fail if a back end sends nothing for `stall_timeout`.
    pub fn new(stall_timeout: Duration) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        connector.set_connect_timeout(Some(CONNECT_TIMEOUT));
        // A request written to a connection that is being closed may have been executed, and only
        // the user of this client knows whether it may be repeated. hyper must not retry it.
        let http = Client::builder(TokioExecutor::new())
            .retry_canceled_requests(false)
            .pool_idle_timeout(Duration::from_secs(20))
            .build(connector);
        Self { http, stall_timeout }
    }

    /// Starts a streamed completion at an engine.
    pub async fn complete(
        &self,
        address: &str,
        completion: &CompletionRequest,
    ) -> Result<CompletionStream, BackendError> {
        let body = serde_json::to_vec(completion)
            .map_err(|error| BackendError::new(BackendStep::Connect, address, error))?;
        let request = Request::builder()
            .method(Method::POST)
            .uri(format!("http://{address}{COMPLETIONS_PATH}"))
            .header("content-type", "application/json")
            .body(Full::new(Bytes::from(body)));
        let response = self.send(address, request).await?;
        Ok(CompletionStream::new(address, response.into_body(), self.stall_timeout))
    }

    /// Cancels a request at an engine. Returns `false` if the engine does not know the request.
    pub async fn cancel(&self, address: &str, request_id: &str) -> Result<bool, BackendError> {
        let path = utf8_percent_encode(request_id, NON_ALPHANUMERIC);
        let request = Request::builder()
            .method(Method::DELETE)
            .uri(format!("http://{address}{REQUESTS_PATH}{path}"))
            .body(Full::new(Bytes::new()));
        let sending = tokio::time::timeout(CANCEL_TIMEOUT, self.send(address, request));
        match sending.await {
            Ok(Ok(_)) => Ok(true),
            Ok(Err(error)) if error.step == BackendStep::Status(404) => Ok(false),
            Ok(Err(error)) => Err(error),
            Err(_) => Err(BackendError::new(BackendStep::Stalled, address, "no answer to cancel")),
        }
    }

    /// Calls a plain service and reads its complete answer.
    pub async fn call_plain(
        &self,
        address: &str,
        request_id: &str,
        attempt: u32,
        body: Bytes,
    ) -> Result<Vec<u8>, BackendError> {
        let request = Request::builder()
            .method(Method::POST)
            .uri(format!("http://{address}{PLAIN_CALL_PATH}"))
            .header(REQUEST_ID_HEADER, request_id)
            .header(ATTEMPT_HEADER, attempt)
            .body(Full::new(body));
        let response = self.send(address, request).await?;
        let limited = Limited::new(response.into_body(), MAX_ANSWER_BYTES);
        match tokio::time::timeout(self.stall_timeout, limited.collect()).await {
            Ok(Ok(collected)) => Ok(collected.to_bytes().to_vec()),
            Ok(Err(error)) => Err(BackendError::new(BackendStep::Cut, address, error)),
            Err(_) => Err(BackendError::new(BackendStep::Stalled, address, "no answer")),
        }
    }

    async fn send(
        &self,
        address: &str,
        request: Result<Request<Full<Bytes>>, http::Error>,
    ) -> Result<Response<Incoming>, BackendError> {
        let request =
            request.map_err(|error| BackendError::new(BackendStep::Connect, address, error))?;
        let sending = tokio::time::timeout(self.stall_timeout, self.http.request(request));
        let response = match sending.await {
            Ok(Ok(response)) => response,
            Ok(Err(error)) => {
                let step =
                    if error.is_connect() { BackendStep::Connect } else { BackendStep::Request };
                return Err(BackendError::new(step, address, error));
            }
            Err(_) => {
                return Err(BackendError::new(BackendStep::Stalled, address, "no status"));
            }
        };
        check_head(&response)
            .map_err(|error| BackendError::new(BackendStep::Request, address, error))?;
        let status = response.status();
        if status.is_success() {
            return Ok(response);
        }
        let cause = Limited::new(response.into_body(), MAX_CAUSE_BYTES).collect().await;
        let cause = cause.map(|body| body.to_bytes()).unwrap_or_default();
        let cause = String::from_utf8_lossy(&cause).into_owned();
        Err(BackendError::new(BackendStep::Status(status.as_u16()), address, cause))
    }
}
