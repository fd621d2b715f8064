//! The keys of a settings file.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};

use serde::{Deserialize, Serialize};
use yokefall_types::limits::check_name;

use crate::error::SettingsError;

/// Role of a process.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Role {
    /// Serves calls and jobs.
    #[default]
    Daemon,
    /// Runs next to a caller.
    Agent,
}

/// Identity and location of the process.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct NodeSettings {
    /// Name, unique in the fleet.
    pub name: String,
    /// Zone of the process.
    pub zone: String,
    /// Region of the zone.
    pub region: String,
}

/// Ports that the process listens on.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct ListenSettings {
    /// Port for other yokefall processes, TCP and UDP.
    pub peer: SocketAddr,
    /// gRPC port: operators at a daemon, callers at an agent.
    pub rpc: SocketAddr,
    /// HTTP port for metrics, health and readiness.
    pub metrics: SocketAddr,
}

/// The fleet that the process joins.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct FleetSettings {
    /// Peer addresses of some daemons.
    pub seeds: Vec<SocketAddr>,
    /// File with the secret shared by the fleet's processes.
    pub secret_file: PathBuf,
    /// Names of the daemons with a data folder, the same list at every daemon.
    pub data_nodes: Vec<String>,
}

/// The platform's services.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct PlatformSettings {
    /// URL of the object API.
    pub object_api: String,
    /// URL of the machine list.
    pub machine_list: String,
    /// Interval between reads of the machine list, in milliseconds.
    pub machine_list_interval_ms: u64,
}

/// Keys and certificates.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct SecuritySettings {
    /// File of API keys.
    pub keys_file: PathBuf,
    /// Certificate chain of the gRPC port, PEM.
    pub tls_certificate_file: Option<PathBuf>,
    /// Private key of the certificate, PEM.
    pub tls_key_file: Option<PathBuf>,
    /// Serve the gRPC port without TLS.
    pub allow_plaintext: bool,
    /// Interval at which changed files are reloaded, in milliseconds.
    pub reload_interval_ms: u64,
}

/// Format of log lines.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LogFormat {
    /// Human-readable text.
    #[default]
    Text,
    /// One JSON object per line.
    Json,
}

/// Minimum level of log lines.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LogLevel {
    /// Failures only.
    Error,
    /// Failures and rejections.
    Warn,
    /// Also changes of state.
    #[default]
    Info,
    /// Every step.
    Debug,
}

/// Logging.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct LogSettings {
    /// Format of log lines.
    pub format: LogFormat,
    /// Minimum level that is written.
    pub level: LogLevel,
}

/// Online requests.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct RequestSettings {
    /// Time for which finished requests can be read, in seconds.
    pub retention_seconds: u64,
    /// Time without any data after which a back end counts as failed, in milliseconds.
    pub backend_stall_ms: u64,
}

/// Batch items.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct BatchSettings {
    /// Whether this daemon runs batch items.
    pub enabled: bool,
}

/// The data folder.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct DataSettings {
    /// Folder for jobs and results.
    pub folder: PathBuf,
}

/// Planned stops.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct StopSettings {
    /// Maximum time to finish running requests, in seconds.
    pub drain_seconds: u64,
}

/// A complete settings file.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Settings {
    /// Role of the process.
    pub role: Role,
    /// Identity and location.
    pub node: NodeSettings,
    /// Ports.
    pub listen: ListenSettings,
    /// The fleet.
    pub fleet: FleetSettings,
    /// The platform's services.
    pub platform: PlatformSettings,
    /// Keys and certificates.
    pub security: SecuritySettings,
    /// Logging.
    pub log: LogSettings,
    /// Online requests.
    pub request: RequestSettings,
    /// Batch items.
    pub batch: BatchSettings,
    /// Planned stops.
    pub stop: StopSettings,
    /// The data folder; absent on most machines.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub data: Option<DataSettings>,
}

fn loopback(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port))
}

impl Default for NodeSettings {
    fn default() -> Self {
        Self { name: "daemon-1".into(), zone: "zone-1".into(), region: "region-1".into() }
    }
}

impl Default for ListenSettings {
    fn default() -> Self {
        Self { peer: loopback(7100), rpc: loopback(7200), metrics: loopback(7300) }
    }
}

impl Default for FleetSettings {
    fn default() -> Self {
        Self {
            seeds: vec![loopback(7100)],
            secret_file: "fleet.secret".into(),
            data_nodes: Vec::new(),
        }
    }
}

impl Default for PlatformSettings {
    fn default() -> Self {
        Self {
            object_api: "http://127.0.0.1:7001".into(),
            machine_list: "http://127.0.0.1:7002".into(),
            machine_list_interval_ms: 500,
        }
    }
}

impl Default for SecuritySettings {
    fn default() -> Self {
        Self {
            keys_file: "keys.txt".into(),
            tls_certificate_file: None,
            tls_key_file: None,
            allow_plaintext: false,
            reload_interval_ms: 2_000,
        }
    }
}

impl Default for RequestSettings {
    fn default() -> Self {
        Self { retention_seconds: 600, backend_stall_ms: 10_000 }
    }
}

