//! HTTP server of the stand-ins. It can be killed and restarted to simulate a crash of the process.

use std::convert::Infallible;
use std::future::Future;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use http::{Request, Response, StatusCode};
use http_body_util::{BodyExt, Full, Limited, StreamBody};
use hyper::body::{Frame, Incoming};
use hyper::service::service_fn;
use hyper_util::rt::{TokioExecutor, TokioIo};
use hyper_util::server::conn::auto;
use percent_encoding::percent_decode_str;
use serde::de::DeserializeOwned;
use serde::Serialize;
use tokio::net::TcpListener;
use tokio::sync::mpsc;
use tokio::task::{JoinHandle, JoinSet};
use tokio_stream::wrappers::UnboundedReceiverStream;
use tokio_stream::StreamExt;

/// Body of a response.
pub type Body = http_body_util::combinators::BoxBody<Bytes, Infallible>;
/// Future of a response.
pub type ResponseFuture = Pin<Box<dyn Future<Output = Response<Body>> + Send>>;
/// Request handler.
pub type Handler = Arc<dyn Fn(Request<Incoming>) -> ResponseFuture + Send + Sync>;

const MAX_BODY_BYTES: usize = 8 * 1024 * 1024;
/// Maximum attempts to bind the port again after a kill, and the pause between them.
const MAX_BIND_ATTEMPTS: u32 = 50;
const BIND_BACKOFF: Duration = Duration::from_millis(20);

/// An HTTP server whose connections are all cut when it is killed.
pub struct HttpServer {
    address: SocketAddr,
    handler: Handler,
    accepting: Mutex<Option<JoinHandle<()>>>,
}

impl HttpServer {
    /// Opens a port and serves requests on it.
    pub async fn start(address: SocketAddr, handler: Handler) -> std::io::Result<Arc<Self>> {
        let listener = TcpListener::bind(address).await?;
        let address = listener.local_addr()?;
        let accepting = tokio::spawn(accept(listener, handler.clone()));
        Ok(Arc::new(Self { address, handler, accepting: Mutex::new(Some(accepting)) }))
    }

    /// The listen address.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Closes the port and cuts every connection, as a crash of the process does.
    pub fn kill(&self) {
        let mut accepting = self.accepting.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(task) = accepting.take() {
            task.abort();
        }
    }

    /// Opens the same port again after a kill.
    pub async fn revive(&self) -> std::io::Result<()> {
        let mut attempts = 0;
        let listener = loop {
            match TcpListener::bind(self.address).await {
                Ok(listener) => break listener,
                Err(error) if attempts >= MAX_BIND_ATTEMPTS => return Err(error),
                Err(_) => {
                    attempts += 1;
                    tokio::time::sleep(BIND_BACKOFF).await;
                }
            }
        };
        let task = tokio::spawn(accept(listener, self.handler.clone()));
        *self.accepting.lock().unwrap_or_else(PoisonError::into_inner) = Some(task);
        Ok(())
    }
}

/// Accepts connections. Aborting this task aborts its connections too.
async fn accept(listener: TcpListener, handler: Handler) {
    let mut connections = JoinSet::new();
    while let Ok((stream, _)) = listener.accept().await {
        let _ = stream.set_nodelay(true);
        let handler = handler.clone();
        connections.spawn(async move {
            let service = service_fn(move |request| {
                let response = handler(request);
                async move { Ok::<_, Infallible>(response.await) }
            });
            let builder = auto::Builder::new(TokioExecutor::new());
            let _ = builder.serve_connection(TokioIo::new(stream), service).await;
        });
        while connections.try_join_next().is_some() {}
    }
}

/// A response with a complete body.
pub fn full_response(status: StatusCode, body: impl Into<Bytes>) -> Response<Body> {
    let mut response = Response::new(Full::new(body.into()).boxed());
    *response.status_mut() = status;
    response
}

/// A response with a JSON body.
pub fn json(status: StatusCode, value: &impl Serialize) -> Response<Body> {
    let mut response = full_response(status, serde_json::to_vec(value).unwrap_or_default());
    let json_type = http::HeaderValue::from_static("application/json");
    response.headers_mut().insert(http::header::CONTENT_TYPE, json_type);
    response
}

/// A response that streams chunks until their sender is dropped.
pub fn streaming(chunks: mpsc::UnboundedReceiver<Bytes>) -> Response<Body> {
    let frames =
        UnboundedReceiverStream::new(chunks).map(|chunk| Ok::<_, Infallible>(Frame::data(chunk)));
    Response::new(BodyExt::boxed(StreamBody::new(frames)))
}

/// Reads a request's body.
pub async fn read_body(request: Request<Incoming>) -> Result<Bytes, Box<Response<Body>>> {
    let body = Limited::new(request.into_body(), MAX_BODY_BYTES).collect().await;
    body.map(|collected| collected.to_bytes())
        .map_err(|error| Box::new(full_response(StatusCode::BAD_REQUEST, error.to_string())))
}

/// Reads a request's body as JSON.
pub async fn read_json<T: DeserializeOwned>(
    request: Request<Incoming>,
) -> Result<T, Box<Response<Body>>> {
    let body = read_body(request).await?;
    serde_json::from_slice(&body)
        .map_err(|error| Box::new(full_response(StatusCode::BAD_REQUEST, error.to_string())))
}

/// The first value of a key in the query string, decoded as by HTML forms; `None` also if it is not
/// UTF-8.
pub fn query_value(request: &Request<Incoming>, key: &str) -> Option<String> {
    let query = request.uri().query()?;
    let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    let (_, value) = pairs.find(|(name, _)| *name == key)?;
    percent_decode(&value.replace('+', " "))
}

/// The segments of the path, decoded; `None` if one is not UTF-8.
pub fn path_segments(request: &Request<Incoming>) -> Option<Vec<String>> {
    request.uri().path().split('/').skip(1).map(percent_decode).collect()
}

fn percent_decode(text: &str) -> Option<String> {
    percent_decode_str(text).decode_utf8().ok().map(|decoded| decoded.into_owned())
}
