//! The response stream of a completion: server-sent events with one JSON chunk each.

use std::pin::Pin;
use std::time::Duration;

use eventsource_stream::{EventStreamError, Eventsource};
use futures::{Stream, StreamExt};
use http_body_util::BodyDataStream;
use hyper::body::Incoming;

use crate::error::{BackendError, BackendStep};
use crate::schema::{CompletionChunk, STREAM_END};

type Events = Pin<
    Box<
        dyn Stream<Item = Result<eventsource_stream::Event, EventStreamError<hyper::Error>>> + Send,
    >,
>;

/// An event of a completion.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CompletionEvent {
    /// Generated text.
    Text {
        /// The text.
        text: String,
        /// Number of tokens in the text.
        tokens: u32,
    },
    /// The answer is complete.
    Finished,
}

/// A running completion. Dropping it closes the connection but does not stop the engine; use
/// [`BackendClient::cancel`](crate::BackendClient::cancel) for that.
pub struct CompletionStream {
    peer: String,
    events: Events,
    stall_timeout: Duration,
    finish_seen: bool,
}

impl CompletionStream {
    pub(crate) fn new(peer: &str, body: Incoming, stall_timeout: Duration) -> Self {
        let events = Box::pin(BodyDataStream::new(body).eventsource());
        Self { peer: peer.to_owned(), events, stall_timeout, finish_seen: false }
    }

    /// Returns the next event. A stream that ends without `[DONE]` is an error.
    pub async fn next(&mut self) -> Result<CompletionEvent, BackendError> {
        loop {
            let event = self.next_event().await?;
            if event.data == STREAM_END {
                if self.finish_seen {
                    return Ok(CompletionEvent::Finished);
                }
                return Err(self.error(BackendStep::Decode, "end mark before finish_reason"));
            }
            let chunk: CompletionChunk = serde_json::from_str(&event.data)
                .map_err(|error| self.error(BackendStep::Decode, error))?;
            let [choice] = &chunk.choices[..] else {
                return Err(self.error(BackendStep::Decode, "want exactly one choice"));
            };
            self.finish_seen |= choice.finish_reason.is_some();
            if !choice.text.is_empty() {
                let (text, tokens) = (choice.text.clone(), choice.tokens.max(1));
                return Ok(CompletionEvent::Text { text, tokens });
            }
        }
    }

    async fn next_event(&mut self) -> Result<eventsource_stream::Event, BackendError> {
        match tokio::time::timeout(self.stall_timeout, self.events.next()).await {
            Ok(Some(Ok(event))) => Ok(event),
            Ok(Some(Err(EventStreamError::Transport(error)))) => {
                Err(self.error(BackendStep::Cut, error))
            }
            Ok(Some(Err(error))) => Err(self.error(BackendStep::Decode, error)),
            Ok(None) => Err(self.error(BackendStep::Cut, "ended without its end mark")),
            Err(_) => Err(self.error(BackendStep::Stalled, "no event in time")),
        }
    }

    fn error(&self, step: BackendStep, cause: impl std::fmt::Display) -> BackendError {
        BackendError::new(step, &self.peer, cause)
    }
}
