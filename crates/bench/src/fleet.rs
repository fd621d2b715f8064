//! A complete fleet in one process: stand-ins, daemons and agents on loopback, each on a free port.

use std::net::SocketAddr;
use std::path::Path;
use std::sync::Arc;
use std::time::{Duration, Instant};

use tempfile::TempDir;
use tokio::runtime::Runtime;
use tokio::task::JoinHandle;
use yokefall_agent::{Agent, AgentListeners};
use yokefall_api::v1;
use yokefall_daemon::{Daemon, Listeners, StopReport};
use yokefall_objects::MachineState;
use yokefall_settings::{DataSettings, Role, Settings};
use yokefall_types::KeyDigest;
use yokefall_types::{BackendSpec, Declaration, ServiceKind, ServiceName, ServiceSpec};

use crate::deployment::{PartnerPlan, ServicePlan};
use crate::ledger::Ledger;
use crate::standin::engine::{EngineParameters, EngineStandIn};
use crate::standin::machines::MachineList;
use crate::standin::objects::ObjectApiStandIn;
use crate::standin::plain::PlainStandIn;
use yokefall_rpc::client::{Caller, Operator, Target};

/// Time limit for the configuration to reach every daemon and agent.
const READY_TIMEOUT: Duration = Duration::from_secs(20);
const STOP_TIMEOUT: Duration = Duration::from_secs(15);
const READY_CHECK_INTERVAL: Duration = Duration::from_millis(20);

const FLEET_SECRET: &str = "demonstration-fleet-secret";

/// API key of a partner's callers in a local fleet.
pub fn caller_key(partner: &str) -> String {
    format!("{partner}-caller-key")
}

/// API key of a partner's operators in a local fleet.
pub fn operator_key(partner: &str) -> String {
    format!("{partner}-operator-key")
}

/// A back end of a local fleet.
pub enum Backend {
    /// A model engine.
    Engine(EngineStandIn),
    /// A plain service.
    Plain(PlainStandIn),
}

/// A back end with its name, partner and service.
pub struct PlacedBackend {
    /// Name of its `Backend` object.
    pub name: String,
    /// Partner.
    pub partner: &'static str,
    /// Service.
    pub service: &'static str,
    /// The stand-in.
    pub backend: Backend,
}

/// A daemon in its own Tokio runtime, which can be aborted at any point like a killed process.
pub struct LocalDaemon {
    settings: Settings,
    runtime: Option<Runtime>,
    daemon: Option<Daemon>,
    stopping: Option<JoinHandle<StopReport>>,
}

const DAEMON_THREADS: usize = 2;
/// Restart attempts, and the pause between them: a crash may leave ports and data folder in use.
const MAX_RESTART_ATTEMPTS: u32 = 100;
const RESTART_BACKOFF: Duration = Duration::from_millis(50);

impl LocalDaemon {
    async fn start(settings: Settings) -> Result<Self, String> {
        let mut local = Self { settings, runtime: None, daemon: None, stopping: None };
        local.open().await?;
        Ok(local)
    }

    async fn open(&mut self) -> Result<(), String> {
        let runtime = tokio::runtime::Builder::new_multi_thread()
            .worker_threads(DAEMON_THREADS)
            .enable_all()
            .build()
            .map_err(|error| error.to_string())?;
        let mut settings = self.settings.clone();
        let starting = runtime.spawn(async move {
            let listeners = Listeners::open(&settings).await.map_err(|e| e.to_string())?;
            if settings.fleet.seeds.is_empty() {
                let own_address = listeners.peer_address().map_err(|e| e.to_string())?;
                settings.fleet.seeds = vec![own_address];
            }
            Daemon::start(&settings, listeners).await.map_err(|e| e.to_string())
        });
        let started = starting.await.map_err(|error| error.to_string()).and_then(|done| done);
        let daemon = match started {
            Ok(daemon) => daemon,
            Err(error) => {
                runtime.shutdown_background();
                return Err(error);
            }
        };
        // A restart reuses the same ports.
        self.settings.listen.peer = daemon.peer_address();
        self.settings.listen.rpc = daemon.rpc_address();
        self.runtime = Some(runtime);
        self.daemon = Some(daemon);
        Ok(())
    }

    /// The daemon, if it is running.
    pub fn running(&self) -> Option<&Daemon> {
        self.daemon.as_ref()
    }

    /// Name of the daemon.
    pub fn name(&self) -> &str {
        &self.settings.node.name
    }

