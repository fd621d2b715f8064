//! The catalog file: routes, services and back ends, as TOML.

use std::collections::HashSet;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::{Duration, SystemTime};

use serde::Deserialize;
use yokefall_serving::source::Revision;
use yokefall_serving::{
    Backend, BackendState, BatchPolicy, Change, Configuration, Evacuation, KeyDigest, ListPage,
    RateLimit, RequestLimits, Retirement, Route, RouteKind, Service, Source, SourceError,
    SplitPart, Tenant, TenantName, WatchResponse,
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
    /// Zones whose back ends are to get nothing new. Followed where `placement.evacuation_ms` is set.
    #[serde(default)]
    pub evacuate: Vec<String>,
    /// Tenants; where there are none, requests need no key.
    #[serde(default)]
    pub tenant: Vec<TenantEntry>,
}

/// A tenant in the file.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TenantEntry {
    /// Name.
    pub name: String,
    /// SHA-256 of each key, in hexadecimal digits.
    #[serde(default)]
    pub key_digests: Vec<String>,
    /// Rank of its requests in place of the route's, 0 the highest.
    pub rank: Option<u32>,
    /// Requests a second over all gateways; none for no limit.
    pub requests_per_second: Option<f64>,
    /// Requests beyond the rate that may come at once.
    #[serde(default)]
    pub burst: u64,
    /// Regions in which its requests may be served and kept; empty for all.
    #[serde(default)]
    pub allowed_regions: Vec<String>,
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
    /// Whether requests need no key.
    #[serde(default)]
    pub auth_exempt: bool,
    /// Regions in which its requests may be served and kept; empty for all.
    #[serde(default)]
    pub allowed_regions: Vec<String>,
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
    /// When it started, in milliseconds since the Unix epoch. A process that starts again under its id is told
    /// from the one before by it; 0 where that is never told.
    #[serde(default)]
    pub started_ms: u64,
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
        warm_up: None,
        name: (*name).to_owned(),
        health_path: "/health".into(),
        max_connections: MAX_CONNECTIONS,
    };
    let configuration = Configuration {
        version: file.version,
        routes: file.route.iter().map(route).collect(),
        services: names.iter().map(service).collect(),
        limits: RequestLimits::default(),
        tenants: file.tenant.iter().map(tenant).collect(),
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
        max_queued_tokens: None,
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
        auth_exempt: entry.auth_exempt,
        allowed_regions: entry.allowed_regions.clone(),
    }
}

/// A tenant; `read` has checked its digests.
fn tenant(entry: &TenantEntry) -> Tenant {
    let limit = entry
        .requests_per_second
        .map(|rate| RateLimit { per_1000_seconds: (rate * 1_000.0) as u64, burst: entry.burst });
    Tenant {
        name: TenantName::new(&entry.name),
        keys: entry.key_digests.iter().filter_map(|hex| KeyDigest::parse(hex)).collect(),
        rank: entry.rank,
        limit,
        allowed_regions: entry.allowed_regions.clone(),
    }
}

/// The back ends in a file.
pub fn backends(file: &CatalogFile) -> Vec<(String, Backend)> {
    let backend = |entry: &BackendEntry| {
        let state = if entry.draining { BackendState::Draining } else { BackendState::Ready };
        let backend = Backend {
            id: entry.id.clone(),
            started_ms: entry.started_ms,
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

/// The zones to be evacuated in a file.
pub fn evacuations(file: &CatalogFile) -> Vec<(String, Evacuation)> {
    let evacuation = |zone: &String| (zone.clone(), Evacuation { zone: zone.clone() });
    file.evacuate.iter().map(evacuation).collect()
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
    let file: CatalogFile = toml::from_str(&text).map_err(|error| error.to_string())?;
    check_tenants(&file.tenant)?;
    Ok(file)
}

/// Names the first tenant, key or rate that cannot be in force.
fn check_tenants(tenants: &[TenantEntry]) -> Result<(), String> {
    let mut names = HashSet::new();
    let mut keys = HashSet::new();
    for (index, tenant) in tenants.iter().enumerate() {
        let field = |field: &str| format!("tenant[{index}].{field} ({})", tenant.name);
        if tenant.name.is_empty() || !names.insert(tenant.name.as_str()) {
            return Err(format!("{}: give a name that no other tenant has", field("name")));
        }
        for (number, hex) in tenant.key_digests.iter().enumerate() {
            let field = field(&format!("key_digests[{number}]"));
            let digest = KeyDigest::parse(hex)
                .ok_or_else(|| format!("{field}: must be 64 hexadecimal digits"))?;
            if !keys.insert(digest) {
                return Err(format!("{field}: the key stands in the file before"));
            }
        }
        let rate = tenant.requests_per_second;
        if rate.is_some_and(|rate| !(rate.is_finite() && rate >= 0.001)) {
            return Err(format!("{}: must be 0.001 or more", field("requests_per_second")));
        }
    }
    Ok(())
}

impl<T> Source<T> for FileSource<T> {
    fn kind(&self) -> &'static str {
        "catalog"
    }

    async fn list(&mut self, _after: Option<&str>) -> Result<ListPage<T>, SourceError> {
        let modified = self.modified()?;
        self.seen = Some(modified);
        let file = read(&self.path).map_err(|error| self.failed("read", error))?;
        // Processes that read the same file tell each other what they read: a count of their own would say nothing
        // to the others.
        let age = modified.duration_since(SystemTime::UNIX_EPOCH).unwrap_or_default();
        self.revision = self.revision.max(age.as_millis() as u64);
        let revision = self.revision;
        let change = |(name, value)| Change { name, revision, value: Some(value) };
        let items = (self.extract)(&file).into_iter().map(change).collect();
        Ok(ListPage { items, revision, next: None })
    }

    async fn watch(
        &mut self,
        revision: Revision,
        wait: Duration,
    ) -> Result<WatchResponse<T>, SourceError> {
        let end = tokio::time::Instant::now() + wait;
        while tokio::time::Instant::now() < end {
            tokio::time::sleep(LOOK_INTERVAL.min(wait)).await;
            if Some(self.modified()?) != self.seen {
                // The file is read whole: what is gone from it is gone.
                return Ok(WatchResponse::HistoryLost);
            }
        }
        Ok(WatchResponse::Changes { changes: Vec::new(), revision })
    }

    fn reset(&mut self) {
        self.seen = None;
    }
}
