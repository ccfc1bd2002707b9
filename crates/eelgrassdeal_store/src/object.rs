//! The object store.

use std::time::Duration;

use bytes::Bytes;
use cyper::Client;
use error_stack::Report;
use futures_util::FutureExt;
use futures_util::future::LocalBoxFuture;
use http::Method;

use crate::http_call::HttpCaller;
use crate::table::{StoreError, StoreResult};

/// A store that answers later than this counts as down.
const CALL_TIMEOUT: Duration = Duration::from_secs(5);
/// A snapshot of the planned 6,700 VMs is about 1 MB.
const MAX_RESPONSE_BYTES: usize = 16 * 1024 * 1024;

/// A store of immutable objects.
pub trait ObjectStore {
    /// Stores an object under a new name; an object of that name stays as it is.
    fn put(&self, name: String, body: Bytes) -> LocalBoxFuture<'_, StoreResult<()>>;

    /// Reads an object.
    fn get(&self, name: String) -> LocalBoxFuture<'_, StoreResult<Option<Bytes>>>;
}

/// An object store reached by HTTP `PUT` with `If-None-Match` and `GET`.
#[derive(Clone, Debug)]
pub struct HttpObjectStore {
    caller: HttpCaller,
}

impl HttpObjectStore {
    /// Uses the store at `url`.
    pub fn new(client: Client, url: impl Into<String>) -> Self {
        Self { caller: HttpCaller::new(client, url, CALL_TIMEOUT, MAX_RESPONSE_BYTES) }
    }

    /// Presents `token` with each call.
    pub fn with_token(mut self, token: Option<String>) -> Self {
        self.caller.token = token;
        self
    }

    /// Gives up a call after `timeout`; 5 s by default.
    pub fn with_timeout(mut self, timeout: Duration) -> Self {
        self.caller.timeout = timeout;
        self
    }

    /// Gives up an answer larger than this; 16 MiB by default.
    pub fn with_max_response_bytes(mut self, max_response_bytes: usize) -> Self {
        self.caller.max_response_bytes = max_response_bytes;
        self
    }
}

impl ObjectStore for HttpObjectStore {
    fn put(&self, name: String, body: Bytes) -> LocalBoxFuture<'_, StoreResult<()>> {
        async move {
            let headers = [("if-none-match", "*")];
            let answer = self
                .caller
                .call("object", Method::PUT, &format!("/{name}"), &headers, body)
                .await?;
            match answer.status {
                200 | 201 | 204 | 412 => Ok(()),
                status => Err(status_error(status)),
            }
        }
        .boxed_local()
    }

    fn get(&self, name: String) -> LocalBoxFuture<'_, StoreResult<Option<Bytes>>> {
        async move {
            let answer = self
                .caller
                .call("object", Method::GET, &format!("/{name}"), &[], Bytes::new())
                .await?;
            match answer.status {
                200 => Ok(Some(answer.body)),
                404 => Ok(None),
                status => Err(status_error(status)),
            }
        }
        .boxed_local()
    }
}

fn status_error(status: u16) -> Report<StoreError> {
    let context = match status {
        429 => StoreError::Unreachable,
        500..=599 => StoreError::OutcomeUnknown,
        _ => StoreError::Malformed,
    };
    Report::new(context).attach(format!("status {status}"))
}
