//! Tells the program from which commit it is built, by the files of the repository alone.

use std::fs;
use std::path::Path;

/// Characters of a commit that are kept: enough to name it.
const COMMIT_CHARACTERS: usize = 12;

fn main() {
    let git = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../.git");
    println!("cargo:rerun-if-changed={}", git.join("logs/HEAD").display());
    let commit = commit(&git).unwrap_or_else(|| "unknown".to_owned());
    let short: String = commit.chars().take(COMMIT_CHARACTERS).collect();
    println!("cargo:rustc-env=YOKEFALL_BUILD={short}");
}

/// The commit that is checked out; `None` where the sources come without their history.
fn commit(git: &Path) -> Option<String> {
    let head = fs::read_to_string(git.join("HEAD")).ok()?;
    let Some(reference) = head.trim().strip_prefix("ref: ") else {
        return Some(head.trim().to_owned());
    };
    if let Ok(commit) = fs::read_to_string(git.join(reference)) {
        return Some(commit.trim().to_owned());
    }
    let packed = fs::read_to_string(git.join("packed-refs")).ok()?;
    let line = packed.lines().find(|line| line.ends_with(reference))?;
    line.split_whitespace().next().map(str::to_owned)
}
