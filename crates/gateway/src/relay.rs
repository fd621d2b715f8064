//! Passes an answer on: whole where it is short, as it comes where it is a stream. A stream that
//! may be resumed goes on at another back end when its own breaks off.

use std::pin::Pin;
use std::rc::Rc;

use bytes::{Bytes, BytesMut};
use http::{header, HeaderMap, Response, StatusCode};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use tokio::time::{Instant, Sleep};
use yokefall_serving::{Outcome, RouteKind};
use yokefall_telemetry::{EventName, LogLine};
use yokefall_upstream::{BackendSlot, Connection};

use crate::answer::{Answer, AnswerBody, BrokenAnswer};
use crate::forward::{send, tell_silent, Taken, SILENCE};
use crate::order::{may_repeat, Order};
use crate::request::copy_headers;
use crate::shared::Shared;
use crate::suspect;

/// Most bytes of an answer that is read whole before it is passed on.
const WHOLE_BYTES: usize = 256 * 1024;

/// Ends an event of a stream.
const EVENT_END: &[u8] = b"\n\n";

/// Passes an answer on. Where it breaks off before any of it was passed on, the order comes back
/// with the cause.
pub async fn pass(
    shared: &Rc<Shared>,
    order: Order,
    taken: Taken,
) -> Result<Answer, (Box<Order>, String)> {
    let streamed = order.route.kind == RouteKind::Stream && taken.answer.status().is_success();
    let Taken { answer, connection, slot } = taken;
    let (head, body) = answer.into_parts();
    let resumes = streamed && order.route.resumable;
    let last_event = if resumes { asked_event(shared, &order) } else { 0 };
    let deadline = Box::pin(tokio::time::sleep_until(order.deadline));
    let close = Connection::closes_after(&head.headers);
    let mut relay = Relay {
        shared: shared.clone(),
        order: Box::new(order),
        source: Some(Source { body, connection, slot, close }),
        deadline,
        silence: Box::pin(tokio::time::sleep(SILENCE)),
        resumes,
        last_event,
        partial: BytesMut::new(),
    };
    let mut collected = BytesMut::new();
    let first = loop {
        match relay.piece().await {
            Some(Ok(piece)) if streamed => break Some(piece),
            Some(Ok(piece)) if collected.len() + piece.len() > WHOLE_BYTES => {
                collected.extend_from_slice(&piece);
                break Some(std::mem::take(&mut collected).freeze());
            }
            Some(Ok(piece)) => collected.extend_from_slice(&piece),
            None => break None,
            Some(Err(BrokenAnswer(cause))) => return Err((relay.order, cause)),
        }
    };
    let body = match first {
        None => AnswerBody::whole(collected.freeze()),
        Some(first) => AnswerBody::passed(shared.ahead.pass(Box::pin(relay.into_pieces(first)))),
    };
    Ok(respond(head.status, &head.headers, body))
}

/// The event after which the client itself asks to continue.
fn asked_event(shared: &Shared, order: &Order) -> u64 {
    let asked = order.parts.headers.get(&shared.dialect.headers().resume_after);
    asked.and_then(|value| value.to_str().ok()?.parse().ok()).unwrap_or(0)
}

fn respond(status: StatusCode, headers: &HeaderMap, body: AnswerBody) -> Answer {
    let mut answer = Response::new(body);
    *answer.status_mut() = status;
    copy_headers(headers, answer.headers_mut());
    if hyper::body::Body::size_hint(answer.body()).exact().is_some() {
        answer.headers_mut().remove(header::CONTENT_LENGTH);
    }
    answer
}

struct Source {
    body: Incoming,
    connection: Connection,
    slot: BackendSlot,
    /// Whether the back end closes the connection after the answer.
    close: bool,
}

struct Relay {
    shared: Rc<Shared>,
    order: Box<Order>,
    /// Where the answer comes from; `None` once it has ended.
    source: Option<Source>,
    deadline: Pin<Box<Sleep>>,
    /// Looks now and then whether the back end still says something.
    silence: Pin<Box<Sleep>>,
    /// Whether the stream may continue at another back end.
    resumes: bool,
    /// Last event passed on.
    last_event: u64,
    /// Bytes of an event that is not complete.
    partial: BytesMut,
}

enum Next {
    Data(Bytes),
    End,
    Broken(String),
    OutOfTime,
}

