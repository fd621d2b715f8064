//! A link to a back end that can be disturbed: a loopback proxy that delays, silences, cuts one way or resets.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, AtomicU8, Ordering};
use std::sync::Arc;
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};

/// Delay of each piece on a slow link.
const SLOW_LINK_DELAY: Duration = Duration::from_millis(150);
/// Pause between two looks whether a silent link speaks again.
const STATE_POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Bytes that are passed on at once.
const BUFFER_BYTES: usize = 16 * 1024;

/// How a link is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LinkState {
    /// Bytes pass at once.
    Normal,
    /// Bytes pass late.
    Slow,
    /// No byte passes; connections stay open.
    Silent,
    /// Bytes pass to the back end, and none comes back.
    OneWay,
    /// Every connection is closed.
    Closed,
    /// Every connection is closed and none is taken, as where the back end has ended.
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
    /// Whether connections are closed.
    fn closes_connections(self) -> bool {
        matches!(self, LinkState::Closed | LinkState::Refused)
    }
}

/// A link.
#[derive(Clone, Debug)]
pub struct Link {
    /// Address that is passed on.
    pub address: SocketAddr,
    state: Arc<AtomicU8>,
    /// Times that the back end behind it has ended.
    restarts: Arc<AtomicU64>,
}

impl Link {
    /// Opens a port before an address.
    pub async fn open(to: SocketAddr) -> Result<Self, String> {
        let any_port = SocketAddr::from(([127, 0, 0, 1], 0));
        let listener = TcpListener::bind(any_port).await;
        let listener = listener.map_err(|error| format!("open a link: {error}"))?;
        let address = listener.local_addr().map_err(|error| format!("open a link: {error}"))?;
        let link = Self { address, state: Arc::default(), restarts: Arc::default() };
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

    /// The back end behind it ends, and is back after a time.
    pub async fn stop_for(&self, time: Duration) {
        self.set(LinkState::Refused);
        tokio::time::sleep(time).await;
        self.restart();
    }

    /// The back end behind it, which had ended, is back under its id.
    pub fn restart(&self) {
        self.restarts.fetch_add(1, Ordering::Relaxed);
        self.set(LinkState::Normal);
    }

    /// A number for the life of the back end behind it; later ones have larger numbers.
    pub fn incarnation(&self) -> u64 {
        self.restarts.load(Ordering::Relaxed) + 1
    }

    async fn wait_for_state(&self, wanted: impl Fn(LinkState) -> bool) {
        while !wanted(self.state()) {
            tokio::time::sleep(STATE_POLL_INTERVAL).await;
        }
    }

    /// Changes how it is.
    pub fn set(&self, state: LinkState) {
        let number = STATES.iter().position(|held| *held == state).unwrap_or(0);
        self.state.store(number as u8, Ordering::Relaxed);
    }

    /// Whether the back end behind it counts as ended.
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
        // Either end closes both.
        tokio::select! {
            () = self.clone().copy(from_client, to_server, false) => {}
            () = self.clone().copy(from_server, to_client, true) => {}
            () = self.wait_for_state(LinkState::closes_connections) => {}
        }
    }

    async fn copy(self, mut from: OwnedReadHalf, mut to: OwnedWriteHalf, is_answer: bool) {
        let mut buffer = vec![0; BUFFER_BYTES];
        while let Ok(length) = from.read(&mut buffer).await {
            if length == 0 {
                return;
            }
            while self.is_blocked(is_answer) {
                tokio::time::sleep(STATE_POLL_INTERVAL).await;
            }
            if self.state() == LinkState::Slow {
                tokio::time::sleep(SLOW_LINK_DELAY).await;
            }
            if to.write_all(&buffer[..length]).await.is_err() {
                return;
            }
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
