//! Loopback TCP proxy that simulates link faults: delay, silence, one-way loss, closing, refusal. It
//! also damages the heads of a few responses, as a faulty back end does.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, AtomicU8, Ordering};
use std::sync::Arc;
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use xxhash_rust::xxh3::xxh3_64;

/// Delay of each chunk of bytes on a slow link.
const SLOW_LINK_DELAY: Duration = Duration::from_millis(150);
const STATE_POLL_INTERVAL: Duration = Duration::from_millis(20);
const BUFFER_BYTES: usize = 16 * 1024;
/// Of the response heads, one in so many has a damaged byte.
const DAMAGE_EVERY_NTH: u64 = 24;
/// Maximum length of the bodies that come after such a head: a few events.
const MAX_DAMAGED_BODY_BYTES: usize = 256;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LinkState {
    Normal,
    Slow,
    /// No bytes pass; connections stay open.
    Silent,
    /// Bytes pass to the back end, but not back.
    OneWay,
    /// Existing connections are closed; new ones are accepted and closed.
    Closed,
    /// Existing connections are closed and the port is not open, as after a crash of the back end.
    Refused,
}

const STATES: [LinkState; 6] = [
    LinkState::Normal,
    LinkState::Slow,
    LinkState::Silent,
    LinkState::OneWay,
    LinkState::Closed,
    LinkState::Refused,
];

impl LinkState {
    fn closes_connections(self) -> bool {
        matches!(self, LinkState::Closed | LinkState::Refused)
    }
}

#[derive(Clone, Debug)]
pub struct Link {
    /// Listen address of the proxy.
    pub address: SocketAddr,
    state: Arc<AtomicU8>,
    restarts: Arc<AtomicU64>,
    releases: Arc<AtomicU64>,
}

impl Link {
    pub async fn open(to: SocketAddr) -> Result<Self, String> {
        let any_port = SocketAddr::from(([127, 0, 0, 1], 0));
        let listener = TcpListener::bind(any_port).await;
        let listener = listener.map_err(|error| format!("open a link: {error}"))?;
        let address = listener.local_addr().map_err(|error| format!("open a link: {error}"))?;
        let link = Self {
            address,
            state: Arc::default(),
            restarts: Arc::default(),
            releases: Arc::default(),
        };
        tokio::spawn(link.clone().accept(listener, to));
        Ok(link)
    }

    async fn accept(self, mut listener: TcpListener, to: SocketAddr) {
        loop {
            tokio::select! {
                accepted = listener.accept() => {
                    let Ok((stream, _)) = accepted else { return };
                    tokio::spawn(self.clone().forward(stream, to));
                }
                () = self.wait_for_state(|state| state == LinkState::Refused) => {
                    drop(listener);
                    self.wait_for_state(|state| state != LinkState::Refused).await;
                    let Ok(opened) = TcpListener::bind(self.address).await else { return };
                    listener = opened;
                }
            }
        }
    }

    /// Simulates a crash of the back end and a restart after `time`.
    pub async fn stop_for(&self, time: Duration) {
        self.set(LinkState::Refused);
        tokio::time::sleep(time).await;
        self.restart();
    }

    /// Simulates the restart of the crashed back end under the same id.
    pub fn restart(&self) {
        self.restarts.fetch_add(1, Ordering::Relaxed);
        self.set(LinkState::Normal);
    }

    /// Simulates the replacement of the back end by one of another software version.
    pub fn release(&self) {
        self.releases.fetch_add(1, Ordering::Relaxed);
        self.restart();
    }

    /// Number of times that the back end behind it was replaced.
    pub fn releases(&self) -> u64 {
        self.releases.load(Ordering::Relaxed)
    }

    /// Incarnation of the back end behind it; each restart increases the number.
    pub fn incarnation(&self) -> u64 {
        self.restarts.load(Ordering::Relaxed) + 1
    }

    async fn wait_for_state(&self, expected: impl Fn(LinkState) -> bool) {
        while !expected(self.state()) {
            tokio::time::sleep(STATE_POLL_INTERVAL).await;
        }
    }

    pub fn set(&self, state: LinkState) {
        let number = STATES.iter().position(|other| *other == state).unwrap_or(0);
        self.state.store(number as u8, Ordering::Relaxed);
    }

    /// Whether the back end behind it counts as crashed.
    pub fn is_down(&self) -> bool {
        self.state() == LinkState::Refused
    }

    fn state(&self) -> LinkState {
        STATES[usize::from(self.state.load(Ordering::Relaxed)) % STATES.len()]
    }

    async fn forward(self, client: TcpStream, to: SocketAddr) {
        if self.state().closes_connections() {
            return;
        }
        let Ok(server) = TcpStream::connect(to).await else { return };
        let (from_client, to_client) = client.into_split();
        let (from_server, to_server) = server.into_split();
        // If either direction ends, both are closed.
        tokio::select! {
            () = self.clone().copy(from_client, to_server, false) => {}
            () = self.clone().copy(from_server, to_client, true) => {}
            () = self.wait_for_state(LinkState::closes_connections) => {}
        }
    }

    async fn copy(self, mut from: OwnedReadHalf, mut to: OwnedWriteHalf, is_answer: bool) {
        let mut buffer = vec![0; BUFFER_BYTES];
        // Bytes until the connection is closed, once a head has been damaged.
        let mut left = usize::MAX;
        while let Ok(length) = from.read(&mut buffer).await {
            if length == 0 || left == 0 {
                return;
            }
            while self.is_blocked(is_answer) {
                tokio::time::sleep(STATE_POLL_INTERVAL).await;
            }
            if self.state() == LinkState::Slow {
                tokio::time::sleep(SLOW_LINK_DELAY).await;
            }
            if let Some(cut) = is_answer.then(|| damage_head(&mut buffer[..length])).flatten() {
                left = cut;
            }
            let length = length.min(left);
            if to.write_all(&buffer[..length]).await.is_err() {
                return;
            }
            left -= length;
        }
    }

    fn is_blocked(&self, is_answer: bool) -> bool {
        match self.state() {
            LinkState::Silent => true,
            LinkState::OneWay => is_answer,
            LinkState::Normal | LinkState::Slow | LinkState::Closed | LinkState::Refused => false,
        }
    }
}

/// Replaces one byte of a response head, for one response in `DAMAGE_EVERY_NTH`, which depends on its
/// content alone. Returns after how many bytes the connection is closed, often within the body.
fn damage_head(bytes: &mut [u8]) -> Option<usize> {
    let body = bytes.windows(4).position(|window| window == b"\r\n\r\n")? + 4;
    let draw = xxh3_64(bytes);
    if !bytes.starts_with(b"HTTP/") || draw % DAMAGE_EVERY_NTH != 0 {
        return None;
    }
    let position = (draw >> 8) as usize % body;
    bytes[position] = (draw >> 40) as u8;
    let longest = match bytes.len() - body {
        0 => MAX_DAMAGED_BODY_BYTES,
        present => present,
    };
    Some(body + (draw >> 48) as usize % (longest + 1))
}
