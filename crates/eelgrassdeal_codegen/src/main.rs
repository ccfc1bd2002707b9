//! Generates `crates/eelgrassdeal_schema/src/generated` from `schema/*.proto`.
//!
//! Run it from the root of the repository: `cargo run -p eelgrassdeal_codegen -- OUT_DIR`.

use std::fmt;
use std::path::PathBuf;

use error_stack::{Report, ResultExt};

const SCHEMA_DIR: &str = "schema";
const DEFAULT_OUT_DIR: &str = "crates/eelgrassdeal_schema/src/generated";
const FILES: [&str; 7] = [
    "admin.proto",
    "config.proto",
    "engine.proto",
    "gateway.proto",
    "peer.proto",
    "records.proto",
    "settings.proto",
];

/// The generator failed.
#[derive(Debug)]
struct GenerateError;

impl fmt::Display for GenerateError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("cannot generate the message code")
    }
}

impl std::error::Error for GenerateError {}

fn main() -> Result<(), Report<GenerateError>> {
    let out_dir = PathBuf::from(std::env::args().nth(1).unwrap_or(DEFAULT_OUT_DIR.to_owned()));
    std::fs::create_dir_all(&out_dir).change_context(GenerateError)?;
    let descriptors = protox::compile(FILES, [SCHEMA_DIR]).change_context(GenerateError)?;
    let mut config = prost_build::Config::new();
    config.out_dir(&out_dir);
    config.bytes(["."]);
    for package in ["admin", "config", "engine", "settings"] {
        let path = format!(".eelgrassdeal.{package}");
        config.type_attribute(&path, "#[derive(serde::Serialize, serde::Deserialize)]");
    }
    // Files that operators write refuse unknown keys; bodies on the wire ignore them.
    for path in [".eelgrassdeal.config", ".eelgrassdeal.settings"] {
        config.message_attribute(path, "#[serde(default, deny_unknown_fields)]");
    }
    for path in [".eelgrassdeal.admin", ".eelgrassdeal.engine"] {
        config.message_attribute(path, "#[serde(default)]");
    }
    config.compile_fds(descriptors).change_context(GenerateError)
}