impl Default for BatchSettings {
    fn default() -> Self {
        Self { enabled: true }
    }
}

impl Default for DataSettings {
    fn default() -> Self {
        Self { folder: "data".into() }
    }
}

impl Default for StopSettings {
    fn default() -> Self {
        Self { drain_seconds: 60 }
    }
}

impl Settings {
    /// Reads and checks a file. Paths in it are relative to the file's folder.
    pub fn load(file: &Path) -> Result<Self, SettingsError> {
        let text = std::fs::read_to_string(file).map_err(|error| SettingsError::Read {
            file: file.to_owned(),
            cause: error.to_string(),
        })?;
        let mut settings = Self::parse(file, &text)?;
        settings.resolve_paths(file.parent().unwrap_or(Path::new(".")));
        Ok(settings)
    }

    /// Parses and checks text; `file` names it in errors.
    pub fn parse(file: &Path, text: &str) -> Result<Self, SettingsError> {
        let settings: Settings = toml::from_str(text).map_err(|error| SettingsError::Parse {
            file: file.to_owned(),
            cause: error.to_string().trim_end().to_owned(),
        })?;
        settings.recheck(file)?;
        Ok(settings)
    }

    /// Checks all values again, such as after flags replaced some; errors name `file`.
    pub fn recheck(&self, file: &Path) -> Result<(), SettingsError> {
        self.validate().map_err(|(key, value, wanted)| SettingsError::Value {
            file: file.to_owned(),
            key: key.to_owned(),
            value,
            wanted,
        })
    }

    fn resolve_paths(&mut self, folder: &Path) {
        let resolve = |path: &mut PathBuf| *path = folder.join(&*path);
        resolve(&mut self.fleet.secret_file);
        resolve(&mut self.security.keys_file);
        self.security.tls_certificate_file.as_mut().map(resolve);
        self.security.tls_key_file.as_mut().map(resolve);
        if let Some(data) = &mut self.data {
            resolve(&mut data.folder);
        }
    }

    /// Checks all values; an error holds the key, the value and the accepted values.
    fn validate(&self) -> Result<(), (&'static str, String, String)> {
        check_text("node.name", &self.node.name)?;
        check_text("node.zone", &self.node.zone)?;
        check_text("node.region", &self.node.region)?;
        check_url("platform.object_api", &self.platform.object_api)?;
        check_url("platform.machine_list", &self.platform.machine_list)?;
        let interval = self.platform.machine_list_interval_ms;
        check_range("platform.machine_list_interval_ms", interval, 50, 60_000)?;
        let reload = self.security.reload_interval_ms;
        check_range("security.reload_interval_ms", reload, 50, 3_600_000)?;
        check_range("request.retention_seconds", self.request.retention_seconds, 1, 86_400)?;
        check_range("request.backend_stall_ms", self.request.backend_stall_ms, 100, 600_000)?;
        check_range("stop.drain_seconds", self.stop.drain_seconds, 1, 86_400)?;
        if self.fleet.seeds.is_empty() {
            let wanted = "give the peer address of at least one daemon";
            return Err(("fleet.seeds", "[]".into(), wanted.into()));
        }
        self.validate_tls()?;
        self.validate_data()
    }

    fn validate_tls(&self) -> Result<(), (&'static str, String, String)> {
        let security = &self.security;
        let pair = (&security.tls_certificate_file, &security.tls_key_file);
        match pair {
            (Some(_), Some(_)) => Ok(()),
            (None, None) if security.allow_plaintext => Ok(()),
            (None, None) => Err((
                "security.allow_plaintext",
                "false".into(),
                "give tls_certificate_file and tls_key_file, or set it to true".into(),
            )),
            _ => Err((
                "security.tls_key_file",
                format!("{:?}", security.tls_key_file),
                "give tls_certificate_file and tls_key_file together".into(),
            )),
        }
    }

    fn validate_data(&self) -> Result<(), (&'static str, String, String)> {
        if self.role == Role::Agent && self.data.is_some() {
            let wanted = "remove the section; an agent stores nothing on disk";
            return Err(("data", "[data]".into(), wanted.into()));
        }
        let listed = self.fleet.data_nodes.contains(&self.node.name);
        if self.data.is_some() && !listed {
            let wanted = format!("must contain {:?}, which has a [data] section", self.node.name);
            return Err(("fleet.data_nodes", format!("{:?}", self.fleet.data_nodes), wanted));
        }
        Ok(())
    }
}

fn check_text(key: &'static str, value: &str) -> Result<(), (&'static str, String, String)> {
    check_name("value", value).map_err(|wanted| (key, value.to_owned(), wanted))
}

fn check_url(key: &'static str, value: &str) -> Result<(), (&'static str, String, String)> {
    if value.starts_with("http://") || value.starts_with("https://") {
        return Ok(());
    }
    Err((key, value.to_owned(), "must be a URL, such as http://10.0.0.1:7001".into()))
}

fn check_range(
    key: &'static str,
    value: u64,
    low: u64,
    high: u64,
) -> Result<(), (&'static str, String, String)> {
    if (low..=high).contains(&value) {
        return Ok(());
    }
    Err((key, value.to_string(), format!("give {low} to {high}")))
}
