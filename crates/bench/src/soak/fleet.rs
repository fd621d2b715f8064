//! Processes of the soak, with their settings, logs and data in one folder.

use std::fmt::Write as _;
use std::fs::File;
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::Stdio;
use std::sync::Arc;
use std::time::Duration;

use nix::sys::signal::{kill, Signal};
use nix::unistd::Pid;
use tokio::process::{Child, Command};

use super::back_end::{self, backend_id, software_version, Ledger, STREAM_PATH};
use super::proxy::{Link, LinkState};
use super::route_changes::ChangingRoute;
use super::SoakOptions;
use yokefall_bench::standin::http::HttpServer;

/// Configured drain timeout of a graceful stop, in seconds, and the time limit for a process to
/// exit after `SIGTERM`, after which it is killed.
const DRAIN_TIMEOUT_SECONDS: u64 = 4;
const STOP_TIMEOUT: Duration = Duration::from_secs(8);
/// Retention time of the results of finished jobs, in seconds; must exceed the duration of a run.
const RETENTION_SECONDS: u64 = 3_600;
/// Job stores that may lose their disks at the same time.
const TOLERATED_LOSSES: usize = 1;

/// Names in the settings of the addresses on which a process listens.
const GATEWAY_ADDRESSES: [&str; 6] =
    ["ingress", "readiness", "directory", "peer", "metrics", "news"];
const JOB_STORE_ADDRESSES: [&str; 3] = ["peer", "metrics", "news"];

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    Gateway,
    JobStore,
}

pub struct ManagedProcess {
    /// Process name, also used in file names.
    pub name: String,
    pub role: Role,
    /// Addresses that it listens on, in the order of `settings_of`.
    addresses: Vec<SocketAddr>,
    starts: u32,
    child: Option<Child>,
    /// Whether its machine is gone for good.
    removed: bool,
}

impl ManagedProcess {
    /// The process with this number in the fleet. It has a loopback address of its own, so that
    /// nothing else on the machine takes its ports while it is down.
    fn new(name: String, role: Role, number: usize) -> Result<Self, String> {
        let addresses = free_addresses(host(number)?, role)?;
        Ok(Self { name, role, addresses, starts: 0, child: None, removed: false })
    }
}

/// What the catalog file contains besides the back ends.
#[derive(Debug, Default)]
struct CatalogState {
    /// Names of the machines that are marked for retirement.
    retiring: Vec<String>,
    changing_route: ChangingRoute,
    /// Number of changes of the route.
    route_changes: u64,
}

pub struct ProcessFleet {
    program: PathBuf,
    folder: PathBuf,
    /// Processes, running or not.
    pub processes: Vec<ManagedProcess>,
    /// Links to the back ends, by back-end number.
    pub links: Vec<Link>,
    /// Incarnations of the back ends that the catalog file contains, by link.
    incarnations: Vec<u64>,
    catalog: CatalogState,
    _back_ends: Vec<Arc<HttpServer>>,
}

impl ProcessFleet {
    /// Starts the back ends, writes settings and catalog, and starts all processes.
    pub async fn start(options: &SoakOptions, ledger: Arc<Ledger>) -> Result<Self, String> {
        let at = |step: &'static str| move |error: std::io::Error| format!("{step}: {error}");
        std::fs::create_dir_all(&options.folder).map_err(at("make the folder"))?;
        let folder = options.folder.canonicalize().map_err(at("find the folder"))?;
        let (mut links, mut back_ends) = (Vec::new(), Vec::new());
        for number in 0..options.sizes.back_ends {
            let back_end = back_end::start(number, ledger.clone()).await?;
            let link = Link::open(back_end.address()).await?;
            ledger.set_link(number, link.clone());
            links.push(link);
            back_ends.push(back_end);
        }
        let incarnations = links.iter().map(Link::incarnation).collect();
        let catalog = CatalogState::default();
        write_catalog(&folder, &links, &catalog)?;
        let mut processes = Vec::new();
        let roles = [
            (Role::Gateway, "gateway", options.sizes.gateways),
            (Role::JobStore, "store", options.sizes.job_stores),
        ];
        for (role, role_name, count) in roles {
            for number in 0..count {
                let name = format!("{role_name}-{number}");
                processes.push(ManagedProcess::new(name, role, processes.len())?);
            }
        }
        let program = options.program.clone();
        let mut fleet = Self {
            program,
            folder,
            processes,
            links,
            incarnations,
            catalog,
            _back_ends: back_ends,
        };
        for number in 0..fleet.processes.len() {
            fleet.start_process(number)?;
        }
        Ok(fleet)
    }

