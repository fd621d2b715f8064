//! A run of an item at a back end.

use std::cell::RefCell;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use borsh::{BorshDeserialize, BorshSerialize};
use bytes::Bytes;
use eventsource_stream::{EventStreamError, Eventsource};
use futures::StreamExt;
use http::{header, HeaderName, HeaderValue, Method, Request, StatusCode};
use http_body_util::Full;
use tokio::time::Instant;
use yokefall_serving::identity::set_tenant_header;
use yokefall_serving::{Backend, Dialect, JobItem, Outcome, Permit, PrefixPart, TenantName};
use yokefall_suspects::{
    ProgressTracker, Registry, RequestIdentity, ResponseProgress, SuspectKeys,
};
use yokefall_upstream::{
    announces_close, exchange, BackendBody, BackendSlot, BodyError, ConnectFailure, Connection,
    ExpectedBody, MemoryBudget, Pool, SendFailure,
};

use crate::output::Output;
use crate::state::Run;

const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Time without any received byte after which a run is continued elsewhere.
const SILENCE_TIMEOUT: Duration = Duration::from_millis(3_000);
/// Maximum duration of a run: a back end may send events without end.
const MAX_RUN_TIME: Duration = Duration::from_secs(300);
/// Maximum output of a run, and of an item whose next run continues it, in bytes. It is held in
/// memory until it is whole.
pub(crate) const MAX_OUTPUT_BYTES: usize = 1024 * 1024;
/// Why a run ended for which no memory was left.
pub(crate) const NO_OUTPUT_MEMORY: &str = "no memory for the output";
/// Maximum number of connections from this process to one back end.
const MAX_CONNECTIONS: usize = 32;

/// Output of an item since it was last committed.
#[derive(Debug)]
pub struct Progress {
    /// The run that produces it.
    pub run: Run,
    /// Last event that is in the log.
    pub committed_event: u64,
    /// Last event received.
    pub last_event: u64,
    /// Data of the events in between.
    pub output: Output,
}

impl Progress {
    /// The progress of a run that continues after `event`, which is in the log.
    pub fn after(run: Run, event: u64, memory: &Rc<MemoryBudget>) -> Self {
        Self { run, committed_event: event, last_event: event, output: Output::new(memory) }
    }

    /// Adds the data of the next event.
    pub fn push(&mut self, event: u64, data: &str) {
        self.last_event = event;
        self.output.push(data);
    }

    /// Adds the data of all events up to `last_event`, which another process received.
    pub fn extend(&mut self, last_event: u64, data: Option<String>) {
        if let Some(data) = data.filter(|_| last_event > self.last_event) {
            self.push(last_event, &data);
        }
    }
}

/// How a run ended.
#[derive(Clone, Debug, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub enum RunEnd {
    /// The output is complete.
    Completed,
    /// The back end reported that the item can never be processed.
    Unprocessable,
    /// The item itself failed.
    ItemFailed,
    /// The run did not start or was interrupted; to be retried.
    Retry {
        /// The cause.
        cause: String,
        /// Whether to back off before the retry.
        backoff: bool,
    },
}

/// Why an item may not be sent to a back end now.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PermitDenied {
    /// The cause.
    pub cause: String,
    /// Whether the back end is cold and this process's share is used up: a retry now would fail.
    pub is_cold: bool,
}

impl PermitDenied {
    /// Creates a denial without a backoff, since its cause may not apply to other back ends.
    pub fn new(cause: impl Into<String>) -> Self {
        Self { cause: cause.into(), is_cold: false }
    }
}

/// On whose behalf an item is sent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ItemSender {
    /// Host that the item's job was sent to.
    pub host: String,
    /// Tenant that the job belongs to.
    pub tenant: Option<TenantName>,
}

struct SharedBody(Arc<JobItem>);

impl AsRef<[u8]> for SharedBody {
    fn as_ref(&self) -> &[u8] {
        &self.0.body
    }
}

/// Runs items at back ends.
pub struct ItemRunner {
    /// Connections to back ends.
    pub pool: Pool,
    /// Requests that are suspected of crashing back ends.
    pub suspects: Rc<Registry>,
    /// Memory for the outputs of all items that run here or for this process.
    pub output_memory: Rc<MemoryBudget>,
    dialect: Arc<dyn Dialect>,
}

