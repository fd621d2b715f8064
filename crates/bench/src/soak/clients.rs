//! Clients of the soak, which send repeatable, at-most-once and fatal calls, and use batch jobs.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::{Method, Request, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use serde_json::{json, Value};
use tokio::net::TcpStream;
use tokio::task::JoinHandle;
use tokio::time::Instant;

use super::back_end::{expected_answer, FATAL_PART, FATAL_PATH, ITEM_PATH};
use super::oracle::{CallOutcome, Oracle};
use super::route_changes::{CHANGING_ITEM_PATH, CHANGING_JOB};

const ANSWER_TIMEOUT: Duration = Duration::from_secs(6);
/// Mean interval between the calls of one client, and number of these clients.
const CALL_INTERVAL: Duration = Duration::from_millis(60);
const CALLER_COUNT: u64 = 4;
const STREAM_READERS: u64 = 6;
/// Mean interval between two jobs, and interval between two reads of all jobs.
const JOB_INTERVAL: Duration = Duration::from_millis(900);
const READ_INTERVAL: Duration = Duration::from_millis(700);
/// Maximum attempts to submit or cancel a job.
const MAX_ATTEMPTS: u32 = 12;
/// Pause after a failed attempt, and mean interval between the repeats of a fatal call.
const RETRY_BACKOFF: Duration = Duration::from_millis(300);
/// Mean interval between two calls that crash back ends, and number of times each is sent.
const FATAL_CALL_INTERVAL: Duration = Duration::from_millis(6_000);
const FATAL_CALL_REPEATS: u32 = 40;
const MAX_JOB_ITEMS: usize = 24;
/// Number of parts that the prompts of calls share, beside one that all have.
const SHARED_PARTS: u64 = 20;
/// Jobs whose number is a multiple of this use the route that changes.
const CHANGING_EVERY_NTH_JOB: u64 = 3;
/// Accepted jobs whose number is a multiple of this are cancelled by their client.
const CANCEL_EVERY_NTH_JOB: u64 = 6;

#[derive(Clone)]
pub struct Clients {
    pub(super) seed: u64,
    pub(super) gateways: Vec<SocketAddr>,
    pub(super) oracle: Arc<Oracle>,
}

struct Answer {
    status: StatusCode,
    body: Bytes,
}

impl Clients {
    pub fn new(seed: u64, gateways: Vec<SocketAddr>, oracle: Arc<Oracle>) -> Self {
        Self { seed, gateways, oracle }
    }

    /// Retries until a call is answered and a job is accepted.
    pub async fn wait_until_served(&self, until: Instant) -> Result<(), String> {
        let mut random = StdRng::seed_from_u64(self.seed);
        while Instant::now() < until {
            let path = "/first";
            let answer =
                self.send_request(&mut random, Method::GET, path, "first", Bytes::new()).await;
            let call_served = answer.is_some_and(|answer| answer.status == StatusCode::OK);
            let body = job_body(ITEM_PATH, &["first-item".to_owned()]);
            let answer =
                self.send_request(&mut random, Method::POST, "/work/jobs", "first-job", body).await;
            if call_served && answer.is_some_and(|answer| answer.status == StatusCode::ACCEPTED) {
                return Ok(());
            }
            tokio::time::sleep(RETRY_BACKOFF).await;
        }
        Err("the fleet did not answer a call and accept a job in time after its start".to_owned())
    }

    pub fn start(&self, until: Instant) -> Vec<JoinHandle<()>> {
        let mut tasks: Vec<JoinHandle<()>> = (0..CALLER_COUNT)
            .map(|number| tokio::spawn(self.clone().call_until(number, until)))
            .collect();
        let streams = (0..STREAM_READERS)
            .map(|number| tokio::spawn(self.clone().stream_until(number, until)));
        tasks.extend(streams);
        tasks.push(tokio::spawn(self.clone().send_jobs_until(until)));
        tasks.push(tokio::spawn(self.clone().send_fatal_until(until)));
        let reader = self.clone();
        tasks.push(tokio::spawn(async move {
            while Instant::now() < until {
                reader.read_all().await;
                tokio::time::sleep(READ_INTERVAL).await;
            }
        }));
        tasks
    }

