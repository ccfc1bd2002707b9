//! Rows of another writer among those of the upstreams.

mod common;

use common::{API_KEY, ENGINE_SERVICE, PLAIN_SERVICE, TestPlatform, complete_stream};
use serde_json::{Value, json};

const EVENTS: u64 = 10;
/// Deeper than the stack of a recursive decoder allows.
const NESTING: usize = 10_000;

/// The row of an upstream of the plain service, with `field` set to `value`.
fn plain_row(field: &str, value: Value) -> Vec<u8> {
    let mut row = json!({ "service": PLAIN_SERVICE, "address": "127.0.0.1:9", "zone": "zone-a",
        "version": "1", "slots": 6, "state": "ready", "cold_left_ms": 0, "seq": 1, "born": 1 });
    row[field] = value;
    row.to_string().into_bytes()
}

/// The row of a member of a group, with `field` of its group set to `value`.
fn member_row(field: &str, value: Value) -> Vec<u8> {
    let mut group = json!({ "name": "g1", "epoch": 1, "rank": 0, "state": "ready" });
    group[field] = value;
    let row = json!({ "service": ENGINE_SERVICE, "address": "127.0.0.1:9", "zone": "zone-a",
        "version": "1", "slots": 8, "state": "ready", "cold_left_ms": 0, "seq": 1, "born": 1,
        "domain": "d1", "staged": [], "models": [], "group": group });
    row.to_string().into_bytes()
}

/// `bytes`, with the text `0.5` replaced by a number that no type holds.
fn with_number(bytes: Vec<u8>, number: &str) -> Vec<u8> {
    String::from_utf8(bytes).expect("JSON").replace("0.5", number).into_bytes()
}

fn odd_rows() -> Vec<(&'static str, Vec<u8>)> {
    let nested = |open: &str, close: &str| [open.repeat(NESTING), close.repeat(NESTING)].concat();
    let nested_field = |field: &str| {
        let row = String::from_utf8(plain_row(field, json!("@"))).expect("JSON");
        row.replace("\"@\"", &nested("[", "]")).into_bytes()
    };
    vec![
        ("nested-arrays", nested("[", "]").into_bytes()),
        ("nested-objects", nested("{\"a\":", "}").into_bytes()),
        ("nested-open", "[".repeat(NESTING).into_bytes()),
        ("nested-unknown-field", nested_field("extra")),
        ("nested-domain", nested_field("domain")),
        ("nested-staged", nested_field("staged")),
        ("large-slots", plain_row("slots", json!(u32::MAX))),
        ("too-many-slots", plain_row("slots", json!(u64::MAX))),
        ("negative-slots", plain_row("slots", json!(-1))),
        ("no-slots", plain_row("slots", json!(0))),
        ("large-cold", plain_row("cold_left_ms", json!(1e308))),
        ("negative-cold", plain_row("cold_left_ms", json!(-1e308))),
        ("infinite-cold", with_number(plain_row("cold_left_ms", json!(0.5)), "1e999")),
        ("large-seq", with_number(plain_row("seq", json!(0.5)), "99999999999999999999999")),
        ("large-born", plain_row("born", json!(u64::MAX))),
        ("larger-born", with_number(plain_row("born", json!(0.5)), "18446744073709551616")),
        ("port-0", plain_row("address", json!("127.0.0.1:0"))),
        ("port-65536", plain_row("address", json!("127.0.0.1:65536"))),
        ("port-huge", plain_row("address", json!("127.0.0.1:99999999999999999999"))),
        ("port-negative", plain_row("address", json!("127.0.0.1:-1"))),
        ("port-none", plain_row("address", json!("127.0.0.1"))),
        ("address-number", plain_row("address", json!(9))),
        ("state-unknown", plain_row("state", json!("dancing"))),
        ("service-unknown", plain_row("service", json!("nobody"))),
        ("service-long", plain_row("service", json!("s".repeat(60_000)))),
        ("empty", Vec::new()),
        ("not-text", vec![0xff; 1_000]),
        ("large-epoch", member_row("epoch", json!(u64::MAX))),
        ("larger-epoch", with_number(member_row("epoch", json!(0.5)), "18446744073709551616")),
        ("large-rank", member_row("rank", json!(u64::MAX))),
        ("open-stranger", member_row("state", json!("open"))),
    ]
}

/// A node must neither end nor stop following the rows of the upstreams.
#[compio::test]
async fn odd_rows_neither_end_a_node_nor_stop_it_from_following_the_others() {
    let platform = TestPlatform::new().await;
    for (key, bytes) in odd_rows() {
        platform.store.put("servers", &format!("i-odd-{key}"), &bytes);
    }
    let platform = platform.with_gateways(2).await.with_engines(4, EVENTS).await;
    platform.wait_serving(2).await;
    // Rows that change while the nodes follow the table.
    for (key, bytes) in odd_rows() {
        platform.store.put("servers", &format!("i-odd-{key}"), &bytes);
        platform.store.put("servers", &format!("i-later-{key}"), &bytes);
    }
    let platform = platform.with_plain_workers(2).await;
    for gateway in 0..2 {
        for (path, body) in [("/look/x", "plain answer"), ("/stream/x", &complete_stream(EVENTS))] {
            platform
                .wait_until("the request is served", async || {
                    let answer = platform.send_request(gateway, path, "a", API_KEY).await;
                    answer.is_ok_and(|answer| answer.status == 200 && answer.body == body)
                })
                .await;
        }
        let log = platform.gateways[gateway].log();
        assert!(!log.contains("panicked"), "node {gateway}: {log}");
        assert_eq!(log.matches("event=start").count(), 1, "node {gateway} started again");
    }
    platform.assert_no_violations();
}
