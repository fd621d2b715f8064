//! Settings files: the example is complete, and errors name the key.

use std::path::Path;

use yokefall_settings::example::{example, example_settings, undocumented_keys};
use yokefall_settings::{Role, Settings, SettingsError};

fn parse(text: &str) -> Result<Settings, SettingsError> {
    Settings::parse(Path::new("daemon.toml"), text)
}

#[test]
fn the_example_states_every_key_and_its_default() {
    assert_eq!(undocumented_keys(), Vec::<String>::new());
    for role in [Role::Daemon, Role::Agent] {
        let parsed = parse(&example(role)).expect("the example is valid");
        assert_eq!(parsed, example_settings(role));
    }
}

#[test]
fn an_unknown_key_is_rejected_by_name() {
    let error = parse("[node]\nnaem = \"daemon-1\"\n").expect_err("a misspelled key was accepted");
    let message = error.to_string();
    assert!(message.contains("daemon.toml") && message.contains("naem"), "{message}");
    assert!(message.contains("expected"), "{message}");
}

#[test]
fn a_value_out_of_range_is_named_with_its_range() {
    let text = "[security]\nallow_plaintext = true\n[stop]\ndrain_seconds = 0\n";
    let message = parse(text).expect_err("zero was accepted").to_string();
    assert!(message.contains("stop.drain_seconds = \"0\""), "{message}");
    assert!(message.contains("give 1 to 86400"), "{message}");
}

#[test]
fn plaintext_must_be_enabled_explicitly() {
    let message = parse("").expect_err("plaintext was accepted").to_string();
    assert!(message.contains("security.allow_plaintext"), "{message}");
}

#[test]
fn a_wrong_type_names_line_and_key() {
    let message = parse("[listen]\npeer = 7100\n").expect_err("a number was accepted").to_string();
    assert!(message.contains("line 2") && message.contains("peer"), "{message}");
}

#[test]
fn a_data_folder_must_be_listed() {
    let text = "[security]\nallow_plaintext = true\n[data]\nfolder = \"data\"\n";
    let message = parse(text).expect_err("an unlisted data daemon was accepted").to_string();
    assert!(message.contains("fleet.data_nodes"), "{message}");
}
