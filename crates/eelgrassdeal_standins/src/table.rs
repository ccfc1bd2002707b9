//! Fake of the table service, which implements a subset of the DynamoDB JSON protocol.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::io;
use std::net::SocketAddr;
use std::ops::Bound;
use std::rc::Rc;

use base64::Engine as _;
use base64::engine::general_purpose::STANDARD as BASE64;
use http_body_util::BodyExt;
use hyper::Request;
use hyper::body::Incoming;
use serde_json::{Value, json};

use crate::fault::{FaultInjector, WriteFault};
use crate::server::{Reply, ServerHandle, empty_reply, json_reply, serve_fake};

/// Maximum number of rows in one page of a `Query` response; further rows need another call.
const QUERY_PAGE_ROWS: usize = 500;
/// Largest total size of the row bodies, in Base64, in one page of a `Query` response; DynamoDB has a
/// limit of 1 MB for each page.
const QUERY_PAGE_BYTES: usize = 1024 * 1024;
/// Maximum number of writes in one transaction. Versions of the table service differ in this limit;
/// the clients in `eelgrassdeal_store` keep to the smallest one, which is assumed here.
const MAX_TRANSACTION_WRITES: usize = 25;

/// Table, partition key and sort key of a row.
type ItemKey = (String, String, String);

/// Counts of the calls to a [`TableFake`].
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct TableStats {
    /// Calls that arrived, including those that met a fault.
    pub calls: u64,
    /// `GetItem` and `Query` calls that were processed.
    pub reads: u64,
    /// `TransactWriteItems` calls that were processed, including those that were rejected.
    pub writes: u64,
    /// Delayed writes that got no response and are not applied yet.
    pub pending_writes: u64,
}

/// A put that was applied.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AppliedPut {
    /// Table of the row.
    pub table: String,
    /// Partition key of the row.
    pub partition_key: String,
    /// Sort key of the row.
    pub sort_key: String,
    /// Version of the row after the write.
    pub version: u64,
    /// Body of the row after the write.
    pub body: Vec<u8>,
    /// When the row expires and the service may remove it, in seconds since the Unix epoch; 0 if it
    /// never expires.
    pub expires_unix_s: u64,
}

/// A table service that keeps its rows in memory. Clones share the rows.
#[derive(Clone, Default)]
pub struct TableFake {
    items: Rc<RefCell<BTreeMap<ItemKey, Value>>>,
    stats: Rc<Cell<TableStats>>,
    history: Option<Rc<RefCell<Vec<AppliedPut>>>>,
    faults: FaultInjector,
}

impl TableFake {
    /// Creates an empty table service.
    pub fn new() -> Self {
        Self::default()
    }

    /// Records every put that is applied. The size of this history is not limited.
    pub fn with_history(mut self) -> Self {
        self.history = Some(Rc::default());
        self
    }

    /// Puts that were applied, in order; empty without [`TableFake::with_history`].
    pub fn history(&self) -> Vec<AppliedPut> {
        self.history.as_ref().map(|history| history.borrow().clone()).unwrap_or_default()
    }

    /// Removes the rows that are expired at `now_unix_s` and returns their number.
    pub fn remove_expired(&self, now_unix_s: u64) -> usize {
        let mut items = self.items.borrow_mut();
        let rows_before = items.len();
        items.retain(|_, item| {
            let expires_unix_s = number_value(&item["expires"]["N"]);
            expires_unix_s == 0 || expires_unix_s > now_unix_s
        });
        rows_before - items.len()
    }

    /// Fault injection for this service.
    pub fn faults(&self) -> &FaultInjector {
        &self.faults
    }

    /// Counts of the calls since the start.
    pub fn stats(&self) -> TableStats {
        self.stats.get()
    }

    /// Serves the protocol on `listen`.
    ///
    /// # Errors
    ///
    /// When the address cannot be bound.
    pub async fn serve(&self, listen: SocketAddr) -> io::Result<ServerHandle> {
        serve_fake(listen, self, |fake, request| async move { fake.handle(request).await }).await
    }

