//! `yokefall check` reports invalid tenants, quotas and regions of a catalog file.

use std::process::Command;

const DIGEST: &str = "e3b0c44298fc1c149afbf4c8996fb92427ae41e4649b934ca495991b7852b855";

const GATEWAY: &str = r#"
role = "gateway"
[node]
name = "gateway-1"
zone = "hall-1"
region = "region-1"
[listen]
ingress = "127.0.0.1:0"
readiness = "127.0.0.1:0"
directory = "127.0.0.1:0"
peer = "127.0.0.1:0"
metrics = "127.0.0.1:0"
[fleet]
[platform]
catalog = "catalog.toml"
[limits]
memory_mb = 256
[stop]
seconds = 4
"#;

fn check(settings: &str, catalog: &str) -> (Option<i32>, String) {
    let folder = tempfile::tempdir().expect("a folder");
    let file = folder.path().join("gateway.toml");
    std::fs::write(&file, settings).expect("a file");
    std::fs::write(folder.path().join("catalog.toml"), catalog).expect("a file");
    let output = Command::new(env!("CARGO_BIN_EXE_yokefall"))
        .arg("check")
        .arg(&file)
        .output()
        .expect("the binary runs");
    (output.status.code(), String::from_utf8_lossy(&output.stderr).into_owned())
}

fn tenant(name: &str, keys: &[&str], rest: &str) -> String {
    format!("[[tenant]]\nname = {name:?}\nkey_digests = {keys:?}\n{rest}\n")
}

#[test]
fn valid_tenants_are_accepted() {
    let catalog = format!("version = 1\n{}", tenant("a", &[DIGEST], "requests_per_second = 5.0"));
    assert_eq!(check(GATEWAY, &catalog), (Some(0), String::new()));
}

#[test]
fn invalid_tenants_are_reported() {
    let other = DIGEST.replace('e', "f");
    let cases = [
        (tenant("a", &["xyz"], ""), "tenant[0].key_digests[0] (a): must be 64"),
        (tenant("", &[], ""), "tenant[0].name"),
        (tenant("a", &[DIGEST], "") + &tenant("a", &[&other], ""), "tenant[1].name (a)"),
        (tenant("a", &[DIGEST], "") + &tenant("b", &[DIGEST], ""), "tenant[1].key_digests[0] (b)"),
        (tenant("a", &[], "requests_per_second = 0.0"), "tenant[0].requests_per_second (a)"),
        (tenant("a", &[], "keys = []"), "keys"),
    ];
    for (tenants, expected) in cases {
        let (code, message) = check(GATEWAY, &format!("version = 1\n{tenants}"));
        assert_eq!(code, Some(2), "{message}");
        assert!(message.contains("catalog.toml") && message.contains(expected), "{message}");
    }
}

#[test]
fn invalid_quota_bounds_are_reported() {
    for (setting, expected) in
        [("window_seconds = 0.0", "quota.window_seconds"), ("overage = -0.5", "quota.overage")]
    {
        let settings = format!("{GATEWAY}[quota]\n{setting}\n");
        let (code, message) = check(&settings, "version = 1\n");
        assert_eq!(code, Some(2), "{message}");
        assert!(message.contains(expected), "{message}");
    }
}

fn catalog_restricted_to(region: &str) -> String {
    let route = format!(
        "[[route]]\nname = \"proofs\"\nhost = \"a.example\"\npath_prefix = \"/\"\nservice = \"pages\"\n\
         kind = \"repeatable\"\nallowed_regions = [{region:?}]\n"
    );
    let tenant = tenant("school", &[DIGEST], &format!("allowed_regions = [{region:?}]"));
    format!("version = 1\n{route}{tenant}")
}

fn gateway_with_one_zone() -> String {
    format!("{GATEWAY}[zones]\n\"hall-1\" = \"region-1\"\n")
}

#[test]
fn regions_of_configured_zones_are_accepted() {
    assert_eq!(
        check(&gateway_with_one_zone(), &catalog_restricted_to("region-1")),
        (Some(0), String::new())
    );
}

/// With a misspelled region, every request of the route or tenant would be refused.
#[test]
fn a_region_without_a_zone_is_reported_with_its_route_and_tenant() {
    let (code, errors) = check(&gateway_with_one_zone(), &catalog_restricted_to("regoin-1"));
    assert_eq!(code, Some(2), "{errors}");
    for part in ["allowed_regions", "route proofs: regoin-1", "tenant school: regoin-1"] {
        assert!(errors.contains(part), "{part} in {errors}");
    }
}
