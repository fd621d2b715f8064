//! Relays a response to the client: short ones complete, streams as they arrive. A resumable stream
//! continues at another back end of the same software version when its own fails.

use std::pin::Pin;
use std::rc::Rc;

use bytes::{Bytes, BytesMut};
use http::{header, HeaderMap, Response, StatusCode};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use tokio::time::{Instant, Sleep};
use yokefall_serving::{Outcome, RouteKind};
use yokefall_telemetry::{EventName, LogLine};
use yokefall_upstream::{BackendSlot, Connection, Framing};

use crate::context::{may_retry, RequestContext};
use crate::forward::{log_silence, send, BackendResponse, SILENCE_TIMEOUT};
use crate::request::copy_headers;
use crate::response::{ClientResponse, ResponseAborted, ResponseBody};
use crate::shared::Shared;
use crate::stream::{self, requested_event};
use crate::suspect;

/// Maximum size of a response that is collected before it is relayed.
const MAX_COLLECTED_BYTES: usize = 256 * 1024;

const EVENT_END: &[u8] = b"\n\n";

/// Relays a response; returns the context and the cause if it fails before any of it was sent.
pub async fn relay(
    shared: &Rc<Shared>,
    context: RequestContext,
    backend_response: BackendResponse,
) -> Result<ClientResponse, (Box<RequestContext>, String)> {
    let streamed =
        context.route.kind == RouteKind::Stream && backend_response.response.status().is_success();
    let BackendResponse { response, connection, slot } = backend_response;
    let framing = Framing::of(&response);
    let (head, body) = response.into_parts();
    let resumes = streamed && context.route.resumable;
    let last_event = if resumes { requested_event(shared, &context.parts) } else { 0 };
    let deadline = Box::pin(tokio::time::sleep_until(context.deadline));
    let close = Connection::closes_after(&head.headers);
    let mut relay = Relay {
        shared: shared.clone(),
        context: Box::new(context),
        source: Some(Source { body, framing, connection, slot, close }),
        deadline,
        silence: Box::pin(tokio::time::sleep(SILENCE_TIMEOUT)),
        resumes,
        last_event,
        is_recorded: false,
        partial: BytesMut::new(),
        relayed_bytes: 0,
    };
    let mut collected = BytesMut::new();
    let first = loop {
        match relay.chunk().await {
            Some(Ok(chunk)) if streamed => break Some(chunk),
            Some(Ok(chunk)) if collected.len() + chunk.len() > MAX_COLLECTED_BYTES => {
                collected.extend_from_slice(&chunk);
                break Some(std::mem::take(&mut collected).freeze());
            }
            Some(Ok(chunk)) => collected.extend_from_slice(&chunk),
            None => break None,
            Some(Err(ResponseAborted(cause))) => return Err((relay.context, cause)),
        }
    };
    let body = match first {
        None => ResponseBody::complete(collected.freeze()),
        Some(first) => {
            ResponseBody::streamed(shared.read_ahead.relay(Box::pin(relay.into_chunks(first))))
        }
    };
    Ok(respond(head.status, &head.headers, body))
}

fn respond(status: StatusCode, headers: &HeaderMap, body: ResponseBody) -> ClientResponse {
    let mut response = Response::new(body);
    *response.status_mut() = status;
    copy_headers(headers, response.headers_mut());
    if hyper::body::Body::size_hint(response.body()).exact().is_some() {
        response.headers_mut().remove(header::CONTENT_LENGTH);
    }
    response
}

struct Source {
    body: Incoming,
    framing: Framing,
    connection: Connection,
    slot: BackendSlot,
    /// Whether the back end closes the connection after the response.
    close: bool,
}

struct Relay {
    shared: Rc<Shared>,
    context: Box<RequestContext>,
    /// Source of the response; `None` once it has ended.
    source: Option<Source>,
    deadline: Pin<Box<Sleep>>,
    /// Checks periodically whether the back end still sends data.
    silence: Pin<Box<Sleep>>,
    /// Whether the stream may continue at another back end.
    resumes: bool,
    /// Last event that was relayed.
    last_event: u64,
    /// Whether it was recorded which software version began the stream.
    is_recorded: bool,
    /// Bytes of an incomplete event.
    partial: BytesMut,
    /// Number of bytes of the body that were relayed.
    relayed_bytes: u64,
}

enum NextFrame {
    Data(Bytes),
    End,
    Broken(String),
    TimedOut,
}

