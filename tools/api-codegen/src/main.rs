//! Generates `crates/api/src/generated` from the protobuf schema. With `--check` it leaves the
//! committed code unchanged, and exits with 1 if that differs from the generated code.

use std::path::{Path, PathBuf};
use std::process::ExitCode;

const GENERATED_FILE: &str = "yokefall.v1.rs";

fn generate(schema_root: &Path, out_dir: &Path) -> Result<(), Box<dyn std::error::Error>> {
    let descriptors = protox::compile(["yokefall/v1/yokefall.proto"], [schema_root])?;
    std::fs::create_dir_all(out_dir)?;
    tonic_prost_build::configure().out_dir(out_dir).compile_fds(descriptors)?;
    Ok(())
}

fn main() -> ExitCode {
    let api = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("../../crates/api");
    let committed = api.join("src/generated");
    let check = std::env::args().any(|argument| argument == "--check");
    let scratch = std::env::temp_dir().join(format!("yokefall-codegen-{}", std::process::id()));
    let out_dir = if check { &scratch } else { &committed };
    if let Err(error) = generate(&api.join("proto"), out_dir) {
        eprintln!("api-codegen: {error}");
        return ExitCode::FAILURE;
    }
    if !check {
        return ExitCode::SUCCESS;
    }
    let generated = std::fs::read(scratch.join(GENERATED_FILE)).ok();
    let existing = std::fs::read(committed.join(GENERATED_FILE)).ok();
    let _ = std::fs::remove_dir_all(&scratch);
    if generated.is_some() && generated == existing {
        return ExitCode::SUCCESS;
    }
    eprintln!(
        "api-codegen: crates/api/src/generated is stale; run cargo run -p yokefall-api-codegen"
    );
    ExitCode::FAILURE
}