    async fn call_until(self, number: u64, until: Instant) {
        let mut random = StdRng::seed_from_u64(self.seed ^ (number + 1));
        let mut call = 0;
        while Instant::now() < until {
            call += 1;
            let runs_once = random.random_range(0..2) == 0;
            let id = format!("call-{number}-{call}");
            let path = if runs_once { format!("/once/{id}") } else { format!("/call/{id}") };
            let part = format!("part-{}", call % SHARED_PARTS);
            let answer = self.send_prompt(&mut random, &path, &id, &part).await;
            let outcome = match answer {
                Some(Answer { status: StatusCode::OK, body }) => {
                    if body != expected_answer(&id) {
                        self.oracle.record_violation(format!(
                            "call {id} got an unexpected answer: {body:?}"
                        ));
                    }
                    CallOutcome::Answered
                }
                Some(answer) if is_refusal(answer.status) => CallOutcome::Refused,
                Some(_) | None => CallOutcome::Unknown,
            };
            self.oracle.record_call(id, runs_once, outcome);
            tokio::time::sleep(CALL_INTERVAL.mul_f64(random.random_range(0.2..2.0))).await;
        }
    }

    /// Sends calls that crash back ends at intervals, each repeatedly whatever the answers are.
    async fn send_fatal_until(self, until: Instant) {
        let mut random = StdRng::seed_from_u64(self.seed.rotate_left(29));
        let mut number = 0;
        while Instant::now() < until {
            tokio::time::sleep(FATAL_CALL_INTERVAL.mul_f64(random.random_range(0.2..2.0))).await;
            number += 1;
            // Every other one has its cause in a part of its prompt, and no two attempts are alike.
            let has_fatal_part = number % 2 == 0;
            for repeat in 0..FATAL_CALL_REPEATS {
                if Instant::now() >= until {
                    return;
                }
                let id = format!("fatal-{number}-{repeat}");
                let (path, part) = match has_fatal_part {
                    true => (format!("/call/part-{id}"), format!("{FATAL_PART}{number}")),
                    false => (format!("{FATAL_PATH}{number}"), format!("part-{number}")),
                };
                let (client, seed) = (self.clone(), random.random());
                tokio::spawn(async move {
                    let mut random = StdRng::seed_from_u64(seed);
                    client.send_prompt(&mut random, &path, &id, &part).await
                });
                let pause = RETRY_BACKOFF.mul_f64(random.random_range(0.5..2.0));
                tokio::time::sleep(pause).await;
            }
        }
    }

    async fn send_jobs_until(self, until: Instant) {
        let mut random = StdRng::seed_from_u64(self.seed.rotate_left(17));
        let mut number = 0;
        while Instant::now() < until {
            number += 1;
            let client = self.clone();
            let seed = random.random();
            tokio::spawn(async move { client.send_job(number, seed).await });
            tokio::time::sleep(JOB_INTERVAL.mul_f64(random.random_range(0.1..2.0))).await;
        }
    }

    /// Submits a job as a client does: retries at any gateway until it is accepted.
    async fn send_job(&self, number: u64, seed: u64) {
        let mut random = StdRng::seed_from_u64(seed);
        let (path, item_path, name) = match number % CHANGING_EVERY_NTH_JOB {
            0 => ("/changing/jobs", CHANGING_ITEM_PATH, CHANGING_JOB),
            _ => ("/work/jobs", ITEM_PATH, "job-"),
        };
        let id = format!("{name}{number}");
        let count = random.random_range(1..=MAX_JOB_ITEMS);
        let items: Vec<String> = (0..count).map(|item| format!("{id}-item-{item}")).collect();
        let body = job_body(item_path, &items);
        let (mut is_accepted, mut is_rejected) = (false, true);
        for _ in 0..MAX_ATTEMPTS {
            let answer =
                self.send_request(&mut random, Method::POST, path, &id, body.clone()).await;
            match answer.map(|answer| answer.status) {
                Some(StatusCode::ACCEPTED) => is_accepted = true,
                Some(status) if is_refusal(status) => {}
                Some(_) | None => is_rejected = false,
            }
            if is_accepted {
                break;
            }
            tokio::time::sleep(RETRY_BACKOFF).await;
        }
        self.oracle.record_job(id.clone(), items, is_accepted, is_rejected && !is_accepted);
        if is_accepted && number % CANCEL_EVERY_NTH_JOB == 0 {
            self.cancel_job(&mut random, &id).await;
        }
    }

    async fn cancel_job(&self, random: &mut StdRng, id: &str) {
        tokio::time::sleep(JOB_INTERVAL).await;
        self.oracle.record_cancellation(id, None);
        let path = format!("/yokefall/jobs/{id}");
        for _ in 0..MAX_ATTEMPTS {
            let answer =
                self.send_request(random, Method::DELETE, &path, "end", Bytes::new()).await;
            if answer.is_some_and(|answer| answer.status == StatusCode::OK) {
                self.oracle.record_cancellation(id, Some(Instant::now()));
                return;
            }
            tokio::time::sleep(RETRY_BACKOFF).await;
        }
    }

