//! Relays a response to the client: short ones complete, streams as they arrive. A resumable stream
//! continues at another back end of the same software version when its own fails.

use std::pin::Pin;
use std::rc::Rc;

use bytes::{Bytes, BytesMut};
use futures::StreamExt;
use http::response::Parts;
use http::{HeaderMap, Response, StatusCode};
use tokio::time::{Instant, Sleep};
use yokefall_serving::{Outcome, RouteKind};
use yokefall_suspects::ProgressTracker;
use yokefall_telemetry::{EventName, LogLine};
use yokefall_upstream::{
    announces_close, BackendBody, BackendSlot, Connection, EventBoundaries, Reservation,
    StreamPosition,
};

use crate::context::{may_retry, RequestContext};
use crate::forward::{log_silence, send, BackendResponse, SILENCE_TIMEOUT};
use crate::request::copy_headers;
use crate::response::{ClientResponse, ResponseAborted, ResponseBody};
use crate::shared::Shared;
use crate::stream::{self, requested_event};
use crate::suspect;

/// Maximum size of a response that is collected before it is relayed.
const MAX_COLLECTED_BYTES: usize = 256 * 1024;
/// Relays a response; returns the context and the cause if it fails before any of it was sent.
pub async fn relay(
    shared: &Rc<Shared>,
    context: RequestContext,
    backend_response: BackendResponse,
) -> Result<ClientResponse, (Box<RequestContext>, String)> {
    let streamed =
        context.route.kind == RouteKind::Stream && backend_response.response.status().is_success();
    let (head, source) = Source::new(backend_response);
    let resumes = streamed && context.route.resumable;
    let last_event = if resumes { requested_event(shared, &context.parts) } else { 0 };
    let deadline = Box::pin(tokio::time::sleep_until(context.deadline));
    let mut relay = Relay {
        shared: shared.clone(),
        context: Box::new(context),
        source: Some(source),
        deadline,
        silence: Box::pin(tokio::time::sleep(SILENCE_TIMEOUT)),
        resumes,
        last_event,
        is_position_known: true,
        boundaries: EventBoundaries::default(),
        is_recorded: false,
        partial: BytesMut::new(),
        partial_memory: shared.response_memory.reserve(),
        relayed_bytes: 0,
    };
    let mut collected = BytesMut::new();
    let mut collected_memory = shared.response_memory.reserve();
    let first = loop {
        match relay.chunk().await {
            Some(Ok(chunk)) if streamed => break Some(chunk),
            Some(Ok(chunk)) => {
                let length = collected.len() + chunk.len();
                collected.extend_from_slice(&chunk);
                if length > MAX_COLLECTED_BYTES || !collected_memory.hold(length) {
                    break Some(std::mem::take(&mut collected).freeze());
                }
            }
            None => break None,
            Some(Err(ResponseAborted(cause))) => return Err((relay.context, cause)),
        }
    };
    let body = match first {
        None => {
            let mut body = ResponseBody::complete(collected.freeze());
            body.retain(Box::new(collected_memory));
            body
        }
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
    response
}

struct Source {
    body: BackendBody,
    connection: Connection,
    slot: BackendSlot,
    /// Whether the back end closes the connection after the response.
    close: bool,
    /// Whether the response reports success.
    is_success: bool,
    progress: ProgressTracker,
}

impl Source {
    fn new(backend_response: BackendResponse) -> (Parts, Self) {
        let BackendResponse { response, connection, slot } = backend_response;
        let (head, body) = response.into_parts();
        let close = announces_close(&head.headers);
        let is_success = head.status.is_success();
        let progress = ProgressTracker::default();
        (head, Self { body, connection, slot, close, is_success, progress })
    }
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
    /// Whether nothing was relayed after that event, so that the stream can be resumed there.
    is_position_known: bool,
    /// Ends of the events from the current source.
    boundaries: EventBoundaries,
    /// Whether it was recorded which software version began the stream.
    is_recorded: bool,
    /// Bytes of an incomplete event.
    partial: BytesMut,
    partial_memory: Reservation,
    /// Number of bytes of the body that were relayed.
    relayed_bytes: u64,
}

enum NextChunk {
    Data(Bytes),
    /// The response has ended and is whole.
    Whole,
    Broken {
        cause: String,
        /// Whether the back end may have terminated.
        is_disconnect: bool,
    },
    TimedOut,
}

impl Relay {
    /// The next chunk to relay; `None` when the response has ended completely.
    async fn chunk(&mut self) -> Option<Result<Bytes, ResponseAborted>> {
        loop {
            let source = self.source.as_mut()?;
            let request = (&*self.shared, &*self.context);
            let next = next_chunk(request, source, &mut self.deadline, &mut self.silence).await;
            match self.reserve_for(next) {
                NextChunk::Data(data) if !self.resumes => {
                    self.relayed_bytes += data.len() as u64;
                    return Some(Ok(data));
                }
                NextChunk::Data(data) => {
                    if let Some(events) = self.complete_events(&data) {
                        self.record_origin();
                        self.relayed_bytes += events.len() as u64;
                        return Some(Ok(events));
                    }
                }
                NextChunk::Whole => {
                    self.finish();
                    let rest = std::mem::take(&mut self.partial);
                    return (!rest.is_empty()).then(|| Ok(rest.freeze()));
                }
                NextChunk::TimedOut => {
                    self.source = None;
                    self.log(
                        self.context.final_log_line(EventName::AnswerBroken),
                        "its time ended",
                    );
                    return Some(Err(ResponseAborted("its time ended".into())));
                }
                NextChunk::Broken { cause, is_disconnect } => {
                    if let Some(source) = &mut self.source {
                        source.slot.outcome = Outcome::Failed;
                    }
                    if is_disconnect {
                        self.record_disconnect().await;
                    }
                    self.source = None;
                    if !self.resumes || !self.resume().await {
                        self.log(self.context.final_log_line(EventName::AnswerBroken), &cause);
                        return Some(Err(ResponseAborted(cause)));
                    }
                }
            }
        }
    }

    /// Reserves memory for the data of a stream that may be resumed, whose incomplete event is held.
    fn reserve_for(&mut self, next: NextChunk) -> NextChunk {
        match next {
            NextChunk::Data(data)
                if self.resumes && !self.partial_memory.hold(self.partial.len() + data.len()) =>
            {
                let cause = "no memory for an incomplete event".to_owned();
                NextChunk::Broken { cause, is_disconnect: false }
            }
            next => next,
        }
    }

    /// Determines whether the back end terminated during the request.
    async fn record_disconnect(&self) {
        let Some(source) = &self.source else { return };
        source.slot.record_failure();
        let progress = source.progress.progress();
        suspect::record_disconnect(&self.shared, &self.context, &source.slot, progress).await;
    }

    fn log(&self, log_line: LogLine, cause: &str) {
        log_line
            .field("last_event", self.last_event)
            .field("bytes", self.relayed_bytes)
            .field("prompt_parts", self.context.shared_part_ids())
            .field("cause", cause)
            .write();
    }

    fn finish(&mut self) {
        let Some(mut source) = self.source.take() else { return };
        let log_line = self.context.final_log_line(EventName::RequestAnswered);
        log_line
            .field("backend", source.slot.backend.id.as_str())
            .field("framing", source.body.framing().name())
            .field("bytes", self.relayed_bytes)
            .write();
        source.slot.outcome = Outcome::Answered;
        let end = (source.body.framing(), source.progress.progress());
        suspect::record_answer(&self.shared, &self.context, &source.slot, end, source.is_success);
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
        let held = self.partial.len();
        self.partial.extend_from_slice(data);
        let end = held + self.boundaries.read(data)?;
        let events = self.partial.split_to(end).freeze();
        // Never refused: less is held than before.
        let _ = self.partial_memory.hold(self.partial.len());
        match StreamPosition::after(&events) {
            StreamPosition::Unchanged => {}
            StreamPosition::After(event) => {
                self.last_event = event;
                self.is_position_known = true;
            }
            StreamPosition::Unknown => self.is_position_known = false,
        }
        Some(events)
    }

    /// Continues at another back end. Returns whether one has taken over.
    async fn resume(&mut self) -> bool {
        self.partial = BytesMut::new();
        let _ = self.partial_memory.hold(0);
        self.boundaries = EventBoundaries::default();
        if !self.is_position_known || !may_retry(&self.context) {
            return false;
        }
        let sent = send(&self.shared, &mut self.context, self.last_event).await;
        let Ok(backend_response) = sent else { return false };
        let (_, source) = Source::new(backend_response);
        if !source.is_success {
            return false;
        }
        self.log(self.context.log_line(EventName::StreamResumed), "previous back end failed");
        self.source = Some(source);
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

async fn next_chunk(
    (shared, context): (&Shared, &RequestContext),
    source: &mut Source,
    deadline: &mut Pin<Box<Sleep>>,
    silence: &mut Pin<Box<Sleep>>,
) -> NextChunk {
    let waiting_since = Instant::now();
    loop {
        let chunk = tokio::select! {
            biased;
            chunk = source.body.next() => chunk,
            () = deadline.as_mut() => return NextChunk::TimedOut,
            () = silence.as_mut() => {
                if let Some(schedule) = shared.stop.schedule() {
                    deadline.as_mut().reset(context.deadline.min(schedule.answers_at));
                }
                if waiting_since.elapsed() >= SILENCE_TIMEOUT {
                    log_silence(shared, &source.slot);
                }
                silence.as_mut().reset(Instant::now() + SILENCE_TIMEOUT);
                continue;
            }
        };
        return match chunk {
            Some(Ok(data)) => {
                source.slot.record_activity();
                if source.progress.record_data() && source.is_success {
                    suspect::record_underway(shared, context);
                }
                NextChunk::Data(data)
            }
            Some(Err(error)) => {
                NextChunk::Broken { cause: error.to_string(), is_disconnect: error.is_disconnect() }
            }
            None => NextChunk::Whole,
        };
    }
}
