//! Settings of gateways and job stores: every invalid value is reported with its key.

use std::path::Path;

use yokefall_settings::ServingSettings;

const GATEWAY: &str = r#"
role = "gateway"
[node]
name = "edge-1"
zone = "hall-1"
region = "region-1"
[listen]
ingress = "127.0.0.1:8144"
readiness = "127.0.0.1:8140"
directory = "127.0.0.1:8143"
peer = "127.0.0.1:8146"
metrics = "127.0.0.1:9464"
[fleet]
seeds = ["127.0.0.1:8146"]
tolerated_losses = 1
[platform]
store = "127.0.0.1:8142"
[limits]
memory_mb = 260
[stop]
seconds = 8
"#;

fn parse(text: &str) -> Result<ServingSettings, String> {
    ServingSettings::parse(Path::new("s.toml"), text).map_err(|error| error.to_string())
}

#[test]
fn complete_settings_are_accepted() {
    assert_eq!(parse(GATEWAY).expect("settings").node.name, "edge-1");
}

#[test]
fn each_invalid_value_is_named() {
    let cases = [
        ("memory_mb = 260", "memory_mb = 0", "limits.memory_mb"),
        ("memory_mb = 260", "memory_mb = \"much\"", "memory_mb"),
        ("seconds = 8", "seconds = 0", "stop.seconds"),
        ("tolerated_losses = 1", "tolerated_losses = 9", "fleet.tolerated_losses"),
        ("ingress = \"127.0.0.1:8144\"\n", "", "listen.ingress"),
        ("directory = \"127.0.0.1:8143\"\n", "", "listen.directory"),
        ("store = \"127.0.0.1:8142\"", "", "platform"),
        ("store = \"127.0.0.1:8142\"", "store = \"nowhere\"", "store"),
        ("name = \"edge-1\"", "name = \"\"", "node.name"),
        ("seconds = 8", "seconds = 8\nminutes = 1", "minutes"),
        ("role = \"gateway\"", "role = \"gatekeeper\"", "role"),
        ("role = \"gateway\"", "role = \"job-store\"", "data"),
        ("[stop]", "[data]\nfolder = \"d\"\n[stop]", "data"),
    ];
    for (good, bad, key) in cases {
        let error = parse(&GATEWAY.replace(good, bad)).expect_err(bad);
        assert!(error.contains("s.toml") && error.contains(key), "{bad}: {error}");
    }
}
