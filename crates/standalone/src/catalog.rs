//! The catalog file: routes, services and back ends, as TOML.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::{Duration, SystemTime};

use serde::Deserialize;
use yokefall_serving::source::Revision;
use yokefall_serving::{
    Backend, BackendState, BatchPolicy, Change, Configuration, Listing, RequestLimits, Retirement,
    Route, RouteKind, Service, Source, SourceError, SplitPart, Watched,
};

/// Interval at which the file is looked at.
const LOOK_INTERVAL: Duration = Duration::from_millis(500);

/// A whole catalog file.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CatalogFile {
    /// Version; a higher one replaces a lower one.
    pub version: u64,
    /// Routes.
    #[serde(default)]
    pub route: Vec<RouteEntry>,
    /// Back ends.
    #[serde(default)]
    pub backend: Vec<BackendEntry>,
    /// Machines that are to be emptied.
    #[serde(default)]
    pub retire: Vec<String>,
}

/// A route in the file.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RouteEntry {
    /// Name.
    pub name: String,
    /// Host.
    pub host: String,
    /// Path prefix; begins and ends with a slash.
    pub path_prefix: String,
    /// `repeatable`, `at_most_once`, `stream` or `batch`.
    pub kind: KindEntry,
    /// Service that gets the requests.
    pub service: String,
    /// Longest time a request is held, in milliseconds.
    #[serde(default = "default_timeout_ms")]
    pub timeout_ms: u64,
    /// Most back ends that one request may be sent to.
    #[serde(default = "default_max_attempts")]
    pub max_attempts: u32,
    /// Whether a stream may continue at another back end.
    #[serde(default)]
    pub resumable: bool,
}

/// What a route allows to be repeated.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum KindEntry {
    /// May run more than once.
    Repeatable,
    /// Runs at most once.
    AtMostOnce,
    /// Answers with a stream of events.
    Stream,
    /// Takes batch jobs.
    Batch,
}

/// A back end in the file.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct BackendEntry {
    /// Identity.
    pub id: String,
    /// Service that it runs.
    pub service: String,
    /// Address.
    pub address: SocketAddr,
    /// Zone.
    #[serde(default)]
    pub zone: String,
    /// Requests it works on at once.
    #[serde(default = "default_slots")]
    pub slots: u32,
    /// Whether it is to get nothing new.
    #[serde(default)]
    pub draining: bool,
}

fn default_timeout_ms() -> u64 {
    30_000
}

fn default_max_attempts() -> u32 {
    2
}

fn default_slots() -> u32 {
    8
}

/// Connections that a back end accepts.
const MAX_CONNECTIONS: u32 = 256;
/// Time after which an item may be given up, in milliseconds.
const MAX_QUEUE_MS: u64 = 24 * 3_600_000;

/// Takes objects of one kind, with their names, out of the file.
type Extract<T> = fn(&CatalogFile) -> Vec<(String, T)>;

/// The configuration in a file.
pub fn configurations(file: &CatalogFile) -> Vec<(String, Configuration)> {
    let mut names: Vec<&str> = file.route.iter().map(|route| route.service.as_str()).collect();
    names.sort_unstable();
    names.dedup();
    let service = |name: &&str| Service {
        name: (*name).to_owned(),
        health_path: "/health".into(),
        max_connections: MAX_CONNECTIONS,
    };
    let configuration = Configuration {
        version: file.version,
        routes: file.route.iter().map(route).collect(),
        services: names.iter().map(service).collect(),
        limits: RequestLimits::default(),
    };
    vec![("catalog".into(), configuration)]
}

fn route(entry: &RouteEntry) -> Route {
    let kind = match entry.kind {
        KindEntry::Repeatable => RouteKind::Repeatable,
        KindEntry::AtMostOnce => RouteKind::AtMostOnce,
        KindEntry::Stream => RouteKind::Stream,
        KindEntry::Batch => RouteKind::Batch,
    };
    let policy = BatchPolicy {
        completion_target_ms: MAX_QUEUE_MS,
        max_queue_ms: MAX_QUEUE_MS,
        most_queued_tokens: None,
    };
    Route {
        name: entry.name.clone(),
        host: entry.host.to_ascii_lowercase(),
        path_prefix: entry.path_prefix.clone(),
        kind,
        timeout_ms: entry.timeout_ms,
        target_latency_ms: 0,
        priority: 0,
        max_attempts: entry.max_attempts,
        resumable: entry.resumable,
        split: vec![SplitPart { service: entry.service.clone(), weight: 1 }],
        batch: (kind == RouteKind::Batch).then_some(policy),
    }
}

/// The back ends in a file.
pub fn backends(file: &CatalogFile) -> Vec<(String, Backend)> {
    let backend = |entry: &BackendEntry| {
        let state = if entry.draining { BackendState::Draining } else { BackendState::Ready };
        let backend = Backend {
            id: entry.id.clone(),
            service: entry.service.clone(),
            address: entry.address,
            zone: entry.zone.clone(),
            slots: entry.slots,
            state,
            cold_remaining_ms: 0,
        };
        (entry.id.clone(), backend)
    };
    file.backend.iter().map(backend).collect()
}

/// The machines to be emptied in a file.
pub fn retirements(file: &CatalogFile) -> Vec<(String, Retirement)> {
    file.retire.iter().map(|name| (name.clone(), Retirement { completed: false })).collect()
}

/// Objects of one kind in the catalog file.
#[derive(Debug)]
pub struct FileSource<T> {
    path: PathBuf,
    extract: Extract<T>,
    seen: Option<SystemTime>,
    revision: Revision,
}

impl<T> FileSource<T> {
    /// A source that reads `path`.
    pub fn new(path: PathBuf, extract: Extract<T>) -> Self {
        Self { path, extract, seen: None, revision: 0 }
    }

    fn failed(&self, step: &'static str, cause: impl std::fmt::Display) -> SourceError {
        let peer = self.path.display().to_string();
        SourceError::Failed { step, peer, cause: cause.to_string() }
    }

    fn modified(&self) -> Result<SystemTime, SourceError> {
        let metadata = std::fs::metadata(&self.path).map_err(|e| self.failed("look at", e))?;
        metadata.modified().map_err(|error| self.failed("look at", error))
    }
}

/// Reads a catalog file; the error names the key.
pub fn read(path: &Path) -> Result<CatalogFile, String> {
    let text = std::fs::read_to_string(path).map_err(|error| error.to_string())?;
    toml::from_str(&text).map_err(|error| error.to_string())
}

impl<T> Source<T> for FileSource<T> {
    fn kind(&self) -> &'static str {
        "catalog"
    }

    async fn list(&mut self) -> Result<Listing<T>, SourceError> {
        self.seen = Some(self.modified()?);
        let file = read(&self.path).map_err(|error| self.failed("read", error))?;
        self.revision += 1;
        let revision = self.revision;
        let change = |(name, value)| Change { name, revision, value: Some(value) };
        let items = (self.extract)(&file).into_iter().map(change).collect();
        Ok(Listing { items, revision })
    }

    async fn watch(
        &mut self,
        revision: Revision,
        wait: Duration,
    ) -> Result<Watched<T>, SourceError> {
        let end = tokio::time::Instant::now() + wait;
        while tokio::time::Instant::now() < end {
            tokio::time::sleep(LOOK_INTERVAL.min(wait)).await;
            if Some(self.modified()?) != self.seen {
                // The file is read whole: what is gone from it is gone.
                return Ok(Watched::HistoryLost);
            }
        }
        Ok(Watched::Changes { changes: Vec::new(), revision })
    }

    fn reset(&mut self) {
        self.seen = None;
    }
}
