//! Stand-in of the object API: typed objects with resource versions, list and watch, and the
//! statuses 409 (conflict) and 410 (version expired).

use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use http::{Method, Request, Response, StatusCode};
use hyper::body::Incoming;
use serde::{Deserialize, Serialize};
use serde_json::{json as json_value, Value};
use tokio::sync::{broadcast, mpsc};
use yokefall_types::declaration::{API_GROUP, API_VERSION};
use yokefall_types::Kind;

use super::http::{json, query_value, read_json, streaming, Body, HttpServer, ResponseFuture};

/// Maximum events kept for watches; a watch from an older version is answered with 410.
const MAX_HISTORY: usize = 1_000;
/// Maximum events that a slow watch may lag behind before it is closed.
const WATCH_QUEUE_CAPACITY: usize = 4_096;

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Key {
    plural: String,
    namespace: String,
    name: String,
}

#[derive(Clone, Debug)]
struct Event {
    version: u64,
    plural: String,
    kind: &'static str,
    object: Value,
}

#[derive(Debug, Default)]
struct Store {
    version: u64,
    objects: BTreeMap<Key, Value>,
    history: VecDeque<Event>,
    /// Highest version that is no longer in the history; zero if none was removed.
    compacted: u64,
}

/// Path of the controls: `PUT` sets faults, `GET` returns the counts of readers.
pub const CONTROLS_PATH: &str = "/controls";

/// Body of `PUT`: faults to set. Omitted fields stay unchanged.
#[derive(Debug, Default, Deserialize)]
#[serde(deny_unknown_fields)]
struct FaultChange {
    delay_ms: Option<u64>,
    down: Option<bool>,
    lose_write_answers: Option<usize>,
}

#[derive(Debug, Serialize)]
struct ReaderCounts {
    watches: usize,
    most_watches: usize,
    lists: usize,
}

/// Injected faults and counts of readers.
#[derive(Debug, Default)]
pub struct ObjectApiControls {
    /// Delay of every response, in milliseconds.
    pub delay_ms: AtomicU64,
    /// Whether every request is answered with 503.
    pub down: AtomicBool,
    /// Number of further writes that take effect but get no response.
    pub lose_write_answers: AtomicUsize,
    /// Number of open watches.
    pub watches: AtomicUsize,
    /// Highest number of concurrently open watches.
    pub most_watches: AtomicUsize,
    /// Number of list requests answered.
    pub lists: AtomicUsize,
}

struct State {
    store: Mutex<Store>,
    events: broadcast::Sender<Event>,
    controls: Arc<ObjectApiControls>,
}

/// A running object API server.
pub struct ObjectApiStandIn {
    /// The server.
    pub server: Arc<HttpServer>,
    /// Injected faults and counts of readers.
    pub controls: Arc<ObjectApiControls>,
}

impl ObjectApiStandIn {
    /// Starts with an empty store.
    pub async fn start(address: SocketAddr) -> std::io::Result<Self> {
        let controls = Arc::new(ObjectApiControls::default());
        let state = Arc::new(State {
            store: Mutex::default(),
            events: broadcast::channel(WATCH_QUEUE_CAPACITY).0,
            controls: controls.clone(),
        });
        let handler = move |request: Request<Incoming>| {
            let state = state.clone();
            let future: ResponseFuture = Box::pin(answer(state, request));
            future
        };
        Ok(Self { server: HttpServer::start(address, Arc::new(handler)).await?, controls })
    }
}

struct Target {
    plural: String,
    namespace: Option<String>,
    name: Option<String>,
}

fn parse_path(path: &str) -> Option<Target> {
    let prefix = format!("/apis/{API_GROUP}/{API_VERSION}/");
    let parts: Vec<&str> = path.strip_prefix(&prefix)?.split('/').collect();
    let text = |part: &str| Some(part.to_owned());
    match parts[..] {
        [plural] => Some(Target { plural: plural.to_owned(), namespace: None, name: None }),
        ["namespaces", namespace, plural] => {
            Some(Target { plural: plural.to_owned(), namespace: text(namespace), name: None })
        }
        ["namespaces", namespace, plural, name] => {
            Some(Target { plural: plural.to_owned(), namespace: text(namespace), name: text(name) })
        }
        _ => None,
    }
}

fn status(code: StatusCode, reason: &str, message: &str) -> Response<Body> {
    let body = status_value(code, reason, message);
    json(code, &body)
}

fn status_value(code: StatusCode, reason: &str, message: &str) -> Value {
    json_value!({
        "kind": "Status", "apiVersion": "v1", "metadata": {}, "status": "Failure",
        "message": message, "reason": reason, "code": code.as_u16(),
    })
}

fn version_of(object: &Value) -> u64 {
    let text = object.pointer("/metadata/resourceVersion").and_then(Value::as_str);
    text.and_then(|text| text.parse().ok()).unwrap_or(0)
}

