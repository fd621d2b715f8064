//! Incoming gRPC connections: TLS with certificates from files, or plaintext without any.

use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};
use std::time::Duration;

use arc_swap::ArcSwap;
use rustls::crypto::ring::sign::any_supported_type;
use rustls::server::{ClientHello, ResolvesServerCert};
use rustls::sign::CertifiedKey;
use rustls::ServerConfig;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;
use tokio_rustls::server::TlsStream;
use tokio_rustls::TlsAcceptor;
use tokio_stream::wrappers::ReceiverStream;
use tonic::transport::server::Connected;
use yokefall_settings::SecuritySettings;
use yokefall_telemetry::{Event, Level};

use crate::auth::FileError;

const MAX_QUEUED_CONNECTIONS: usize = 256;
const HANDSHAKE_TIMEOUT: Duration = Duration::from_secs(5);
/// Delay after a failed `accept`, for example when no file descriptor is available.
const ACCEPT_BACKOFF: Duration = Duration::from_millis(100);

/// An accepted connection.
#[derive(Debug)]
pub enum IncomingStream {
    /// Without TLS.
    Plain(TcpStream),
    /// With TLS.
    Tls(Box<TlsStream<TcpStream>>),
}

impl Connected for IncomingStream {
    type ConnectInfo = Option<SocketAddr>;

    fn connect_info(&self) -> Self::ConnectInfo {
        match self {
            IncomingStream::Plain(stream) => stream.peer_addr().ok(),
            IncomingStream::Tls(stream) => stream.get_ref().0.peer_addr().ok(),
        }
    }
}

impl AsyncRead for IncomingStream {
    fn poll_read(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        match self.get_mut() {
            IncomingStream::Plain(stream) => Pin::new(stream).poll_read(context, buffer),
            IncomingStream::Tls(stream) => Pin::new(stream).poll_read(context, buffer),
        }
    }
}

impl AsyncWrite for IncomingStream {
    fn poll_write(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        match self.get_mut() {
            IncomingStream::Plain(stream) => Pin::new(stream).poll_write(context, bytes),
            IncomingStream::Tls(stream) => Pin::new(stream).poll_write(context, bytes),
        }
    }

    fn poll_flush(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        match self.get_mut() {
            IncomingStream::Plain(stream) => Pin::new(stream).poll_flush(context),
            IncomingStream::Tls(stream) => Pin::new(stream).poll_flush(context),
        }
    }

    fn poll_shutdown(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        match self.get_mut() {
            IncomingStream::Plain(stream) => Pin::new(stream).poll_shutdown(context),
            IncomingStream::Tls(stream) => Pin::new(stream).poll_shutdown(context),
        }
    }
}

/// The current certificate, replaced when its files change.
#[derive(Debug)]
struct FileCertificate {
    current: ArcSwap<CertifiedKey>,
}

impl ResolvesServerCert for FileCertificate {
    fn resolve(&self, _hello: ClientHello<'_>) -> Option<Arc<CertifiedKey>> {
        Some(self.current.load_full())
    }
}

/// Accepts connections on a bound listener, with TLS if the settings name certificate files.
pub fn serve_incoming(
    listener: TcpListener,
    security: &SecuritySettings,
) -> Result<ReceiverStream<io::Result<IncomingStream>>, FileError> {
    let files = security.tls_certificate_file.clone().zip(security.tls_key_file.clone());
    let interval = Duration::from_millis(security.reload_interval_ms);
    let acceptor = files.map(|files| start_tls(files, interval)).transpose()?;
    let (sender, receiver) = mpsc::channel(MAX_QUEUED_CONNECTIONS);
    tokio::spawn(accept(listener, acceptor, sender));
    Ok(ReceiverStream::new(receiver))
}

fn start_tls(
    (certificate, key): (PathBuf, PathBuf),
    interval: Duration,
) -> Result<TlsAcceptor, FileError> {
    let current = ArcSwap::from_pointee(load_certificate(&certificate, &key)?);
    let resolver = Arc::new(FileCertificate { current });
    tokio::spawn(reload(certificate, key, interval, resolver.clone()));
    let provider = Arc::new(rustls::crypto::ring::default_provider());
    let mut config = ServerConfig::builder_with_provider(provider)
        .with_safe_default_protocol_versions()
        .map_err(|e| FileError { step: "TLS", file: PathBuf::new(), cause: e.to_string() })?
        .with_no_client_auth()
        .with_cert_resolver(resolver);
    config.alpn_protocols = vec![b"h2".to_vec()];
    Ok(TlsAcceptor::from(Arc::new(config)))
}

fn load_certificate(certificate: &Path, key: &Path) -> Result<CertifiedKey, FileError> {
    let error = |file: &Path, cause: String| FileError {
        step: "read certificate",
        file: file.to_owned(),
        cause,
    };
    let certificate_pem =
        std::fs::read(certificate).map_err(|e| error(certificate, e.to_string()))?;
    let key_pem = std::fs::read(key).map_err(|e| error(key, e.to_string()))?;
    let chain: Result<Vec<_>, _> = rustls_pemfile::certs(&mut certificate_pem.as_slice()).collect();
    let chain = chain.map_err(|e| error(certificate, e.to_string()))?;
    if chain.is_empty() {
        return Err(error(certificate, "contains no certificate".into()));
    }
    let private_key = rustls_pemfile::private_key(&mut key_pem.as_slice())
        .map_err(|e| error(key, e.to_string()))?
        .ok_or_else(|| error(key, "contains no private key".into()))?;
    let signing_key = any_supported_type(&private_key).map_err(|e| error(key, e.to_string()))?;
    Ok(CertifiedKey::new(chain, signing_key))
}

async fn reload(
    certificate: PathBuf,
    key: PathBuf,
    interval: Duration,
    resolver: Arc<FileCertificate>,
) {
    loop {
        tokio::time::sleep(interval).await;
        match load_certificate(&certificate, &key) {
            Ok(fresh) if fresh.cert != resolver.current.load().cert => {
                resolver.current.store(Arc::new(fresh));
                Event::new(Level::Info, "reload certificate").write(certificate.display());
            }
            Ok(_) => {}
            Err(error) => Event::new(Level::Error, "reload certificate").write(error),
        }
    }
}

async fn accept(
    listener: TcpListener,
    acceptor: Option<TlsAcceptor>,
    sender: mpsc::Sender<io::Result<IncomingStream>>,
) {
    while !sender.is_closed() {
        let Ok((stream, peer)) = listener.accept().await else {
            tokio::time::sleep(ACCEPT_BACKOFF).await;
            continue;
        };
        let _ = stream.set_nodelay(true);
        let (acceptor, sender) = (acceptor.clone(), sender.clone());
        tokio::spawn(async move {
            let Some(acceptor) = acceptor else {
                let _ = sender.send(Ok(IncomingStream::Plain(stream))).await;
                return;
            };
            let handshake = tokio::time::timeout(HANDSHAKE_TIMEOUT, acceptor.accept(stream)).await;
            match handshake {
                Ok(Ok(stream)) => {
                    let _ = sender.send(Ok(IncomingStream::Tls(Box::new(stream)))).await;
                }
                Ok(Err(error)) => {
                    Event::new(Level::Warn, "TLS handshake").peer(peer).write(error);
                }
                Err(_) => Event::new(Level::Warn, "TLS handshake")
                    .peer(peer)
                    .write("not completed within the handshake timeout"),
            }
        });
    }
}