    pub(crate) async fn handle(&self, request: Request<Incoming>) -> Reply {
        let path = request.uri().path().to_owned();
        let operation = request
            .headers()
            .get("x-amz-target")
            .and_then(|value| value.to_str().ok())
            .and_then(|value| value.rsplit('.').next())
            .unwrap_or_default()
            .to_owned();
        let bytes = request.into_body().collect().await.ok()?.to_bytes();
        let body: Value = serde_json::from_slice(&bytes).unwrap_or(Value::Null);
        match path.as_str() {
            "/faults" => {
                self.faults.set_from_json(&body);
                return empty_reply(204);
            }
            "/stats" => {
                let stats = self.stats();
                return json_reply(
                    200,
                    &json!({"reads": stats.reads, "writes": stats.writes, "waiting_writes": stats.pending_writes}),
                );
            }
            _ => {}
        }
        self.update_stats(|stats| stats.calls += 1);
        let plan = self.faults.plan();
        if plan.is_down {
            return None;
        }
        if !plan.delay.is_zero() {
            compio::time::sleep(plan.delay).await;
        }
        if self.faults.consume_throttled_call() {
            return json_reply(400, &json!({ "__type": "ThrottlingException" }));
        }
        match operation.as_str() {
            "GetItem" => {
                self.update_stats(|stats| stats.reads += 1);
                self.get_item(&body)
            }
            "Query" => {
                self.update_stats(|stats| stats.reads += 1);
                self.query(&body)
            }
            "TransactWriteItems" => self.write(body).await,
            _ => json_reply(400, &json!({ "__type": "UnknownOperationException" })),
        }
    }

    async fn write(&self, body: Value) -> Reply {
        match self.faults.next_write_fault() {
            WriteFault::NoFault => self.transact(&body),
            WriteFault::LostResponse => {
                self.transact(&body);
                None
            }
            WriteFault::LostRequest => None,
            WriteFault::Delayed(write_delay) => {
                let fake = self.clone();
                self.update_stats(|stats| stats.pending_writes += 1);
                compio::runtime::spawn(async move {
                    compio::time::sleep(write_delay).await;
                    fake.transact(&body);
                    fake.update_stats(|stats| stats.pending_writes -= 1);
                })
                .detach();
                None
            }
        }
    }

    fn update_stats(&self, change: impl FnOnce(&mut TableStats)) {
        let mut stats = self.stats.get();
        change(&mut stats);
        self.stats.set(stats);
    }

    fn get_item(&self, body: &Value) -> Reply {
        let key = item_key(&body["TableName"], &body["Key"]);
        let items = self.items.borrow();
        match items.get(&key) {
            Some(item) => json_reply(200, &json!({ "Item": item })),
            None => json_reply(200, &json!({})),
        }
    }

    fn query(&self, body: &Value) -> Reply {
        let values = &body["ExpressionAttributeValues"];
        let table = string_value(&body["TableName"]);
        let partition = string_value(&values[":pk"]["S"]);
        let after = string_value(&values[":sk"]["S"]);
        let items = self.items.borrow();
        let start = Bound::Excluded((table.clone(), partition.clone(), after));
        let mut rows = items
            .range((start, Bound::Unbounded))
            .take_while(|((row_table, row_partition, _), _)| {
                *row_table == table && *row_partition == partition
            })
            .map(|(_, item)| item);
        let mut page: Vec<&Value> = Vec::new();
        let mut page_bytes = 0;
        let mut next = rows.next();
        while let Some(item) = next.filter(|_| page.len() < QUERY_PAGE_ROWS) {
            page_bytes += item["body"]["B"].as_str().map_or(0, str::len);
            if page_bytes > QUERY_PAGE_BYTES && !page.is_empty() {
                break;
            }
            page.push(item);
            next = rows.next();
        }
        let mut reply = json!({ "Items": page });
        if let (Some(_), Some(last)) = (next, page.last()) {
            reply["LastEvaluatedKey"] = json!({ "pk": last["pk"], "sk": last["sk"] });
        }
        json_reply(200, &reply)
    }

