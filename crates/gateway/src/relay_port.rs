//! Listener for gateways that cannot reach the job stores and send token requests through this one.

use std::rc::Rc;
use std::time::Duration;

use futures::{SinkExt, StreamExt};
use tokio::net::{TcpListener, TcpStream};
use yokefall_jobstore::protocol::{decode, encode, framed, Frame};
use yokefall_jobstore::{Reply, Request};

use crate::quota;
use crate::shared::Shared;

const ACCEPT_BACKOFF: Duration = Duration::from_millis(50);

/// Serves a listener forever.
pub async fn serve(listener: TcpListener, shared: Rc<Shared>) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                tokio::task::spawn_local(serve_connection(stream, shared.clone()));
            }
            Err(_) => tokio::time::sleep(ACCEPT_BACKOFF).await,
        }
    }
}

/// Answers requests one after the other; any other kind of frame ends the connection.
async fn serve_connection(stream: TcpStream, shared: Rc<Shared>) {
    let mut frames = framed(stream);
    while let Some(Ok(bytes)) = frames.next().await {
        let Ok(Frame::Request { call, request }) = decode(&bytes) else { return };
        let reply = match request {
            Request::TakeTokens(token_requests) => {
                Reply::Tokens(quota::relays::relay(&shared, token_requests).await)
            }
            Request::TokenIssuers => Reply::TokenIssuers(shared.quota.assignment()),
            _ => return,
        };
        if frames.send(encode(&Frame::Reply { call, reply })).await.is_err() {
            return;
        }
    }
}