impl ObjectApiControls {
    fn change(&self, change: &FaultChange) {
        if let Some(delay) = change.delay_ms {
            self.delay_ms.store(delay, Ordering::Relaxed);
        }
        if let Some(down) = change.down {
            self.down.store(down, Ordering::Relaxed);
        }
        if let Some(lost) = change.lose_write_answers {
            self.lose_write_answers.store(lost, Ordering::SeqCst);
        }
    }

    fn counts(&self) -> ReaderCounts {
        ReaderCounts {
            watches: self.watches.load(Ordering::SeqCst),
            most_watches: self.most_watches.load(Ordering::SeqCst),
            lists: self.lists.load(Ordering::SeqCst),
        }
    }
}

impl State {
    fn lock(&self) -> MutexGuard<'_, Store> {
        self.store.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Assigns the next version to an object and sends the event to the watches.
    fn publish(&self, store: &mut Store, kind: &'static str, plural: &str, object: &mut Value) {
        store.version += 1;
        object["metadata"]["resourceVersion"] = Value::String(store.version.to_string());
        let event = Event {
            version: store.version,
            plural: plural.to_owned(),
            kind,
            object: object.clone(),
        };
        store.history.push_back(event.clone());
        if store.history.len() > MAX_HISTORY {
            if let Some(oldest) = store.history.pop_front() {
                store.compacted = oldest.version;
            }
        }
        let _ = self.events.send(event);
    }
}

async fn answer(state: Arc<State>, request: Request<Incoming>) -> Response<Body> {
    if request.uri().path() == CONTROLS_PATH {
        return control(&state, request).await;
    }
    let delay = state.controls.delay_ms.load(Ordering::Relaxed);
    if delay > 0 {
        tokio::time::sleep(Duration::from_millis(delay)).await;
    }
    if state.controls.down.load(Ordering::Relaxed) {
        return status(StatusCode::SERVICE_UNAVAILABLE, "ServiceUnavailable", "down");
    }
    let Some(target) = parse_path(request.uri().path()) else {
        return status(StatusCode::NOT_FOUND, "NotFound", "no such path");
    };
    let method = request.method().clone();
    if method == Method::GET {
        return read(&state, &request, target);
    }
    let response = write(&state, method, request, target).await;
    let lost = state.controls.lose_write_answers.fetch_update(
        Ordering::SeqCst,
        Ordering::SeqCst,
        |left| left.checked_sub(1),
    );
    if response.status().is_success() && lost.is_ok() {
        std::future::pending::<()>().await;
    }
    response
}

async fn control(state: &State, request: Request<Incoming>) -> Response<Body> {
    if request.method() == Method::PUT {
        match read_json(request).await {
            Ok(change) => state.controls.change(&change),
            Err(response) => return *response,
        }
    }
    json(StatusCode::OK, &state.controls.counts())
}

fn read(state: &Arc<State>, request: &Request<Incoming>, target: Target) -> Response<Body> {
    if let (Some(namespace), Some(name)) = (&target.namespace, &target.name) {
        let key = Key { plural: target.plural, namespace: namespace.clone(), name: name.clone() };
        return match state.lock().objects.get(&key) {
            Some(object) => json(StatusCode::OK, object),
            None => status(StatusCode::NOT_FOUND, "NotFound", "no such object"),
        };
    }
    let watch = query_value(request, "watch").is_some_and(|value| value == "true" || value == "1");
    if !watch {
        return list(state, &target);
    }
    let version = query_value(request, "resourceVersion").and_then(|value| value.parse().ok());
    let timeout = query_value(request, "timeoutSeconds").and_then(|value| value.parse().ok());
    let timeout = Duration::from_secs(timeout.unwrap_or(240));
    open_watch(state, target.plural, version.unwrap_or(0), timeout)
}

fn list(state: &State, target: &Target) -> Response<Body> {
    state.controls.lists.fetch_add(1, Ordering::Relaxed);
    let store = state.lock();
    let matches = |key: &Key| {
        key.plural == target.plural
            && target.namespace.as_ref().is_none_or(|namespace| key.namespace == *namespace)
    };
    let items: Vec<&Value> =
        store.objects.iter().filter(|(key, _)| matches(key)).map(|(_, object)| object).collect();
    let kind = Kind::DECLARED.iter().find(|kind| kind.plural() == target.plural);
    let list = json_value!({
        "apiVersion": format!("{API_GROUP}/{API_VERSION}"),
        "kind": format!("{}List", kind.map_or("Object", |kind| kind.name())),
        "metadata": { "resourceVersion": store.version.to_string() },
        "items": items,
    });
    json(StatusCode::OK, &list)
}

/// Counts a watch while it is open.
struct OpenWatch(Arc<ObjectApiControls>);