    /// Reads the new results of every accepted job, and with probability 1/8 all of them again.
    pub async fn read_all(&self) {
        let mut random = StdRng::from_rng(&mut rand::rng());
        for (id, read_count) in self.oracle.accepted_jobs() {
            let from = if random.random_range(0..8) == 0 { 0 } else { read_count };
            let path = format!("/yokefall/jobs/{id}/results?from={from}");
            let answer =
                self.send_request(&mut random, Method::GET, &path, "read", Bytes::new()).await;
            match answer {
                Some(Answer { status: StatusCode::OK, body }) => {
                    self.record_results(&id, from, &body)
                }
                Some(Answer { status: StatusCode::NOT_FOUND, .. }) => {
                    self.oracle.record_violation(format!(
                        "job {id} was accepted and is now unknown (404)"
                    ));
                }
                Some(_) | None => {}
            }
        }
    }

    fn record_results(&self, id: &str, from: usize, body: &[u8]) {
        let Ok(page) = serde_json::from_slice::<Value>(body) else {
            self.oracle.record_violation(format!("job {id}: results are not JSON"));
            return;
        };
        let results = page["results"].as_array().cloned().unwrap_or_default();
        for (position, result) in (from as u64..).zip(&results) {
            let field = |name: &str| result[name].as_str().unwrap_or_default();
            self.oracle.record_result(id, position, field("item"), field("outcome"), field("text"));
        }
    }

    /// Sends a request to a random gateway on a new connection; `None` without a complete answer.
    async fn send_request(
        &self,
        random: &mut StdRng,
        method: Method,
        path: &str,
        id: &str,
        body: Bytes,
    ) -> Option<Answer> {
        let request = request(method, path, id).body(Full::new(body)).ok()?;
        self.send(random, request).await
    }

    /// Sends a call whose prompt has a part that all have, `part`, and one of its own.
    async fn send_prompt(
        &self,
        random: &mut StdRng,
        path: &str,
        id: &str,
        part: &str,
    ) -> Option<Answer> {
        let parts = format!("all:800,{part}:200,{id}:50");
        let request = request(Method::POST, path, id).header("Yokefall-Prefix", parts);
        self.send(random, request.body(Full::new(Bytes::new())).ok()?).await
    }

    async fn send(&self, random: &mut StdRng, request: Request<Full<Bytes>>) -> Option<Answer> {
        let gateway = self.gateways[random.random_range(0..self.gateways.len())];
        tokio::time::timeout(ANSWER_TIMEOUT, send_request(gateway, request)).await.ok()?
    }
}

fn is_refusal(status: StatusCode) -> bool {
    [StatusCode::SERVICE_UNAVAILABLE, StatusCode::TOO_MANY_REQUESTS].contains(&status)
}

fn job_body(path: &str, items: &[String]) -> Bytes {
    let item = |id: &String| json!({ "id": id, "path": format!("{path}{id}"), "tokens": 100 });
    json!({ "items": items.iter().map(item).collect::<Vec<Value>>() }).to_string().into()
}

async fn send_request(gateway: SocketAddr, request: Request<Full<Bytes>>) -> Option<Answer> {
    let mut connection = ClientConnection::open(gateway).await?;
    let answer = connection.sender.send_request(request).await.ok()?;
    let status = answer.status();
    let body = answer.into_body().collect().await.ok()?.to_bytes();
    Some(Answer { status, body })
}

/// A connection to a gateway, closed when it is dropped.
pub(super) struct ClientConnection {
    pub(super) sender: SendRequest<Full<Bytes>>,
    task: JoinHandle<hyper::Result<()>>,
}

impl Drop for ClientConnection {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl ClientConnection {
    /// Opens a connection; `None` if that fails.
    pub(super) async fn open(gateway: SocketAddr) -> Option<Self> {
        let stream = TcpStream::connect(gateway).await.ok()?;
        let (sender, connection) = http1::handshake(TokioIo::new(stream)).await.ok()?;
        Some(Self { sender, task: tokio::spawn(connection) })
    }
}

/// A request with the headers of every client.
pub(super) fn request(method: Method, path: &str, id: &str) -> http::request::Builder {
    Request::builder()
        .method(method)
        .uri(path)
        .header("Host", "soak.example")
        .header("Yokefall-Request", id)
        .header("Yokefall-Deadline-Ms", "5000")
}
