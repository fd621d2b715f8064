//! Reads answers on for clients that read slowly.
//!
//! A back end cuts off an answer that is left unread for some seconds, and what it holds for unread answers is its
//! memory. An answer is passed on piece by piece as its client takes it; where the client takes nothing for a while, the
//! rest is read into the gateway's memory, up to a bound over all clients. At the bound an answer is read as its client
//! takes it, one piece ahead: the back end may cut it off then, and the client learns that it broke.

use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::pin::Pin;
use std::rc::{Rc, Weak};
use std::task::{Context, Poll, Waker};
use std::time::Duration;

use bytes::Bytes;
use futures::Stream;
use tokio::sync::Notify;
use tokio::task::JoinHandle;
use tokio::time::Instant;

use crate::answer::{BrokenAnswer, Pieces};

/// Time after which a client that takes nothing counts as slow: well within the seconds for which back ends wait, and
/// longer than a client that is only busy needs.
const SLOW_AFTER: Duration = Duration::from_millis(500);
/// Interval at which clients are looked at.
const LOOK_INTERVAL: Duration = Duration::from_millis(250);

type Piece = Result<Bytes, BrokenAnswer>;

/// All answers that are being passed on.
#[derive(Debug)]
pub struct ReadAhead {
    open: RefCell<Vec<Weak<RefCell<Reader>>>>,
    /// Bytes that are held for clients.
    bytes: Cell<usize>,
    /// Most of them.
    most_bytes: usize,
    /// Woken when bytes are given back.
    room: Notify,
    /// Woken when an answer begins to be passed on while there is no other.
    opened: Notify,
}

/// One answer.
struct Reader {
    ahead: Rc<ReadAhead>,
    /// The answer; `None` once it has ended.
    source: Option<Pieces>,
    /// What has been read and not been taken.
    held: VecDeque<Piece>,
    held_bytes: usize,
    /// When the client last took something, unless it waits for more.
    took_at: Option<Instant>,
    /// Wakes the client's connection.
    waker: Option<Waker>,
    /// Reads on for a slow client, to the end of the answer.
    task: Option<JoinHandle<()>>,
}

impl std::fmt::Debug for Reader {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter.debug_struct("Reader").field("held_bytes", &self.held_bytes).finish()
    }
}

/// The pieces of an answer as its client takes them.
struct Taken {
    reader: Rc<RefCell<Reader>>,
}

impl ReadAhead {
    /// Nothing is being passed on yet; at most so many bytes are held for slow clients.
    pub fn new(most_bytes: usize) -> Rc<Self> {
        let (open, bytes) = (RefCell::default(), Cell::default());
        Rc::new(Self { open, bytes, most_bytes, room: Notify::new(), opened: Notify::new() })
    }

    /// Passes an answer on.
    pub fn pass(self: &Rc<Self>, source: Pieces) -> Pieces {
        let reader = Rc::new(RefCell::new(Reader {
            ahead: self.clone(),
            source: Some(source),
            held: VecDeque::new(),
            held_bytes: 0,
            took_at: None,
            waker: None,
            task: None,
        }));
        let mut open = self.open.borrow_mut();
        if open.is_empty() {
            self.opened.notify_one();
        }
        open.push(Rc::downgrade(&reader));
        Box::pin(Taken { reader })
    }

    /// Bytes that are held for slow clients.
    pub fn held_bytes(&self) -> usize {
        self.bytes.get()
    }

    /// Reads on for clients that have become slow.
    fn look(&self) {
        let mut open = self.open.borrow_mut();
        open.retain(|reader| reader.strong_count() > 0);
        for reader in open.iter().filter_map(Weak::upgrade) {
            let is_slow = reader.borrow().is_slow();
            if is_slow {
                metrics::counter!("gateway_slow_readers_total").increment(1);
                let task = tokio::task::spawn_local(read_on(Rc::downgrade(&reader)));
                reader.borrow_mut().task = Some(task);
            }
        }
        metrics::gauge!("gateway_read_ahead_bytes").set(self.bytes.get() as f64);
    }
}

/// Looks for ever for clients that have become slow, while any answer is passed on.
pub async fn watch(ahead: Rc<ReadAhead>) {
    loop {
        if ahead.open.borrow().is_empty() {
            ahead.opened.notified().await;
        }
        tokio::time::sleep(LOOK_INTERVAL).await;
        ahead.look();
    }
}

/// Reads an answer to its end. It ends with the answer: a client that leaves drops the reader, and with it this task and
/// the connection to the back end.
async fn read_on(reader: Weak<RefCell<Reader>>) {
    loop {
        wait_for_room(&reader).await;
        let read = std::future::poll_fn(|context| match reader.upgrade() {
            Some(reader) => reader.borrow_mut().poll_source(context),
            None => Poll::Ready(None),
        });
        let piece = read.await;
        let Some(reader) = reader.upgrade() else { return };
        let has_ended = piece.is_none();
        reader.borrow_mut().hold(piece);
        if has_ended {
            return;
        }
    }
}

/// Waits until there is room for another piece. One piece is always read: the answer must go on.
async fn wait_for_room(reader: &Weak<RefCell<Reader>>) {
    loop {
        let Some(held) = reader.upgrade() else { return };
        let ahead = held.borrow().ahead.clone();
        let has_room = held.borrow().held.is_empty() || ahead.bytes.get() < ahead.most_bytes;
        drop(held);
        if has_room {
            return;
        }
        ahead.room.notified().await;
    }
}

impl Reader {
    fn is_slow(&self) -> bool {
        let is_late = self.took_at.is_some_and(|at| at.elapsed() >= SLOW_AFTER);
        is_late && self.task.is_none() && self.source.is_some()
    }

    fn poll_source(&mut self, context: &mut Context<'_>) -> Poll<Option<Piece>> {
        let Some(source) = &mut self.source else { return Poll::Ready(None) };
        let polled = source.as_mut().poll_next(context);
        if let Poll::Ready(None) = polled {
            self.source = None;
        }
        polled
    }

    /// Holds what was read for the client.
    fn hold(&mut self, piece: Option<Piece>) {
        if let Some(piece) = piece {
            let bytes = piece.as_ref().map_or(0, Bytes::len);
            self.held_bytes += bytes;
            self.ahead.bytes.set(self.ahead.bytes.get() + bytes);
            self.held.push_back(piece);
        }
        if let Some(waker) = self.waker.take() {
            waker.wake();
        }
    }

    fn give_back(&mut self, bytes: usize) {
        self.held_bytes -= bytes;
        self.ahead.bytes.set(self.ahead.bytes.get() - bytes);
        self.ahead.room.notify_waiters();
    }

    fn take(&mut self, context: &mut Context<'_>) -> Poll<Option<Piece>> {
        if let Some(piece) = self.held.pop_front() {
            self.give_back(piece.as_ref().map_or(0, Bytes::len));
            return Poll::Ready(Some(piece));
        }
        if self.task.is_none() || self.source.is_none() {
            return self.poll_source(context);
        }
        self.waker = Some(context.waker().clone());
        Poll::Pending
    }
}

impl Stream for Taken {
    type Item = Piece;

    fn poll_next(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<Option<Piece>> {
        let mut reader = self.reader.borrow_mut();
        let taken = reader.take(context);
        reader.took_at = taken.is_ready().then(Instant::now);
        taken
    }
}

impl Drop for Reader {
    fn drop(&mut self) {
        if let Some(task) = self.task.take() {
            task.abort();
        }
        let bytes = self.held_bytes;
        self.give_back(bytes);
    }
}