impl Relay {
    /// The next piece to pass on; `None` at the exact end of the answer.
    async fn piece(&mut self) -> Option<Result<Bytes, BrokenAnswer>> {
        loop {
            let source = self.source.as_mut()?;
            match next(&self.shared, source, &mut self.deadline, &mut self.silence).await {
                Next::Data(data) if !self.resumes => return Some(Ok(data)),
                Next::Data(data) => {
                    if let Some(events) = self.whole_events(&data) {
                        return Some(Ok(events));
                    }
                }
                Next::End => {
                    self.finish();
                    let rest = std::mem::take(&mut self.partial);
                    return (!rest.is_empty()).then(|| Ok(rest.freeze()));
                }
                Next::OutOfTime => {
                    self.source = None;
                    self.tell(self.order.end_line(EventName::AnswerBroken), "its time ended");
                    return Some(Err(BrokenAnswer("its time ended".into())));
                }
                Next::Broken(cause) => {
                    source.slot.outcome = Outcome::Failed;
                    source.slot.record_failure();
                    self.record_disconnect().await;
                    self.source = None;
                    if !self.resumes || !self.resume().await {
                        self.tell(self.order.end_line(EventName::AnswerBroken), &cause);
                        return Some(Err(BrokenAnswer(cause)));
                    }
                }
            }
        }
    }

    /// Finds out whether the back end ended under the request.
    async fn record_disconnect(&self) {
        let Some(source) = &self.source else { return };
        let (backend, sent) = (&source.slot.backend, source.slot.acquired_at());
        self.shared.suspects.record_disconnect(backend, sent, || self.order.digest()).await;
    }

    fn tell(&self, line: LogLine, cause: &str) {
        line.field("last_event", self.last_event).field("cause", cause).write();
    }

    fn finish(&mut self) {
        let Some(mut source) = self.source.take() else { return };
        let line = self.order.end_line(EventName::RequestAnswered);
        line.field("backend", source.slot.backend.id.as_str()).write();
        source.slot.outcome = Outcome::Answered;
        suspect::record_answer(&self.shared, &self.order);
        if !source.close {
            self.shared.pool.put_back(source.connection);
        }
    }

    /// Whole events out of what came so far: a part of one must not be passed on, since the back
    /// end may break off within it.
    fn whole_events(&mut self, data: &[u8]) -> Option<Bytes> {
        self.partial.extend_from_slice(data);
        let end = last_position(&self.partial, EVENT_END)? + EVENT_END.len();
        let events = self.partial.split_to(end).freeze();
        if let Some(event) = last_event_id(&events) {
            self.last_event = event;
        }
        Some(events)
    }

    /// Continues at another back end. Returns whether one has taken over.
    async fn resume(&mut self) -> bool {
        self.partial.clear();
        if !may_repeat(&self.order) {
            return false;
        }
        let sent = send(&self.shared, &mut self.order, self.last_event).await;
        let Ok(Taken { answer, connection, slot }) = sent else { return false };
        if !answer.status().is_success() {
            return false;
        }
        self.tell(self.order.line(EventName::StreamResumed), "the back end before broke off");
        let close = Connection::closes_after(answer.headers());
        self.source = Some(Source { body: answer.into_body(), connection, slot, close });
        true
    }

    fn into_pieces(self, first: Bytes) -> impl futures::Stream<Item = Result<Bytes, BrokenAnswer>> {
        futures::stream::unfold((self, Some(first)), |(mut relay, first)| async move {
            let piece = match first {
                Some(first) => Ok(first),
                None => relay.piece().await?,
            };
            Some((piece, (relay, None)))
        })
    }
}

async fn next(
    shared: &Shared,
    source: &mut Source,
    deadline: &mut Pin<Box<Sleep>>,
    silence: &mut Pin<Box<Sleep>>,
) -> Next {
    let waiting_since = Instant::now();
    loop {
        let frame = tokio::select! {
            biased;
            frame = source.body.frame() => frame,
            () = deadline.as_mut() => return Next::OutOfTime,
            () = silence.as_mut() => {
                if waiting_since.elapsed() >= SILENCE {
                    tell_silent(shared, &source.slot);
                }
                silence.as_mut().reset(Instant::now() + SILENCE);
                continue;
            }
        };
        match frame {
            Some(Ok(frame)) => {
                source.slot.record_activity();
                if let Ok(data) = frame.into_data() {
                    return Next::Data(data);
                }
            }
            Some(Err(error)) => return Next::Broken(error.to_string()),
            None => return Next::End,
        }
    }
}

fn last_position(bytes: &[u8], wanted: &[u8]) -> Option<usize> {
    bytes.windows(wanted.len()).rposition(|window| window == wanted)
}

/// Id of the last event in whole events.
fn last_event_id(events: &[u8]) -> Option<u64> {
    let text = std::str::from_utf8(events).ok()?;
    let id = text.lines().rev().find_map(|line| line.strip_prefix("id:"))?;
    id.trim().parse().ok()
}
