//! Server side of peer connections.

use std::future::Future;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use futures::{SinkExt, StreamExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;
use yokefall_types::NodeName;

use crate::frame::{decode, encode, framed, Frame, FramedStream, PROTOCOL_VERSION};
use crate::message::{PeerReply, PeerRequest};

/// Timeout of the handshake on a new connection.
const HELLO_TIMEOUT: Duration = Duration::from_secs(5);
/// Delay after a failed `accept`, for example when no file descriptor is available.
const ACCEPT_BACKOFF: Duration = Duration::from_millis(100);

/// Sends the replies to one request.
#[derive(Clone, Debug)]
pub struct Responder {
    call: u64,
    replies: mpsc::UnboundedSender<Frame>,
}

impl Responder {
    /// Sends a reply. Returns `false` if the connection is closed.
    pub fn send(&self, reply: PeerReply) -> bool {
        self.replies.send(Frame::Reply { call: self.call, reply }).is_ok()
    }
}

/// Handles requests of peers.
pub trait PeerHandler: Send + Sync + 'static {
    /// Handles one request and sends its replies.
    fn handle(
        self: Arc<Self>,
        from: NodeName,
        request: PeerRequest,
        responder: Responder,
    ) -> impl Future<Output = ()> + Send;
}

/// Accepts connections and serves each in a task of its own. Never returns.
pub async fn serve<H: PeerHandler>(listener: TcpListener, secret: String, handler: Arc<H>) {
    loop {
        match listener.accept().await {
            Ok((stream, address)) => {
                tokio::spawn(serve_connection(stream, address, secret.clone(), handler.clone()));
            }
            Err(_) => tokio::time::sleep(ACCEPT_BACKOFF).await,
        }
    }
}

async fn serve_connection<H: PeerHandler>(
    stream: TcpStream,
    _address: SocketAddr,
    secret: String,
    handler: Arc<H>,
) {
    let mut stream = framed(stream);
    let handshake =
        tokio::time::timeout(HELLO_TIMEOUT, accept_handshake(&mut stream, &secret)).await;
    let Ok(Some(node)) = handshake else { return };
    let (mut sink, mut source) = stream.split();
    let (replies, mut outgoing) = mpsc::unbounded_channel::<Frame>();
    let writer = async move {
        while let Some(frame) = outgoing.recv().await {
            let Ok(bytes) = encode(&frame) else { break };
            if sink.feed(bytes).await.is_err() {
                break;
            }
            if outgoing.is_empty() && sink.flush().await.is_err() {
                break;
            }
        }
    };
    let reader = async move {
        while let Some(Ok(bytes)) = source.next().await {
            let Ok(Frame::Request { call, request }) = decode(&bytes) else { break };
            let responder = Responder { call, replies: replies.clone() };
            tokio::spawn(handler.clone().handle(node.clone(), request, responder));
        }
    };
    tokio::select! {
        () = writer => {}
        () = reader => {}
    }
}

async fn accept_handshake(stream: &mut FramedStream, secret: &str) -> Option<NodeName> {
    let bytes = stream.next().await?.ok()?;
    let Ok(Frame::Hello { version, node, secret: given }) = decode(&bytes) else { return None };
    let refusal = if version != PROTOCOL_VERSION {
        format!("protocol version {version}, this process speaks {PROTOCOL_VERSION}")
    } else if given != secret {
        "wrong fleet secret".to_owned()
    } else {
        String::new()
    };
    let accepted = refusal.is_empty();
    let bytes = encode(&Frame::Welcome { refusal }).ok()?;
    stream.send(bytes).await.ok()?;
    accepted.then_some(node)
}
