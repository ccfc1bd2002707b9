//! The adapter for a table service that speaks a subset of the DynamoDB JSON protocol.

use std::time::Duration;

use base64::Engine as _;
use base64::engine::general_purpose::STANDARD as BASE64;
use bytes::Bytes;
use cyper::Client;
use error_stack::{Report, ResultExt};
use futures_util::FutureExt;
use futures_util::future::LocalBoxFuture;
use serde_json::{Value, json};

use super::{
    RowCondition, RowKey, RowRange, RowWrite, StoreError, StoreResult, StoredRow, TableStore,
    WriteAction,
};
use crate::traffic::{count_control, request_size, response_head_size};

/// A store that answers later than this counts as down.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);
const TARGET_PREFIX: &str = "DynamoDB_20120810.";
const CONTENT_TYPE: &str = "application/x-amz-json-1.0";
const CONFLICT_TYPE: &str = "TransactionCanceledException";

/// A table service reached over HTTP.
#[derive(Clone, Debug)]
pub struct HttpTableStore {
    client: Client,
    url: String,
    token: Option<String>,
}

impl HttpTableStore {
    /// Uses the service at `url`.
    pub fn new(client: Client, url: impl Into<String>) -> Self {
        Self { client, url: url.into(), token: None }
    }

    /// Presents `token` with each call.
    pub fn with_token(mut self, token: Option<String>) -> Self {
        self.token = token;
        self
    }

    async fn call(&self, operation: &str, body: Value) -> StoreResult<Value> {
        let purpose = call_purpose(operation, &body);
        let target = format!("{TARGET_PREFIX}{operation}");
        let headers = [("content-type", CONTENT_TYPE), ("x-amz-target", target.as_str())];
        let body = body.to_string();
        let sent = request_size("/", &headers, body.len());
        let request = async {
            let mut builder = self
                .client
                .post(&self.url)
                .and_then(|builder| builder.header("content-type", CONTENT_TYPE))
                .and_then(|builder| builder.header("x-amz-target", &target))
                .change_context(StoreError::Unreachable)?;
            if let Some(token) = &self.token {
                builder = builder.bearer_auth(token).change_context(StoreError::Unreachable)?;
            }
            // A lost connection does not tell whether the request arrived.
            let response =
                builder.body(body).send().await.change_context(StoreError::OutcomeUnknown)?;
            let status = response.status();
            let head = response_head_size(&response);
            let bytes = response.bytes().await.change_context(StoreError::OutcomeUnknown)?;
            count_control(purpose, sent, head + bytes.len());
            match (status.as_u16(), serde_json::from_slice::<Value>(&bytes)) {
                (200, Ok(value)) => Ok(value),
                (400, Ok(value)) => Err(Report::new(refusal(&value))),
                // A gateway's answer does not tell whether the service behind it ran the request.
                (500..=599, _) => Err(Report::new(StoreError::OutcomeUnknown)),
                _ => Err(Report::new(StoreError::Malformed)),
            }
        };
        compio::time::timeout(CALL_TIMEOUT, request)
            .await
            .unwrap_or_else(|_| Err(Report::new(StoreError::OutcomeUnknown)))
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

    fn transact(&self, writes: Vec<RowWrite>) -> LocalBoxFuture<'_, StoreResult<()>> {
        async move {
            let items: Vec<Value> = writes.iter().map(write_json).collect();
            self.call("TransactWriteItems", json!({ "TransactItems": items })).await.map(|_| ())
        }
        .boxed_local()
    }
}

/// What a call is for, as the counters of control traffic name it.
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
    let (condition, next_version) = match write.condition {
        RowCondition::Absent => (json!("attribute_not_exists(pk)"), 1),
        RowCondition::VersionIs(version) => (json!("ver = :ver"), version + 1),
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
            attributes["ver"] = json!({ "N": next_version.to_string() });
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

fn refusal(value: &Value) -> StoreError {
    let is_conflict = value["__type"].as_str().is_some_and(|name| name.ends_with(CONFLICT_TYPE));
    if !is_conflict {
        return StoreError::Malformed;
    }
    let reasons = value["CancellationReasons"].as_array().map(Vec::as_slice).unwrap_or_default();
    let writes = (0..reasons.len())
        .filter(|&position| reasons[position]["Code"].as_str() != Some("None"))
        .collect();
    StoreError::Conflict { writes }
}
