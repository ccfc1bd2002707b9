//! TLS on callers' connections.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;

use compio::io::{AsyncReadExt, AsyncWrite, AsyncWriteExt};
use compio::net::TcpStream;
use compio::tls::TlsConnector;
use eelgrassdeal_node::{NodeHandle, check_settings, start_node, with_defaults};
use eelgrassdeal_schema::settings::{LimitSettings, NodeSettings, TlsSettings};
use eelgrassdeal_standins::{CertificateAuthority, EngineOptions, ServerHandle, answer_text};
use eelgrassdeal_testkit::{
    ACCOUNT_KEY, FleetSpec, TestFleet, chat_request, free_address, wait_until,
};
use eelgrassdeal_types::new_writer_mark;
use rustls::pki_types::CertificateDer;
use rustls::pki_types::pem::PemObject;
use rustls::{ClientConfig, RootCertStore};

const SERVER_NAME: &str = "node.test";
/// Much longer than any response takes. A connection that is still open after it counts as hung.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(20);
const HEALTH_REQUEST: &str = "GET /healthz HTTP/1.1\r\nhost: node\r\nconnection: close\r\n\r\n";

/// A fleet whose only node accepts callers' connections with TLS.
struct TlsFleet {
    fleet: TestFleet,
    node: NodeHandle,
    connector: TlsConnector,
    _handles: Vec<ServerHandle>,
}

impl TlsFleet {
    /// Starts a fleet of one node and replaces the node by one that uses TLS.
    async fn start() -> Self {
        let engine = EngineOptions {
            first_token_delay: Duration::from_millis(1),
            token_interval: Duration::ZERO,
            ..EngineOptions::default()
        };
        let spec = FleetSpec { nodes: 1, engine, ..FleetSpec::default() };
        let mut fleet = TestFleet::start_serving(spec).await;
        fleet.kill_node(0);
        let any_port = SocketAddr::from(([127, 0, 0, 1], 0));
        let handles = vec![
            fleet.table.serve(any_port).await.expect("table service starts"),
            fleet.object.serve(any_port).await.expect("object store starts"),
            fleet.vm_list.serve(any_port).await.expect("VM list starts"),
        ];
        let urls: Vec<String> =
            handles.iter().map(|handle| format!("http://{}", handle.address())).collect();
        let id = TestFleet::node_id(0);
        let authority = CertificateAuthority::new(&temp_folder()).expect("a certificate authority");
        let tls = authority.issue(&[SERVER_NAME]).expect("a certificate");
        let settings = NodeSettings {
            data_centre: TestFleet::centre_id(0),
            listen: free_address().to_string(),
            peer_listen: free_address().to_string(),
            table_url: urls[0].clone(),
            object_url: urls[1].clone(),
            vm_list_url: urls[2].clone(),
            peer_tls: Some(authority.issue(&[&id]).expect("a certificate")),
            // Also the timeout of the TLS handshake.
            limits: Some(LimitSettings { header_timeout_ms: 1_000, ..LimitSettings::default() }),
            tls: Some(tls.clone()),
            node: id,
            ..NodeSettings::default()
        };
        let node = start_node(with_defaults(settings)).await.expect("the node starts");
        Self { fleet, node, connector: tls_connector(&tls), _handles: handles }
    }

    /// Sends a request over TLS and reads until the node closes the connection.
    async fn exchange(&self, text: String) -> String {
        let exchange = async {
            let stream = TcpStream::connect(self.node.address()).await.expect("the node listens");
            let mut stream =
                self.connector.connect(SERVER_NAME, stream).await.expect("a successful handshake");
            let (sent, _) = stream.write_all(text.into_bytes()).await.into();
            sent.expect("the request is sent");
            stream.flush().await.expect("the request is sent");
            let (read, bytes) = stream.read_to_end(Vec::new()).await.into();
            read.expect("the node sends a TLS close_notify before it closes the connection");
            String::from_utf8_lossy(&bytes).into_owned()
        };
        compio::time::timeout(RESPONSE_TIMEOUT, exchange)
            .await
            .expect("a response within the timeout")
    }

