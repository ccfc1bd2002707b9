//! The operators' files: `register.toml` and `rules.toml`.

use std::fmt;
use std::path::Path;

use eelgrassdeal_schema::config::config_entry::Body;
use eelgrassdeal_schema::config::{ConfigEntry, Register, Rules};
use error_stack::{Report, ResultExt};
use serde::de::DeserializeOwned;

use crate::fleet::FleetConfig;

/// A file cannot be read or is not valid TOML of the schema.
#[derive(Debug)]
pub struct FileError;

impl fmt::Display for FileError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("cannot load the operators' files")
    }
}

impl std::error::Error for FileError {}

/// Reads the register and the rules.
///
/// # Errors
///
/// With file, line and reason when a file cannot be read or has an unknown key.
pub fn load_fleet_files(register: &Path, rules: &Path) -> Result<FleetConfig, Report<FileError>> {
    let register: Register = load(register)?;
    let rules: Rules = load(rules)?;
    let mut fleet = FleetConfig::new();
    let bodies = (register.data_centre.into_iter().map(Body::DataCentre))
        .chain(register.vm.into_iter().map(Body::Vm))
        .chain(register.model.into_iter().map(Body::Model))
        .chain(register.service.into_iter().map(Body::Service))
        .chain(register.upstream.into_iter().map(Body::Upstream))
        .chain(rules.client_account.into_iter().map(Body::ClientAccount))
        .chain(rules.serve.into_iter().map(Body::Serve));
    for body in bodies {
        fleet.insert(ConfigEntry { body: Some(body) }, 0);
    }
    Ok(fleet)
}

fn load<T: DeserializeOwned>(path: &Path) -> Result<T, Report<FileError>> {
    let text = std::fs::read_to_string(path)
        .change_context(FileError)
        .attach_with(|| path.display().to_string())?;
    toml::from_str(&text).map_err(|error| {
        let line = error.span().map_or(0, |span| text[..span.start].lines().count().max(1));
        Report::new(FileError).attach(format!("{}:{line}: {}", path.display(), error.message()))
    })
}
