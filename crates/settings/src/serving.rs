//! Settings of the serving processes: gateways and job stores.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

use serde::{Deserialize, Serialize};
use yokefall_quota::QuotaBounds;
use yokefall_types::{PlacementBounds, Policy};

use crate::error::SettingsError;
use crate::model::{LogLevel, NodeSettings};

/// Role of a serving process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ServingRole {
    /// Serves clients.
    Gateway,
    /// Stores batch jobs.
    JobStore,
}

/// Ports that a serving process listens on.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServingListen {
    /// Port for other processes, TCP and UDP.
    pub peer: SocketAddr,
    /// TCP port for fetching configuration and back ends; chosen by the system if not given.
    pub news: Option<SocketAddr>,
    /// HTTP port for metrics and health.
    pub metrics: SocketAddr,
    /// Port for clients; required for a gateway.
    pub ingress: Option<SocketAddr>,
    /// Port for readiness checks; required for a gateway.
    pub readiness: Option<SocketAddr>,
    /// Port for address queries; required for a gateway.
    pub directory: Option<SocketAddr>,
}

/// The fleet that a serving process joins.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServingFleet {
    /// Peer addresses of some processes; some may be down.
    #[serde(default)]
    pub seeds: Vec<SocketAddr>,
    /// Number of machines with a disk that may be lost at the same time.
    #[serde(default = "default_tolerated_losses")]
    pub tolerated_losses: usize,
    /// Whether the whole system starts for the first time, so that no process has any state yet.
    #[serde(default)]
    pub bootstrap: bool,
}

impl ServingListen {
    /// Address of the port for state exchange.
    pub fn exchange_address(&self) -> SocketAddr {
        self.news.unwrap_or(SocketAddr::new(self.peer.ip(), 0))
    }
}

/// Source of routes and back ends; exactly one of the two must be given.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServingPlatform {
    /// Address of the platform's object store.
    pub store: Option<SocketAddr>,
    /// Catalog file, for a fleet without a platform.
    pub catalog: Option<PathBuf>,
}

/// The disk of a job store.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServingData {
    /// Folder for the log.
    pub folder: PathBuf,
    /// Whether the whole system starts for the first time.
    #[serde(default)]
    pub bootstrap: bool,
    /// Time for which finished jobs are kept, in seconds.
    #[serde(default = "default_retention_seconds")]
    pub retention_seconds: f64,
    /// Available disk space, in MB; the space for jobs follows from it and from the memory.
    pub disk_mb: Option<f64>,
}

/// Resource limits of the machine.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServingLimits {
    /// Memory, in MB.
    pub memory_mb: f64,
}

/// Planned stops.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServingStop {
    /// Time from the request to stop until the process is killed, in seconds.
    pub seconds: f64,
}

/// Logs of a serving process.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct ServingLog {
    /// Minimum level that is written.
    pub level: LogLevel,
}

impl Default for ServingLog {
    fn default() -> Self {
        Self { level: LogLevel::Info }
    }
}

/// A complete settings file of a serving process.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServingSettings {
    /// Role of the process.
    pub role: ServingRole,
    /// Identity and location.
    pub node: NodeSettings,
    /// Ports.
    pub listen: ServingListen,
    /// The fleet.
    pub fleet: ServingFleet,
    /// The platform.
    pub platform: ServingPlatform,
    /// The machine.
    pub limits: ServingLimits,
    /// Planned stops.
    pub stop: ServingStop,
    /// The disk; required for a job store.
    pub data: Option<ServingData>,
    /// Region of each zone; requests restricted to regions only use zones listed here.
    #[serde(default)]
    pub zones: BTreeMap<String, String>,
    /// Bounds for evacuated zones and for back ends that are not warm yet.
    #[serde(default)]
    pub placement: PlacementBounds,
    /// Load-related policies.
    #[serde(default)]
    pub policy: Policy,
    /// Tolerance beyond the rate limits of tenants.
    #[serde(default)]
    pub quota: QuotaBounds,
    /// Logs.
    #[serde(default)]
    pub log: ServingLog,
}

fn default_tolerated_losses() -> usize {
    1
}

fn default_retention_seconds() -> f64 {
    120.0
}

