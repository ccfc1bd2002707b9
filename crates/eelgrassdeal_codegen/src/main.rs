//! Generates the Rust message types of `eelgrassdeal_schema` from `schema/*.proto`.
//!
//! Run it from the root of the repository: `cargo run -p eelgrassdeal_codegen -- [OUT_DIR]`. Without
//! `OUT_DIR` it writes to `crates/eelgrassdeal_schema/src/generated`.

use std::fmt;
use std::path::PathBuf;

use error_stack::{Report, ResultExt};

const SCHEMA_DIR: &str = "schema";
const DEFAULT_OUT_DIR: &str = "crates/eelgrassdeal_schema/src/generated";
const SCHEMA_FILES: [&str; 7] = [
    "admin.proto",
    "config.proto",
    "engine.proto",
    "gateway.proto",
    "peer.proto",
    "records.proto",
    "settings.proto",
];

/// A schema file is not valid, or the generated code cannot be written.
#[derive(Debug)]
struct GenerateError;

impl fmt::Display for GenerateError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("cannot generate the message types")
    }
}

impl std::error::Error for GenerateError {}

fn main() -> Result<(), Report<GenerateError>> {
    let out_dir = PathBuf::from(std::env::args().nth(1).unwrap_or(DEFAULT_OUT_DIR.to_owned()));
    std::fs::create_dir_all(&out_dir).change_context(GenerateError)?;
    let descriptors = protox::compile(SCHEMA_FILES, [SCHEMA_DIR]).change_context(GenerateError)?;
    let mut config = prost_build::Config::new();
    config.out_dir(&out_dir);
    config.bytes(["."]);
    for package in ["admin", "config", "engine", "settings"] {
        let path = format!(".eelgrassdeal.{package}");
        config.type_attribute(&path, "#[derive(serde::Serialize, serde::Deserialize)]");
    }
    // Unknown keys are errors in files that operators write, and are ignored in bodies on the wire.
    for path in [".eelgrassdeal.config", ".eelgrassdeal.settings"] {
        config.message_attribute(path, "#[serde(default, deny_unknown_fields)]");
    }
    for path in [".eelgrassdeal.admin", ".eelgrassdeal.engine"] {
        config.message_attribute(path, "#[serde(default)]");
    }
    config.compile_fds(descriptors).change_context(GenerateError)
}
