//! `yokefall ctl`: applies and inspects configuration as an operator.

use std::collections::BTreeMap;
use std::path::PathBuf;
use std::time::{SystemTime, UNIX_EPOCH};

use clap::{Args, Subcommand};
use tonic::Code;
use yokefall_api::v1;
use yokefall_rpc::client::Operator;
use yokefall_types::{Declaration, Kind};

use super::connect::{fail_with_status, ConnectArguments};
use super::declarations::{self, DeclaredObject};
use crate::exit::{fail, ExitStatus};

/// Attempts to apply a change of unknown outcome; their common change id lets it take effect once.
const MAX_APPLY_ATTEMPTS: u32 = 3;

/// Configuration.
#[derive(Debug, Subcommand)]
pub enum CtlCommand {
    /// Create and update the objects declared in files.
    Apply(FilesArguments),
    /// Show what `apply` would change.
    Diff(FilesArguments),
    /// Print the objects in force as declarations.
    Get(GetArguments),
    /// Delete one object.
    Delete(DeleteArguments),
    /// Print the state of daemons and back ends.
    Status(ConnectArguments),
    /// Print changes as they take effect.
    Watch(WatchArguments),
}

/// Arguments of `apply` and `diff`.
#[derive(Debug, Args)]
pub struct FilesArguments {
    #[command(flatten)]
    connect: ConnectArguments,
    /// A declaration file, or a folder of them.
    #[arg(short, long, value_name = "PATH")]
    file: PathBuf,
    /// Delete objects that are in force but not declared in any file.
    #[arg(long)]
    prune: bool,
}

/// Arguments of `get`.
#[derive(Debug, Args)]
pub struct GetArguments {
    #[command(flatten)]
    connect: ConnectArguments,
    /// Service or Backend; all kinds if omitted.
    kind: Option<String>,
    /// Name; all objects if omitted.
    name: Option<String>,
}

/// Arguments of `delete`.
#[derive(Debug, Args)]
pub struct DeleteArguments {
    #[command(flatten)]
    connect: ConnectArguments,
    /// Service or Backend.
    kind: String,
    /// Name.
    name: String,
}

/// Arguments of `watch`.
#[derive(Debug, Args)]
pub struct WatchArguments {
    #[command(flatten)]
    connect: ConnectArguments,
    /// Print only changes with a version greater than this.
    #[arg(long, default_value_t = 0)]
    after: u64,
}

#[derive(Clone, Debug)]
enum PlannedChange {
    Create(DeclaredObject),
    Change(DeclaredObject, v1::Object),
    Delete(v1::Object),
}

impl PlannedChange {
    fn describe(&self) -> String {
        match self {
            PlannedChange::Create(object) => format!("+ {} {}", object.kind.name(), object.name),
            PlannedChange::Change(object, current) => format!(
                "~ {} {}\n    in force: {}\n    declared: {}",
                object.kind.name(),
                object.name,
                current.spec_json,
                object.declaration.spec_json(),
            ),
            PlannedChange::Delete(current) => format!("- {} {}", current.kind, current.name),
        }
    }

    fn request(&self, change_id: String) -> v1::ApplyRequest {
        let (kind, name, spec_json, expected_version, delete) = match self {
            PlannedChange::Create(object) => {
                (object.kind.name(), &object.name, object.declaration.spec_json(), 0, false)
            }
            PlannedChange::Change(object, current) => {
                let spec = object.declaration.spec_json();
                (object.kind.name(), &object.name, spec, current.version, false)
            }
            PlannedChange::Delete(current) => {
                (current.kind.as_str(), &current.name, String::new(), current.version, true)
            }
        };
        let object =
            v1::Object { kind: kind.to_owned(), name: name.clone(), version: 0, spec_json };
        v1::ApplyRequest { object: Some(object), expected_version, change_id, delete }
    }
}

pub async fn run(command: CtlCommand) -> ExitStatus {
    let done = match command {
        CtlCommand::Apply(arguments) => apply(arguments).await,
        CtlCommand::Diff(arguments) => diff(arguments).await,
        CtlCommand::Get(arguments) => get(arguments).await,
        CtlCommand::Delete(arguments) => delete(arguments).await,
        CtlCommand::Status(arguments) => status(arguments).await,
        CtlCommand::Watch(arguments) => watch(arguments).await,
    };
    done.unwrap_or_else(|status| status)
}

async fn connect(arguments: &ConnectArguments) -> Result<Operator, ExitStatus> {
    let target = arguments.target().map_err(|error| fail(ExitStatus::InvalidInput, error))?;
    target.operator().await.map_err(|error| fail(ExitStatus::Failed, error))
}

async fn list(operator: &mut Operator, kind: &str) -> Result<Vec<v1::Object>, ExitStatus> {
    let request = v1::ListRequest { kind: kind.to_owned() };
    let response = operator.list(request).await.map_err(|status| fail_with_status(&status))?;
    Ok(response.into_inner().objects)
}

/// Plans the changes to the declared objects, ordered so that no reference is ever left dangling.
async fn plan(
    operator: &mut Operator,
    arguments: &FilesArguments,
) -> Result<Vec<PlannedChange>, ExitStatus> {
    let declared = declarations::read(&arguments.file)
        .map_err(|error| fail(ExitStatus::InvalidInput, error))?;
    let mut current: BTreeMap<(String, String), v1::Object> = BTreeMap::new();
    for object in list(operator, "").await? {
        current.insert((object.kind.clone(), object.name.clone()), object);
    }
    let mut changes = Vec::new();
    for object in declared {
        let key = (object.kind.name().to_owned(), object.name.clone());
        match current.remove(&key) {
            None => changes.push(PlannedChange::Create(object)),
            Some(in_force) if is_changed(&object, &in_force) => {
                changes.push(PlannedChange::Change(object, in_force));
            }
            Some(_) => {}
        }
    }
    if arguments.prune {
        // Back ends are deleted before the services that they refer to.
        let mut rest: Vec<v1::Object> = current.into_values().collect();
        rest.sort_by_key(|object| object.kind != Kind::Backend.name());
        changes.extend(rest.into_iter().map(PlannedChange::Delete));
    }
    Ok(changes)
}

