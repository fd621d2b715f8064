//! Connections to the other members. A message that cannot be sent now is dropped: the replicated
//! log sends again what is still wanted.

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

/// Frames that may wait for one member.
const QUEUE_FRAMES: usize = 128;
/// Time for a connection to come up.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
/// Pause after a connection that did not come up.
const RECONNECT_PAUSE: Duration = Duration::from_millis(100);
/// Time without acknowledgement of sent bytes after which a connection is given up: a member that
/// returns must not wait for the system's long pauses between repeats.
const USER_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Interval at which a connection in use is asked for an answer.
const RENEW_INTERVAL: Duration = Duration::from_millis(500);
/// Time without that answer after which a connection is given up. One may go silent for good, though new ones
/// come up and its bytes are acknowledged; members would hear nothing of this one until it restarts. Some round
/// trips between regions, and below what an election takes twice.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Time that a byte may take that was sent after the question: the answer comes behind a snapshot of megabytes
/// on a link of 30 Mbit/s, shared by four.
const LEAST_PACE: Duration = Duration::from_nanos(1_000);

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

/// An open connection to a member. Members send their messages on connections of their own; what comes back on
/// this one are answers to renewals alone.
struct Open {
    reader: IncomingFrames,
    writer: OwnedWriteHalf,
    /// When the last renewal was sent, and the bytes sent since.
    asked_at: Instant,
    written: usize,
    /// Whether that renewal has been answered.
    is_answered: bool,
}

impl Open {
    async fn connect(peer: SocketAddr) -> Option<Self> {
        let connecting = tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(peer));
        let stream = connecting.await.ok()?.ok()?;
        let _ = socket2::SockRef::from(&stream).set_tcp_user_timeout(Some(USER_TIMEOUT));
        let (reader, writer) = split(stream);
        let (asked_at, written) = (Instant::now() - RENEW_INTERVAL, 0);
        Some(Self { reader, writer, asked_at, written, is_answered: true })
    }

    /// Sends a frame, and now and then a renewal after it.
    async fn send(&mut self, frame: Bytes) -> std::io::Result<()> {
        self.written += frame.len();
        send_frame(&mut self.writer, frame).await?;
        if self.is_answered && self.asked_at.elapsed() >= RENEW_INTERVAL {
            (self.asked_at, self.written, self.is_answered) = (Instant::now(), 0, false);
            send_frame(&mut self.writer, encode(&Frame::Heartbeat)).await?;
        }
        Ok(())
    }

    /// Until the connection has ended, or has not answered in time.
    async fn until_lost(&mut self) -> Lost {
        loop {
            let answered = match self.is_answered {
                true => Ok(self.reader.next().await),
                false => tokio::time::timeout_at(self.answer_due(), self.reader.next()).await,
            };
            match answered {
                Ok(Some(Ok(_))) => self.is_answered = true,
                Ok(Some(Err(_)) | None) => return Lost::Closed,
                Err(_) => return Lost::Silent,
            }
        }
    }

    fn answer_due(&self) -> Instant {
        self.asked_at + ANSWER_TIMEOUT + LEAST_PACE * self.written as u32
    }
}

/// How a connection was lost.
enum Lost {
    Closed,
    Silent,
}

async fn serve(
    name: String,
    fleet: FleetCell,
    hint: Option<SocketAddr>,
    mut frames: Receiver<Bytes>,
) {
    let mut address = hint;
    let mut open: Option<Open> = None;
    loop {
        let lost = async {
            match &mut open {
                Some(open) => open.until_lost().await,
                None => std::future::pending().await,
            }
        };
        let frame = tokio::select! {
            frame = frames.recv() => frame,
            lost = lost => {
                if matches!(lost, Lost::Silent) {
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
            open = Open::connect(peer).await;
        }
        let Some(connected) = &mut open else {
            tokio::time::sleep(RECONNECT_PAUSE).await;
            continue;
        };
        if connected.send(frame).await.is_err() {
            open = None;
        }
    }
}
