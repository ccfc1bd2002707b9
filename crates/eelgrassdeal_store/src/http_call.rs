//! One bounded HTTP call, shared by the adapters.

use std::time::Duration;

use bytes::{Bytes, BytesMut};
use cyper::{Client, RequestBuilder, Response};
use error_stack::{Report, ResultExt};
use futures_util::StreamExt;
use http::{HeaderMap, Method};

use crate::table::{StoreError, StoreResult};
use crate::traffic::{count_control, request_size, response_head_size};

/// An answer that was read to its end.
pub(crate) struct HttpAnswer {
    pub(crate) status: u16,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
}

/// Sends calls with a time limit and reads answers up to a size limit.
#[derive(Clone, Debug)]
pub(crate) struct HttpCaller {
    client: Client,
    pub(crate) url: String,
    pub(crate) token: Option<String>,
    pub(crate) timeout: Duration,
    pub(crate) max_response_bytes: usize,
}

impl HttpCaller {
    pub(crate) fn new(
        client: Client,
        url: impl Into<String>,
        timeout: Duration,
        max_response_bytes: usize,
    ) -> Self {
        Self { client, url: url.into(), token: None, timeout, max_response_bytes }
    }

    /// Calls the base address followed by `path`.
    ///
    /// [`StoreError::Unreachable`] only when no connection was made; after that a lost connection
    /// does not tell whether the request arrived.
    pub(crate) async fn call(
        &self,
        purpose: &'static str,
        method: Method,
        path: &str,
        headers: &[(&str, &str)],
        body: Bytes,
    ) -> StoreResult<HttpAnswer> {
        let builder = self.builder(method, path, headers).change_context(StoreError::Malformed)?;
        let sent = request_size(path, headers, body.len());
        let exchange = async {
            let response = builder.body(body).send().await.map_err(send_error)?;
            let status = response.status().as_u16();
            let headers = response.headers().clone();
            let body = self.read_body(response).await?;
            count_control(purpose, sent, response_head_size(&headers) + body.len());
            Ok(HttpAnswer { status, headers, body })
        };
        compio::time::timeout(self.timeout, exchange)
            .await
            .unwrap_or_else(|_| Err(Report::new(StoreError::OutcomeUnknown).attach("timeout")))
    }

    fn builder(
        &self,
        method: Method,
        path: &str,
        headers: &[(&str, &str)],
    ) -> cyper::Result<RequestBuilder> {
        let mut builder = self.client.request(method, format!("{}{path}", self.url))?;
        for &(name, value) in headers {
            builder = builder.header(name, value)?;
        }
        match &self.token {
            Some(token) => builder.bearer_auth(token),
            None => Ok(builder),
        }
    }

    async fn read_body(&self, response: Response) -> StoreResult<Bytes> {
        let mut body = BytesMut::new();
        let mut chunks = response.bytes_stream();
        while let Some(chunk) = chunks.next().await {
            let chunk = chunk.change_context(StoreError::OutcomeUnknown)?;
            if body.len() + chunk.len() > self.max_response_bytes {
                let limit = format!("the answer is larger than {} bytes", self.max_response_bytes);
                return Err(Report::new(StoreError::OutcomeUnknown).attach(limit));
            }
            body.extend_from_slice(&chunk);
        }
        Ok(body.freeze())
    }
}

fn send_error(error: cyper::Error) -> Report<StoreError> {
    let is_unsent = matches!(&error, cyper::Error::HyperClient(cause) if cause.is_connect());
    let context = if is_unsent { StoreError::Unreachable } else { StoreError::OutcomeUnknown };
    Report::new(error).change_context(context)
}
