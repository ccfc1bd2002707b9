//! HTTP client of the nodes' admin interface.

use std::time::{Duration, Instant};

use cyper::Client;
use eelgrassdeal_schema::config::ConfigChange;
use eelgrassdeal_schema::encode_message;
use futures_util::future::join_all;
use serde_json::Value;

/// Timeout of one request to a node. A node that does not respond in time counts as unreachable.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);
/// Interval between two requests for a node's status while waiting for a change.
const POLL_INTERVAL: Duration = Duration::from_millis(250);

/// Address of a node, and the reason why a request to it failed or the status that shows that it
/// lacks a change.
pub(crate) type NodeFailure = (String, String);

/// The part of a node's status that the commands print.
#[derive(Clone, Debug)]
pub(crate) struct NodeStatus {
    /// Id of the node; `unknown` if the response has none.
    pub(crate) node: String,
    /// Configuration revision that is active on the node.
    pub(crate) revision: u64,
    /// Time since the node last confirmed that its configuration is current. A node that never did
    /// reports the maximum value; `None` if the response has no such time.
    pub(crate) confirmed_age_ms: Option<u64>,
    /// `starting` (the configuration is not read yet), `serving`, `leaving` (callers are no longer
    /// referred to the node, which still takes requests) or `draining` (new requests are refused
    /// and those in flight finish); `unknown` if the response has no state.
    pub(crate) state: String,
}

/// Sends requests to the admin interface of a fixed set of nodes.
pub(crate) struct NodeAdminClient {
    addresses: Vec<String>,
    token: String,
    /// The HTTP client, or why it could not be created. The error is reported for each node.
    client: Result<Client, String>,
}

impl NodeAdminClient {
    /// Creates a client for the nodes at `addresses`. Requests carry `token` as a bearer token.
    pub(crate) fn new(addresses: Vec<String>, token: String) -> Self {
        let client = Client::new().map_err(|error| error.to_string());
        Self { addresses, token, client }
    }

    /// Number of nodes.
    pub(crate) fn count(&self) -> usize {
        self.addresses.len()
    }

    /// Sends the change to all nodes concurrently and returns those that did not accept it.
    pub(crate) async fn push_change(&self, change: &ConfigChange) -> Vec<NodeFailure> {
        self.push_change_to(&self.addresses, change).await
    }

    async fn push_change_to(
        &self,
        addresses: &[String],
        change: &ConfigChange,
    ) -> Vec<NodeFailure> {
        let results = join_all(addresses.iter().map(|node| self.push_to_node(node, change))).await;
        collect_failures(addresses, results)
    }

    /// Requests the status of all nodes concurrently. Returns the address of each node with its
    /// status, or with the reason why the request failed.
    pub(crate) async fn status(&self) -> Vec<(String, Result<NodeStatus, String>)> {
        let results = join_all(self.addresses.iter().map(|node| self.read_status(node))).await;
        self.addresses.iter().cloned().zip(results).collect()
    }

    /// Waits until the revision of `change`, or a newer one, is active on every node. Returns the
    /// nodes that lack it after `timeout`, each with its status or why it is
    /// unknown. Nodes that lack the change receive it again, because the first push may have been
    /// lost.
    pub(crate) async fn wait_until_active(
        &self,
        change: &ConfigChange,
        timeout: Duration,
    ) -> Vec<NodeFailure> {
        let deadline = Instant::now() + timeout;
        loop {
            let mut lagging = Vec::new();
            for (node, status) in self.status().await {
                match status {
                    Ok(status) if status.revision >= change.revision => {}
                    Ok(status) => lagging.push((node, status_line(&status))),
                    Err(reason) => lagging.push((node, reason)),
                }
            }
            if lagging.is_empty() || Instant::now() >= deadline {
                return lagging;
            }
            compio::time::sleep(POLL_INTERVAL).await;
            let addresses: Vec<String> = lagging.into_iter().map(|(node, _)| node).collect();
            self.push_change_to(&addresses, change).await;
        }
    }

    async fn push_to_node(&self, node: &str, change: &ConfigChange) -> Result<(), String> {
        let builder = self
            .client
            .as_ref()
            .map_err(Clone::clone)?
            .post(format!("http://{node}/admin/config"))
            .and_then(|builder| builder.header("content-type", "application/x-protobuf"))
            .map(|builder| builder.body(encode_message(change)));
        self.call(builder).await.map(|_| ())
    }

    async fn read_status(&self, node: &str) -> Result<NodeStatus, String> {
        let builder =
            self.client.as_ref().map_err(Clone::clone)?.get(format!("http://{node}/admin/status"));
        let body = self.call(builder).await?;
        let value: Value = serde_json::from_slice(&body).map_err(|error| error.to_string())?;
        let revision = value["revision"].as_u64().ok_or("the status contains no revision")?;
        let text = |field: &str| value[field].as_str().unwrap_or("unknown").to_owned();
        let confirmed_age_ms = value["confirmed_age_ms"].as_u64();
        Ok(NodeStatus { node: text("node"), revision, confirmed_age_ms, state: text("state") })
    }

    async fn call(&self, builder: cyper::Result<cyper::RequestBuilder>) -> Result<Vec<u8>, String> {
        let request = async {
            let builder = builder.and_then(|builder| builder.bearer_auth(&self.token));
            let response = builder.map_err(|error| error.to_string())?.send().await;
            let response = response.map_err(|error| format!("no response: {error}"))?;
            let status = response.status();
            let body = response.bytes().await.map_err(|error| format!("no response: {error}"))?;
            match status.is_success() {
                true => Ok(body.to_vec()),
                false => Err(format!("status {status}")),
            }
        };
        compio::time::timeout(CALL_TIMEOUT, request)
            .await
            .unwrap_or_else(|_| Err(format!("no response within {} s", CALL_TIMEOUT.as_secs())))
    }
}

/// Formats the status of a node as a line of text without a line break.
pub(crate) fn status_line(status: &NodeStatus) -> String {
    let confirmed = match status.confirmed_age_ms {
        Some(age) => format!("confirmed {age} ms ago"),
        None => "time of confirmation unknown".to_owned(),
    };
    format!("{} has revision {}, {}, {confirmed}", status.node, status.revision, status.state)
}

/// Pairs each error with the address of its node and drops the successes.
fn collect_failures(addresses: &[String], results: Vec<Result<(), String>>) -> Vec<NodeFailure> {
    (addresses.iter().zip(results))
        .filter_map(|(node, result)| Some((node.clone(), result.err()?)))
        .collect()
}