impl ServingSettings {
    /// Reads and checks a file. Relative paths in it are relative to the file's folder.
    pub fn load(file: &Path) -> Result<Self, SettingsError> {
        let text = std::fs::read_to_string(file).map_err(|error| SettingsError::Read {
            file: file.to_owned(),
            cause: error.to_string(),
        })?;
        let mut settings = Self::parse(file, &text)?;
        let folder = file.parent().unwrap_or(Path::new("."));
        if let Some(data) = &mut settings.data {
            data.folder = folder.join(&data.folder);
        }
        if let Some(catalog) = &mut settings.platform.catalog {
            *catalog = folder.join(&*catalog);
        }
        Ok(settings)
    }

    /// Parses and checks text; `file` names it in errors.
    pub fn parse(file: &Path, text: &str) -> Result<Self, SettingsError> {
        let settings: Self = toml::from_str(text).map_err(|error| SettingsError::Parse {
            file: file.to_owned(),
            cause: error.to_string().trim_end().to_owned(),
        })?;
        settings.validate().map_err(|(key, value, wanted)| SettingsError::Value {
            file: file.to_owned(),
            key: key.to_owned(),
            value,
            wanted: wanted.to_owned(),
        })?;
        Ok(settings)
    }

    /// Checks all values; an error holds the key, the value and the accepted values.
    fn validate(&self) -> Result<(), (&'static str, String, &'static str)> {
        if self.node.name.is_empty() {
            return Err(("node.name", String::new(), "give a name, unique in the fleet"));
        }
        if !(1.0..=1e6).contains(&self.limits.memory_mb) {
            let value = self.limits.memory_mb.to_string();
            return Err(("limits.memory_mb", value, "give 1 to 1000000"));
        }
        if !(0.5..=86_400.0).contains(&self.stop.seconds) {
            return Err(("stop.seconds", self.stop.seconds.to_string(), "give 0.5 to 86400"));
        }
        if self.fleet.tolerated_losses > 3 {
            let value = self.fleet.tolerated_losses.to_string();
            return Err(("fleet.tolerated_losses", value, "give 0 to 3"));
        }
        if self.platform.store.is_some() == self.platform.catalog.is_some() {
            let wanted = "give exactly one of platform.store and platform.catalog";
            return Err(("platform", format!("{:?}", self.platform), wanted));
        }
        if let Some((zone, _)) =
            self.zones.iter().find(|(zone, region)| zone.is_empty() || region.is_empty())
        {
            return Err(("zones", zone.clone(), "name and region of a zone must not be empty"));
        }
        let region = self.zones.get(&self.node.zone);
        if region.is_some_and(|region| *region != self.node.region) {
            return Err((
                "zones",
                self.node.zone.clone(),
                "must be mapped to the region of [node]",
            ));
        }
        self.placement.validate()?;
        self.quota.validate()?;
        match self.role {
            ServingRole::Gateway => self.validate_gateway(),
            ServingRole::JobStore => self.validate_job_store(),
        }
    }

    fn validate_gateway(&self) -> Result<(), (&'static str, String, &'static str)> {
        let ports = [
            ("listen.ingress", self.listen.ingress),
            ("listen.readiness", self.listen.readiness),
            ("listen.directory", self.listen.directory),
        ];
        for (key, port) in ports {
            if port.is_none() {
                return Err((key, String::new(), "give an address; required for a gateway"));
            }
        }
        if self.data.is_some() {
            return Err((
                "data",
                "[data]".into(),
                "remove the section; a gateway stores nothing on disk",
            ));
        }
        Ok(())
    }

    fn validate_job_store(&self) -> Result<(), (&'static str, String, &'static str)> {
        let Some(data) = &self.data else {
            return Err((
                "data",
                String::new(),
                "add the section; a job store needs a data folder",
            ));
        };
        if !(0.0..=1e7).contains(&data.retention_seconds) {
            let value = data.retention_seconds.to_string();
            return Err(("data.retention_seconds", value, "give 0 to 10000000"));
        }
        if data.disk_mb.is_some_and(|disk_mb| !(8.0..=1e9).contains(&disk_mb)) {
            let value = format!("{:?}", data.disk_mb);
            return Err(("data.disk_mb", value, "give 8 to 1000000000"));
        }
        Ok(())
    }
}
