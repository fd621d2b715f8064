//! A client's connection with its time limits: how long it may rest, and how long the head of a
//! request may take.

use std::cell::Cell;
use std::future::Future;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::Duration;

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::time::{Instant, Sleep};

/// What the connection waits for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    /// The first byte of a request.
    Resting,
    /// The rest of a request's head.
    Head,
    /// Nothing: a request is being served.
    Serving,
}

/// Tells the connection when a request is served; shared with the service.
#[derive(Clone, Debug)]
pub struct PhaseCell(Rc<Cell<(Phase, Instant)>>);

impl PhaseCell {
    /// The head of a request is complete.
    pub fn serving(&self) {
        self.set(Phase::Serving);
    }

    /// The answer is on its way; another request may come.
    pub fn resting(&self) {
        self.set(Phase::Resting);
    }

    /// How long the connection has rested; `None` where a request is under way.
    pub fn rested(&self) -> Option<Duration> {
        let (phase, since) = self.0.get();
        (phase == Phase::Resting).then(|| since.elapsed())
    }

    fn phase(&self) -> Phase {
        self.0.get().0
    }

    fn set(&self, phase: Phase) {
        self.0.set((phase, Instant::now()));
    }
}

/// Time limits of one connection.
#[derive(Clone, Copy, Debug)]
pub struct TimeLimits {
    /// Time for which it may rest.
    pub idle: Duration,
    /// Time for the head of a request.
    pub head: Duration,
}

/// A stream that ends its reads when a limit has passed.
pub struct LimitedStream {
    stream: TcpStream,
    limits: TimeLimits,
    phase: PhaseCell,
    /// The limit in force and the phase that it belongs to.
    timer: Option<(Phase, Pin<Box<Sleep>>)>,
}

impl LimitedStream {
    /// Puts limits on a stream.
    pub fn new(stream: TcpStream, limits: TimeLimits) -> (Self, PhaseCell) {
        let phase = PhaseCell(Rc::new(Cell::new((Phase::Resting, Instant::now()))));
        let limited = Self { stream, limits, phase: phase.clone(), timer: None };
        (limited, phase)
    }

    /// Whether the limit of the present phase has passed. Registers a wake-up otherwise.
    fn is_late(&mut self, context: &mut Context<'_>) -> bool {
        let phase = self.phase.phase();
        let limit = match phase {
            Phase::Resting => self.limits.idle,
            Phase::Head => self.limits.head,
            Phase::Serving => {
                self.timer = None;
                return false;
            }
        };
        match &mut self.timer {
            Some((of, sleep)) if *of == phase => sleep.as_mut().poll(context).is_ready(),
            timer => {
                let mut sleep = Box::pin(tokio::time::sleep_until(Instant::now() + limit));
                let late = sleep.as_mut().poll(context).is_ready();
                *timer = Some((phase, sleep));
                late
            }
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
            if buffer.filled().len() > before && this.phase.phase() == Phase::Resting {
                this.phase.set(Phase::Head);
            }
            return polled;
        }
        if this.is_late(context) {
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
        Pin::new(&mut self.get_mut().stream).poll_flush(context)
    }

    fn poll_shutdown(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.get_mut().stream).poll_shutdown(context)
    }
}