    /// Address for operators.
    pub fn rpc_address(&self) -> SocketAddr {
        self.settings.listen.rpc
    }

    /// Address for peers.
    pub fn peer_address(&self) -> SocketAddr {
        self.settings.listen.peer
    }

    /// Aborts the daemon without cleanup, as `kill -9` does.
    pub fn crash(&mut self) {
        self.daemon = None;
        if let Some(runtime) = self.runtime.take() {
            runtime.shutdown_background();
        }
    }

    /// Starts the daemon again on the same ports and data folder.
    pub async fn restart(&mut self) -> Result<(), String> {
        let mut last = String::new();
        for _ in 0..MAX_RESTART_ATTEMPTS {
            match self.open().await {
                Ok(()) => return Ok(()),
                Err(error) => last = error,
            }
            tokio::time::sleep(RESTART_BACKOFF).await;
        }
        Err(format!("restart {}: {last}", self.name()))
    }

    /// Starts a graceful stop.
    pub fn begin_stop(&mut self, drain: Duration) {
        if let (Some(daemon), Some(runtime)) = (self.daemon.take(), &self.runtime) {
            self.stopping = Some(runtime.spawn(daemon.stop(drain)));
        }
    }

    /// Whether a graceful stop is in progress.
    pub fn is_stopping(&self) -> bool {
        self.stopping.as_ref().is_some_and(|stopping| !stopping.is_finished())
    }

    /// Waits for the end of a graceful stop.
    pub async fn finish_stop(&mut self) -> StopReport {
        let Some(stopping) = self.stopping.take() else { return StopReport { clean: true } };
        let report = stopping.await.unwrap_or(StopReport { clean: false });
        self.crash();
        report
    }

    /// Stops gracefully.
    pub async fn stop(&mut self, drain: Duration) -> StopReport {
        self.begin_stop(drain);
        self.finish_stop().await
    }
}

impl Drop for LocalDaemon {
    fn drop(&mut self) {
        self.crash();
    }
}

/// Options of a local fleet.
#[derive(Clone, Debug)]
pub struct FleetOptions {
    /// Parameters of every engine.
    pub engine: EngineParameters,
    /// Daemons in each zone.
    pub daemons_per_zone: usize,
    /// Delay until a change of the machine list becomes visible.
    pub machine_list_lag: Duration,
}

impl Default for FleetOptions {
    fn default() -> Self {
        Self {
            engine: EngineParameters::default(),
            daemons_per_zone: 1,
            machine_list_lag: Duration::from_millis(500),
        }
    }
}

/// A running fleet.
pub struct LocalFleet {
    /// Deployments.
    pub plans: Vec<PartnerPlan>,
    /// Record of everything the back ends executed.
    pub ledger: Arc<Ledger>,
    /// The object API.
    pub objects: ObjectApiStandIn,
    /// The machine list.
    pub machines: MachineList,
    /// Back ends.
    pub backends: Vec<PlacedBackend>,
    /// Daemons.
    pub daemons: Vec<LocalDaemon>,
    /// One agent per partner, in the order of the plans.
    pub agents: Vec<Agent>,
    _folder: TempDir,
}

fn any_port() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

/// Writes the secret and the API key file of a fleet.
pub fn write_credentials(folder: &Path, partners: &[&str]) -> std::io::Result<()> {
    std::fs::write(folder.join("fleet.secret"), FLEET_SECRET)?;
    let mut keys = String::from("# PARTNER ROLE SHA256-HEX\n");
    for partner in partners {
        let caller = KeyDigest::of(&caller_key(partner)).hex();
        let operator = KeyDigest::of(&operator_key(partner)).hex();
        keys.push_str(&format!("{partner} caller {caller}\n{partner} operator {operator}\n"));
    }
    std::fs::write(folder.join("keys.txt"), keys)
}

