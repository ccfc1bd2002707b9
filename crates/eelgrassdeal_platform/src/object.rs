//! The object store.

use std::time::Duration;

use bytes::Bytes;
use cyper::Client;
use error_stack::{Report, ResultExt};
use futures_util::FutureExt;
use futures_util::future::LocalBoxFuture;

use crate::table::{StoreError, StoreResult};

/// A store that answers later than this counts as down.
const CALL_TIMEOUT: Duration = Duration::from_secs(5);

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
    client: Client,
    url: String,
    token: Option<String>,
}

impl HttpObjectStore {
    /// Uses the store at `url`.
    pub fn new(client: Client, url: impl Into<String>) -> Self {
        Self { client, url: url.into(), token: None }
    }

    /// Presents `token` with each call.
    pub fn with_token(mut self, token: Option<String>) -> Self {
        self.token = token;
        self
    }

    async fn call(
        &self,
        builder: cyper::Result<cyper::RequestBuilder>,
    ) -> StoreResult<(u16, Bytes)> {
        let mut builder = builder.change_context(StoreError::Unreachable)?;
        if let Some(token) = &self.token {
            builder = builder.bearer_auth(token).change_context(StoreError::Unreachable)?;
        }
        let exchange = async {
            let response = builder.send().await.change_context(StoreError::OutcomeUnknown)?;
            let status = response.status().as_u16();
            let body = response.bytes().await.change_context(StoreError::OutcomeUnknown)?;
            Ok((status, body))
        };
        compio::time::timeout(CALL_TIMEOUT, exchange)
            .await
            .unwrap_or_else(|_| Err(Report::new(StoreError::OutcomeUnknown)))
    }
}

impl ObjectStore for HttpObjectStore {
    fn put(&self, name: String, body: Bytes) -> LocalBoxFuture<'_, StoreResult<()>> {
        async move {
            let builder = self
                .client
                .put(format!("{}/{name}", self.url))
                .and_then(|builder| builder.header("if-none-match", "*"))
                .map(|builder| builder.body(body));
            match self.call(builder).await? {
                (200 | 201 | 204 | 412, _) => Ok(()),
                _ => Err(Report::new(StoreError::Malformed)),
            }
        }
        .boxed_local()
    }

    fn get(&self, name: String) -> LocalBoxFuture<'_, StoreResult<Option<Bytes>>> {
        async move {
            match self.call(self.client.get(format!("{}/{name}", self.url))).await? {
                (200, body) => Ok(Some(body)),
                (404, _) => Ok(None),
                _ => Err(Report::new(StoreError::Malformed)),
            }
        }
        .boxed_local()
    }
}
