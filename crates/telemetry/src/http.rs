//! The HTTP port for metrics, health and readiness.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, OnceLock};
use std::time::Duration;

use http::{Method, Request, Response, StatusCode};
use http_body_util::Full;
use hyper::body::{Bytes, Incoming};
use hyper::service::service_fn;
use hyper_util::rt::{TokioExecutor, TokioIo};
use hyper_util::server::conn::auto;
use metrics_exporter_prometheus::{PrometheusBuilder, PrometheusHandle};
use tokio::net::TcpListener;

/// State that the health endpoints report.
#[derive(Debug, Default)]
pub struct HealthState {
    ready: AtomicBool,
}

impl HealthState {
    /// Sets whether the process accepts work.
    pub fn set_ready(&self, ready: bool) {
        self.ready.store(ready, Ordering::Relaxed);
    }

    /// Whether the process accepts work.
    pub fn is_ready(&self) -> bool {
        self.ready.load(Ordering::Relaxed)
    }
}

/// Upper bounds of the histogram buckets, in seconds.
const LATENCY_BUCKETS: [f64; 12] =
    [0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 5.0, 10.0, 30.0];
/// Interval at which samples move into the buckets, since metrics may not be scraped for long.
const UPKEEP_INTERVAL: Duration = Duration::from_secs(5);

static RECORDER: OnceLock<PrometheusHandle> = OnceLock::new();

fn recorder() -> &'static PrometheusHandle {
    RECORDER.get_or_init(|| {
        let builder = PrometheusBuilder::new().set_buckets(&LATENCY_BUCKETS);
        let recorder = builder.unwrap_or_default().build_recorder();
        let handle = recorder.handle();
        let _ = metrics::set_global_recorder(recorder);
        handle
    })
}

/// Serves `/metrics`, `/healthz` and `/readyz`.
#[derive(Debug)]
pub struct MetricsServer {
    address: SocketAddr,
}

impl MetricsServer {
    /// Starts serving on an open listener.
    pub fn start(listener: TcpListener, health: Arc<HealthState>) -> std::io::Result<Self> {
        let address = listener.local_addr()?;
        recorder();
        tokio::spawn(accept(listener, health));
        tokio::spawn(run_upkeep_loop());
        Ok(Self { address })
    }

    /// The address of the listener.
    pub fn address(&self) -> SocketAddr {
        self.address
    }
}

async fn run_upkeep_loop() {
    loop {
        tokio::time::sleep(UPKEEP_INTERVAL).await;
        recorder().run_upkeep();
        metrics::gauge!("lines_dropped").set(crate::line::dropped_log_lines() as f64);
    }
}

async fn accept(listener: TcpListener, health: Arc<HealthState>) {
    while let Ok((stream, _)) = listener.accept().await {
        let health = health.clone();
        tokio::spawn(async move {
            let service = service_fn(move |request| respond(request, health.clone()));
            let builder = auto::Builder::new(TokioExecutor::new());
            let _ = builder.serve_connection(TokioIo::new(stream), service).await;
        });
    }
}

async fn respond(
    request: Request<Incoming>,
    health: Arc<HealthState>,
) -> Result<Response<Full<Bytes>>, Infallible> {
    let (status, body) = match (request.method(), request.uri().path()) {
        (&Method::GET, "/metrics") => (StatusCode::OK, recorder().render()),
        (&Method::GET, "/healthz") => (StatusCode::OK, "ok\n".to_owned()),
        (&Method::GET, "/readyz") if health.is_ready() => (StatusCode::OK, "ready\n".to_owned()),
        (&Method::GET, "/readyz") => (StatusCode::SERVICE_UNAVAILABLE, "not ready\n".to_owned()),
        _ => (StatusCode::NOT_FOUND, "not found\n".to_owned()),
    };
    let mut response = Response::new(Full::new(Bytes::from(body)));
    *response.status_mut() = status;
    Ok(response)
}
