//! Reads request bodies within limits on size and time.

use std::time::Duration;

use bytes::Bytes;
use eelgrassdeal_http::RequestBody;
use eelgrassdeal_schema::settings::LimitSettings;
use eelgrassdeal_types::{CallError, ErrorKind};
use http_body_util::{BodyExt, LengthLimitError, Limited};

/// Reads a complete body, limited to `max_body_bytes` and `body_timeout_ms`.
pub(crate) async fn read_body(
    body: RequestBody,
    limits: &LimitSettings,
) -> Result<Bytes, CallError> {
    let limit = limits.max_body_bytes as usize;
    let timeout = Duration::from_millis(u64::from(limits.body_timeout_ms));
    match compio::time::timeout(timeout, Limited::new(body, limit).collect()).await {
        Ok(Ok(collected)) => Ok(collected.to_bytes()),
        Ok(Err(error)) if error.is::<LengthLimitError>() => Err(CallError::new(
            ErrorKind::BodyTooLarge,
            format!("the body is larger than {limit} bytes"),
        )),
        Ok(Err(_)) => Err(CallError::new(
            ErrorKind::BadRequest,
            "the connection failed before the end of the body",
        )),
        Err(_) => Err(CallError::new(
            ErrorKind::RequestTimeout,
            format!("the body did not arrive within {} ms", timeout.as_millis()),
        )),
    }
}
