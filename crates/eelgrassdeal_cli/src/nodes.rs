//! Calls to the nodes' administration interface.

use std::time::{Duration, Instant};

use cyper::Client;
use eelgrassdeal_schema::config::ConfigChange;
use eelgrassdeal_schema::encode_message;
use futures_util::future::join_all;
use serde_json::Value;

/// A node that answers later than this counts as not reachable.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);
/// Time between two readings of the nodes' status.
const POLL_INTERVAL: Duration = Duration::from_millis(250);

/// Address of a node and why a call to it failed.
pub(crate) type NodeFailure = (String, String);

/// What a node says of itself.
#[derive(Clone, Debug)]
pub(crate) struct NodeStatus {
    pub(crate) node: String,
    pub(crate) revision: u64,
    pub(crate) confirmed_age_ms: Option<u64>,
    pub(crate) state: String,
}

/// The nodes that a command talks to.
pub(crate) struct NodeClients {
    addresses: Vec<String>,
    token: String,
    client: Result<Client, String>,
}

impl NodeClients {
    /// Talks to `addresses` and presents `token`.
    pub(crate) fn new(addresses: Vec<String>, token: String) -> Self {
        let client = Client::new().map_err(|error| error.to_string());
        Self { addresses, token, client }
    }

    pub(crate) fn count(&self) -> usize {
        self.addresses.len()
    }

    /// Sends the change to every node and returns those that did not take it.
    pub(crate) async fn push(&self, change: &ConfigChange) -> Vec<NodeFailure> {
        self.push_to(&self.addresses, change).await
    }

    async fn push_to(&self, addresses: &[String], change: &ConfigChange) -> Vec<NodeFailure> {
        let results = join_all(addresses.iter().map(|node| self.push_one(node, change))).await;
        collect_failures(addresses, results)
    }

    /// Reads the status of every node.
    pub(crate) async fn status(&self) -> Vec<(String, Result<NodeStatus, String>)> {
        let results = join_all(self.addresses.iter().map(|node| self.read_status(node))).await;
        self.addresses.iter().cloned().zip(results).collect()
    }

    /// Waits until every node has the revision of `change`, and returns those that have not. Nodes
    /// that are behind get the change again, because the first push may have been lost.
    pub(crate) async fn wait_until_in_force(
        &self,
        change: &ConfigChange,
        wait: Duration,
    ) -> Vec<NodeFailure> {
        let deadline = Instant::now() + wait;
        loop {
            let mut behind = Vec::new();
            for (node, status) in self.status().await {
                match status {
                    Ok(status) if status.revision >= change.revision => {}
                    Ok(status) => behind.push((node, describe(&status))),
                    Err(reason) => behind.push((node, reason)),
                }
            }
            if behind.is_empty() || Instant::now() >= deadline {
                return behind;
            }
            compio::time::sleep(POLL_INTERVAL).await;
            let addresses: Vec<String> = behind.into_iter().map(|(node, _)| node).collect();
            self.push_to(&addresses, change).await;
        }
    }

    async fn push_one(&self, node: &str, change: &ConfigChange) -> Result<(), String> {
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
        let revision = value["revision"].as_u64().ok_or("the status names no revision")?;
        let text = |field: &str| value[field].as_str().unwrap_or("unknown").to_owned();
        let confirmed_age_ms = value["confirmed_age_ms"].as_u64();
        Ok(NodeStatus { node: text("node"), revision, confirmed_age_ms, state: text("state") })
    }

    async fn call(&self, builder: cyper::Result<cyper::RequestBuilder>) -> Result<Vec<u8>, String> {
        let exchange = async {
            let builder = builder.and_then(|builder| builder.bearer_auth(&self.token));
            let response = builder.map_err(|error| error.to_string())?.send().await;
            let response = response.map_err(|error| format!("no answer: {error}"))?;
            let status = response.status();
            let body = response.bytes().await.map_err(|error| format!("no answer: {error}"))?;
            match status.is_success() {
                true => Ok(body.to_vec()),
                false => Err(format!("status {status}")),
            }
        };
        compio::time::timeout(CALL_TIMEOUT, exchange)
            .await
            .unwrap_or_else(|_| Err(format!("no answer within {} s", CALL_TIMEOUT.as_secs())))
    }
}

/// One line about a node.
pub(crate) fn describe(status: &NodeStatus) -> String {
    let confirmed = match status.confirmed_age_ms {
        Some(age) => format!("confirmed {age} ms ago"),
        None => "never confirmed".to_owned(),
    };
    format!("{} has revision {}, {}, {confirmed}", status.node, status.revision, status.state)
}

fn collect_failures(addresses: &[String], results: Vec<Result<(), String>>) -> Vec<NodeFailure> {
    (addresses.iter().zip(results))
        .filter_map(|(node, result)| Some((node.clone(), result.err()?)))
        .collect()
}
