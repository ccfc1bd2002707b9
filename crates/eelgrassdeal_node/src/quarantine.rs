//! Fingerprints of requests, and the check whether a request is banned because it crashed
//! upstreams.

use eelgrassdeal_control::FleetConfig;
use eelgrassdeal_routing::RequestFingerprint;
use eelgrassdeal_types::{CallError, ClientAccountId, ErrorKind, ModelId, unix_ms_now};
use serde_json::Value;

/// Fields that nodes set or interpret. They differ between attempts at the same request, and a
/// caller could change them to evade a ban.
const SYSTEM_FIELDS: [&str; 3] = ["resume", "priority", "stream"];

/// Fingerprint of a chat request without [`SYSTEM_FIELDS`].
///
/// The parsed body is hashed, so the order of its fields and its white space make no difference.
pub(crate) fn request_fingerprint(
    account: &ClientAccountId,
    model: &ModelId,
    body: &Value,
) -> RequestFingerprint {
    let mut content = body.clone();
    if let Some(fields) = content.as_object_mut() {
        SYSTEM_FIELDS.iter().for_each(|field| drop(fields.remove(*field)));
    }
    RequestFingerprint::new(account, model, content.to_string().as_bytes())
}

/// Refuses a request whose fingerprint is banned.
///
/// # Errors
///
/// [`ErrorKind::RequestQuarantined`] while a ban in `fleet` has not expired.
pub(crate) fn check_ban(
    fleet: &FleetConfig,
    fingerprint: RequestFingerprint,
) -> Result<(), CallError> {
    match fleet.request_ban(&fingerprint.to_hex()) {
        Some(ban) if unix_ms_now() < ban.expires_unix_ms => {
            let text = "the request crashed upstreams and is refused for now";
            Err(CallError::new(ErrorKind::RequestQuarantined, text))
        }
        _ => Ok(()),
    }
}
