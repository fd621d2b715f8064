//! Stand-in of the weight store. All reads share one rate.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use http::StatusCode;
use tokio::time::Instant;

use super::http::{full_response, query_value, HttpServer};

/// A running weight store server.
pub struct WeightStore {
    /// The server.
    pub server: Arc<HttpServer>,
}

/// The shared rate: reads are served one after the other.
struct Rate {
    bytes_per_second: u64,
    free_at: Mutex<Instant>,
}

impl Rate {
    fn reserve(&self, bytes: u64) -> Instant {
        let mut free_at = self.free_at.lock().unwrap_or_else(PoisonError::into_inner);
        let duration = Duration::from_secs_f64(bytes as f64 / self.bytes_per_second as f64);
        *free_at = (*free_at).max(Instant::now()) + duration;
        *free_at
    }
}

impl WeightStore {
    /// Serves `GET /weights?bytes=N`; responds when `bytes` bytes have passed at the shared rate.
    pub async fn start(address: SocketAddr, bytes_per_second: u64) -> std::io::Result<Self> {
        let rate = Arc::new(Rate { bytes_per_second, free_at: Mutex::new(Instant::now()) });
        let handler = move |request: http::Request<hyper::body::Incoming>| {
            let rate = rate.clone();
            let bytes = query_value(&request, "bytes").and_then(|value| value.parse().ok());
            let future: super::http::ResponseFuture = Box::pin(async move {
                let Some(bytes) = bytes else {
                    return full_response(StatusCode::BAD_REQUEST, "bytes: missing");
                };
                tokio::time::sleep_until(rate.reserve(bytes)).await;
                full_response(StatusCode::OK, "read")
            });
            future
        };
        Ok(Self { server: HttpServer::start(address, Arc::new(handler)).await? })
    }
}
