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

/// Validates a settings file, and the catalog file that it refers to.
pub fn run(arguments: &CheckArguments) -> ExitStatus {
    if has_serving_role(&arguments.file) {
        return match ServingSettings::load(&arguments.file) {
            Ok(settings) => check_catalog(arguments, &settings),
            Err(error) => fail(ExitStatus::InvalidInput, error),
        };
    }
    match Settings::load(&arguments.file) {
        Ok(settings) => {
            println!("{}: good, role {:?}", arguments.file.display(), settings.role);
            ExitStatus::Success
        }
        Err(error) => fail(ExitStatus::InvalidInput, error),
    }
}

/// Validates the catalog file (routes, back ends and tenants) if the settings name one.
fn check_catalog(arguments: &CheckArguments, settings: &ServingSettings) -> ExitStatus {
    if let Some(catalog) = &settings.platform.catalog {
        let file = match yokefall_standalone::catalog::read(catalog) {
            Ok(file) => file,
            Err(error) => {
                return fail(ExitStatus::InvalidInput, format!("{}: {error}", catalog.display()));
            }
        };
        let zones = ZoneMap::new(settings.zones.clone());
        let unknown = unknown_regions_of(&file, &zones);
        if !unknown.is_empty() {
            let text = format!("allowed_regions: no zone of [zones] is in {}", unknown.join(", "));
            return fail(ExitStatus::InvalidInput, format!("{}: {text}", catalog.display()));
        }
    }
    println!("{}: good, role {:?}", arguments.file.display(), settings.role);
    ExitStatus::Success
}

/// Routes and tenants of a catalog file that allow a region to which no configured zone belongs.
fn unknown_regions_of(file: &CatalogFile, zones: &ZoneMap) -> Vec<String> {
    let configurations = configurations(file).into_iter();
    configurations.flat_map(|(_, configuration)| unknown_regions(&configuration, zones)).collect()
}

/// Whether the `role` line of a file mentions a serving role, even if the value is not exactly one:
/// such a file is validated as serving settings, which gives the more useful error messages.
fn has_serving_role(file: &std::path::Path) -> bool {
    let text = std::fs::read_to_string(file).unwrap_or_default();
    let role = text.lines().find(|line| line.trim_start().starts_with("role"));
    role.is_some_and(|role| role.contains("gateway") || role.contains("job-store"))
}

/// A role on the command line.
#[derive(Clone, Copy, Debug, ValueEnum)]
pub enum RoleArgument {
    /// Serves calls and jobs.
    Daemon,
    /// Runs next to a caller.
    Agent,
}

/// Arguments of `example`.
#[derive(Debug, Args)]
pub struct ExampleArguments {
    /// The role.
    role: RoleArgument,
}

/// Prints a settings file with every key of a role.
pub fn example(arguments: &ExampleArguments) -> ExitStatus {
    let role = match arguments.role {
        RoleArgument::Daemon => Role::Daemon,
        RoleArgument::Agent => Role::Agent,
    };
    print!("{}", example::example(role));
    ExitStatus::Success
}

/// What a key permits, as given on the command line.
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

/// Reads a secret from standard input and prints its line for a key file.
pub fn key_line(arguments: &KeyLineArguments) -> ExitStatus {
    if let Err(error) = check_name("partner", &arguments.partner) {
        return fail(ExitStatus::InvalidInput, error);
    }
    let mut secret = String::new();
    if let Err(error) = std::io::stdin().read_line(&mut secret) {
        return fail(ExitStatus::InvalidInput, format!("read secret: {error}"));
    }
    let secret = secret.trim_end();
    if secret.is_empty() {
        return fail(ExitStatus::InvalidInput, "secret: standard input is empty");
    }
    let role = match arguments.role {
        KeyRole::Caller => "caller",
        KeyRole::Operator => "operator",
    };
    println!("{} {role} {}", arguments.partner, KeyDigest::of(secret).hex());
    ExitStatus::Success
}
