//! Clients of the soak that read event streams and continue those that break off at any gateway, as
//! long as a gateway does so. All events of a stream must come from one software version.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::{Method, StatusCode};
use http_body_util::{BodyExt, Full};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use tokio::time::Instant;

use super::back_end::{events_of, STREAM_PATH};
use super::clients::{request, ClientConnection, Clients};
use super::oracle::StreamOutcome;

/// Mean interval between the streams of one client.
const STREAM_INTERVAL: Duration = Duration::from_millis(120);
/// Pause before a stream is continued if the gateway names none, and maximum number of times.
const CONTINUATION_PAUSE: Duration = Duration::from_millis(50);
const MAX_CONTINUATIONS: u32 = 6;
const ATTEMPT_TIMEOUT: Duration = Duration::from_secs(6);

/// An answer, as far as it arrived.
struct Answer {
    status: StatusCode,
    /// Pause that the gateway asks for.
    retry_after: Option<Duration>,
    body: String,
    /// Whether the body ended in the order of its framing.
    is_complete: bool,
}

/// What a client has received of a stream.
#[derive(Debug, Default)]
struct Received {
    /// Whether the client names the attempt that brought the first event.
    names_attempt: bool,
    last_event: u64,
    /// Software version that its first event came from.
    version: Option<String>,
    /// Attempt that brought the first event.
    first_attempt: Option<String>,
    /// Contradictions between events.
    violations: Vec<String>,
}

impl Received {
    /// Adds the events of one attempt, of which the last one may be incomplete.
    fn add(&mut self, stream: &str, attempt: &str, body: &str) {
        for event in body.split_inclusive("\n\n").filter(|event| event.ends_with("\n\n")) {
            let id = event.lines().find_map(|line| line.strip_prefix("id: "));
            let id = id.and_then(|id| id.parse::<u64>().ok());
            let version = event.lines().find_map(|line| line.rsplit_once(" of "));
            let (Some(id), Some((_, version))) = (id, version) else {
                self.violations.push(format!("stream {stream}: event {event:?} is incomplete"));
                return;
            };
            if id != self.last_event + 1 {
                let last = self.last_event;
                self.violations.push(format!("stream {stream}: event {id} follows {last}"));
            }
            self.last_event = id;
            let first = self.version.get_or_insert_with(|| version.to_owned());
            if first != version {
                self.violations.push(format!(
                    "stream {stream}: event {id} is of version {version}, the first one of {first}"
                ));
            }
            self.first_attempt.get_or_insert_with(|| attempt.to_owned());
        }
    }

    /// Checks that an answer which ends in order brought the last event.
    fn check_end(&mut self, stream: &str, is_complete: bool) {
        let (last, count) = (self.last_event, events_of(stream));
        if is_complete && last < count {
            let violation = format!("stream {stream}: complete after event {last} of {count}");
            self.violations.push(violation);
        }
    }
}

impl Clients {
    /// Reads streams one after the other.
    pub async fn stream_until(self, number: u64, until: Instant) {
        let mut random = StdRng::seed_from_u64(self.seed.rotate_left(41) ^ (number + 1));
        let mut count = 0;
        while Instant::now() < until {
            count += 1;
            self.read_stream(&mut random, &format!("stream-{number}-{count}")).await;
            tokio::time::sleep(STREAM_INTERVAL.mul_f64(random.random_range(0.2..2.0))).await;
        }
    }

    async fn read_stream(&self, random: &mut StdRng, stream: &str) {
        let names_attempt = random.random_range(0..3) > 0;
        let mut received = Received { names_attempt, ..Received::default() };
        let mut outcome = StreamOutcome::Incomplete;
        for attempt in 0..=MAX_CONTINUATIONS {
            let id = format!("{stream}-attempt-{attempt}");
            let gateway = self.gateways[random.random_range(0..self.gateways.len())];
            let sent = send(gateway, stream, &id, &received);
            let answer = tokio::time::timeout(ATTEMPT_TIMEOUT, sent).await.ok().flatten();
            if let Some(Answer { status: StatusCode::OK, body, is_complete, .. }) = &answer {
                received.add(stream, &id, body);
                received.check_end(stream, *is_complete);
            }
            if received.last_event == events_of(stream) {
                outcome = match attempt {
                    0 => StreamOutcome::Whole,
                    _ => StreamOutcome::Continued,
                };
                break;
            }
            let pause = answer.and_then(|answer| answer.retry_after);
            tokio::time::sleep(pause.unwrap_or(CONTINUATION_PAUSE)).await;
        }
        for violation in received.violations {
            self.oracle.record_violation(violation);
        }
        self.oracle.record_stream(outcome);
    }
}

/// Sends an attempt and returns as much of its answer as arrives; `None` without a head.
async fn send(gateway: SocketAddr, stream: &str, id: &str, received: &Received) -> Option<Answer> {
    let mut connection = ClientConnection::open(gateway).await?;
    let mut request = request(Method::POST, &format!("{STREAM_PATH}{stream}"), id);
    if let Some(first_attempt) = &received.first_attempt {
        request = request.header("Last-Event-Id", received.last_event);
        if received.names_attempt {
            request = request.header("Yokefall-Continued-Request", first_attempt);
        }
    }
    let request = request.body(Full::new(Bytes::new())).ok()?;
    let mut answer = connection.sender.send_request(request).await.ok()?;
    let retry_after = answer.headers().get(http::header::RETRY_AFTER);
    let retry_after = retry_after.and_then(|value| value.to_str().ok()?.parse::<f64>().ok());
    let mut body = Vec::new();
    // A body that breaks off is continued after the events that did arrive.
    let is_complete = loop {
        match answer.body_mut().frame().await {
            Some(Ok(frame)) => {
                if let Ok(data) = frame.into_data() {
                    body.extend_from_slice(&data);
                }
            }
            Some(Err(_)) => break false,
            None => break true,
        }
    };
    Some(Answer {
        status: answer.status(),
        retry_after: retry_after.map(Duration::from_secs_f64),
        body: String::from_utf8_lossy(&body).into_owned(),
        is_complete,
    })
}
