//! `yokefall ctl`: configuration, as an operator.

use std::collections::BTreeMap;
use std::path::PathBuf;
use std::time::{SystemTime, UNIX_EPOCH};

use clap::{Args, Subcommand};
use tonic::Code;
use yokefall_api::v1;
use yokefall_rpc::client::Operator;
use yokefall_types::{Declaration, Kind};

use super::connect::{fail_status, ConnectArguments};
use super::declarations::{self, DeclaredObject};
use crate::exit::{fail, ExitStatus};

/// Tries of one change whose effect is not known; each carries the same change id.
const APPLY_TRIES: u32 = 3;

/// Configuration.
#[derive(Debug, Subcommand)]
pub enum CtlCommand {
    /// Bring the objects declared in files into force.
    Apply(FilesArguments),
    /// Show what `apply` would change.
    Diff(FilesArguments),
    /// Print objects in force, as declarations.
    Get(GetArguments),
    /// Delete one object.
    Delete(DeleteArguments),
    /// Print the state of daemons and back ends.
    Status(ConnectArguments),
    /// Print changes as they come into force.
    Watch(WatchArguments),
}

/// Arguments that name declaration files.
#[derive(Debug, Args)]
pub struct FilesArguments {
    #[command(flatten)]
    connect: ConnectArguments,
    /// A declaration file, or a folder of them.
    #[arg(short, long, value_name = "PATH")]
    file: PathBuf,
    /// Delete objects in force that no file declares.
    #[arg(long)]
    prune: bool,
}

/// Arguments of `get`.
#[derive(Debug, Args)]
pub struct GetArguments {
    #[command(flatten)]
    connect: ConnectArguments,
    /// Service or Backend; every kind when not given.
    kind: Option<String>,
    /// Name; every object when not given.
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
    /// Only changes above this version.
    #[arg(long, default_value_t = 0)]
    after: u64,
}

/// What is to be done about one object.
#[derive(Clone, Debug)]
enum Step {
    Create(DeclaredObject),
    Change(DeclaredObject, v1::Object),
    Delete(v1::Object),
}

impl Step {
    fn describe(&self) -> String {
        match self {
            Step::Create(object) => format!("+ {} {}", object.kind.name(), object.name),
            Step::Change(object, held) => format!(
                "~ {} {}\n    in force: {}\n    declared: {}",
                object.kind.name(),
                object.name,
                held.spec_json,
                object.declaration.spec_json(),
            ),
            Step::Delete(held) => format!("- {} {}", held.kind, held.name),
        }
    }

    fn request(&self, change_id: String) -> v1::ApplyRequest {
        let (kind, name, spec_json, expected_version, delete) = match self {
            Step::Create(object) => {
                (object.kind.name(), &object.name, object.declaration.spec_json(), 0, false)
            }
            Step::Change(object, held) => {
                let spec = object.declaration.spec_json();
                (object.kind.name(), &object.name, spec, held.version, false)
            }
            Step::Delete(held) => {
                (held.kind.as_str(), &held.name, String::new(), held.version, true)
            }
        };
        let object =
            v1::Object { kind: kind.to_owned(), name: name.clone(), version: 0, spec_json };
        v1::ApplyRequest { object: Some(object), expected_version, change_id, delete }
    }
}

/// Runs a subcommand.
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
    let target = arguments.target().map_err(|error| fail(ExitStatus::BadInput, error))?;
    target.operator().await.map_err(|error| fail(ExitStatus::Failed, error))
}

async fn list(operator: &mut Operator, kind: &str) -> Result<Vec<v1::Object>, ExitStatus> {
    let request = v1::ListRequest { kind: kind.to_owned() };
    let response = operator.list(request).await.map_err(|status| fail_status(&status))?;
    Ok(response.into_inner().objects)
}

