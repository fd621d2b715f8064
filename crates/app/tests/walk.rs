//! Runs the shell blocks of `docs/RUNNING.md` unchanged, except that free ports replace theirs.

use std::collections::BTreeMap;
use std::net::TcpListener;
use std::path::{Path, PathBuf};
use std::process::Command;

const PAGE: &str = include_str!("../../../docs/RUNNING.md");
/// Prefix of every address in the page and the examples.
const ADDRESS_PREFIX: &str = "127.0.0.1:7";
/// Stops processes that the page leaves running, also when a command fails.
const SCRIPT_PROLOGUE: &str =
    "set -euo pipefail\ntrap 'kill $(jobs -p) 2>/dev/null || true' EXIT\n";

fn shell_blocks() -> String {
    let mut script = SCRIPT_PROLOGUE.to_owned();
    for block in PAGE.split("```sh\n").skip(1) {
        script.push_str(block.split("```").next().unwrap_or_default());
    }
    script
}

/// Replaces the ports in texts by free ones, with the same replacement in every text.
#[derive(Default)]
struct Ports {
    replacements: BTreeMap<String, u16>,
    /// Kept open until all ports are allocated, so that no port is allocated twice.
    listeners: Vec<TcpListener>,
}

impl Ports {
    fn replace(&mut self, text: &str) -> String {
        let mut replaced = String::new();
        let mut parts = text.split(ADDRESS_PREFIX);
        replaced.push_str(parts.next().unwrap_or_default());
        for part in parts {
            let digits: String = part.chars().take_while(char::is_ascii_digit).collect();
            let port = self.port(&digits);
            replaced.push_str(&format!("127.0.0.1:{port}{}", &part[digits.len()..]));
        }
        replaced
    }

    fn port(&mut self, digits: &str) -> u16 {
        if let Some(port) = self.replacements.get(digits) {
            return *port;
        }
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let port = listener.local_addr().expect("an address").port();
        self.listeners.push(listener);
        self.replacements.insert(digits.to_owned(), port);
        port
    }
}

fn copy_examples(from: &Path, to: &Path, ports: &mut Ports) {
    std::fs::create_dir_all(to).expect("a folder");
    for entry in std::fs::read_dir(from).expect("the examples") {
        let path = entry.expect("an entry").path();
        let target = to.join(path.file_name().expect("a name"));
        if path.is_dir() {
            if path.file_name().is_some_and(|name| name != "data") {
                copy_examples(&path, &target, ports);
            }
            continue;
        }
        let text = std::fs::read_to_string(&path).expect("a text file");
        std::fs::write(target, ports.replace(&text)).expect("a copy");
    }
}

/// Folder of the binaries, which must include `yokefall-bench`.
fn binary_folder() -> PathBuf {
    let yokefall = PathBuf::from(env!("CARGO_BIN_EXE_yokefall"));
    let folder = yokefall.parent().expect("a folder").to_owned();
    let bench = folder.join("yokefall-bench");
    assert!(bench.exists(), "{} is missing: cargo build --workspace", bench.display());
    folder
}

#[test]
fn the_commands_of_the_page_run_unchanged() {
    let folder = tempfile::tempdir().expect("a temporary folder");
    let examples = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples");
    let mut ports = Ports::default();
    copy_examples(&examples, folder.path(), &mut ports);
    let script = ports.replace(&shell_blocks());
    drop(ports);
    let path =
        format!("{}:{}", binary_folder().display(), std::env::var("PATH").unwrap_or_default());
    let output = Command::new("timeout")
        .args(["100", "bash", "-c", &script])
        .current_dir(folder.path())
        .env("PATH", path)
        .output()
        .expect("bash runs");
    let text = |bytes: &[u8]| String::from_utf8_lossy(bytes).into_owned();
    assert!(
        output.status.success(),
        "{}\n--- output\n{}\n--- errors\n{}",
        output.status,
        text(&output.stdout),
        text(&output.stderr),
    );
    for file in ["daemon-1.log", "daemon-2.log", "agent.log"] {
        check_log(&folder.path().join(file));
    }
}

/// Checks that every line of a log is a JSON object with role, step, peer and id.
fn check_log(file: &Path) {
    let log = std::fs::read_to_string(file).expect("a log");
    assert!(!log.is_empty(), "{} is empty", file.display());
    for line in log.lines() {
        let value: serde_json::Value = serde_json::from_str(line).expect(line);
        for field in ["role", "step", "peer", "id"] {
            assert!(value["kv"][field].is_string(), "{field} is missing: {line}");
        }
    }
}

#[test]
fn the_example_files_match_the_output_of_the_example_command() {
    for role in ["daemon", "agent"] {
        let output = Command::new(env!("CARGO_BIN_EXE_yokefall"))
            .args(["example", role])
            .output()
            .expect("the binary runs");
        let file = format!("{}/../../examples/all-keys-{role}.toml", env!("CARGO_MANIFEST_DIR"));
        let committed = std::fs::read_to_string(&file).expect("the example");
        assert_eq!(
            String::from_utf8_lossy(&output.stdout),
            committed,
            "{file} differs from the output"
        );
    }
}

fn run(arguments: &[&str]) -> (Option<i32>, String) {
    let output = Command::new(env!("CARGO_BIN_EXE_yokefall"))
        .args(arguments)
        .output()
        .expect("the binary runs");
    (output.status.code(), String::from_utf8_lossy(&output.stderr).into_owned())
}

#[test]
fn missing_files_and_ports_in_use_are_reported() {
    let folder = tempfile::tempdir().expect("a temporary folder");
    let file = folder.path().join("daemon.toml");
    let file = file.to_str().expect("a path");
    let (code, message) = run(&["check", file]);
    assert_eq!(code, Some(2));
    assert!(message.contains("daemon.toml: cannot be read"), "{message}");
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let used = listener.local_addr().expect("an address").to_string();
    std::fs::write(
        file,
        format!(
            "[listen]\npeer = \"{used}\"\nrpc = \"127.0.0.1:0\"\nmetrics = \"127.0.0.1:0\"\n\
             [security]\nallow_plaintext = true\n"
        ),
    )
    .expect("a file");
    let (code, message) = run(&["daemon", "--settings", file]);
    assert_eq!(code, Some(1));
    assert!(message.contains(&format!("open listen.peer {used}")), "{message}");
    let (code, message) = run(&["daemon", "--settings", file, "--peer", "127.0.0.1:0"]);
    assert_eq!(code, Some(1));
    assert!(message.contains("fleet.secret_file"), "{message}");
    std::fs::write(folder.path().join("fleet.secret"), "secret").expect("a file");
    let (code, message) = run(&["daemon", "--settings", file, "--peer", "127.0.0.1:0"]);
    assert_eq!(code, Some(1));
    assert!(message.contains("read keys") && message.contains("keys.txt"), "{message}");
    let (code, message) = run(&["agent", "--settings", file]);
    assert_eq!(code, Some(2));
    assert!(message.contains("role"), "{message}");
}
