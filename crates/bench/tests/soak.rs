//! A short soak of the real programs; long ones are started by hand (`docs/operators/soak.md`).

use std::path::Path;
use std::process::Command;

/// `cargo test --workspace` builds the program beside this one.
#[test]
fn a_short_soak_with_all_faults_breaks_no_guarantee() {
    let tool = Path::new(env!("CARGO_BIN_EXE_yokefall-bench"));
    let program = tool.with_file_name("yokefall");
    assert!(program.exists(), "build it first: cargo build --bin yokefall");
    let folder = tempfile::tempdir().expect("a folder");
    let soak = Command::new(tool)
        .args(["soak", "--minutes", "0.25", "--seed", "1", "--runs", "2"])
        .arg("--program")
        .arg(&program)
        .arg("--folder")
        .arg(folder.path())
        .output()
        .expect("the tool starts");
    let printed = String::from_utf8_lossy(&soak.stdout);
    let errors = String::from_utf8_lossy(&soak.stderr);
    if !soak.status.success() {
        // The logs of the processes explain a violation.
        panic!("{printed}{errors}logs: {}", folder.keep().display());
    }
}