    /// Sends text without TLS and reads until the node closes the connection.
    async fn exchange_without_tls(&self, text: &str) -> Vec<u8> {
        let mut stream = TcpStream::connect(self.node.address()).await.expect("the node listens");
        let _ = stream.write_all(text.as_bytes().to_vec()).await;
        let read = stream.read_to_end(Vec::new());
        let read_result = compio::time::timeout(RESPONSE_TIMEOUT, read).await;
        let (_, bytes) = read_result.expect("the connection is closed").into();
        bytes
    }
}

/// A TLS client that trusts the certificate authority of `tls`, whose `ca_file` the node ignores.
fn tls_connector(tls: &TlsSettings) -> TlsConnector {
    let mut roots = RootCertStore::empty();
    let authority = CertificateDer::from_pem_file(&tls.ca_file).expect("a CA certificate");
    roots.add(authority).expect("a valid CA certificate");
    let provider = Arc::new(rustls::crypto::ring::default_provider());
    let config = ClientConfig::builder_with_provider(provider)
        .with_safe_default_protocol_versions()
        .expect("supported TLS versions")
        .with_root_certificates(roots)
        .with_no_client_auth();
    TlsConnector::from(Arc::new(config))
}

/// Path of a new folder. Tests run concurrently, and each needs its own certificate authority.
fn temp_folder() -> PathBuf {
    // The writer mark serves only as a random value that makes the name unique.
    let name = format!("eelgrassdeal-{}-caller-tls-{}", std::process::id(), new_writer_mark());
    std::env::temp_dir().join(name)
}

/// Guards against a response that is truncated or altered by the TLS layer.
#[compio::test]
async fn a_response_over_tls_is_complete() {
    let fleet = TlsFleet::start().await;
    // The response is larger than the connection's buffers and than a TLS record (16 KiB).
    let mut request = chat_request("lot 1", 4_000);
    request.stream = false;
    let body = serde_json::to_string(&request).expect("a body");
    let text = format!(
        "POST /v1/chat/completions HTTP/1.1\r\nhost: node\r\nconnection: close\r\n\
         authorization: Bearer {ACCOUNT_KEY}\r\ncontent-length: {}\r\n\r\n{body}",
        body.len()
    );
    // The node refuses requests until it has read the configuration and probed the replicas.
    let expected = answer_text(&request);
    assert!(expected.len() > 16 * 1024, "{} bytes", expected.len());
    let is_complete = wait_until(RESPONSE_TIMEOUT, async || {
        fleet.exchange(text.clone()).await.contains(&expected)
    })
    .await;
    assert!(is_complete, "no complete response");
    assert!(fleet.fleet.run_count() > 0);
}

/// Guards against responding without TLS on a TLS port, and against callers that keep a connection
/// open indefinitely, or affect other callers, by not completing the handshake.
#[compio::test]
async fn connections_without_a_handshake_are_closed() {
    let fleet = TlsFleet::start().await;
    // The last text is the beginning of a TLS record with a handshake message.
    for text in [HEALTH_REQUEST, "", "\u{16}\u{3}\u{1}"] {
        let bytes = fleet.exchange_without_tls(text).await;
        assert!(!bytes.starts_with(b"HTTP"), "the node responded to {text:?} without TLS");
    }
    let response = fleet.exchange(HEALTH_REQUEST.to_owned()).await;
    assert!(response.starts_with("HTTP/1.1 200"), "{response}");
}

/// Guards against accepting TLS settings with which the node cannot start.
#[test]
fn check_settings_reports_missing_files() {
    let folder = temp_folder().display().to_string();
    let file = |name: &str| format!("{folder}/absent-{name}.pem");
    let tls = TlsSettings {
        certificate_file: file("certificate"),
        key_file: file("key"),
        ca_file: String::new(),
    };
    let without_key = TlsSettings { key_file: String::new(), ..tls.clone() };
    let problems = |tls: TlsSettings| {
        let settings = NodeSettings { tls: Some(tls), ..NodeSettings::default() };
        check_settings(&with_defaults(settings)).join("\n")
    };
    for name in ["certificate", "key"] {
        let text = format!("tls.{name}_file: no file {:?}", file(name));
        assert!(problems(tls.clone()).contains(&text), "{}", problems(tls));
    }
    let text = "tls: certificate_file and key_file are needed";
    assert!(problems(without_key).contains(text));
    // Without files, the node serves plain HTTP, so there is no problem that begins with `tls`. The
    // line break excludes `peer_tls`; the first problem is always that `node` is missing.
    assert!(!problems(TlsSettings::default()).contains("\ntls"));
}
