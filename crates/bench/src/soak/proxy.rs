//! A link to a back end that can be disturbed: a loopback proxy that delays, silences, cuts one way or resets.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicU8, Ordering};
use std::sync::Arc;
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};

/// Delay of each piece on a slow link.
const DELAY: Duration = Duration::from_millis(150);
/// Pause between two looks whether a silent link speaks again.
const SILENCE_PAUSE: Duration = Duration::from_millis(20);
/// Bytes that are passed on at once.
const PIECE_BYTES: usize = 16 * 1024;

/// How a link is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LinkState {
    /// Bytes pass at once.
    Whole,
    /// Bytes pass late.
    Slow,
    /// No byte passes; connections stay open.
    Silent,
    /// Bytes pass to the back end, and none comes back.
    OneWay,
    /// Every connection is closed.
    Closed,
}

const STATES: [LinkState; 5] =
    [LinkState::Whole, LinkState::Slow, LinkState::Silent, LinkState::OneWay, LinkState::Closed];

/// A link.
#[derive(Clone, Debug)]
pub struct Link {
    /// Address that is passed on.
    pub address: SocketAddr,
    state: Arc<AtomicU8>,
}

impl Link {
    /// Opens a port before an address.
    pub async fn open(to: SocketAddr) -> Result<Self, String> {
        let any_port = SocketAddr::from(([127, 0, 0, 1], 0));
        let listener = TcpListener::bind(any_port).await;
        let listener = listener.map_err(|error| format!("open a link: {error}"))?;
        let address = listener.local_addr().map_err(|error| format!("open a link: {error}"))?;
        let link = Self { address, state: Arc::default() };
        let accepting = link.clone();
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                tokio::spawn(accepting.clone().pass(stream, to));
            }
        });
        Ok(link)
    }

    /// Changes how it is.
    pub fn set(&self, state: LinkState) {
        let number = STATES.iter().position(|held| *held == state).unwrap_or(0);
        self.state.store(number as u8, Ordering::Relaxed);
    }

    fn state(&self) -> LinkState {
        STATES[usize::from(self.state.load(Ordering::Relaxed)) % STATES.len()]
    }

    async fn pass(self, client: TcpStream, to: SocketAddr) {
        if self.state() == LinkState::Closed {
            return;
        }
        let Ok(server) = TcpStream::connect(to).await else { return };
        let (from_client, to_client) = client.into_split();
        let (from_server, to_server) = server.into_split();
        // Either end closes both.
        tokio::select! {
            () = self.clone().copy(from_client, to_server, false) => {}
            () = self.clone().copy(from_server, to_client, true) => {}
            () = self.closed() => {}
        }
    }

    async fn closed(&self) {
        while self.state() != LinkState::Closed {
            tokio::time::sleep(SILENCE_PAUSE).await;
        }
    }

    async fn copy(self, mut from: OwnedReadHalf, mut to: OwnedWriteHalf, is_answer: bool) {
        let mut piece = vec![0; PIECE_BYTES];
        while let Ok(length) = from.read(&mut piece).await {
            if length == 0 {
                return;
            }
            while self.holds(is_answer) {
                tokio::time::sleep(SILENCE_PAUSE).await;
            }
            if self.state() == LinkState::Slow {
                tokio::time::sleep(DELAY).await;
            }
            if to.write_all(&piece[..length]).await.is_err() {
                return;
            }
        }
    }

    fn holds(&self, is_answer: bool) -> bool {
        match self.state() {
            LinkState::Silent => true,
            LinkState::OneWay => is_answer,
            LinkState::Whole | LinkState::Slow | LinkState::Closed => false,
        }
    }
}