impl LocalFleet {
    /// Starts all parts and waits until every daemon has the configuration.
    pub async fn start(plans: Vec<PartnerPlan>, options: &FleetOptions) -> Result<Self, String> {
        let folder = tempfile::tempdir().map_err(|error| error.to_string())?;
        let partners: Vec<&str> = plans.iter().map(|plan| plan.partner).collect();
        write_credentials(folder.path(), &partners).map_err(|error| error.to_string())?;
        let ledger = Arc::new(Ledger::default());
        let objects = ObjectApiStandIn::start(any_port()).await.map_err(|e| e.to_string())?;
        let machines = MachineList::start(any_port(), options.machine_list_lag)
            .await
            .map_err(|error| error.to_string())?;
        let mut fleet = Self {
            plans,
            ledger,
            objects,
            machines,
            backends: Vec::new(),
            daemons: Vec::new(),
            agents: Vec::new(),
            _folder: folder,
        };
        fleet.start_daemons(options).await?;
        fleet.start_agents().await?;
        fleet.declare(options).await?;
        fleet.wait_until_ready().await?;
        Ok(fleet)
    }

    fn settings(&self, role: Role, name: &str, plan: &PartnerPlan, zone: &str) -> Settings {
        let folder = self._folder.path();
        let mut settings = Settings { role, ..Settings::default() };
        settings.node.name = name.to_owned();
        settings.node.zone = zone.to_owned();
        settings.node.region = plan.region.to_owned();
        settings.listen.peer = any_port();
        settings.listen.rpc = any_port();
        settings.listen.metrics = any_port();
        settings.fleet.secret_file = folder.join("fleet.secret");
        settings.fleet.data_nodes = self.data_nodes();
        settings.security.keys_file = folder.join("keys.txt");
        settings.security.allow_plaintext = true;
        settings.platform.object_api = format!("http://{}", self.objects.server.address());
        settings.platform.machine_list = format!("http://{}", self.machines.server.address());
        settings
    }

    /// Names of the daemons with a data folder: the first daemon of each partner's first zone.
    fn data_nodes(&self) -> Vec<String> {
        self.plans.iter().map(|plan| daemon_name(plan.zones[0], 0)).collect()
    }

    async fn start_daemons(&mut self, options: &FleetOptions) -> Result<(), String> {
        let mut seeds: Vec<SocketAddr> = Vec::new();
        for plan in self.plans.clone() {
            for zone in plan.zones {
                for number in 0..options.daemons_per_zone {
                    let name = daemon_name(zone, number);
                    let mut settings = self.settings(Role::Daemon, &name, &plan, zone);
                    if settings.fleet.data_nodes.contains(&name) {
                        let folder = self._folder.path().join(&name);
                        settings.data = Some(DataSettings { folder });
                    }
                    settings.fleet.seeds.clone_from(&seeds);
                    let daemon = LocalDaemon::start(settings).await?;
                    if seeds.len() < 2 {
                        seeds.push(daemon.peer_address());
                    }
                    self.daemons.push(daemon);
                }
            }
        }
        Ok(())
    }

    async fn start_agents(&mut self) -> Result<(), String> {
        let seeds: Vec<SocketAddr> =
            self.daemons.iter().take(2).map(LocalDaemon::peer_address).collect();
        for plan in self.plans.clone() {
            let name = format!("agent-{}", plan.partner);
            let mut settings = self.settings(Role::Agent, &name, &plan, plan.zones[0]);
            settings.fleet.seeds.clone_from(&seeds);
            let listeners =
                AgentListeners::open(&settings).await.map_err(|error| error.to_string())?;
            let agent =
                Agent::start(&settings, listeners).await.map_err(|error| error.to_string())?;
            self.agents.push(agent);
        }
        Ok(())
    }

    /// Starts the back ends and declares services and back ends through the operator API.
    async fn declare(&mut self, options: &FleetOptions) -> Result<(), String> {
        for plan in self.plans.clone() {
            let mut operator = self.operator(plan.partner).await?;
            for service in &plan.services {
                apply(&mut operator, service.name, &service_declaration(service)).await?;
                for number in 0..service.backends {
                    let zone = plan.zones[number % plan.zones.len()];
                    let (placed, address) =
                        self.start_backend(&plan, service, number, options).await?;
                    let machine = format!("machine-{}", placed.name);
                    self.machines.set(&machine, MachineState::Live);
                    let declaration = Declaration::Backend(BackendSpec {
                        service: ServiceName::new(service.name),
                        address: address.to_string(),
                        zone: zone.to_owned(),
                        machine,
                        slots: service.slots,
                    });
                    apply(&mut operator, &placed.name, &declaration).await?;
                    self.backends.push(placed);
                }
            }
        }
        Ok(())
    }

