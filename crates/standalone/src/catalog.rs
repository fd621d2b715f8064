//! The catalog file: routes, back ends and tenants in TOML.

use std::collections::HashSet;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::{Duration, SystemTime};

use serde::Deserialize;
use yokefall_serving::source::Revision;
use yokefall_serving::{
    Backend, BackendState, BatchPolicy, Change, Configuration, ConfigurationReader,
    CurrentConfiguration, Evacuation, KeyDigest, ListPage, RateLimit, RequestLimits, Retirement,
    Route, RouteKind, Service, SoftwareVersion, Source, SourceError, SplitPart, Tenant, TenantName,
    WatchResponse,
};

const POLL_INTERVAL: Duration = Duration::from_millis(500);

/// Contents of a catalog file.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CatalogFile {
    /// Version of the configuration; a higher version replaces a lower one.
    pub version: u64,
    /// Routes.
    #[serde(default)]
    pub route: Vec<RouteEntry>,
    /// Back ends.
    #[serde(default)]
    pub backend: Vec<BackendEntry>,
    /// Machines to be retired.
    #[serde(default)]
    pub retire: Vec<String>,
    /// Zones whose back ends get no new requests in processes that set `placement.evacuation_ms`.
    #[serde(default)]
    pub evacuate: Vec<String>,
    /// Tenants; if empty, requests need no key.
    #[serde(default)]
    pub tenant: Vec<TenantEntry>,
}

/// A tenant in the file.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TenantEntry {
    /// Name.
    pub name: String,
    /// SHA-256 digest of each key in hexadecimal.
    #[serde(default)]
    pub key_digests: Vec<String>,
    /// Rank of its requests, overriding that of the route; 0 is the highest.
    pub rank: Option<u32>,
    /// Rate limit in requests per second over all gateways; unlimited if omitted.
    pub requests_per_second: Option<f64>,
    /// Burst size: requests accepted at once beyond the rate.
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
    /// Path prefix, which begins and ends with a slash.
    pub path_prefix: String,
    /// `repeatable`, `at_most_once`, `stream` or `batch`.
    pub kind: KindEntry,
    /// Service that receives the requests.
    pub service: String,
    /// Maximum time that a request is held, in milliseconds; 0 for no limit.
    #[serde(default = "default_timeout_ms")]
    pub timeout_ms: u64,
    /// Maximum number of back ends to which one request is sent.
    #[serde(default = "default_max_attempts")]
    pub max_attempts: u32,
    /// Whether a stream may continue at another back end.
    #[serde(default)]
    pub resumable: bool,
    /// Whether requests are accepted without a key.
    #[serde(default)]
    pub auth_exempt: bool,
    /// Regions in which its requests may be served and kept; empty for all.
    #[serde(default)]
    pub allowed_regions: Vec<String>,
}

/// Kind of a route, which determines how often a request may be executed.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum KindEntry {
    /// May run more than once.
    Repeatable,
    /// Runs at most once.
    AtMostOnce,
    /// Answers with a stream of events.
    Stream,
    /// Accepts batch jobs.
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
    /// Number of requests that it processes concurrently.
    #[serde(default = "default_slots")]
    pub slots: u32,
    /// Start time (Unix, ms), which distinguishes incarnations under the same id unless it is 0.
    #[serde(default)]
    pub started_ms: u64,
    /// Whether it receives no new requests.
    #[serde(default)]
    pub draining: bool,
    /// Version of its software, if those of the service differ: a stream that breaks off continues
    /// only at the version that began it.
    pub software_version: Option<String>,
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

/// Maximum number of connections that a back end accepts from all callers.
const MAX_CONNECTIONS: u32 = 256;
/// Time after the first submission at which an item may be abandoned, in milliseconds.
const MAX_QUEUE_MS: u64 = 24 * 3_600_000;

type Extract<T> = fn(&CatalogFile) -> Vec<(String, T)>;

/// Returns the configuration defined by a file.
pub fn configurations(file: &CatalogFile) -> Vec<(String, Configuration)> {
    vec![("catalog".into(), configuration(file))]
}

fn configuration(file: &CatalogFile) -> Configuration {
    let mut names: Vec<&str> = file.route.iter().map(|route| route.service.as_str()).collect();
    names.sort_unstable();
    names.dedup();
    let service = |name: &&str| Service {
        warm_up: None,
        name: (*name).to_owned(),
        health_path: "/health".into(),
        max_connections: MAX_CONNECTIONS,
    };
    Configuration {
        version: file.version,
        routes: file.route.iter().map(route).collect(),
        services: names.iter().map(service).collect(),
        limits: RequestLimits::default(),
        tenants: file.tenant.iter().map(tenant).collect(),
    }
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

/// Converts a tenant, whose digests [`read`] has validated.
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

/// Returns the back ends listed in a file.
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
            software_version: SoftwareVersion::of_record(entry.software_version.as_deref()),
        };
        (entry.id.clone(), backend)
    };
    file.backend.iter().map(backend).collect()
}

