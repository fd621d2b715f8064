//! `yokefall check`, `yokefall example` and `yokefall key-line`.

use std::path::PathBuf;

use clap::{Args, ValueEnum};
use yokefall_serving::eligibility::unknown_regions;
use yokefall_serving::ZoneMap;
use yokefall_settings::{example, Role, ServingSettings, Settings};
use yokefall_standalone::catalog::{configurations, CatalogFile};
use yokefall_types::limits::check_name;
use yokefall_types::KeyDigest;

use crate::exit::{fail, ExitStatus};

/// Arguments of `check`.
#[derive(Debug, Args)]
pub struct CheckArguments {
    /// The settings file.
    file: PathBuf,
}

/// Checks a settings file.
pub fn run(arguments: &CheckArguments) -> ExitStatus {
    if is_serving(&arguments.file) {
        return match ServingSettings::load(&arguments.file) {
            Ok(settings) => check_catalog(arguments, &settings),
            Err(error) => fail(ExitStatus::BadInput, error),
        };
    }
    match Settings::load(&arguments.file) {
        Ok(settings) => {
            println!("{}: good, role {:?}", arguments.file.display(), settings.role);
            ExitStatus::Done
        }
        Err(error) => fail(ExitStatus::BadInput, error),
    }
}

/// Checks the catalog file that settings name, where they name one: routes, back ends and tenants.
fn check_catalog(arguments: &CheckArguments, settings: &ServingSettings) -> ExitStatus {
    if let Some(catalog) = &settings.platform.catalog {
        let file = match yokefall_standalone::catalog::read(catalog) {
            Ok(file) => file,
            Err(error) => {
                return fail(ExitStatus::BadInput, format!("{}: {error}", catalog.display()));
            }
        };
        let zones = ZoneMap::new(settings.zones.clone());
        let unknown = unknown_regions_of(&file, &zones);
        if !unknown.is_empty() {
            let text = format!("allowed_regions: no zone of [zones] is in {}", unknown.join(", "));
            return fail(ExitStatus::BadInput, format!("{}: {text}", catalog.display()));
        }
    }
    println!("{}: good, role {:?}", arguments.file.display(), settings.role);
    ExitStatus::Done
}

/// Routes and tenants of a catalog file with a region that no zone has.
fn unknown_regions_of(file: &CatalogFile, zones: &ZoneMap) -> Vec<String> {
    let configurations = configurations(file).into_iter();
    configurations.flat_map(|(_, configuration)| unknown_regions(&configuration, zones)).collect()
}

/// Whether a file names a role of the serving processes, or is near enough to one that its mistakes
/// are best told as theirs.
fn is_serving(file: &std::path::Path) -> bool {
    let text = std::fs::read_to_string(file).unwrap_or_default();
    let role = text.lines().find(|line| line.trim_start().starts_with("role"));
    role.is_some_and(|role| role.contains("gateway") || role.contains("job-store"))
}

/// A role on the command line.
#[derive(Clone, Copy, Debug, ValueEnum)]
pub enum RoleArgument {
    /// Serves calls and jobs.
    Daemon,
    /// Stands beside a caller.
    Agent,
}

/// Arguments of `example`.
#[derive(Debug, Args)]
pub struct ExampleArguments {
    /// The role.
    role: RoleArgument,
}

/// Prints an example.
pub fn example(arguments: &ExampleArguments) -> ExitStatus {
    let role = match arguments.role {
        RoleArgument::Daemon => Role::Daemon,
        RoleArgument::Agent => Role::Agent,
    };
    print!("{}", example::example(role));
    ExitStatus::Done
}

/// A key's role on the command line.
#[derive(Clone, Copy, Debug, ValueEnum)]
pub enum KeyRole {
    /// Calls services and submits jobs.
    Caller,
    /// Applies and reads declarations.
    Operator,
}

/// Arguments of `key-line`.
#[derive(Debug, Args)]
pub struct KeyLineArguments {
    /// The partner that owns the key.
    partner: String,
    /// What the key permits.
    role: KeyRole,
}

/// Prints a line for a key file.
pub fn key_line(arguments: &KeyLineArguments) -> ExitStatus {
    if let Err(error) = check_name("partner", &arguments.partner) {
        return fail(ExitStatus::BadInput, error);
    }
    let mut secret = String::new();
    if let Err(error) = std::io::stdin().read_line(&mut secret) {
        return fail(ExitStatus::BadInput, format!("read secret: {error}"));
    }
    let secret = secret.trim_end();
    if secret.is_empty() {
        return fail(ExitStatus::BadInput, "secret: standard input is empty");
    }
    let role = match arguments.role {
        KeyRole::Caller => "caller",
        KeyRole::Operator => "operator",
    };
    println!("{} {role} {}", arguments.partner, KeyDigest::of(secret).hex());
    ExitStatus::Done
}
