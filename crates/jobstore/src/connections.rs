//! Connections to the other members. A message that cannot be sent now is dropped: the replicated
//! log sends again what is still wanted.

use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use tokio::net::tcp::OwnedWriteHalf;
use tokio::net::TcpStream;
use tokio::sync::mpsc::{channel, Receiver, Sender};
use yokefall_serving::FleetCell;

use crate::addresses::Addresses;
use crate::protocol::{encode, send_frame, Frame};

/// Frames that may wait for one member.
const QUEUE_FRAMES: usize = 128;
/// Time for a connection to come up.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
/// Pause after a connection that did not come up.
const RECONNECT_PAUSE: Duration = Duration::from_millis(100);
/// Time without acknowledgement of sent bytes after which a connection is given up: a member that
/// returns must not wait for the system's long pauses between repeats.
const USER_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Connections to other members, by name.
#[derive(Debug)]
pub struct Links {
    fleet: FleetCell,
    /// Where members were before this process started.
    hints: Addresses,
    links: RefCell<HashMap<String, Sender<Bytes>>>,
}

impl Links {
    /// No connections yet; addresses come from the fleet, and from `hints` where it does not know one.
    pub fn new(fleet: FleetCell, hints: Addresses) -> Self {
        Self { fleet, hints, links: RefCell::default() }
    }

    /// Sends a frame to a member, or drops it.
    pub fn send(&self, name: &str, frame: &Frame) {
        let mut links = self.links.borrow_mut();
        let link = links.entry(name.to_owned()).or_insert_with(|| {
            let (sender, receiver) = channel(QUEUE_FRAMES);
            let hint = self.hints.get(name).copied();
            let serving = serve(name.to_owned(), self.fleet.clone(), hint, receiver);
            tokio::task::spawn_local(serving);
            sender
        });
        let _ = link.try_send(encode(frame));
    }
}

/// The address of a member, as far as the fleet tells it.
pub fn address_of(fleet: &FleetCell, name: &str) -> Option<SocketAddr> {
    fleet.load().members.iter().find(|member| member.name == name).map(|member| member.address)
}

async fn serve(
    name: String,
    fleet: FleetCell,
    hint: Option<SocketAddr>,
    mut frames: Receiver<Bytes>,
) {
    let mut address = hint;
    let mut stream: Option<OwnedWriteHalf> = None;
    while let Some(frame) = frames.recv().await {
        let current = address_of(&fleet, &name).or(address);
        if current != address {
            address = current;
            stream = None;
        }
        let Some(peer) = address else { continue };
        if stream.is_none() {
            stream = connect(peer).await;
        }
        let Some(open) = &mut stream else {
            tokio::time::sleep(RECONNECT_PAUSE).await;
            continue;
        };
        if send_frame(open, frame).await.is_err() {
            stream = None;
        }
    }
}

async fn connect(peer: SocketAddr) -> Option<OwnedWriteHalf> {
    let stream =
        tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(peer)).await.ok()?.ok()?;
    let _ = socket2::SockRef::from(&stream).set_tcp_user_timeout(Some(USER_TIMEOUT));
    let _ = stream.set_nodelay(true);
    // Members answer on connections of their own: nothing is read here.
    Some(stream.into_split().1)
}