impl ItemRunner {
    /// Creates a runner without connections.
    pub fn new(
        dialect: Arc<dyn Dialect>,
        suspects: Rc<Registry>,
        output_memory: Rc<MemoryBudget>,
    ) -> Self {
        Self { pool: Pool::default(), suspects, output_memory, dialect }
    }

    /// What an item may be suspected by, the same for all attempts, whether sent in a job or as an
    /// online request.
    pub fn suspect_keys(&self, service: &str, sender: &ItemSender, item: &JobItem) -> SuspectKeys {
        let identity = RequestIdentity {
            method: Method::POST.as_str(),
            host: &sender.host,
            path: &item.path,
            tenant: sender.tenant.as_ref().map_or("", TenantName::as_str),
            body: &item.body,
        };
        let parts = self.shared_parts(item);
        SuspectKeys::of(&identity, service, parts.iter().map(|part| part.id.as_str()))
    }

    fn shared_parts(&self, item: &JobItem) -> Vec<PrefixPart> {
        let name = self.dialect.headers().prefix.as_str();
        let header = item.headers.iter().find(|header| header.name.eq_ignore_ascii_case(name));
        let value = header.and_then(|header| HeaderValue::try_from(header.value.as_str()).ok());
        value.map(|value| self.dialect.shared_parts(&value)).unwrap_or_default()
    }

    /// Runs an item at a back end, resuming after the output so far. Invariant: `permit` is
    /// requested right before the item is sent. Connecting may take long, more so without processor
    /// time; meanwhile the job may be cancelled, leadership lost, or the back end begin to drain.
    pub async fn run_at(
        &self,
        slot: &mut BackendSlot,
        sender: &ItemSender,
        item: &Arc<JobItem>,
        progress: &Rc<RefCell<Progress>>,
        permit: impl Fn() -> Result<Permit, PermitDenied>,
    ) -> RunEnd {
        let backend = slot.backend.clone();
        let retry = |cause: String, backoff| RunEnd::Retry { cause, backoff };
        let mut connection =
            match self.pool.connect(&backend, CONNECT_TIMEOUT, MAX_CONNECTIONS).await {
                Ok(connection) => connection,
                Err(error) => {
                    slot.outcome = match error {
                        ConnectFailure::Unreachable { .. } => Outcome::Unreachable,
                        ConnectFailure::Exhausted => Outcome::Full,
                    };
                    self.suspects.record_unreachable(&backend).await;
                    return retry(error.to_string(), false);
                }
            };
        let after_event = progress.borrow().last_event;
        let Some(request) = self.request(sender, item, &backend, after_event) else {
            return RunEnd::Unprocessable;
        };
        let permit = match permit() {
            Ok(permit) => permit,
            Err(PermitDenied { cause, is_cold }) => {
                slot.outcome = Outcome::Abandoned;
                self.pool.put_back(connection);
                let cause = format!("not to be sent when the connection was up: {cause}");
                return retry(cause, is_cold);
            }
        };
        let names = self.dialect.headers();
        let id_header = self.dialect.signs_responses().then_some(&names.request_id);
        let sent = exchange(&mut connection, request, id_header, ExpectedBody::Events, permit);
        let answer = match tokio::time::timeout(SILENCE_TIMEOUT, sent).await {
            Ok(Ok(answer)) => answer,
            Ok(Err(error)) => {
                slot.outcome = match error {
                    SendFailure::NotSent { .. } => Outcome::Abandoned,
                    SendFailure::MayHaveRun { .. } | SendFailure::BadResponse { .. } => {
                        Outcome::Failed
                    }
                };
                if error.is_disconnect() {
                    slot.record_failure();
                    self.record_disconnect(slot, sender, item, ResponseProgress::Beginning).await;
                }
                return retry(error.to_string(), false);
            }
            Err(_) => {
                slot.outcome = Outcome::Failed;
                self.pool.close_idle(&backend);
                slot.record_failure();
                return retry(format!("{} gave no answer", backend.id), false);
            }
        };
        connection.note_keep_alive(answer.headers());
        self.record_backend_headers(slot, answer.headers());
        let not_run = answer.headers().contains_key(&self.dialect.headers().not_run);
        match answer.status() {
            StatusCode::OK => {
                self.read_events(slot, connection, answer, progress, (sender, item)).await
            }
            StatusCode::UNPROCESSABLE_ENTITY => {
                slot.outcome = Outcome::Answered;
                RunEnd::Unprocessable
            }
            StatusCode::MISDIRECTED_REQUEST => {
                slot.outcome = Outcome::Misdirected;
                retry(format!("{} is another back end now", backend.address), false)
            }
            StatusCode::INTERNAL_SERVER_ERROR if !not_run => {
                slot.outcome = Outcome::Answered;
                RunEnd::ItemFailed
            }
            status => {
                slot.outcome = if not_run { Outcome::Full } else { Outcome::Failed };
                retry(format!("{} answered {status}", backend.id), true)
            }
        }
    }

