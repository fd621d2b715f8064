//! Connections to the other members of the group. A message that cannot be sent immediately is
//! dropped: the replicated log retransmits what is still needed.

use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use futures::StreamExt;
use tokio::net::tcp::OwnedWriteHalf;
use tokio::net::TcpStream;
use tokio::sync::mpsc::{channel, Receiver, Sender};
use tokio::time::Instant;
use yokefall_serving::FleetCell;
use yokefall_telemetry::{EventName, LogLine};

use crate::addresses::Addresses;
use crate::protocol::{encode, send_frame, split, Frame, IncomingFrames};

/// Maximum number of frames queued for one member.
const MAX_QUEUED_FRAMES: usize = 128;
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
const RECONNECT_BACKOFF: Duration = Duration::from_millis(100);
/// TCP user timeout. A member that returns must not wait for the system's retransmission backoff.
const USER_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Interval at which a connection in use sends a heartbeat.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(500);
/// Time without a heartbeat answer after which a connection is closed: bytes may be acknowledged
/// and new connections work, yet everything sent is lost and the peer receives nothing until a
/// restart. Several round trips between regions, and less than twice an election.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Additional time per byte sent after the heartbeat: the answer may be delayed by a snapshot of
/// several megabytes on a 30 Mbit/s link shared by four.
const MAX_TIME_PER_BYTE: Duration = Duration::from_nanos(1_000);

/// Connections to the other members, by name.
#[derive(Debug)]
pub struct Links {
    fleet: FleetCell,
    /// Addresses that members had before this process started.
    hints: Addresses,
    links: RefCell<HashMap<String, Sender<Bytes>>>,
}

impl Links {
    /// Creates links without open connections. `hints` has addresses that the fleet does not know.
    pub fn new(fleet: FleetCell, hints: Addresses) -> Self {
        Self { fleet, hints, links: RefCell::default() }
    }

    /// Sends a frame to a member, or drops it if the queue is full.
    pub fn send(&self, name: &str, frame: &Frame) {
        let mut links = self.links.borrow_mut();
        let link = links.entry(name.to_owned()).or_insert_with(|| {
            let (sender, receiver) = channel(MAX_QUEUED_FRAMES);
            let hint = self.hints.get(name).copied();
            let serving = serve(name.to_owned(), self.fleet.clone(), hint, receiver);
            tokio::task::spawn_local(serving);
            sender
        });
        let _ = link.try_send(encode(frame));
    }
}

/// The address of a member, if the fleet knows it.
pub fn address_of(fleet: &FleetCell, name: &str) -> Option<SocketAddr> {
    fleet.load().members.iter().find(|member| member.name == name).map(|member| member.address)
}

/// Members send messages on connections that they open; only heartbeat answers arrive on this one.
struct OpenConnection {
    reader: IncomingFrames,
    writer: OwnedWriteHalf,
    /// When the last heartbeat was sent, and the bytes sent since.
    heartbeat_sent_at: Instant,
    bytes_since_heartbeat: usize,
    /// Whether that heartbeat has been answered.
    is_answered: bool,
}

impl OpenConnection {
    async fn connect(peer: SocketAddr) -> Option<Self> {
        let connecting = tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(peer));
        let stream = connecting.await.ok()?.ok()?;
        let _ = socket2::SockRef::from(&stream).set_tcp_user_timeout(Some(USER_TIMEOUT));
        let (reader, writer) = split(stream);
        let (heartbeat_sent_at, bytes_since_heartbeat) = (Instant::now() - HEARTBEAT_INTERVAL, 0);
        Some(Self { reader, writer, heartbeat_sent_at, bytes_since_heartbeat, is_answered: true })
    }

    /// Sends a frame, followed by a heartbeat if one is due.
    async fn send(&mut self, frame: Bytes) -> std::io::Result<()> {
        self.bytes_since_heartbeat += frame.len();
        send_frame(&mut self.writer, frame).await?;
        if self.is_answered && self.heartbeat_sent_at.elapsed() >= HEARTBEAT_INTERVAL {
            (self.heartbeat_sent_at, self.bytes_since_heartbeat, self.is_answered) =
                (Instant::now(), 0, false);
            send_frame(&mut self.writer, encode(&Frame::Heartbeat)).await?;
        }
        Ok(())
    }

    /// Waits until the connection is closed or a heartbeat answer is overdue.
    async fn wait_for_loss(&mut self) -> Lost {
        loop {
            let answered = match self.is_answered {
                true => Ok(self.reader.next().await),
                false => tokio::time::timeout_at(self.answer_deadline(), self.reader.next()).await,
            };
            match answered {
                Ok(Some(Ok(_))) => self.is_answered = true,
                Ok(Some(Err(_)) | None) => return Lost::Closed,
                Err(_) => return Lost::TimedOut,
            }
        }
    }

    fn answer_deadline(&self) -> Instant {
        self.heartbeat_sent_at
            + ANSWER_TIMEOUT
            + MAX_TIME_PER_BYTE * self.bytes_since_heartbeat as u32
    }
}

enum Lost {
    Closed,
    TimedOut,
}

async fn serve(
    name: String,
    fleet: FleetCell,
    hint: Option<SocketAddr>,
    mut frames: Receiver<Bytes>,
) {
    let mut address = hint;
    let mut open: Option<OpenConnection> = None;
    loop {
        let lost = async {
            match &mut open {
                Some(open) => open.wait_for_loss().await,
                None => std::future::pending().await,
            }
        };
        let frame = tokio::select! {
            frame = frames.recv() => frame,
            lost = lost => {
                if matches!(lost, Lost::TimedOut) {
                    LogLine::new(EventName::LinkSilent)
                        .id(&name)
                        .field("after_ms", ANSWER_TIMEOUT.as_millis() as u64)
                        .write();
                }
                open = None;
                continue;
            }
        };
        let Some(frame) = frame else { return };
        let current = address_of(&fleet, &name).or(address);
        if current != address {
            address = current;
            open = None;
        }
        let Some(peer) = address else { continue };
        if open.is_none() {
            open = OpenConnection::connect(peer).await;
        }
        let Some(connected) = &mut open else {
            tokio::time::sleep(RECONNECT_BACKOFF).await;
            continue;
        };
        if connected.send(frame).await.is_err() {
            open = None;
        }
    }
}
