//! Buffers responses for clients that read slowly.
//!
//! A back end aborts a response that is left unread for some seconds, since unread responses occupy
//! its memory. A response is relayed chunk by chunk as its client reads; when the client reads
//! nothing for a while, the rest is read into the gateway's memory, within a limit over all
//! clients. At the limit a response is read at the client's pace, one chunk ahead: the back end may
//! then abort it, and the client sees the failure.

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

use crate::response::{ChunkStream, ResponseAborted};

/// How long a client may read nothing before it counts as slow: well below the seconds that back
/// ends wait, and longer than a client that is merely busy needs.
const SLOW_CLIENT_TIMEOUT: Duration = Duration::from_millis(500);
const POLL_INTERVAL: Duration = Duration::from_millis(250);

type Chunk = Result<Bytes, ResponseAborted>;

/// All responses that are being relayed.
#[derive(Debug)]
pub struct ReadAhead {
    open: RefCell<Vec<Weak<RefCell<Reader>>>>,
    /// Bytes buffered for clients.
    bytes: Cell<usize>,
    max_bytes: usize,
    /// Notified when buffered bytes are released.
    capacity_freed: Notify,
    /// Notified when a response is opened while no other is.
    opened: Notify,
}

struct Reader {
    read_ahead: Rc<ReadAhead>,
    /// The response; `None` once it has ended.
    source: Option<ChunkStream>,
    /// Chunks that were read and not yet taken by the client.
    buffered: VecDeque<Chunk>,
    buffered_bytes: usize,
    /// When the client last took a chunk, unless it is waiting for more.
    last_taken_at: Option<Instant>,
    /// Wakes the client's connection.
    waker: Option<Waker>,
    /// Reads the response to its end for a slow client.
    task: Option<JoinHandle<()>>,
}

impl std::fmt::Debug for Reader {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter.debug_struct("Reader").field("held_bytes", &self.buffered_bytes).finish()
    }
}

/// Chunks of a response as its client takes them.
struct BufferedResponse {
    reader: Rc<RefCell<Reader>>,
}

impl ReadAhead {
    /// Starts without responses; at most `max_bytes` are buffered for slow clients.
    pub fn new(max_bytes: usize) -> Rc<Self> {
        let (open, bytes) = (RefCell::default(), Cell::default());
        Rc::new(Self {
            open,
            bytes,
            max_bytes,
            capacity_freed: Notify::new(),
            opened: Notify::new(),
        })
    }

    /// Relays a response.
    pub fn relay(self: &Rc<Self>, source: ChunkStream) -> ChunkStream {
        let reader = Rc::new(RefCell::new(Reader {
            read_ahead: self.clone(),
            source: Some(source),
            buffered: VecDeque::new(),
            buffered_bytes: 0,
            last_taken_at: None,
            waker: None,
            task: None,
        }));
        let mut open = self.open.borrow_mut();
        if open.is_empty() {
            self.opened.notify_one();
        }
        open.push(Rc::downgrade(&reader));
        Box::pin(BufferedResponse { reader })
    }

    /// Bytes buffered for slow clients.
    pub fn buffered_bytes(&self) -> usize {
        self.bytes.get()
    }

    /// Starts reading ahead for clients that have become slow.
    fn check_clients(&self) {
        let mut open = self.open.borrow_mut();
        open.retain(|reader| reader.strong_count() > 0);
        for reader in open.iter().filter_map(Weak::upgrade) {
            let is_slow = reader.borrow().is_slow();
            if is_slow {
                metrics::counter!("gateway_slow_readers_total").increment(1);
                let task = tokio::task::spawn_local(read_to_end(Rc::downgrade(&reader)));
                reader.borrow_mut().task = Some(task);
            }
        }
        metrics::gauge!("gateway_read_ahead_bytes").set(self.bytes.get() as f64);
    }
}

/// Checks for slow clients forever, while any response is being relayed.
pub async fn watch(read_ahead: Rc<ReadAhead>) {
    loop {
        if read_ahead.open.borrow().is_empty() {
            read_ahead.opened.notified().await;
        }
        tokio::time::sleep(POLL_INTERVAL).await;
        read_ahead.check_clients();
    }
}

/// Reads a response to its end. When the client disconnects, the reader is dropped, and with it
/// this task and the connection to the back end.
async fn read_to_end(reader: Weak<RefCell<Reader>>) {
    loop {
        wait_for_capacity(&reader).await;
        let read = std::future::poll_fn(|context| match reader.upgrade() {
            Some(reader) => reader.borrow_mut().poll_source(context),
            None => Poll::Ready(None),
        });
        let chunk = read.await;
        let Some(reader) = reader.upgrade() else { return };
        let has_ended = chunk.is_none();
        reader.borrow_mut().buffer(chunk);
        if has_ended {
            return;
        }
    }
}

/// Waits until a chunk may be buffered; one always may, so that the response makes progress.
async fn wait_for_capacity(reader: &Weak<RefCell<Reader>>) {
    loop {
        let Some(upgraded) = reader.upgrade() else { return };
        let read_ahead = upgraded.borrow().read_ahead.clone();
        let has_capacity =
            upgraded.borrow().buffered.is_empty() || read_ahead.bytes.get() < read_ahead.max_bytes;
        drop(upgraded);
        if has_capacity {
            return;
        }
        read_ahead.capacity_freed.notified().await;
    }
}

impl Reader {
    fn is_slow(&self) -> bool {
        let is_late = self.last_taken_at.is_some_and(|at| at.elapsed() >= SLOW_CLIENT_TIMEOUT);
        is_late && self.task.is_none() && self.source.is_some()
    }

    fn poll_source(&mut self, context: &mut Context<'_>) -> Poll<Option<Chunk>> {
        let Some(source) = &mut self.source else { return Poll::Ready(None) };
        let polled = source.as_mut().poll_next(context);
        if let Poll::Ready(None) = polled {
            self.source = None;
        }
        polled
    }

    fn buffer(&mut self, chunk: Option<Chunk>) {
        if let Some(chunk) = chunk {
            let bytes = chunk.as_ref().map_or(0, Bytes::len);
            self.buffered_bytes += bytes;
            self.read_ahead.bytes.set(self.read_ahead.bytes.get() + bytes);
            self.buffered.push_back(chunk);
        }
        if let Some(waker) = self.waker.take() {
            waker.wake();
        }
    }

    fn release(&mut self, bytes: usize) {
        self.buffered_bytes -= bytes;
        self.read_ahead.bytes.set(self.read_ahead.bytes.get() - bytes);
        self.read_ahead.capacity_freed.notify_waiters();
    }

    fn take(&mut self, context: &mut Context<'_>) -> Poll<Option<Chunk>> {
        if let Some(chunk) = self.buffered.pop_front() {
            self.release(chunk.as_ref().map_or(0, Bytes::len));
            return Poll::Ready(Some(chunk));
        }
        if self.task.is_none() || self.source.is_none() {
            return self.poll_source(context);
        }
        self.waker = Some(context.waker().clone());
        Poll::Pending
    }
}

impl Stream for BufferedResponse {
    type Item = Chunk;

    fn poll_next(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<Option<Chunk>> {
        let mut reader = self.reader.borrow_mut();
        let taken = reader.take(context);
        reader.last_taken_at = taken.is_ready().then(Instant::now);
        taken
    }
}

impl Drop for Reader {
    fn drop(&mut self) {
        if let Some(task) = self.task.take() {
            task.abort();
        }
        let bytes = self.buffered_bytes;
        self.release(bytes);
    }
}