    pub fn ingress_addresses(&self) -> Vec<SocketAddr> {
        let gateways = self.processes.iter().filter(|process| process.role == Role::Gateway);
        gateways.map(|gateway| gateway.addresses[0]).collect()
    }

    pub fn start_process(&mut self, number: usize) -> Result<(), String> {
        let seeds: Vec<String> = self.processes.iter().map(peer).collect();
        let process = &mut self.processes[number];
        if process.child.is_some() || process.removed {
            return Ok(());
        }
        let settings = self.folder.join(format!("{}.toml", process.name));
        let failed = |error: std::io::Error| format!("start {}: {error}", process.name);
        let text = settings_of(process, &self.folder, &seeds);
        std::fs::write(&settings, text).map_err(failed)?;
        let log = format!("{}.{}.log", process.name, process.starts);
        let log = File::create(self.folder.join(log)).map_err(failed)?;
        let role_name = match process.role {
            Role::Gateway => "gateway",
            Role::JobStore => "job-store",
        };
        let child = Command::new(&self.program)
            .args([role_name, "--settings"])
            .arg(&settings)
            .stdin(Stdio::null())
            .stderr(log.try_clone().map_err(failed)?)
            .stdout(log)
            .kill_on_drop(true)
            .spawn()
            .map_err(failed)?;
        process.starts += 1;
        process.child = Some(child);
        Ok(())
    }

    /// Highest resident memory of each running process so far in KiB, with its name.
    pub fn peak_memory_kib(&self) -> Vec<(&str, u64)> {
        let resident = |process: &ManagedProcess| {
            let id = process.child.as_ref().and_then(Child::id)?;
            // The process may just have ended.
            let status = std::fs::read_to_string(format!("/proc/{id}/status")).ok()?;
            let peak = status.lines().find_map(|line| line.strip_prefix("VmHWM:"))?;
            peak.split_whitespace().next()?.parse().ok()
        };
        let all = self.processes.iter();
        all.filter_map(|process| Some((process.name.as_str(), resident(process)?))).collect()
    }

    pub fn signal(&self, number: usize, signal: Signal) -> Result<(), String> {
        let process = &self.processes[number];
        let Some(id) = process.child.as_ref().and_then(Child::id) else { return Ok(()) };
        let id = i32::try_from(id).map_err(|error| format!("signal {}: {error}", process.name))?;
        kill(Pid::from_raw(id), signal).map_err(|error| format!("signal {}: {error}", process.name))
    }

    pub async fn kill(&mut self, number: usize) -> Result<(), String> {
        let process = &mut self.processes[number];
        let Some(mut child) = process.child.take() else { return Ok(()) };
        child.kill().await.map_err(|error| format!("kill {}: {error}", process.name))
    }

    /// Sends `SIGTERM` to a process and waits until it exits.
    pub async fn stop(&mut self, number: usize) -> Result<(), String> {
        self.signal(number, Signal::SIGTERM)?;
        let process = &mut self.processes[number];
        let Some(mut child) = process.child.take() else { return Ok(()) };
        match tokio::time::timeout(STOP_TIMEOUT, child.wait()).await {
            Ok(_) => Ok(()),
            Err(_) => Err(format!("{} did not stop within {STOP_TIMEOUT:?}", process.name)),
        }
    }

    /// Numbers of the processes whose machines are not gone for good.
    pub fn present(&self) -> Vec<usize> {
        (0..self.processes.len()).filter(|number| !self.processes[*number].removed).collect()
    }

    /// Numbers of the job stores whose machines are not gone for good.
    pub fn present_job_stores(&self) -> Vec<usize> {
        let is_job_store = |number: &usize| self.processes[*number].role == Role::JobStore;
        self.present().into_iter().filter(is_job_store).collect()
    }

