//! The adapter for a table service that implements a subset of the DynamoDB JSON protocol.

use std::time::Duration;

use base64::Engine as _;
use base64::engine::general_purpose::STANDARD as BASE64;
use bytes::Bytes;
use cyper::Client;
use error_stack::Report;
use futures_util::FutureExt;
use futures_util::future::LocalBoxFuture;
use http::Method;
use serde_json::{Value, json};

use super::{
    RowCondition, RowKey, RowRange, RowWrite, StoreError, StoreResult, StoredRow, TableStore,
    WriteAction, first_put_version,
};
use crate::bounded_client::BoundedClient;

/// Default timeout of a call. A store that does not respond within this time is assumed to be down;
/// the call fails with [`StoreError::OutcomeUnknown`], and later calls try the store again.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);
/// The service limits a response to 1 MiB of rows. Base64 encoding and attribute names are assumed
/// to enlarge it by a factor of less than 2.
const MAX_RESPONSE_BYTES: usize = 4 * 1024 * 1024;
const TARGET_PREFIX: &str = "DynamoDB_20120810.";
const CONTENT_TYPE: &str = "application/x-amz-json-1.0";
/// Error type of a transaction with a condition that did not hold.
const CONFLICT_TYPE: &str = "TransactionCanceledException";
/// Error types of a request that was rejected because of overload: the service did nothing, and the
/// same request may succeed later.
const THROTTLING_TYPES: [&str; 3] =
    ["ThrottlingException", "ProvisionedThroughputExceededException", "RequestLimitExceeded"];

/// A table service reached over HTTP.
#[derive(Clone, Debug)]
pub struct HttpTableStore {
    http_client: BoundedClient,
}

impl HttpTableStore {
    /// Uses the service at base URL `url`.
    pub fn new(client: Client, url: impl Into<String>) -> Self {
        Self { http_client: BoundedClient::new(client, url, CALL_TIMEOUT, MAX_RESPONSE_BYTES) }
    }

    /// Sends `token` as bearer token with each call.
    pub fn with_token(mut self, token: Option<String>) -> Self {
        self.http_client.token = token;
        self
    }

    /// Sets the timeout of a call; 2 s by default.
    pub fn with_timeout(mut self, timeout: Duration) -> Self {
        self.http_client.timeout = timeout;
        self
    }

    /// Sets the largest response body that is read; 4 MiB by default.
    pub fn with_max_response_bytes(mut self, max_response_bytes: usize) -> Self {
        self.http_client.max_response_bytes = max_response_bytes;
        self
    }

    async fn call(&self, operation: &str, body: Value) -> StoreResult<Value> {
        let purpose = call_purpose(operation, &body);
        let target = format!("{TARGET_PREFIX}{operation}");
        let headers = [("content-type", CONTENT_TYPE), ("x-amz-target", target.as_str())];
        let body = Bytes::from(body.to_string());
        let response = self.http_client.call(purpose, Method::POST, "", &headers, body).await?;
        let context = match (response.status, serde_json::from_slice::<Value>(&response.body)) {
            (200, Ok(value)) => return Ok(value),
            (400, Ok(value)) => error_from_body(&value),
            (429, _) => StoreError::Unreachable,
            // A truncated response, or one from a proxy in front of the service, does not tell
            // whether the service executed the request.
            (200 | 500..=599, _) => StoreError::OutcomeUnknown,
            _ => StoreError::Malformed,
        };
        Err(Report::new(context).attach(format!("status {}", response.status)))
    }

    async fn query_all(&self, range: RowRange) -> StoreResult<Vec<StoredRow>> {
        let mut rows = Vec::new();
        let mut after = range.after.to_string();
        loop {
            let body = json!({
                "TableName": range.table.name(),
                "ConsistentRead": true,
                "KeyConditionExpression": "pk = :pk AND sk > :sk",
                "ExpressionAttributeValues": {
                    ":pk": { "S": &*range.partition },
                    ":sk": { "S": after },
                },
            });
            let reply = self.call("Query", body).await?;
            let items = reply["Items"].as_array().map(Vec::as_slice).unwrap_or_default();
            for item in items {
                rows.push(parse_item(&range, item)?);
            }
            match reply["LastEvaluatedKey"]["sk"]["S"].as_str() {
                Some(last) => after = last.to_owned(),
                None => return Ok(rows),
            }
        }
    }
}

