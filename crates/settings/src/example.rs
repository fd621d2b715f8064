//! The documented example file, generated from the defaults in the code.

use crate::model::{DataSettings, Role, Settings};

struct KeyDoc {
    /// Section; empty for the top level.
    section: &'static str,
    key: &'static str,
    text: &'static str,
}

const fn key(section: &'static str, key: &'static str, text: &'static str) -> KeyDoc {
    KeyDoc { section, key, text }
}

const KEYS: &[KeyDoc] = &[
    key("", "role", "What the process does: \"daemon\" or \"agent\"."),
    key("node", "name", "Name, unique in the fleet; flag --name."),
    key("node", "zone", "Zone in which it stands; flag --zone."),
    key("node", "region", "Region of the zone; flag --region."),
    key("listen", "peer", "IP:PORT for other yokefall processes, TCP and UDP; unused by an agent; flag --peer."),
    key("listen", "rpc", "IP:PORT of gRPC: operators at a daemon, callers at an agent; flag --rpc."),
    key("listen", "metrics", "IP:PORT of HTTP: /metrics, /healthz and /readyz; flag --metrics."),
    key("fleet", "seeds", "Peer addresses of some daemons; one that is alive is enough."),
    key("fleet", "secret_file", "File with the secret shared by the fleet's processes; relative to this file."),
    key("fleet", "data_nodes", "Names of the daemons with a [data] section, the same list everywhere."),
    key("platform", "object_api", "URL of the object API."),
    key("platform", "machine_list", "URL of the machine list."),
    key("platform", "machine_list_interval_ms", "Interval between two reads of the machine list, in milliseconds, 50 to 60000."),
    key("security", "keys_file", "File of API keys: PARTNER ROLE SHA256-HEX a line; read again when it changes."),
    key("security", "tls_certificate_file", "Certificate chain of the gRPC port, PEM; read again when it changes. No default."),
    key("security", "tls_key_file", "Private key of the certificate, PEM. No default."),
    key("security", "allow_plaintext", "Serve the gRPC port without TLS when no certificate is given."),
    key("security", "reload_interval_ms", "Interval at which changed files are read again, in milliseconds, 50 to 3600000."),
    key("log", "format", "\"text\" or \"json\"."),
    key("log", "level", "Least level written: \"error\", \"warn\", \"info\" or \"debug\"."),
    key("request", "retention_seconds", "Time for which ended requests can be read, in seconds, 1 to 86400."),
    key("request", "backend_stall_ms", "Time without any byte after which a back end counts as failed, in milliseconds, 100 to 600000."),
    key("batch", "enabled", "Whether this daemon runs batch items."),
    key("stop", "drain_seconds", "Most time that a planned stop waits for what runs, in seconds, 1 to 86400."),
    key("data", "folder", "Folder for jobs and results; relative to this file. Leave the section out on machines without a disk."),
];

/// Keys without a default, written as comments.
const OPTIONAL: &[(&str, &str)] =
    &[("tls_certificate_file", "\"server.pem\""), ("tls_key_file", "\"server.key\"")];

/// The example for a role: all keys with their meaning, unit and default.
pub fn example(role: Role) -> String {
    let settings = example_settings(role);
    let table = toml::Table::try_from(&settings).unwrap_or_default();
    let mut text = String::from("# Every key with its default. Unknown keys are refused.\n");
    let mut section = "";
    for doc in KEYS {
        if doc.section == "data" && role == Role::Agent {
            continue;
        }
        if doc.section != section {
            section = doc.section;
            text.push_str(&format!("\n[{section}]\n"));
        }
        text.push_str(&format!("# {}\n", doc.text));
        match value_of(&table, doc) {
            Some(value) => text.push_str(&format!("{} = {value}\n", doc.key)),
            None => text.push_str(&format!("# {} = {}\n", doc.key, sample_value(doc.key))),
        }
    }
    text
}

/// The settings that the example represents.
pub fn example_settings(role: Role) -> Settings {
    let mut settings = Settings { role, ..Settings::default() };
    settings.security.allow_plaintext = true;
    if role == Role::Daemon {
        settings.fleet.data_nodes = vec![settings.node.name.clone()];
        settings.data = Some(DataSettings::default());
    }
    settings
}

/// Keys of the model without documentation, for the test that keeps the two consistent.
pub fn undocumented_keys() -> Vec<String> {
    let mut settings = example_settings(Role::Daemon);
    settings.security.tls_certificate_file = Some("server.pem".into());
    settings.security.tls_key_file = Some("server.key".into());
    let table = toml::Table::try_from(&settings).unwrap_or_default();
    let mut missing = Vec::new();
    for (name, value) in &table {
        match value {
            toml::Value::Table(section) => {
                let keys = section.keys().filter(|key| !is_documented(name, key));
                missing.extend(keys.map(|key| format!("{name}.{key}")));
            }
            _ if !is_documented("", name) => missing.push(name.clone()),
            _ => {}
        }
    }
    missing
}

fn is_documented(section: &str, key: &str) -> bool {
    KEYS.iter().any(|doc| doc.section == section && doc.key == key)
}

fn value_of(table: &toml::Table, doc: &KeyDoc) -> Option<toml::Value> {
    if doc.section.is_empty() {
        return table.get(doc.key).cloned();
    }
    table.get(doc.section)?.get(doc.key).cloned()
}

fn sample_value(key: &str) -> &'static str {
    OPTIONAL.iter().find(|(name, _)| *name == key).map_or("\"\"", |(_, value)| value)
}
