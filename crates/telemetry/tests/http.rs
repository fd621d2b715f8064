//! The port for metrics, health and readiness.

use std::net::SocketAddr;
use std::sync::Arc;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use yokefall_telemetry::{HealthState, MetricsServer};

async fn get(address: SocketAddr, path: &str) -> String {
    let mut stream = TcpStream::connect(address).await.expect("connect");
    let request = format!("GET {path} HTTP/1.1\r\nhost: test\r\nconnection: close\r\n\r\n");
    stream.write_all(request.as_bytes()).await.expect("send");
    let mut response = String::new();
    stream.read_to_string(&mut response).await.expect("receive");
    response
}

#[tokio::test]
async fn health_readiness_and_metrics_are_served() {
    let health = Arc::new(HealthState::default());
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let server = MetricsServer::start(listener, health.clone()).expect("start");
    let address = server.address();
    assert!(get(address, "/healthz").await.starts_with("HTTP/1.1 200"));
    assert!(get(address, "/readyz").await.starts_with("HTTP/1.1 503"));
    health.set_ready(true);
    assert!(get(address, "/readyz").await.starts_with("HTTP/1.1 200"));
    metrics::counter!("yokefall_test_total").increment(3);
    let metrics = get(address, "/metrics").await;
    assert!(metrics.contains("# TYPE yokefall_test_total counter"), "{metrics}");
    assert!(metrics.contains("yokefall_test_total 3"), "{metrics}");
    assert!(get(address, "/nothing").await.starts_with("HTTP/1.1 404"));
}
