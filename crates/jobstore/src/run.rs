//! One run of an item at a back end.

use std::cell::RefCell;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use borsh::{BorshDeserialize, BorshSerialize};
use bytes::Bytes;
use eventsource_stream::Eventsource;
use futures::StreamExt;
use http::{header, HeaderName, HeaderValue, Method, Request, StatusCode};
use http_body_util::{BodyExt, Full};
use yokefall_serving::identity::set_tenant_header;
use yokefall_serving::{Backend, Dialect, JobItem, Outcome, Permit, TenantName};
use yokefall_suspects::{Registry, RequestDigest, RequestIdentity};
use yokefall_upstream::{exchange, BackendSlot, ConnectFailure, Connection, Pool, SendFailure};

use crate::state::Run;

/// Time for a connection to come up.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Time without any byte after which a run is continued elsewhere.
const SILENCE_LIMIT: Duration = Duration::from_millis(3_000);
/// Connections of this process to one back end.
const CONNECTIONS: usize = 32;

/// Output of an item since it was last made durable.
#[derive(Clone, Debug, Default)]
pub struct Progress {
    /// The run that gives it.
    pub run: Run,
    /// Last event that is in the log.
    pub kept_event: u64,
    /// Last event seen.
    pub last_event: u64,
    /// Data of the events between.
    pub text: Option<String>,
}

impl Progress {
    /// Adds the data of the next event.
    pub fn push(&mut self, event: u64, data: &str) {
        self.last_event = event;
        match &mut self.text {
            Some(text) => {
                text.push('\n');
                text.push_str(data);
            }
            None => self.text = Some(data.to_owned()),
        }
    }

    /// Adds the data of all events up to one, which another process read.
    pub fn extend(&mut self, last_event: u64, data: Option<String>) {
        if let Some(data) = data.filter(|_| last_event > self.last_event) {
            self.push(last_event, &data);
        }
    }
}

/// How a run ended.
#[derive(Clone, Debug, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub enum RunEnd {
    /// The whole output is there.
    Completed,
    /// The item can never be done.
    Impossible,
    /// The item failed by its own fault.
    ItemFailed,
    /// It did not run, or broke off: try again.
    Retry {
        /// The cause.
        cause: String,
        /// Whether a pause should come first.
        pause: bool,
    },
}

impl RunEnd {
    /// Whether the back end gave a whole answer, of whatever kind: it outlived the item.
    pub fn is_whole_answer(&self) -> bool {
        !matches!(self, RunEnd::Retry { .. })
    }
}

/// Why an item may not be sent to a back end now.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PermitDenied {
    /// The cause, as text.
    pub cause: String,
    /// Whether the back end is cold and this process has no share left: trying again at once is in vain.
    pub is_cold: bool,
}

impl PermitDenied {
    /// A cause that another back end may not have.
    pub fn new(cause: impl Into<String>) -> Self {
        Self { cause: cause.into(), is_cold: false }
    }
}

/// What a back end is told of whose item it runs.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ItemSender {
    /// Host that the item's job was sent to.
    pub host: String,
    /// Tenant that the job belongs to.
    pub tenant: Option<TenantName>,
}

/// The body of an item, shared with the state.
struct SharedBody(Arc<JobItem>);

impl AsRef<[u8]> for SharedBody {
    fn as_ref(&self) -> &[u8] {
        &self.0.body
    }
}

/// What an item has in common with every other attempt of the same request, items or not.
pub fn item_digest(sender: &ItemSender, item: &JobItem) -> RequestDigest {
    RequestDigest::of(&RequestIdentity {
        method: Method::POST.as_str(),
        host: &sender.host,
        path: &item.path,
        tenant: sender.tenant.as_ref().map_or("", TenantName::as_str),
        body: &item.body,
    })
}

/// Runs items at back ends.
pub struct ItemRunner {
    /// Connections.
    pub pool: Pool,
    /// Requests under which back ends ended.
    pub suspects: Rc<Registry>,
    dialect: Arc<dyn Dialect>,
}

impl ItemRunner {
    /// A runner without connections yet.
    pub fn new(dialect: Arc<dyn Dialect>, suspects: Rc<Registry>) -> Self {
        Self { pool: Pool::default(), suspects, dialect }
    }