impl Relay {
    /// The next chunk to relay; `None` when the response has ended completely.
    async fn chunk(&mut self) -> Option<Result<Bytes, ResponseAborted>> {
        loop {
            let source = self.source.as_mut()?;
            match next_frame(&self.shared, source, &mut self.deadline, &mut self.silence).await {
                NextFrame::Data(data) if !self.resumes => {
                    self.relayed_bytes += data.len() as u64;
                    return Some(Ok(data));
                }
                NextFrame::Data(data) => {
                    if let Some(events) = self.complete_events(&data) {
                        self.record_origin();
                        self.relayed_bytes += events.len() as u64;
                        return Some(Ok(events));
                    }
                }
                NextFrame::End => {
                    self.finish();
                    let rest = std::mem::take(&mut self.partial);
                    return (!rest.is_empty()).then(|| Ok(rest.freeze()));
                }
                NextFrame::TimedOut => {
                    self.source = None;
                    self.log(
                        self.context.final_log_line(EventName::AnswerBroken),
                        "its time ended",
                    );
                    return Some(Err(ResponseAborted("its time ended".into())));
                }
                NextFrame::Broken(cause) => {
                    source.slot.outcome = Outcome::Failed;
                    source.slot.record_failure();
                    self.record_disconnect().await;
                    self.source = None;
                    if !self.resumes || !self.resume().await {
                        self.log(self.context.final_log_line(EventName::AnswerBroken), &cause);
                        return Some(Err(ResponseAborted(cause)));
                    }
                }
            }
        }
    }

    /// Determines whether the back end terminated during the request.
    async fn record_disconnect(&self) {
        let Some(source) = &self.source else { return };
        let (backend, sent) = (&source.slot.backend, source.slot.acquired_at());
        self.shared.suspects.record_disconnect(backend, sent, || self.context.digest()).await;
    }

    fn log(&self, log_line: LogLine, cause: &str) {
        log_line
            .field("last_event", self.last_event)
            .field("bytes", self.relayed_bytes)
            .field("cause", cause)
            .write();
    }

    fn finish(&mut self) {
        let Some(mut source) = self.source.take() else { return };
        let log_line = self.context.final_log_line(EventName::RequestAnswered);
        log_line
            .field("backend", source.slot.backend.id.as_str())
            .field("framing", source.framing.name())
            .field("bytes", self.relayed_bytes)
            .write();
        source.slot.outcome = Outcome::Answered;
        suspect::record_answer(&self.shared, &self.context);
        if !source.close {
            self.shared.pool.put_back(source.connection);
        }
    }

    /// Records the software version that the events come from, before the first of them leaves.
    fn record_origin(&mut self) {
        let Some(source) = self.source.as_ref().filter(|_| !self.is_recorded) else { return };
        stream::record_origin(&self.shared, &mut self.context, &source.slot.backend);
        self.is_recorded = true;
    }

    /// Extracts the complete events; a partial one is held, since the back end may fail within it.
    fn complete_events(&mut self, data: &[u8]) -> Option<Bytes> {
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
        if !may_retry(&self.context) {
            return false;
        }
        let sent = send(&self.shared, &mut self.context, self.last_event).await;
        let Ok(BackendResponse { response, connection, slot }) = sent else { return false };
        if !response.status().is_success() {
            return false;
        }
        self.log(self.context.log_line(EventName::StreamResumed), "previous back end failed");
        let (framing, close) =
            (Framing::of(&response), Connection::closes_after(response.headers()));
        self.source = Some(Source { body: response.into_body(), framing, connection, slot, close });
        true
    }

    fn into_chunks(
        self,
        first: Bytes,
    ) -> impl futures::Stream<Item = Result<Bytes, ResponseAborted>> {
        futures::stream::unfold((self, Some(first)), |(mut relay, first)| async move {
            let chunk = match first {
                Some(first) => Ok(first),
                None => relay.chunk().await?,
            };
            Some((chunk, (relay, None)))
        })
    }
}

async fn next_frame(
    shared: &Shared,
    source: &mut Source,
    deadline: &mut Pin<Box<Sleep>>,
    silence: &mut Pin<Box<Sleep>>,
) -> NextFrame {
    let waiting_since = Instant::now();
    loop {
        let frame = tokio::select! {
            biased;
            frame = source.body.frame() => frame,
            () = deadline.as_mut() => return NextFrame::TimedOut,
            () = silence.as_mut() => {
                if waiting_since.elapsed() >= SILENCE_TIMEOUT {
                    log_silence(shared, &source.slot);
                }
                silence.as_mut().reset(Instant::now() + SILENCE_TIMEOUT);
                continue;
            }
        };
        match frame {
            Some(Ok(frame)) => {
                source.slot.record_activity();
                if let Ok(data) = frame.into_data() {
                    return NextFrame::Data(data);
                }
            }
            Some(Err(error)) => return NextFrame::Broken(error.to_string()),
            None => return NextFrame::End,
        }
    }
}

fn last_position(bytes: &[u8], wanted: &[u8]) -> Option<usize> {
    bytes.windows(wanted.len()).rposition(|window| window == wanted)
}

/// Id of the last of several complete events.
fn last_event_id(events: &[u8]) -> Option<u64> {
    let text = std::str::from_utf8(events).ok()?;
    let id = text.lines().rev().find_map(|line| line.strip_prefix("id:"))?;
    id.trim().parse().ok()
}
