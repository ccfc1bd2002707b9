//! Quarantine: bans on requests that crash the engines that run them.

use std::time::Duration;

use eelgrassdeal_routing::RequestFingerprint;
use eelgrassdeal_schema::config::RequestBan;
use eelgrassdeal_schema::config::config_entry::Body;
use eelgrassdeal_schema::engine::ChatRequest;
use eelgrassdeal_standins::{EngineOptions, StreamFault, answer_text};
use eelgrassdeal_testkit::{FleetSpec, MODEL, TestCaller, TestFleet, chat_request, wait_until};
use eelgrassdeal_types::{ClientAccountId, ModelId, unix_ms_now};
use serde_json::json;

const CONFIG_PROPAGATION_TIMEOUT: Duration = Duration::from_secs(5);

/// Ban on `request` of the test account that expires after `duration`.
fn ban_for(request: &ChatRequest, duration: Duration) -> Body {
    // As in the node, the fingerprint does not cover the fields that differ between attempts at one
    // request or that a caller could change to evade a ban.
    let mut body = json!(request);
    let fields = body.as_object_mut().expect("an object");
    ["resume", "priority", "stream"].iter().for_each(|field| drop(fields.remove(*field)));
    let account = ClientAccountId::from("account-1");
    let text = body.to_string();
    let fingerprint = RequestFingerprint::new(&account, &ModelId::from(MODEL), text.as_bytes());
    let expires_unix_ms = unix_ms_now() + duration.as_millis() as u64;
    Body::RequestBan(RequestBan { id: fingerprint.to_hex(), expires_unix_ms })
}

/// Waits until `revision` of the configuration, or a newer one, is in force on every node.
async fn wait_for_revision(fleet: &TestFleet, revision: u64) {
    for index in 0..fleet.node_addresses.len() {
        let has_revision = wait_until(CONFIG_PROPAGATION_TIMEOUT, async || {
            let status = fleet.node_status(index).await.unwrap_or_default();
            status["revision"].as_u64() >= Some(revision)
        })
        .await;
        assert!(has_revision, "node {index} lacks revision {revision}");
    }
}

/// Guards against a node that runs a banned request, including one with another priority or with a
/// streamed response, and against a ban that applies to a request with other content.
#[compio::test]
async fn a_banned_request_is_refused_on_every_node() {
    let fleet = TestFleet::start_serving(FleetSpec::default()).await;
    // The fake engine crashes when it runs a request whose messages contain this text.
    let banned_request = chat_request("CRASH_ENGINE", 20);
    let revision = fleet.apply(vec![ban_for(&banned_request, Duration::from_secs(600))]).await;
    wait_for_revision(&fleet, revision).await;
    let caller = TestCaller::new(&fleet.node_addresses);
    for address in fleet.node_addresses.iter().copied() {
        let with_other_priority =
            ChatRequest { priority: banned_request.priority + 1, ..banned_request.clone() };
        let buffered = caller.chat_buffered(address, &with_other_priority).await;
        assert_eq!(buffered.status, 422, "{buffered:?}");
        let streamed = caller.chat_without_retry(address, &banned_request).await;
        let status = streamed.error.as_ref().map(|error| error.status);
        assert_eq!(status, Some(422), "{streamed:?}");
        let other_request = chat_request("a harmless request", 20);
        let outcome = caller.chat_without_retry(address, &other_request).await;
        assert_eq!(outcome.text, answer_text(&other_request), "{outcome:?}");
    }
    let crashes: u32 = fleet.engines.iter().map(|(_, engine)| engine.crashes()).sum();
    assert_eq!(crashes, 0);
}

/// Guards against retrying a request that is banned while it runs.
#[compio::test]
async fn a_running_request_is_not_retried_after_its_ban() {
    let engine =
        EngineOptions { token_interval: Duration::from_millis(20), ..EngineOptions::default() };
    let fleet = TestFleet::start_serving(FleetSpec { engine, ..FleetSpec::default() }).await;
    // The first attempt is interrupted at token 250, 5 s after its start. The ban takes effect well
    // before that.
    for (_, engine) in &fleet.engines {
        engine.inject_stream_fault(StreamFault::InterruptAt(250));
    }
    let request = chat_request("lot 4", 300);
    let caller = TestCaller::new(&fleet.node_addresses);
    let (outcome, ()) =
        futures_util::join!(caller.chat_without_retry(fleet.node_addresses[0], &request), async {
            fleet.busy_group().await;
            let revision = fleet.apply(vec![ban_for(&request, Duration::from_secs(600))]).await;
            wait_for_revision(&fleet, revision).await;
        });
    assert!(!outcome.is_complete, "{outcome:?}");
    let kind = outcome.error.as_ref().map(|error| error.body.kind.clone());
    assert_eq!(kind.as_deref(), Some("request_quarantined"), "{outcome:?}");
    assert_eq!(fleet.run_count(), 1);
}

/// Guards against a ban that applies after its expiry, and against expired bans that accumulate in
/// the configuration.
#[compio::test]
async fn an_expired_ban_is_lifted_and_removed() {
    let fleet = TestFleet::start_serving(FleetSpec::default()).await;
    let request = chat_request("lot 5", 20);
    fleet.apply(vec![ban_for(&request, Duration::ZERO)]).await;
    let caller = TestCaller::new(&fleet.node_addresses);
    let outcome = caller.chat(&request).await;
    assert_eq!(outcome.text, answer_text(&request), "{outcome:?}");
    let is_removed = wait_until(Duration::from_secs(20), async || {
        fleet.config().await.request_bans().next().is_none()
    })
    .await;
    assert!(is_removed, "the expired ban stays in the configuration");
}