/// Returns the evacuations requested by a file.
pub fn evacuations(file: &CatalogFile) -> Vec<(String, Evacuation)> {
    let evacuation = |zone: &String| (zone.clone(), Evacuation { zone: zone.clone() });
    file.evacuate.iter().map(evacuation).collect()
}

/// Returns the machines that a file marks for retirement.
pub fn retirements(file: &CatalogFile) -> Vec<(String, Retirement)> {
    file.retire.iter().map(|name| (name.clone(), Retirement { completed: false })).collect()
}

/// Source of the objects of one kind in a catalog file.
#[derive(Debug)]
pub struct FileSource<T> {
    path: PathBuf,
    extract: Extract<T>,
    last_modified: Option<SystemTime>,
    revision: Revision,
}

impl<T> FileSource<T> {
    /// Creates a source that reads `path`.
    pub fn new(path: PathBuf, extract: Extract<T>) -> Self {
        Self { path, extract, last_modified: None, revision: 0 }
    }

    fn failed(&self, step: &'static str, cause: impl std::fmt::Display) -> SourceError {
        let peer = self.path.display().to_string();
        SourceError::Failed { step, peer, cause: cause.to_string() }
    }

    fn modified(&self) -> Result<SystemTime, SourceError> {
        let metadata =
            std::fs::metadata(&self.path).map_err(|e| self.failed("read metadata of", e))?;
        metadata.modified().map_err(|error| self.failed("read metadata of", error))
    }
}

/// Reads and validates a catalog file; errors name the invalid key.
pub fn read(path: &Path) -> Result<CatalogFile, String> {
    let text = std::fs::read_to_string(path).map_err(|error| error.to_string())?;
    let file: CatalogFile = toml::from_str(&text).map_err(|error| error.to_string())?;
    check_tenants(&file.tenant)?;
    Ok(file)
}

fn check_tenants(tenants: &[TenantEntry]) -> Result<(), String> {
    let mut names = HashSet::new();
    let mut keys = HashSet::new();
    for (index, tenant) in tenants.iter().enumerate() {
        let field = |field: &str| format!("tenant[{index}].{field} ({})", tenant.name);
        if tenant.name.is_empty() || !names.insert(tenant.name.as_str()) {
            return Err(format!("{}: must be a name that no other tenant has", field("name")));
        }
        for (number, hex) in tenant.key_digests.iter().enumerate() {
            let field = field(&format!("key_digests[{number}]"));
            let digest = KeyDigest::parse(hex)
                .ok_or_else(|| format!("{field}: must be 64 hexadecimal digits"))?;
            if !keys.insert(digest) {
                return Err(format!("{field}: the same key is already listed in the file"));
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
        self.last_modified = Some(modified);
        let file = read(&self.path).map_err(|error| self.failed("read", error))?;
        // Processes that share the file compare revisions, so these follow the modification time of
        // the file: a counter in each process would not be comparable.
        let since_epoch = modified.duration_since(SystemTime::UNIX_EPOCH).unwrap_or_default();
        self.revision = self.revision.max(since_epoch.as_millis() as u64);
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
        let deadline = tokio::time::Instant::now() + wait;
        while tokio::time::Instant::now() < deadline {
            tokio::time::sleep(POLL_INTERVAL.min(wait)).await;
            if Some(self.modified()?) != self.last_modified {
                // Forces a full list, which also removes objects that are no longer in the file.
                return Ok(WatchResponse::HistoryLost);
            }
        }
        Ok(WatchResponse::Changes { changes: Vec::new(), revision })
    }

    fn reset(&mut self) {
        self.last_modified = None;
    }
}

/// Reads the configuration in a catalog file, which is valid as a whole or not at all.
#[derive(Debug)]
pub struct CatalogReader {
    path: PathBuf,
}

impl CatalogReader {
    /// Creates a reader of `path`.
    pub fn new(path: PathBuf) -> Self {
        Self { path }
    }
}

impl ConfigurationReader for CatalogReader {
    async fn read(&mut self) -> Result<Option<CurrentConfiguration>, SourceError> {
        match read(&self.path) {
            Ok(file) => Ok(Some(CurrentConfiguration::new(&configuration(&file), Vec::new()))),
            Err(cause) => {
                let peer = self.path.display().to_string();
                Err(SourceError::Unusable { step: "read", peer, cause })
            }
        }
    }

    fn reset(&mut self) {}
}
