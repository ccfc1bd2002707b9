//! The HTTP client of the adapters, with a timeout and a limit on the response size.

use std::time::Duration;

use bytes::{Bytes, BytesMut};
use cyper::{Client, RequestBuilder, Response};
use error_stack::{Report, ResultExt};
use futures_util::StreamExt;
use http::{HeaderMap, Method};

use crate::control_traffic::{record_control_traffic, request_size, response_head_size};
use crate::table::{StoreError, StoreResult};

/// A response whose body was read completely.
pub(crate) struct BufferedResponse {
    pub(crate) status: u16,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
}

/// Calls one base URL, with a timeout for each call and a limit on the size of a response body.
#[derive(Clone, Debug)]
pub(crate) struct BoundedClient {
    client: Client,
    /// Base URL, to which each call appends its path.
    pub(crate) url: String,
    /// Bearer token of each call; `None` sends no `authorization` header.
    pub(crate) token: Option<String>,
    /// Longest duration of a call, from connecting until the body is read.
    pub(crate) timeout: Duration,
    pub(crate) max_response_bytes: usize,
}

impl BoundedClient {
    pub(crate) fn new(
        client: Client,
        url: impl Into<String>,
        timeout: Duration,
        max_response_bytes: usize,
    ) -> Self {
        Self { client, url: url.into(), token: None, timeout, max_response_bytes }
    }

    /// Sends a request to the base URL followed by `path`, and reads the response.
    ///
    /// `purpose` is the label of the control traffic metrics.
    ///
    /// # Errors
    ///
    /// [`StoreError::Malformed`] when the request cannot be built, [`StoreError::Unreachable`] when
    /// the connection failed, [`StoreError::OutcomeUnknown`] when the call failed later or timed
    /// out: the request may then have arrived.
    pub(crate) async fn call(
        &self,
        purpose: &'static str,
        method: Method,
        path: &str,
        headers: &[(&str, &str)],
        body: Bytes,
    ) -> StoreResult<BufferedResponse> {
        let builder = self.builder(method, path, headers).change_context(StoreError::Malformed)?;
        let sent_bytes = request_size(path, headers, body.len());
        let exchange = async {
            let response = builder.body(body).send().await.map_err(send_error)?;
            let status = response.status().as_u16();
            let headers = response.headers().clone();
            let body = self.read_body(response).await?;
            record_control_traffic(purpose, sent_bytes, response_head_size(&headers) + body.len());
            Ok(BufferedResponse { status, headers, body })
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
                let limit =
                    format!("the response body is larger than {} bytes", self.max_response_bytes);
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
