//! The body of a back end's response, which tells a whole one from one that broke off.
//!
//! Invariant: a body ends without an error only if it is whole, as far as its framing and its
//! content can tell. This is the only reader of back end bodies.

use std::fmt;
use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::Bytes;
use futures::Stream;
use http::{header, HeaderMap, Response};
use hyper::body::{Body, Incoming};

use crate::event_stream::EventBoundaries;
use crate::framing::{begins_with_framing, Framing};
use crate::surplus::Surplus;

/// Maximum size of one event, with the comments before it: readers hold it until it ends.
const MAX_EVENT_BYTES: usize = 256 * 1024;
const EVENT_STREAM: &str = "text/event-stream";

/// What a successful response to a request contains.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ExpectedBody {
    /// Events.
    Events,
    /// Events if the response declares them, otherwise any bytes.
    AsDeclared,
}

/// Why a body is not whole.
#[derive(Debug)]
pub enum BodyError {
    /// The connection failed, or it ended before the length or the last chunk.
    Connection(hyper::Error),
    /// The event stream ended within an event.
    WithinEvent,
    /// The event stream ended with its connection before its first byte.
    NoEvents,
    /// An event does not end.
    EventTooLong,
    /// More bytes followed, which are no other response: the length in the head was wrong.
    LongerThanLength,
    /// The body began with a part of the head, of which a line was damaged.
    RestOfHead,
}

impl BodyError {
    /// Whether the back end may have terminated.
    pub fn is_disconnect(&self) -> bool {
        match self {
            BodyError::Connection(_) | BodyError::WithinEvent | BodyError::NoEvents => true,
            BodyError::EventTooLong | BodyError::LongerThanLength | BodyError::RestOfHead => false,
        }
    }
}

impl fmt::Display for BodyError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            BodyError::Connection(error) => write!(formatter, "read body: {error}"),
            BodyError::WithinEvent => write!(formatter, "read body: it ended within an event"),
            BodyError::NoEvents => {
                write!(formatter, "read body: the connection ended before the first event")
            }
            BodyError::EventTooLong => {
                write!(formatter, "read body: an event exceeds {MAX_EVENT_BYTES} bytes")
            }
            BodyError::LongerThanLength => write!(formatter, "read body: it exceeds its length"),
            BodyError::RestOfHead => {
                write!(formatter, "read body: it begins with a part of the head")
            }
        }
    }
}

impl std::error::Error for BodyError {}

/// The body of a response.
#[derive(Debug)]
pub struct BackendBody {
    body: Incoming,
    framing: Framing,
    surplus: Surplus,
    /// The structure read so far, if the body is an event stream.
    events: Option<EventBoundaries>,
    /// Bytes since the last end of an event.
    open_event_bytes: usize,
    is_empty: bool,
    has_ended: bool,
}

impl BackendBody {
    /// Wraps the body of a response with this framing, on a connection with this surplus.
    pub(crate) fn of(
        response: Response<Incoming>,
        (framing, surplus): (Framing, Surplus),
        expected: ExpectedBody,
    ) -> Response<Self> {
        let (head, body) = response.into_parts();
        let is_event_stream = head.status.is_success()
            && (expected == ExpectedBody::Events || declares_events(&head.headers));
        let events = is_event_stream.then(EventBoundaries::default);
        let body = Self {
            body,
            framing,
            surplus,
            events,
            open_event_bytes: 0,
            is_empty: true,
            has_ended: false,
        };
        Response::from_parts(head, body)
    }

    /// How its end is marked.
    pub fn framing(&self) -> Framing {
        self.framing
    }

    fn read(&mut self, data: &[u8]) -> Result<(), BodyError> {
        if self.is_empty && self.framing == Framing::Connection && begins_with_framing(data) {
            return Err(BodyError::RestOfHead);
        }
        self.is_empty &= data.is_empty();
        let Some(events) = &mut self.events else { return Ok(()) };
        self.open_event_bytes = match events.read(data) {
            Some(end) => data.len() - end,
            None => self.open_event_bytes + data.len(),
        };
        match self.open_event_bytes > MAX_EVENT_BYTES {
            true => Err(BodyError::EventTooLong),
            false => Ok(()),
        }
    }

    /// Whether the body is whole if it ends here in the order of its framing.
    fn check_end(&self) -> Result<(), BodyError> {
        if self.framing == Framing::Length && self.surplus.continues_response() {
            return Err(BodyError::LongerThanLength);
        }
        match &self.events {
            Some(events) if events.is_within_event() => Err(BodyError::WithinEvent),
            // A run produces an event at least; nothing else proves that there was one.
            Some(_) if self.is_empty && self.framing == Framing::Connection => {
                Err(BodyError::NoEvents)
            }
            Some(_) | None => Ok(()),
        }
    }
}

impl Stream for BackendBody {
    type Item = Result<Bytes, BodyError>;

    fn poll_next(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<Option<Self::Item>> {
        let this = self.get_mut();
        while !this.has_ended {
            let Poll::Ready(frame) = Pin::new(&mut this.body).poll_frame(context) else {
                return Poll::Pending;
            };
            match frame {
                Some(Ok(frame)) => {
                    // Trailers are not passed on.
                    let Ok(data) = frame.into_data() else { continue };
                    let read = this.read(&data);
                    this.has_ended = read.is_err();
                    return Poll::Ready(Some(read.map(|()| data)));
                }
                Some(Err(error)) => {
                    this.has_ended = true;
                    return Poll::Ready(Some(Err(BodyError::Connection(error))));
                }
                None => {
                    this.has_ended = true;
                    return Poll::Ready(this.check_end().err().map(Err));
                }
            }
        }
        Poll::Ready(None)
    }
}

fn declares_events(headers: &HeaderMap) -> bool {
    let content_type = headers.get(header::CONTENT_TYPE).and_then(|value| value.to_str().ok());
    let media_type = content_type.and_then(|value| value.split(';').next());
    media_type.is_some_and(|media_type| media_type.trim().eq_ignore_ascii_case(EVENT_STREAM))
}