impl TableStore for HttpTableStore {
    fn get(&self, key: RowKey) -> LocalBoxFuture<'_, StoreResult<Option<StoredRow>>> {
        async move {
            let body = json!({
                "TableName": key.table.name(),
                "ConsistentRead": true,
                "Key": key_json(&key),
            });
            let reply = self.call("GetItem", body).await?;
            let range = RowRange { table: key.table, partition: key.partition, after: "".into() };
            reply.get("Item").map(|item| parse_item(&range, item)).transpose()
        }
        .boxed_local()
    }

    fn query(&self, range: RowRange) -> LocalBoxFuture<'_, StoreResult<Vec<StoredRow>>> {
        self.query_all(range).boxed_local()
    }

    fn transact(&self, writes: Vec<RowWrite>) -> LocalBoxFuture<'_, StoreResult<Option<u64>>> {
        async move {
            let items: Vec<Value> = writes.iter().map(write_json).collect();
            self.call("TransactWriteItems", json!({ "TransactItems": items })).await?;
            Ok(first_put_version(&writes))
        }
        .boxed_local()
    }
}

/// The purpose label of a call in the metrics of control traffic.
///
/// `head_read` also covers the reads of single log rows and of the row that names the newest
/// snapshot, `log_append` also the writes of that row, and `heartbeat` every call for the table of
/// nodes.
fn call_purpose(operation: &str, body: &Value) -> &'static str {
    let write = body["TransactItems"][0].as_object().and_then(|write| write.values().next());
    let table = write.unwrap_or(body)["TableName"].as_str().unwrap_or_default();
    match (table, operation) {
        ("config", "GetItem") => "head_read",
        ("config", "Query") => "log_read",
        ("config", _) => "log_append",
        ("leases", _) => "lease",
        ("nodes", _) => "heartbeat",
        ("claims", _) => "claim",
        ("suspects", _) => "suspect",
        _ => "other",
    }
}

fn key_json(key: &RowKey) -> Value {
    json!({ "pk": { "S": &*key.partition }, "sk": { "S": &*key.sort } })
}

fn write_json(write: &RowWrite) -> Value {
    let condition = match write.condition {
        RowCondition::Absent => "attribute_not_exists(pk)",
        RowCondition::VersionIs(_) => "ver = :ver",
    };
    let mut item = json!({
        "TableName": write.key.table.name(),
        "ConditionExpression": condition,
    });
    if let RowCondition::VersionIs(version) = write.condition {
        item["ExpressionAttributeValues"] = json!({ ":ver": { "N": version.to_string() } });
    }
    match &write.action {
        WriteAction::Put { body, expires_unix_ms } => {
            let mut attributes = key_json(&write.key);
            attributes["ver"] = json!({ "N": write.condition.next_version().to_string() });
            attributes["body"] = json!({ "B": BASE64.encode(body) });
            if *expires_unix_ms > 0 {
                let expires_unix_s = expires_unix_ms.div_ceil(1000);
                attributes["expires"] = json!({ "N": expires_unix_s.to_string() });
            }
            item["Item"] = attributes;
            json!({ "Put": item })
        }
        WriteAction::Delete => {
            item["Key"] = key_json(&write.key);
            json!({ "Delete": item })
        }
        WriteAction::Check => {
            item["Key"] = key_json(&write.key);
            json!({ "ConditionCheck": item })
        }
    }
}

fn parse_item(range: &RowRange, item: &Value) -> StoreResult<StoredRow> {
    let sort = item["sk"]["S"].as_str();
    let version = item["ver"]["N"].as_str().and_then(|text| text.parse().ok());
    let body = item["body"]["B"].as_str().and_then(|text| BASE64.decode(text).ok());
    match (sort, version, body) {
        (Some(sort), Some(version), Some(body)) => Ok(StoredRow {
            key: RowKey::new(range.table, &range.partition, sort),
            version,
            body: Bytes::from(body),
        }),
        _ => Err(Report::new(StoreError::Malformed)),
    }
}

/// The error that the body of a 400 response stands for.
fn error_from_body(value: &Value) -> StoreError {
    let name = value["__type"].as_str().unwrap_or_default();
    match name.rsplit('#').next().unwrap_or_default() {
        CONFLICT_TYPE => StoreError::Conflict { writes: failed_writes(value) },
        name if THROTTLING_TYPES.contains(&name) => StoreError::Unreachable,
        _ => StoreError::Malformed,
    }
}

/// Positions of the writes whose cancellation reason is not `None`.
fn failed_writes(value: &Value) -> Vec<usize> {
    let reasons = value["CancellationReasons"].as_array().map(Vec::as_slice).unwrap_or_default();
    (0..reasons.len())
        .filter(|&position| reasons[position]["Code"].as_str() != Some("None"))
        .collect()
}
