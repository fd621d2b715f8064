//! The build of the program that this process runs, so that metrics show a fleet with two builds.

use std::sync::OnceLock;

/// Version of all serialized formats between processes and on disk (frames, datagrams, log records,
/// files), independent of the build. It must grow when a format changes; otherwise
/// `crates/jobstore/tests/golden_bytes.rs` fails.
pub const FORMAT_VERSION: u16 = 1;

static BUILD: OnceLock<&'static str> = OnceLock::new();

/// Sets the commit that the program was built from; only the first call counts.
pub fn set_build(commit: &'static str) {
    let commit = BUILD.get_or_init(|| commit);
    let version = FORMAT_VERSION.to_string();
    metrics::gauge!("build_info", "build" => *commit, "formats" => version).set(1.0);
}

/// The commit that the program was built from; `unknown` if it was not set, as in tests.
pub fn build() -> &'static str {
    BUILD.get().copied().unwrap_or("unknown")
}