    /// Runs an item at the back end of a place, from where its output stands. Invariant: `permit` is asked for
    /// at the last moment before the item is sent. A connection may take long to come up, and a process
    /// without processor time may take longer; meanwhile the job may have been cancelled, the lead lost, or
    /// the back end have begun to drain.
    pub async fn run_at(
        &self,
        slot: &mut BackendSlot,
        sender: &ItemSender,
        item: &Arc<JobItem>,
        progress: &Rc<RefCell<Progress>>,
        permit: impl Fn() -> Result<Permit, PermitDenied>,
    ) -> RunEnd {
        let backend = slot.backend.clone();
        let again = |cause: String, pause| RunEnd::Retry { cause, pause };
        let mut connection = match self.pool.connect(&backend, CONNECT_TIMEOUT, CONNECTIONS).await {
            Ok(connection) => connection,
            Err(error) => {
                slot.outcome = match error {
                    ConnectFailure::Unreachable { .. } => Outcome::Unreachable,
                    ConnectFailure::Exhausted => Outcome::Full,
                };
                return again(error.to_string(), false);
            }
        };
        let after = progress.borrow().last_event;
        let Some(request) = self.request(sender, item, &backend, after) else {
            return RunEnd::Impossible;
        };
        let permit = match permit() {
            Ok(permit) => permit,
            Err(PermitDenied { cause, is_cold }) => {
                slot.outcome = Outcome::Abandoned;
                self.pool.put_back(connection);
                let cause = format!("not to be sent when the connection was up: {cause}");
                return again(cause, is_cold);
            }
        };
        let names = self.dialect.headers();
        let id_header = self.dialect.signs_responses().then_some(&names.request_id);
        let sent = exchange(&mut connection, request, id_header, permit);
        let answer = match tokio::time::timeout(SILENCE_LIMIT, sent).await {
            Ok(Ok(answer)) => answer,
            Ok(Err(error)) => {
                slot.outcome = match error {
                    SendFailure::NotSent { .. } => Outcome::Abandoned,
                    SendFailure::MayHaveRun { .. } => Outcome::Failed,
                };
                if slot.outcome == Outcome::Failed {
                    slot.record_failure();
                    let digest = || item_digest(sender, item);
                    self.suspects
                        .record_disconnect(&slot.backend, slot.acquired_at(), digest)
                        .await;
                }
                return again(error.to_string(), false);
            }
            Err(_) => {
                slot.outcome = Outcome::Failed;
                self.pool.close_idle(&backend);
                slot.record_failure();
                return again(format!("{} gave no answer", backend.id), false);
            }
        };
        connection.note_keep_alive(answer.headers());
        self.note_told(slot, answer.headers());
        let not_run = answer.headers().contains_key(&self.dialect.headers().not_run);
        match answer.status() {
            StatusCode::OK => {
                let digest = || item_digest(sender, item);
                self.read_events(slot, connection, answer, progress, digest).await
            }
            StatusCode::UNPROCESSABLE_ENTITY => {
                slot.outcome = Outcome::Answered;
                RunEnd::Impossible
            }
            StatusCode::MISDIRECTED_REQUEST => {
                slot.outcome = Outcome::Misdirected;
                again(format!("{} is another back end now", backend.address), false)
            }
            StatusCode::INTERNAL_SERVER_ERROR if !not_run => {
                slot.outcome = Outcome::Answered;
                RunEnd::ItemFailed
            }
            status => {
                slot.outcome = if not_run { Outcome::Full } else { Outcome::Failed };
                again(format!("{} answered {status}", backend.id), true)
            }
        }
    }

    /// Takes what a back end tells of itself with its answer.
    fn note_told(&self, slot: &BackendSlot, headers: &http::HeaderMap) {
        let load = headers.get(&self.dialect.headers().load);
        if let Some(load) = load.and_then(|value| self.dialect.parse_load(value)) {
            slot.record_report(load);
        }
        let cold = headers.get(&self.dialect.headers().cold_ms);
        if let Some(remaining_ms) = cold.and_then(|value| self.dialect.parse_cold(value)) {
            slot.record_cold_remaining(remaining_ms);
        }
    }

    fn request(
        &self,
        sender: &ItemSender,
        item: &Arc<JobItem>,
        backend: &Backend,
        after_event: u64,
    ) -> Option<Request<Full<Bytes>>> {
        let names = self.dialect.headers();
        let mut request = Request::builder().method(Method::POST).uri(&item.path);
        let headers = request.headers_mut()?;
        for header in &item.headers {
            let name = HeaderName::try_from(header.name.as_str()).ok()?;
            headers.append(name, HeaderValue::try_from(header.value.as_str()).ok()?);
        }
        // What the submission named of keys and tenants is no back end's business.
        set_tenant_header(sender.tenant.as_ref(), &names.tenant, headers);
        headers.insert(header::HOST, HeaderValue::try_from(&sender.host).ok()?);
        headers.insert(&names.request_id, HeaderValue::try_from(item.id.as_str()).ok()?);
        headers.insert(&names.expected_backend, HeaderValue::try_from(&backend.id).ok()?);
        if after_event > 0 {
            headers.insert(&names.resume_after, HeaderValue::from(after_event));
        }
        request.body(Full::new(Bytes::from_owner(SharedBody(item.clone())))).ok()
    }

    async fn read_events(
        &self,
        slot: &mut BackendSlot,
        connection: Connection,
        answer: http::Response<hyper::body::Incoming>,
        progress: &Rc<RefCell<Progress>>,
        digest: impl FnOnce() -> RequestDigest,
    ) -> RunEnd {
        let again = |cause: String| RunEnd::Retry { cause, pause: false };
        let signature = &self.dialect.headers().signature;
        let signed = !self.dialect.signs_responses() || answer.headers().contains_key(signature);
        let last = Connection::closes_after(answer.headers());
        let mut events = answer.into_body().into_data_stream().eventsource();
        loop {
            let event = match tokio::time::timeout(SILENCE_LIMIT, events.next()).await {
                Ok(Some(Ok(event))) => event,
                Ok(None) => break,
                Ok(Some(Err(error))) => {
                    slot.outcome = Outcome::Failed;
                    slot.record_failure();
                    self.suspects
                        .record_disconnect(&slot.backend, slot.acquired_at(), digest)
                        .await;
                    return again(format!("read answer of {}: {error}", slot.backend.id));
                }
                Err(_) => {
                    slot.outcome = Outcome::Failed;
                    self.pool.close_idle(&slot.backend);
                    slot.record_failure();
                    return again(format!("{} fell silent", slot.backend.id));
                }
            };
            let mut progress = progress.borrow_mut();
            if event.id.parse() != Ok(progress.last_event + 1) {
                slot.outcome = Outcome::Failed;
                let expected = progress.last_event + 1;
                return again(format!("event {:?} in the place of {expected}", event.id));
            }
            let event_number = progress.last_event + 1;
            progress.push(event_number, &event.data);
        }
        drop(events);
        slot.outcome = Outcome::Answered;
        if !signed || progress.borrow().last_event == 0 {
            slot.outcome = Outcome::Failed;
            return again(format!("{} gave no signed events", slot.backend.id));
        }
        if !last {
            self.pool.put_back(connection);
        }
        RunEnd::Completed
    }
}
