//! Stand-in for the table service: a subset of the DynamoDB JSON protocol.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::ops::Bound;
use std::rc::Rc;

use http_body_util::BodyExt;
use hyper::Request;
use hyper::body::Incoming;
use serde_json::{Value, json};

use crate::fault::FaultSwitch;
use crate::server::{Reply, ServerHandle, empty_reply, json_reply, serve_http};

/// Rows of one answer to `Query`; more need another call.
const QUERY_PAGE_ROWS: usize = 500;

type ItemKey = (String, String, String);

/// Calls that were carried out.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct TableStats {
    /// `GetItem` and `Query` calls.
    pub reads: u64,
    /// `TransactWriteItems` calls.
    pub writes: u64,
}

/// A table service in memory.
#[derive(Clone, Default)]
pub struct TableFake {
    items: Rc<RefCell<BTreeMap<ItemKey, Value>>>,
    stats: Rc<Cell<TableStats>>,
    faults: FaultSwitch,
}

impl TableFake {
    /// An empty table service.
    pub fn new() -> Self {
        Self::default()
    }

    /// Switches faults.
    pub fn faults(&self) -> &FaultSwitch {
        &self.faults
    }

    /// Calls so far.
    pub fn stats(&self) -> TableStats {
        self.stats.get()
    }

    /// Serves the protocol on `listen`.
    ///
    /// # Errors
    ///
    /// When the address cannot be bound.
    pub async fn serve(&self, listen: SocketAddr) -> io::Result<ServerHandle> {
        let fake = self.clone();
        serve_http(listen, move |request| {
            let fake = fake.clone();
            async move { fake.answer(request).await }
        })
        .await
    }

    /// Answers one HTTP request.
    pub(crate) async fn answer(&self, request: Request<Incoming>) -> Reply {
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
                self.faults.set_json(&body);
                return empty_reply(204);
            }
            "/stats" => {
                let stats = self.stats();
                return json_reply(200, &json!({"reads": stats.reads, "writes": stats.writes}));
            }
            _ => {}
        }
        let plan = self.faults.plan();
        if plan.is_down {
            return None;
        }
        if !plan.delay.is_zero() {
            compio::time::sleep(plan.delay).await;
        }
        self.run(&operation, &body)
    }

    fn run(&self, operation: &str, body: &Value) -> Reply {
        let mut stats = self.stats.get();
        match operation {
            "GetItem" | "Query" => stats.reads += 1,
            _ => stats.writes += 1,
        }
        self.stats.set(stats);
        match operation {
            "GetItem" => self.get(body),
            "Query" => self.query(body),
            "TransactWriteItems" => {
                let reply = self.transact(body);
                match self.faults.take_lost_answer() {
                    true => None,
                    false => reply,
                }
            }
            _ => json_reply(400, &json!({ "__type": "UnknownOperationException" })),
        }
    }

    fn get(&self, body: &Value) -> Reply {
        let key = item_key(&body["TableName"], &body["Key"]);
        let items = self.items.borrow();
        match items.get(&key) {
            Some(item) => json_reply(200, &json!({ "Item": item })),
            None => json_reply(200, &json!({})),
        }
    }

    fn query(&self, body: &Value) -> Reply {
        let values = &body["ExpressionAttributeValues"];
        let table = text(&body["TableName"]);
        let partition = text(&values[":pk"]["S"]);
        let after = text(&values[":sk"]["S"]);
        let items = self.items.borrow();
        let start = Bound::Excluded((table.clone(), partition.clone(), after));
        let mut rows = items
            .range((start, Bound::Unbounded))
            .take_while(|((row_table, row_partition, _), _)| {
                *row_table == table && *row_partition == partition
            })
            .map(|(_, item)| item);
        let page: Vec<&Value> = rows.by_ref().take(QUERY_PAGE_ROWS).collect();
        let mut reply = json!({ "Items": page });
        if let (Some(_), Some(last)) = (rows.next(), page.last()) {
            reply["LastEvaluatedKey"] = json!({ "pk": last["pk"], "sk": last["sk"] });
        }
        json_reply(200, &reply)
    }

    fn transact(&self, body: &Value) -> Reply {
        let mut items = self.items.borrow_mut();
        let writes = body["TransactItems"].as_array().map(Vec::as_slice).unwrap_or_default();
        let mut has_failed = false;
        let reasons: Vec<Value> = writes
            .iter()
            .map(|write| match holds(&items, write) {
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
            let (kind, operation) = operation_of(write);
            match kind {
                "Put" => {
                    let item = operation["Item"].clone();
                    items.insert(item_key(&operation["TableName"], &item), item);
                }
                "Delete" => {
                    items.remove(&item_key(&operation["TableName"], &operation["Key"]));
                }
                _ => {}
            }
        }
        json_reply(200, &json!({}))
    }
}

fn operation_of(write: &Value) -> (&str, &Value) {
    write
        .as_object()
        .and_then(|object| object.iter().next())
        .map_or(("", &Value::Null), |(kind, operation)| (kind.as_str(), operation))
}

fn holds(items: &BTreeMap<ItemKey, Value>, write: &Value) -> bool {
    let (kind, operation) = operation_of(write);
    let key = match kind {
        "Put" => item_key(&operation["TableName"], &operation["Item"]),
        _ => item_key(&operation["TableName"], &operation["Key"]),
    };
    let item = items.get(&key);
    match operation["ConditionExpression"].as_str() {
        Some("attribute_not_exists(pk)") => item.is_none(),
        Some("ver = :ver") => item.is_some_and(|item| {
            item["ver"]["N"] == operation["ExpressionAttributeValues"][":ver"]["N"]
        }),
        _ => false,
    }
}

fn item_key(table: &Value, key: &Value) -> ItemKey {
    (text(table), text(&key["pk"]["S"]), text(&key["sk"]["S"]))
}

fn text(value: &Value) -> String {
    value.as_str().unwrap_or_default().to_owned()
}