impl OpenWatch {
    fn new(controls: Arc<ObjectApiControls>) -> Self {
        let open = controls.watches.fetch_add(1, Ordering::SeqCst) + 1;
        controls.most_watches.fetch_max(open, Ordering::SeqCst);
        Self(controls)
    }
}

impl Drop for OpenWatch {
    fn drop(&mut self) {
        self.0.watches.fetch_sub(1, Ordering::SeqCst);
    }
}

fn open_watch(state: &Arc<State>, plural: String, after: u64, timeout: Duration) -> Response<Body> {
    let store = state.lock();
    if after < store.compacted {
        return status(StatusCode::GONE, "Expired", "resourceVersion is too old");
    }
    let missed: Vec<Event> = store
        .history
        .iter()
        .filter(|event| event.version > after && event.plural == plural)
        .cloned()
        .collect();
    let events = state.events.subscribe();
    drop(store);
    let (chunks, receiver) = mpsc::unbounded_channel();
    let open = OpenWatch::new(state.controls.clone());
    tokio::spawn(async move {
        let _open = open;
        for event in missed {
            if chunks.send(line(&event)).is_err() {
                return;
            }
        }
        let _ = tokio::time::timeout(timeout, send_events(plural, events, chunks)).await;
    });
    streaming(receiver)
}

async fn send_events(
    plural: String,
    mut events: broadcast::Receiver<Event>,
    chunks: mpsc::UnboundedSender<Bytes>,
) {
    loop {
        let event = tokio::select! {
            event = events.recv() => event,
            () = chunks.closed() => return,
        };
        let Ok(event) = event else { return };
        if event.plural == plural && chunks.send(line(&event)).is_err() {
            return;
        }
    }
}

fn line(event: &Event) -> Bytes {
    let value = json_value!({ "type": event.kind, "object": event.object });
    Bytes::from(format!("{value}\n"))
}

async fn write(
    state: &State,
    method: Method,
    request: Request<Incoming>,
    target: Target,
) -> Response<Body> {
    let Some(namespace) = target.namespace else {
        return status(StatusCode::METHOD_NOT_ALLOWED, "MethodNotAllowed", "namespace: missing");
    };
    let body: Value = match read_json(request).await {
        Ok(body) => body,
        Err(_) if method == Method::DELETE => Value::Null,
        Err(response) => return *response,
    };
    let body_name = body.pointer("/metadata/name").and_then(Value::as_str).map(str::to_owned);
    let Some(name) = target.name.or(body_name) else {
        return status(StatusCode::BAD_REQUEST, "BadRequest", "metadata.name: missing");
    };
    let key = Key { plural: target.plural, namespace, name };
    match method {
        Method::POST => create(state, key, body),
        Method::PUT => replace(state, key, body),
        Method::DELETE => delete(state, &key, &body),
        _ => status(StatusCode::METHOD_NOT_ALLOWED, "MethodNotAllowed", "not served"),
    }
}

fn create(state: &State, key: Key, mut object: Value) -> Response<Body> {
    let mut store = state.lock();
    if store.objects.contains_key(&key) {
        return status(StatusCode::CONFLICT, "AlreadyExists", "the object exists");
    }
    object["metadata"]["namespace"] = Value::String(key.namespace.clone());
    state.publish(&mut store, "ADDED", &key.plural, &mut object);
    let response = json(StatusCode::CREATED, &object);
    store.objects.insert(key, object);
    response
}

fn replace(state: &State, key: Key, mut object: Value) -> Response<Body> {
    let mut store = state.lock();
    let Some(current) = store.objects.get(&key) else {
        return status(StatusCode::NOT_FOUND, "NotFound", "no such object");
    };
    if version_of(&object) != 0 && version_of(&object) != version_of(current) {
        return status(StatusCode::CONFLICT, "Conflict", "the object has changed");
    }
    object["metadata"]["namespace"] = Value::String(key.namespace.clone());
    state.publish(&mut store, "MODIFIED", &key.plural, &mut object);
    let response = json(StatusCode::OK, &object);
    store.objects.insert(key, object);
    response
}

fn delete(state: &State, key: &Key, options: &Value) -> Response<Body> {
    let mut store = state.lock();
    let Some(mut object) = store.objects.get(key).cloned() else {
        return status(StatusCode::NOT_FOUND, "NotFound", "no such object");
    };
    let expected = options.pointer("/preconditions/resourceVersion").and_then(Value::as_str);
    let expected = expected.and_then(|text| text.parse::<u64>().ok());
    if expected.is_some_and(|expected| expected != version_of(&object)) {
        return status(StatusCode::CONFLICT, "Conflict", "the object has changed");
    }
    store.objects.remove(key);
    state.publish(&mut store, "DELETED", &key.plural, &mut object);
    json(StatusCode::OK, &object)
}