    /// Adds a machine with an empty disk and starts its job store.
    pub fn add_job_store(&mut self) -> Result<usize, String> {
        let stores = self.processes.iter().filter(|process| process.role == Role::JobStore);
        let name = format!("store-{}", stores.count());
        let mut process = ManagedProcess::new(name, Role::JobStore, self.processes.len())?;
        // Only the first start of the whole system may found a group.
        process.starts = 1;
        self.processes.push(process);
        let number = self.processes.len() - 1;
        self.start_process(number)?;
        Ok(number)
    }

    /// Removes a machine for good, with its disk.
    pub async fn remove(&mut self, number: usize) -> Result<(), String> {
        self.kill(number).await?;
        self.processes[number].removed = true;
        self.remove_data(number)
    }

    /// Marks a machine for retirement in the catalog.
    pub fn retire(&mut self, number: usize) -> Result<(), String> {
        self.catalog.retiring.push(self.processes[number].name.clone());
        write_catalog(&self.folder, &self.links, &self.catalog)
    }

    /// Changes the route of some jobs.
    pub fn change_route(&mut self, route: ChangingRoute) -> Result<(), String> {
        self.catalog.changing_route = route;
        self.catalog.route_changes += 1;
        write_catalog(&self.folder, &self.links, &self.catalog)
    }

    pub fn changing_route(&self) -> ChangingRoute {
        self.catalog.changing_route
    }

    /// Whether the job stores have reported a machine as retired.
    pub fn is_retired(&self, number: usize) -> bool {
        let report = format!("catalog.claims/retired-{}", self.processes[number].name);
        std::fs::read_to_string(self.folder.join(report)).is_ok_and(|state| state == "completed")
    }

    /// Rewrites the catalog if a back end has restarted since it was written.
    pub fn publish_incarnations(&mut self) -> Result<(), String> {
        let incarnations: Vec<u64> = self.links.iter().map(Link::incarnation).collect();
        if incarnations != self.incarnations {
            write_catalog(&self.folder, &self.links, &self.catalog)?;
            self.incarnations = incarnations;
        }
        Ok(())
    }

    /// Removes the data folder of a job store that is not running.
    pub fn remove_data(&self, number: usize) -> Result<(), String> {
        let name = &self.processes[number].name;
        match std::fs::remove_dir_all(self.folder.join(format!("{name}.data"))) {
            Ok(()) => Ok(()),
            Err(error) if error.kind() == std::io::ErrorKind::NotFound => Ok(()),
            Err(error) => Err(format!("remove the data folder of {name}: {error}")),
        }
    }

    /// Ends all faults: resets links, resumes and starts processes.
    pub async fn heal(&mut self) -> Result<(), String> {
        self.links.iter().for_each(|link| link.set(LinkState::Normal));
        for number in 0..self.processes.len() {
            self.signal(number, Signal::SIGCONT)?;
            self.start_process(number)?;
        }
        Ok(())
    }

    pub async fn kill_all(&mut self) {
        for number in 0..self.processes.len() {
            // An error means that the process has already exited.
            let _ = self.kill(number).await;
        }
    }
}

/// Loopback address of a process of this run.
fn host(number: usize) -> Result<Ipv4Addr, String> {
    let [.., high, low] = std::process::id().to_be_bytes();
    let last = u8::try_from(number + 1).map_err(|_| "too many processes".to_owned())?;
    // Apart from 127.0.x.y, which everything else uses.
    Ok(Ipv4Addr::new(127, high.max(1), low, last))
}

fn peer(process: &ManagedProcess) -> String {
    match process.role {
        Role::Gateway => process.addresses[3].to_string(),
        Role::JobStore => process.addresses[0].to_string(),
    }
}

fn address_names(role: Role) -> &'static [&'static str] {
    match role {
        Role::Gateway => &GATEWAY_ADDRESSES,
        Role::JobStore => &JOB_STORE_ADDRESSES,
    }
}

