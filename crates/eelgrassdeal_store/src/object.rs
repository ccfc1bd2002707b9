//! The platform's object store.

use std::time::Duration;

use bytes::Bytes;
use cyper::Client;
use error_stack::Report;
use futures_util::FutureExt;
use futures_util::future::LocalBoxFuture;
use http::Method;

use crate::bounded_client::BoundedClient;
use crate::table::{StoreError, StoreResult};

/// Default timeout of a call. A store that does not respond within this time is assumed to be down;
/// the call fails with [`StoreError::OutcomeUnknown`], and later calls try the store again.
const CALL_TIMEOUT: Duration = Duration::from_secs(5);
/// A snapshot of the configuration for the planned 2,110 VMs with 6,700 accelerators is assumed to
/// be about 1 MB.
const MAX_RESPONSE_BYTES: usize = 16 * 1024 * 1024;

/// A store of immutable objects.
pub trait ObjectStore {
    /// Stores an object. If an object of that name exists, it stays unchanged and the call
    /// succeeds.
    fn put(&self, name: String, body: Bytes) -> LocalBoxFuture<'_, StoreResult<()>>;

    /// Reads an object; `None` if it does not exist.
    fn get(&self, name: String) -> LocalBoxFuture<'_, StoreResult<Option<Bytes>>>;
}

/// An object store over HTTP: `PUT` with `If-None-Match: *` stores an object, `GET` reads it.
#[derive(Clone, Debug)]
pub struct HttpObjectStore {
    http_client: BoundedClient,
}

impl HttpObjectStore {
    /// Uses the store at base URL `url`.
    pub fn new(client: Client, url: impl Into<String>) -> Self {
        Self { http_client: BoundedClient::new(client, url, CALL_TIMEOUT, MAX_RESPONSE_BYTES) }
    }

    /// Sends `token` as bearer token with each call.
    pub fn with_token(mut self, token: Option<String>) -> Self {
        self.http_client.token = token;
        self
    }

    /// Sets the timeout of a call; 5 s by default.
    pub fn with_timeout(mut self, timeout: Duration) -> Self {
        self.http_client.timeout = timeout;
        self
    }

    /// Sets the largest response body that is read; 16 MiB by default.
    pub fn with_max_response_bytes(mut self, max_response_bytes: usize) -> Self {
        self.http_client.max_response_bytes = max_response_bytes;
        self
    }
}

impl ObjectStore for HttpObjectStore {
    fn put(&self, name: String, body: Bytes) -> LocalBoxFuture<'_, StoreResult<()>> {
        async move {
            let headers = [("if-none-match", "*")];
            let response = self
                .http_client
                .call("object", Method::PUT, &format!("/{name}"), &headers, body)
                .await?;
            match response.status {
                200 | 201 | 204 | 412 => Ok(()),
                status => Err(status_error(status)),
            }
        }
        .boxed_local()
    }

    fn get(&self, name: String) -> LocalBoxFuture<'_, StoreResult<Option<Bytes>>> {
        async move {
            let response = self
                .http_client
                .call("object", Method::GET, &format!("/{name}"), &[], Bytes::new())
                .await?;
            match response.status {
                200 => Ok(Some(response.body)),
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