    async fn record_disconnect(
        &self,
        slot: &BackendSlot,
        sender: &ItemSender,
        item: &JobItem,
        progress: ResponseProgress,
    ) {
        let keys = || self.suspect_keys(&slot.backend.service, sender, item);
        self.suspects.record_disconnect(&slot.backend, slot.acquired_at(), progress, keys).await;
    }

    /// Records the load and remaining warm-up time in a back end's response headers.
    fn record_backend_headers(&self, slot: &BackendSlot, headers: &http::HeaderMap) {
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
        // Removes the API key and replaces the tenant header, which are not meant for back ends.
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
        answer: http::Response<BackendBody>,
        progress: &Rc<RefCell<Progress>>,
        (sender, item): (&ItemSender, &JobItem),
    ) -> RunEnd {
        let retry = |cause: String| RunEnd::Retry { cause, backoff: false };
        let signature = &self.dialect.headers().signature;
        let signed = !self.dialect.signs_responses() || answer.headers().contains_key(signature);
        let closes = announces_close(answer.headers());
        let mut events = answer.into_body().eventsource();
        let mut received = ProgressTracker::default();
        let mut output_bytes = 0;
        let ends_at = Instant::now() + MAX_RUN_TIME;
        loop {
            let event = match tokio::time::timeout(SILENCE_TIMEOUT, events.next()).await {
                Ok(Some(Ok(event))) => event,
                Ok(None) => break,
                Ok(Some(Err(error))) => {
                    slot.outcome = Outcome::Failed;
                    if is_disconnect(&error) {
                        slot.record_failure();
                        self.record_disconnect(slot, sender, item, received.progress()).await;
                    }
                    return retry(format!("read answer of {}: {error}", slot.backend.id));
                }
                Err(_) => {
                    slot.outcome = Outcome::Failed;
                    self.pool.close_idle(&slot.backend);
                    slot.record_failure();
                    return retry(format!("{} fell silent", slot.backend.id));
                }
            };
            let mut progress = progress.borrow_mut();
            if event.id.parse() != Ok(progress.last_event + 1) {
                slot.outcome = Outcome::Failed;
                let expected = progress.last_event + 1;
                return retry(format!("event {:?} in the place of {expected}", event.id));
            }
            if received.record_data() && !self.suspects.is_empty() {
                let keys = self.suspect_keys(&slot.backend.service, sender, item);
                self.suspects.record_underway(&keys);
            }
            output_bytes += event.data.len();
            if output_bytes > MAX_OUTPUT_BYTES || Instant::now() >= ends_at {
                slot.outcome = Outcome::Failed;
                return retry(format!("the output of {} does not end", slot.backend.id));
            }
            let event_number = progress.last_event + 1;
            progress.push(event_number, &event.data);
            if progress.output.exceeds_memory() {
                slot.outcome = Outcome::Failed;
                return retry(NO_OUTPUT_MEMORY.to_owned());
            }
        }
        drop(events);
        slot.outcome = Outcome::Answered;
        if !signed || progress.borrow().last_event == 0 {
            slot.outcome = Outcome::Failed;
            return retry(format!("{} gave no signed events", slot.backend.id));
        }
        if !closes {
            self.pool.put_back(connection);
        }
        RunEnd::Completed
    }
}

/// Whether the back end may have terminated.
fn is_disconnect(error: &EventStreamError<BodyError>) -> bool {
    match error {
        EventStreamError::Transport(error) => error.is_disconnect(),
        EventStreamError::Utf8(_) | EventStreamError::Parser(_) => false,
    }
}
