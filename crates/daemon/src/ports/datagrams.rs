//! Membership datagrams over UDP.

use std::net::SocketAddr;
use std::sync::Arc;

use borsh::BorshDeserialize;
use tokio::net::UdpSocket;
use tokio::sync::mpsc;
use yokefall_core::membership::{Datagram, Outgoing};

use crate::control::FleetCommand;
use crate::shared::Shared;

/// Size of the receive buffer; longer datagrams are truncated and dropped as malformed.
const MAX_DATAGRAM_BYTES: usize = 8192;

/// Sends the datagrams of membership until its channel closes.
pub async fn send(socket: Arc<UdpSocket>, mut outgoing: mpsc::UnboundedReceiver<Outgoing>) {
    while let Some(Outgoing { to, datagram }) = outgoing.recv().await {
        let Ok(address) = to.parse::<SocketAddr>() else { continue };
        let Ok(bytes) = borsh::to_vec(&datagram) else { continue };
        metrics::counter!("yokefall_datagram_bytes_sent_total").increment(bytes.len() as u64);
        let _ = socket.send_to(&bytes, address).await;
    }
}

/// Passes received datagrams to membership. Malformed datagrams are dropped.
pub async fn receive(socket: Arc<UdpSocket>, shared: Arc<Shared>) {
    let mut buffer = vec![0u8; MAX_DATAGRAM_BYTES];
    loop {
        // A datagram sent to a closed port can make the next receive fail (ICMP port unreachable);
        // the socket stays usable.
        let Ok((length, source)) = socket.recv_from(&mut buffer).await else { continue };
        let Ok(datagram) = Datagram::try_from_slice(&buffer[..length]) else { continue };
        let command = FleetCommand::Received { datagram, source: source.to_string() };
        if shared.fleet().tell(command).await.is_err() {
            return;
        }
    }
}
