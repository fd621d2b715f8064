//! A client connection with timeouts for idle time and for reading a request head.

use std::any::Any;
use std::cell::{Cell, RefCell};
use std::future::Future;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::Duration;

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::time::{Instant, Sleep};

/// What the connection is waiting for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    /// The first byte of a request.
    Idle,
    /// The rest of a request head.
    Head,
    /// Nothing: a request is being served.
    Serving,
    /// Nothing: the rest of a response is being written.
    Sending,
}

/// Current phase of a connection, shared with the request handler.
#[derive(Clone)]
pub struct PhaseCell(Rc<PhaseState>);

struct PhaseState {
    phase: Cell<(Phase, Instant)>,
    /// Dropped when the response has been written, or the connection has ended.
    until_sent: RefCell<Option<Box<dyn Any>>>,
    is_closed: Cell<bool>,
}

impl PhaseCell {
    /// Marks that a request head is complete.
    pub fn set_serving(&self) {
        self.set(Phase::Serving);
    }

    /// Marks that the response is complete, but not yet written. `until_sent` is dropped when it is.
    pub fn set_sending(&self, until_sent: Box<dyn Any>) {
        if !self.0.is_closed.get() {
            self.set(Phase::Sending);
            self.0.until_sent.replace(Some(until_sent));
        }
    }

    /// Marks that everything has been written; after a response, another request may follow.
    fn set_written(&self) {
        if self.phase() == Phase::Sending {
            self.set(Phase::Idle);
            self.0.until_sent.take();
        }
    }

    fn set_closed(&self) {
        self.0.is_closed.set(true);
        self.0.until_sent.take();
    }

    /// How long the connection has been idle; `None` while a request is in progress.
    pub fn idle_for(&self) -> Option<Duration> {
        let (phase, since) = self.0.phase.get();
        (phase == Phase::Idle).then(|| since.elapsed())
    }

    fn phase(&self) -> Phase {
        self.0.phase.get().0
    }

    fn set(&self, phase: Phase) {
        self.0.phase.set((phase, Instant::now()));
    }
}

/// Whether a connection is reset when it closes, shared with the responses on it. Where the end of
/// the connection marks the end of a response, only a reset shows that it is not whole.
#[derive(Clone, Debug, Default)]
pub struct ResetOnClose(Rc<Cell<bool>>);

impl ResetOnClose {
    /// Resets the connection when it closes.
    pub fn set(&self) {
        self.0.set(true);
    }
}

/// Timeouts of one connection.
#[derive(Clone, Copy, Debug)]
pub struct TimeLimits {
    /// Idle timeout.
    pub idle: Duration,
    /// Timeout for reading a request head.
    pub head: Duration,
}

/// A stream whose reads fail once a timeout has expired.
pub struct LimitedStream {
    stream: TcpStream,
    limits: TimeLimits,
    phase: PhaseCell,
    reset_on_close: ResetOnClose,
    /// The current timer and the phase it belongs to.
    timer: Option<(Phase, Pin<Box<Sleep>>)>,
}

impl LimitedStream {
    /// Wraps a stream with timeouts.
    pub fn new(stream: TcpStream, limits: TimeLimits) -> (Self, PhaseCell) {
        let phase = PhaseCell(Rc::new(PhaseState {
            phase: Cell::new((Phase::Idle, Instant::now())),
            until_sent: RefCell::default(),
            is_closed: Cell::new(false),
        }));
        let reset_on_close = ResetOnClose::default();
        let limited = Self { stream, limits, phase: phase.clone(), reset_on_close, timer: None };
        (limited, phase)
    }

    /// Decides how the connection closes.
    pub fn reset_on_close(&self) -> ResetOnClose {
        self.reset_on_close.clone()
    }

    /// Whether the timeout of the current phase has expired. Registers a wake-up otherwise.
    fn has_timed_out(&mut self, context: &mut Context<'_>) -> bool {
        let phase = self.phase.phase();
        let limit = match phase {
            Phase::Idle => self.limits.idle,
            Phase::Head => self.limits.head,
            Phase::Serving | Phase::Sending => {
                self.timer = None;
                return false;
            }
        };
        match &mut self.timer {
            Some((timer_phase, sleep)) if *timer_phase == phase => {
                sleep.as_mut().poll(context).is_ready()
            }
            timer => {
                let mut sleep = Box::pin(tokio::time::sleep_until(Instant::now() + limit));
                let elapsed = sleep.as_mut().poll(context).is_ready();
                *timer = Some((phase, sleep));
                elapsed
            }
        }
    }
}

impl Drop for LimitedStream {
    fn drop(&mut self) {
        self.phase.set_closed();
        if self.reset_on_close.0.get() {
            // Fails only if the connection is already gone.
            let _ = self.stream.set_zero_linger();
        }
    }
}

impl AsyncRead for LimitedStream {
    fn poll_read(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let this = self.get_mut();
        let before = buffer.filled().len();
        let polled = Pin::new(&mut this.stream).poll_read(context, buffer);
        if polled.is_ready() {
            if buffer.filled().len() > before && this.phase.phase() == Phase::Idle {
                this.phase.set(Phase::Head);
            }
            return polled;
        }
        if this.has_timed_out(context) {
            return Poll::Ready(Err(io::ErrorKind::TimedOut.into()));
        }
        Poll::Pending
    }
}

impl AsyncWrite for LimitedStream {
    fn poll_write(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.get_mut().stream).poll_write(context, bytes)
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.get_mut().stream).poll_write_vectored(context, slices)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        // The caller flushes when it has written all that it holds.
        let this = self.get_mut();
        let flushed = Pin::new(&mut this.stream).poll_flush(context);
        if matches!(flushed, Poll::Ready(Ok(()))) {
            this.phase.set_written();
        }
        flushed
    }

    fn poll_shutdown(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.get_mut().stream).poll_shutdown(context)
    }
}