fn is_changed(declared: &DeclaredObject, current: &v1::Object) -> bool {
    let in_force = Declaration::from_spec_json(declared.kind, &current.spec_json);
    in_force.ok().as_ref() != Some(&declared.declaration)
}

async fn diff(arguments: FilesArguments) -> Result<ExitStatus, ExitStatus> {
    let mut operator = connect(&arguments.connect).await?;
    let changes = plan(&mut operator, &arguments).await?;
    for change in &changes {
        println!("{}", change.describe());
    }
    if changes.is_empty() {
        println!("nothing to change");
    }
    Ok(ExitStatus::Success)
}

async fn apply(arguments: FilesArguments) -> Result<ExitStatus, ExitStatus> {
    let mut operator = connect(&arguments.connect).await?;
    let changes = plan(&mut operator, &arguments).await?;
    if changes.is_empty() {
        println!("nothing to change");
    }
    let prefix = change_id_prefix();
    for (number, change) in changes.iter().enumerate() {
        let version = apply_change(&mut operator, change, format!("{prefix}-{number}")).await?;
        println!("{}\n  in force at version {version}", change.describe());
    }
    Ok(ExitStatus::Success)
}

async fn apply_change(
    operator: &mut Operator,
    change: &PlannedChange,
    change_id: String,
) -> Result<u64, ExitStatus> {
    let mut attempts = 0;
    loop {
        attempts += 1;
        match operator.apply(change.request(change_id.clone())).await {
            Ok(response) => return Ok(response.into_inner().version),
            Err(status) if status.code() == Code::Unknown && attempts < MAX_APPLY_ATTEMPTS => {}
            Err(status) => {
                eprintln!("{}", change.describe());
                return Err(fail_with_status(&status));
            }
        }
    }
}

/// Prefix of the change ids of one invocation, unique by time and process id.
fn change_id_prefix() -> String {
    let nanos = SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |d| d.as_nanos());
    format!("ctl-{nanos:x}-{:x}", std::process::id())
}

async fn get(arguments: GetArguments) -> Result<ExitStatus, ExitStatus> {
    let mut operator = connect(&arguments.connect).await?;
    let kind = arguments.kind.unwrap_or_default();
    let mut objects = list(&mut operator, &kind).await?;
    if let Some(name) = &arguments.name {
        objects.retain(|object| object.name == *name);
        if objects.is_empty() {
            return Err(fail(ExitStatus::Failed, format!("no {kind} {name} is in force")));
        }
    }
    for object in objects {
        println!("{}", declaration_text(&object));
    }
    Ok(ExitStatus::Success)
}

fn declaration_text(object: &v1::Object) -> String {
    let spec: serde_json::Value = serde_json::from_str(&object.spec_json).unwrap_or_default();
    let spec = toml::to_string(&spec).unwrap_or_default();
    format!(
        "# version {}\n[[object]]\nkind = \"{}\"\nname = \"{}\"\n[object.spec]\n{spec}",
        object.version, object.kind, object.name,
    )
}

async fn delete(arguments: DeleteArguments) -> Result<ExitStatus, ExitStatus> {
    let mut operator = connect(&arguments.connect).await?;
    let reference = v1::ObjectRef { kind: arguments.kind, name: arguments.name };
    let current = operator.get(reference).await.map_err(|status| fail_with_status(&status))?;
    let change = PlannedChange::Delete(current.into_inner());
    let version = apply_change(&mut operator, &change, change_id_prefix()).await?;
    println!("{}\n  in force at version {version}", change.describe());
    Ok(ExitStatus::Success)
}

async fn status(arguments: ConnectArguments) -> Result<ExitStatus, ExitStatus> {
    let mut operator = connect(&arguments).await?;
    let response = operator.status(v1::StatusRequest {}).await;
    let status = response.map_err(|status| fail_with_status(&status))?.into_inner();
    println!("configuration version {}\n", status.configuration_version);
    println!("{:<32} {:<20} {:<8} {:>8}  data", "daemon", "zone", "state", "version");
    for node in &status.nodes {
        let behind =
            if node.configuration_version < status.configuration_version { "*" } else { "" };
        println!(
            "{:<32} {:<20} {:<8} {:>7}{behind:<1}  {}",
            node.name,
            node.zone,
            node.state,
            node.configuration_version,
            if node.data { "yes" } else { "no" },
        );
    }
    println!("\n{:<24} {:<16} {:<32} leaving", "back end", "service", "owner");
    for backend in &status.backends {
        let leaving = if backend.leaving { "yes" } else { "no" };
        println!("{:<24} {:<16} {:<32} {leaving}", backend.name, backend.service, backend.owner);
    }
    Ok(ExitStatus::Success)
}

async fn watch(arguments: WatchArguments) -> Result<ExitStatus, ExitStatus> {
    let mut operator = connect(&arguments.connect).await?;
    let request = v1::WatchRequest { after_version: arguments.after };
    let response = operator.watch(request).await.map_err(|status| fail_with_status(&status))?;
    let mut events = response.into_inner();
    while let Some(event) = events.message().await.map_err(|status| fail_with_status(&status))? {
        let Some(object) = event.object else { continue };
        let change = if object.spec_json.is_empty() { "deleted" } else { &object.spec_json };
        println!("{} {} {} {change}", object.version, object.kind, object.name);
    }
    Ok(ExitStatus::Success)
}
