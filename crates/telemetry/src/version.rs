//! Which build of the program this process runs, so that a fleet of two builds is seen as such.

use std::sync::OnceLock;

/// The version of everything that processes write for each other, or keep on disk: frames, datagrams, records of the
/// log and files. Processes of one version understand each other whatever their builds are. It grows when a form
/// changes; `crates/jobstore/tests/golden_bytes.rs` fails where a form changes without it.
pub const FORMAT_VERSION: u16 = 1;

static BUILD: OnceLock<&'static str> = OnceLock::new();

/// Notes the commit from which the program was built; the first note counts.
pub fn set_build(commit: &'static str) {
    let commit = BUILD.get_or_init(|| commit);
    let version = FORMAT_VERSION.to_string();
    metrics::gauge!("build_info", "build" => *commit, "formats" => version).set(1.0);
}

/// The commit from which the program was built; `unknown` where nobody noted it, as in tests.
pub fn build() -> &'static str {
    BUILD.get().copied().unwrap_or("unknown")
}
