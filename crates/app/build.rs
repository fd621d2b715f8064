//! Sets `YOKEFALL_BUILD` to the checked-out commit, read from `.git` without running git.

use std::fs;
use std::path::Path;

/// Length of the abbreviated commit hash: long enough to be unambiguous.
const COMMIT_HASH_CHARS: usize = 12;

fn main() {
    let git = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../.git");
    println!("cargo:rerun-if-changed={}", git.join("logs/HEAD").display());
    let commit = head_commit(&git).unwrap_or_else(|| "unknown".to_owned());
    let short: String = commit.chars().take(COMMIT_HASH_CHARS).collect();
    println!("cargo:rustc-env=YOKEFALL_BUILD={short}");
}

/// Hash of the checked-out commit, or `None` if the sources are not in a git repository.
fn head_commit(git: &Path) -> Option<String> {
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