    async fn start_backend(
        &self,
        plan: &PartnerPlan,
        service: &ServicePlan,
        number: usize,
        options: &FleetOptions,
    ) -> Result<(PlacedBackend, SocketAddr), String> {
        let ledger = self.ledger.clone();
        let failed = |error: std::io::Error| error.to_string();
        let (backend, address) = match service.kind {
            ServiceKind::Model => {
                let mut parameters = options.engine.clone();
                parameters.max_sequences = service.slots as usize;
                parameters.models = vec![service.name.to_owned()];
                let engine = EngineStandIn::start(any_port(), parameters, ledger, None)
                    .await
                    .map_err(failed)?;
                let address = engine.server.address();
                (Backend::Engine(engine), address)
            }
            ServiceKind::Plain => {
                let slots = service.slots as usize;
                let plain = PlainStandIn::start(any_port(), slots, service.service_time, ledger)
                    .await
                    .map_err(failed)?;
                let address = plain.server.address();
                (Backend::Plain(plain), address)
            }
        };
        let name = format!("{}-{number}", service.name);
        let placed = PlacedBackend { name, partner: plan.partner, service: service.name, backend };
        Ok((placed, address))
    }

    async fn wait_until_ready(&self) -> Result<(), String> {
        let started = Instant::now();
        let expected = (self.backends.len(), self.daemons.len());
        let ready = || {
            self.view_sizes().into_iter().all(|size| size == expected)
                && self.agents.iter().all(|agent| agent.member_count() == expected.1)
        };
        while !ready() {
            if started.elapsed() > READY_TIMEOUT {
                let sizes = self.view_sizes();
                return Err(format!(
                    "fleet not ready within {READY_TIMEOUT:?}: (back ends, daemons) must be \
                     {expected:?} at every daemon, are {sizes:?}"
                ));
            }
            tokio::time::sleep(READY_CHECK_INTERVAL).await;
        }
        Ok(())
    }

    fn view_sizes(&self) -> Vec<(usize, usize)> {
        let running = self.daemons.iter().filter_map(LocalDaemon::running);
        running.map(Daemon::view_size).collect()
    }

    /// Connects to the first daemon as an operator of a partner.
    pub async fn operator(&self, partner: &str) -> Result<Operator, String> {
        let address = self.daemons[0].rpc_address();
        Target::plain(address, &operator_key(partner)).operator().await
    }

    /// Connects to a partner's agent as a caller.
    pub async fn caller(&self, partner: &str) -> Result<Caller, String> {
        let position = self.plans.iter().position(|plan| plan.partner == partner);
        let position = position.ok_or_else(|| format!("unknown partner {partner}"))?;
        let address = self.agents[position].rpc_address();
        Target::plain(address, &caller_key(partner)).caller().await
    }

    /// Stops agents, then daemons, gracefully. Returns whether nothing was cut off.
    pub async fn stop(self) -> bool {
        let mut clean = true;
        let agents = self.agents.into_iter().map(|agent| agent.stop(STOP_TIMEOUT));
        for stopped in futures::future::join_all(agents).await {
            clean &= stopped;
        }
        let mut daemons = self.daemons;
        let stops = daemons.iter_mut().map(|daemon| daemon.stop(STOP_TIMEOUT));
        for report in futures::future::join_all(stops).await {
            clean &= report.clean;
        }
        clean
    }
}

fn daemon_name(zone: &str, number: usize) -> String {
    format!("daemon-{zone}-{number}")
}

fn service_declaration(service: &ServicePlan) -> Declaration {
    let model = match service.kind {
        ServiceKind::Model => service.name.to_owned(),
        ServiceKind::Plain => String::new(),
    };
    Declaration::Service(ServiceSpec {
        kind: service.kind,
        model,
        reserved_slots: service.reserved_slots,
        queue_limit: 256,
        max_prompt_bytes: 32 * 1024,
        max_tokens: 2_048,
    })
}

/// Creates a declaration through the operator API and returns its version.
pub async fn apply(
    operator: &mut Operator,
    name: &str,
    declaration: &Declaration,
) -> Result<u64, String> {
    let kind = declaration.kind().name();
    let request = v1::ApplyRequest {
        object: Some(v1::Object {
            kind: kind.to_owned(),
            name: name.to_owned(),
            version: 0,
            spec_json: declaration.spec_json(),
        }),
        expected_version: 0,
        change_id: format!("create-{kind}-{name}"),
        delete: false,
    };
    let response = operator.apply(request).await;
    response.map(|r| r.into_inner().version).map_err(|status| format!("{kind}/{name}: {status}"))
}
