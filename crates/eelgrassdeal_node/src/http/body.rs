//! Reading of request bodies within a size and a time.

use std::time::Duration;

use bytes::Bytes;
use eelgrassdeal_schema::settings::LimitSettings;
use eelgrassdeal_types::{CallError, ErrorKind};
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::body::Incoming;

/// Reads a whole body.
pub(crate) async fn read_body(body: Incoming, limits: &LimitSettings) -> Result<Bytes, CallError> {
    let limit = limits.max_body_bytes as usize;
    let time = Duration::from_millis(u64::from(limits.body_timeout_ms));
    match compio::time::timeout(time, Limited::new(body, limit).collect()).await {
        Ok(Ok(collected)) => Ok(collected.to_bytes()),
        Ok(Err(error)) if error.is::<LengthLimitError>() => Err(CallError::new(
            ErrorKind::BodyTooLarge,
            format!("the body is larger than {limit} bytes"),
        )),
        Ok(Err(_)) => Err(CallError::new(ErrorKind::BadRequest, "the body broke off")),
        Err(_) => Err(CallError::new(
            ErrorKind::RequestTimeout,
            format!("the body did not arrive within {} ms", time.as_millis()),
        )),
    }
}