/// Finds free ports; the listeners stay open until all are found, so that the ports differ.
fn free_addresses(host: Ipv4Addr, role: Role) -> Result<Vec<SocketAddr>, String> {
    let failed = |error: std::io::Error| format!("find a port: {error}");
    let open = || TcpListener::bind((IpAddr::from(host), 0)).map_err(failed);
    let names = address_names(role).iter();
    let listeners = names.map(|_| open()).collect::<Result<Vec<TcpListener>, String>>()?;
    listeners.iter().map(|listener| listener.local_addr().map_err(failed)).collect()
}

fn settings_of(process: &ManagedProcess, folder: &Path, seeds: &[String]) -> String {
    let quoted: Vec<String> = seeds.iter().map(|seed| format!("{seed:?}")).collect();
    let (role, data) = match process.role {
        Role::Gateway => ("gateway", String::new()),
        Role::JobStore => {
            let data = folder.join(format!("{}.data", process.name));
            let bootstrap = process.starts == 0;
            let retention = RETENTION_SECONDS;
            let text = format!(
                "[data]\nfolder = {data:?}\nbootstrap = {bootstrap}\nretention_seconds = {retention}\n"
            );
            ("job-store", text)
        }
    };
    let listen = address_names(process.role).iter().zip(&process.addresses);
    let listen = listen.map(|(name, address)| format!("{name} = \"{address}\"\n"));
    format!(
        "role = {role:?}\n[node]\nname = {:?}\nzone = \"hall-1\"\nregion = \"region-1\"\n\
         [listen]\n{}[fleet]\nseeds = [{}]\ntolerated_losses = {TOLERATED_LOSSES}\n\
         [platform]\ncatalog = {:?}\n{data}[limits]\nmemory_mb = 256\n[stop]\nseconds = {DRAIN_TIMEOUT_SECONDS}\n",
        process.name,
        listen.collect::<String>(),
        quoted.join(", "),
        folder.join("catalog.toml"),
    )
}

/// Replaces the catalog atomically, so that a process never reads a partial one.
fn write_catalog(folder: &Path, links: &[Link], state: &CatalogState) -> Result<(), String> {
    let failed = |error: std::io::Error| format!("write catalog: {error}");
    let new = folder.join("catalog.new");
    std::fs::write(&new, catalog(links, state)).map_err(failed)?;
    std::fs::rename(&new, folder.join("catalog.toml")).map_err(failed)
}

/// Names of another writer: of a back end that no request can name, and of a machine.
const ODD_NAMES: &str = "[[backend]]\nid = \"odd\\nentry & more\"\nservice = \"models\"\n\
    address = \"127.0.0.1:1\"\nzone = \"hall-1\"\n";
const ODD_MACHINE: &str = "../no machine/é";

fn catalog(links: &[Link], state: &CatalogState) -> String {
    let machines = state.retiring.iter().map(String::as_str);
    let retiring: Vec<&str> = machines.chain([ODD_MACHINE]).collect();
    let version = 1 + state.route_changes;
    let mut text = format!("version = {version}\nretire = {retiring:?}\n");
    let routes = [("calls", "/", "repeatable"), ("once", "/once/", "at_most_once")];
    let others = [("jobs", "/work/", "batch"), ("streams", STREAM_PATH, "stream")];
    let changing = state.changing_route.routes().iter().copied();
    for (name, prefix, kind) in routes.into_iter().chain(others).chain(changing) {
        let _ = write!(
            text,
            "[[route]]\nname = {name:?}\nhost = \"soak.example\"\npath_prefix = {prefix:?}\n\
             kind = {kind:?}\nservice = \"models\"\ntimeout_ms = 5000\nresumable = {}\n",
            kind == "stream"
        );
    }
    text.push_str(ODD_NAMES);
    for (number, link) in links.iter().enumerate() {
        let _ = write!(
            text,
            "[[backend]]\nid = {:?}\nservice = \"models\"\naddress = \"{}\"\n\
             zone = \"hall-1\"\nstarted_ms = {}\nsoftware_version = {:?}\n",
            backend_id(number, link),
            link.address,
            link.incarnation(),
            software_version(link)
        );
    }
    text
}