/// Compares files with what is in force. Steps are in an order in which references hold.
async fn plan(
    operator: &mut Operator,
    arguments: &FilesArguments,
) -> Result<Vec<Step>, ExitStatus> {
    let declared =
        declarations::read(&arguments.file).map_err(|error| fail(ExitStatus::BadInput, error))?;
    let mut held: BTreeMap<(String, String), v1::Object> = BTreeMap::new();
    for object in list(operator, "").await? {
        held.insert((object.kind.clone(), object.name.clone()), object);
    }
    let mut steps = Vec::new();
    for object in declared {
        let key = (object.kind.name().to_owned(), object.name.clone());
        match held.remove(&key) {
            None => steps.push(Step::Create(object)),
            Some(in_force) if differs(&object, &in_force) => {
                steps.push(Step::Change(object, in_force));
            }
            Some(_) => {}
        }
    }
    if arguments.prune {
        // Back ends go before the services that they run.
        let mut rest: Vec<v1::Object> = held.into_values().collect();
        rest.sort_by_key(|object| object.kind != Kind::Backend.name());
        steps.extend(rest.into_iter().map(Step::Delete));
    }
    Ok(steps)
}

fn differs(declared: &DeclaredObject, held: &v1::Object) -> bool {
    let in_force = Declaration::from_spec_json(declared.kind, &held.spec_json);
    in_force.ok().as_ref() != Some(&declared.declaration)
}

async fn diff(arguments: FilesArguments) -> Result<ExitStatus, ExitStatus> {
    let mut operator = connect(&arguments.connect).await?;
    let steps = plan(&mut operator, &arguments).await?;
    for step in &steps {
        println!("{}", step.describe());
    }
    if steps.is_empty() {
        println!("nothing to change");
    }
    Ok(ExitStatus::Done)
}

async fn apply(arguments: FilesArguments) -> Result<ExitStatus, ExitStatus> {
    let mut operator = connect(&arguments.connect).await?;
    let steps = plan(&mut operator, &arguments).await?;
    if steps.is_empty() {
        println!("nothing to change");
    }
    let run = run_id();
    for (number, step) in steps.iter().enumerate() {
        let version = apply_step(&mut operator, step, format!("{run}-{number}")).await?;
        println!("{}\n  in force at version {version}", step.describe());
    }
    Ok(ExitStatus::Done)
}

async fn apply_step(
    operator: &mut Operator,
    step: &Step,
    change_id: String,
) -> Result<u64, ExitStatus> {
    let mut tries = 0;
    loop {
        tries += 1;
        match operator.apply(step.request(change_id.clone())).await {
            Ok(response) => return Ok(response.into_inner().version),
            Err(status) if status.code() == Code::Unknown && tries < APPLY_TRIES => {}
            Err(status) => {
                eprintln!("{}", step.describe());
                return Err(fail_status(&status));
            }
        }
    }
}

/// An id for the changes of one run: time and process.
fn run_id() -> String {
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
    Ok(ExitStatus::Done)
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
    let held = operator.get(reference).await.map_err(|status| fail_status(&status))?;
    let step = Step::Delete(held.into_inner());
    let version = apply_step(&mut operator, &step, run_id()).await?;
    println!("{}\n  in force at version {version}", step.describe());
    Ok(ExitStatus::Done)
}

async fn status(arguments: ConnectArguments) -> Result<ExitStatus, ExitStatus> {
    let mut operator = connect(&arguments).await?;
    let response = operator.status(v1::StatusRequest {}).await;
    let status = response.map_err(|status| fail_status(&status))?.into_inner();
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
    Ok(ExitStatus::Done)
}

async fn watch(arguments: WatchArguments) -> Result<ExitStatus, ExitStatus> {
    let mut operator = connect(&arguments.connect).await?;
    let request = v1::WatchRequest { after_version: arguments.after };
    let response = operator.watch(request).await.map_err(|status| fail_status(&status))?;
    let mut events = response.into_inner();
    while let Some(event) = events.message().await.map_err(|status| fail_status(&status))? {
        let Some(object) = event.object else { continue };
        let change = if object.spec_json.is_empty() { "deleted" } else { &object.spec_json };
        println!("{} {} {} {change}", object.version, object.kind, object.name);
    }
    Ok(ExitStatus::Done)
}
