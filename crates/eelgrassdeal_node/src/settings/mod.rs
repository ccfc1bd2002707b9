//! Loads the settings file of a node, fills in defaults and checks the settings.

use std::fmt;
use std::net::SocketAddr;
use std::path::Path;

use eelgrassdeal_schema::settings::{LimitSettings, LogSettings, NodeSettings};
use error_stack::{Report, ResultExt};

const DEFAULT_MAX_BODY_BYTES: u32 = 1024 * 1024;
const DEFAULT_MAX_HEADER_BYTES: u32 = 16 * 1024;
const DEFAULT_MAX_CONNECTIONS: u32 = 4096;
const DEFAULT_HEADER_TIMEOUT_MS: u32 = 10_000;
const DEFAULT_BODY_TIMEOUT_MS: u32 = 10_000;
const DEFAULT_MAX_QUEUED: u32 = 1024;
const DEFAULT_STREAM_BUFFER_BYTES: u32 = 16 * 1024;
const DEFAULT_TOTAL_BUFFER_BYTES: u64 = 16 * 1024 * 1024;
const DEFAULT_STALL_TIMEOUT_MS: u32 = 2_000;
const DEFAULT_DEADLINE_MS: u32 = 60_000;
const DEFAULT_LOCATE_TTL_MS: u32 = 5_000;
const DEFAULT_DRAIN_TIMEOUT_MS: u32 = 600_000;

/// Smallest read buffer that hyper accepts; it panics if it is given a smaller one.
const MIN_HEADER_BYTES: u32 = 8 * 1024;

/// The settings file cannot be read or is invalid.
#[derive(Debug)]
pub struct SettingsError;

impl fmt::Display for SettingsError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("cannot use the settings")
    }
}

impl std::error::Error for SettingsError {}

/// Reads a settings file, fills in defaults and checks it.
///
/// # Errors
///
/// If the file cannot be read or parsed, or a setting is invalid. The report has the path and the
/// reason, and for a file that cannot be parsed the line.
pub fn load_settings(path: &Path) -> Result<NodeSettings, Report<SettingsError>> {
    let text = std::fs::read_to_string(path)
        .change_context(SettingsError)
        .attach_with(|| path.display().to_string())?;
    let settings: NodeSettings = toml::from_str(&text).map_err(|error| {
        let line = error.span().map_or(0, |span| text[..span.start].lines().count().max(1));
        Report::new(SettingsError).attach(format!("{}:{line}: {}", path.display(), error.message()))
    })?;
    let settings = with_defaults(settings);
    match check_settings(&settings) {
        problems if problems.is_empty() => Ok(settings),
        problems => Err(Report::new(SettingsError).attach(problems.join("\n"))),
    }
}

/// Fills in the defaults of absent limits, log level and slot policy. Limits of 0 count as absent.
pub fn with_defaults(mut settings: NodeSettings) -> NodeSettings {
    let limits = settings.limits.get_or_insert_with(LimitSettings::default);
    set_default(&mut limits.max_body_bytes, DEFAULT_MAX_BODY_BYTES);
    set_default(&mut limits.max_header_bytes, DEFAULT_MAX_HEADER_BYTES);
    set_default(&mut limits.max_connections, DEFAULT_MAX_CONNECTIONS);
    set_default(&mut limits.header_timeout_ms, DEFAULT_HEADER_TIMEOUT_MS);
    set_default(&mut limits.body_timeout_ms, DEFAULT_BODY_TIMEOUT_MS);
    set_default(&mut limits.max_queued, DEFAULT_MAX_QUEUED);
    set_default(&mut limits.stream_buffer_bytes, DEFAULT_STREAM_BUFFER_BYTES);
    set_default(&mut limits.total_buffer_bytes, DEFAULT_TOTAL_BUFFER_BYTES);
    set_default(&mut limits.stall_timeout_ms, DEFAULT_STALL_TIMEOUT_MS);
    set_default(&mut limits.default_deadline_ms, DEFAULT_DEADLINE_MS);
    set_default(&mut limits.locate_ttl_ms, DEFAULT_LOCATE_TTL_MS);
    set_default(&mut limits.drain_timeout_ms, DEFAULT_DRAIN_TIMEOUT_MS);
    let log = settings.log.get_or_insert_with(LogSettings::default);
    if log.level.is_empty() {
        log.level = "info".to_owned();
    }
    if settings.slot_policy.is_empty() {
        settings.slot_policy = "owner".to_owned();
    }
    settings
}

/// Returns one message for each problem of settings whose defaults are filled in; empty if they are
/// valid.
pub fn check_settings(settings: &NodeSettings) -> Vec<String> {
    let mut problems = Vec::new();
    let mut check = |is_valid: bool, text: &str| {
        if !is_valid {
            problems.push(text.to_owned());
        }
    };
    check(!settings.node.is_empty(), "node: missing; must be the id of this VM in the register");
    check(!settings.data_centre.is_empty(), "data_centre: missing");
    check(is_address(&settings.listen), "listen: not IP:PORT");
    check(is_address(&settings.peer_listen), "peer_listen: not IP:PORT");
    let peer_tls = settings.peer_tls.clone().unwrap_or_default();
    let files = [&peer_tls.certificate_file, &peer_tls.key_file, &peer_tls.ca_file];
    let has_all_peer_tls = files.iter().all(|file| !file.is_empty());
    check(has_all_peer_tls, "peer_tls: certificate_file, key_file and ca_file are needed");
    let tls = settings.tls.clone().unwrap_or_default();
    let has_both_or_none = tls.certificate_file.is_empty() == tls.key_file.is_empty();
    check(has_both_or_none, "tls: certificate_file and key_file are needed together");
    for (name, path) in [
        ("tls.certificate_file", &tls.certificate_file),
        ("tls.key_file", &tls.key_file),
        ("peer_tls.certificate_file", &peer_tls.certificate_file),
        ("peer_tls.key_file", &peer_tls.key_file),
        ("peer_tls.ca_file", &peer_tls.ca_file),
        ("platform_token_file", &settings.platform_token_file),
        ("admin_token_file", &settings.admin_token_file),
        ("order_token_file", &settings.order_token_file),
    ] {
        let exists = path.is_empty() || Path::new(path).is_file();
        check(exists, &format!("{name}: no file {path:?}"));
    }
    for (name, url) in [
        ("table_url", &settings.table_url),
        ("object_url", &settings.object_url),
        ("vm_list_url", &settings.vm_list_url),
    ] {
        let is_url = url.starts_with("http://") || url.starts_with("https://");
        check(is_url, &format!("{name}: not an http or https URL"));
    }
    let policies = ["owner", "equal_shares"];
    check(policies.contains(&settings.slot_policy.as_str()), "slot_policy: unknown policy");
    let levels = ["error", "warn", "info", "debug", "trace"];
    let level = settings.log.as_ref().map_or("", |log| log.level.as_str());
    check(levels.contains(&level), "log.level: unknown level");
    let header_bytes = settings.limits.as_ref().map_or(0, |limits| limits.max_header_bytes);
    check(header_bytes >= MIN_HEADER_BYTES, "limits.max_header_bytes: must be at least 8192");
    problems
}

fn set_default<T: Default + PartialEq>(value: &mut T, default: T) {
    if *value == T::default() {
        *value = default;
    }
}

fn is_address(text: &str) -> bool {
    text.parse::<SocketAddr>().is_ok()
}