    fn transact(&self, body: &Value) -> Reply {
        self.update_stats(|stats| stats.writes += 1);
        let mut items = self.items.borrow_mut();
        let writes = body["TransactItems"].as_array().map(Vec::as_slice).unwrap_or_default();
        let keys: BTreeSet<ItemKey> = writes.iter().map(write_key).collect();
        // The service rejects a transaction that addresses the same row twice.
        if keys.len() < writes.len() || writes.is_empty() || writes.len() > MAX_TRANSACTION_WRITES {
            return json_reply(400, &json!({ "__type": "ValidationException" }));
        }
        let mut has_failed = false;
        let reasons: Vec<Value> = writes
            .iter()
            .map(|write| match is_condition_met(&items, write) {
                true => json!({ "Code": "None" }),
                false => {
                    has_failed = true;
                    json!({ "Code": "ConditionalCheckFailed" })
                }
            })
            .collect();
        if has_failed {
            let body =
                json!({ "__type": "TransactionCanceledException", "CancellationReasons": reasons });
            return json_reply(400, &body);
        }
        for write in writes {
            let (kind, operation) = write_operation(write);
            match kind {
                "Put" => {
                    let item = operation["Item"].clone();
                    let key = item_key(&operation["TableName"], &item);
                    self.record_put(&key, &item);
                    items.insert(key, item);
                }
                "Delete" => {
                    items.remove(&item_key(&operation["TableName"], &operation["Key"]));
                }
                _ => {}
            }
        }
        json_reply(200, &json!({}))
    }

    fn record_put(&self, key: &ItemKey, item: &Value) {
        let Some(history) = &self.history else { return };
        let body = item["body"]["B"].as_str().and_then(|text| BASE64.decode(text).ok());
        history.borrow_mut().push(AppliedPut {
            table: key.0.clone(),
            partition_key: key.1.clone(),
            sort_key: key.2.clone(),
            version: number_value(&item["ver"]["N"]),
            body: body.unwrap_or_default(),
            expires_unix_s: number_value(&item["expires"]["N"]),
        });
    }
}

/// Key of the row that a write of a transaction addresses.
fn write_key(write: &Value) -> ItemKey {
    let (kind, operation) = write_operation(write);
    match kind {
        "Put" => item_key(&operation["TableName"], &operation["Item"]),
        _ => item_key(&operation["TableName"], &operation["Key"]),
    }
}

/// Type of a write in a transaction (`Put`, `Delete` or `ConditionCheck`) and its parameters.
fn write_operation(write: &Value) -> (&str, &Value) {
    write
        .as_object()
        .and_then(|object| object.iter().next())
        .map_or(("", &Value::Null), |(kind, operation)| (kind.as_str(), operation))
}

/// Whether the row meets the condition of `write`. Only the conditions that the clients in
/// `eelgrassdeal_store` use are supported; any other one fails.
fn is_condition_met(items: &BTreeMap<ItemKey, Value>, write: &Value) -> bool {
    let (_, operation) = write_operation(write);
    let item = items.get(&write_key(write));
    match operation["ConditionExpression"].as_str() {
        Some("attribute_not_exists(pk)") => item.is_none(),
        Some("ver = :ver") => item.is_some_and(|item| {
            item["ver"]["N"] == operation["ExpressionAttributeValues"][":ver"]["N"]
        }),
        _ => false,
    }
}

fn item_key(table: &Value, key: &Value) -> ItemKey {
    (string_value(table), string_value(&key["pk"]["S"]), string_value(&key["sk"]["S"]))
}

fn string_value(value: &Value) -> String {
    value.as_str().unwrap_or_default().to_owned()
}

fn number_value(value: &Value) -> u64 {
    value.as_str().and_then(|text| text.parse().ok()).unwrap_or(0)
}
