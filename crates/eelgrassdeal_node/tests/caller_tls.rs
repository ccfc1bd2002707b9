//! TLS towards callers.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;

use compio::io::{AsyncReadExt, AsyncWrite, AsyncWriteExt};
use compio::net::TcpStream;
use compio::tls::TlsConnector;
use eelgrassdeal_node::{NodeHandle, check_settings, start_node, with_defaults};
use eelgrassdeal_schema::settings::{LimitSettings, NodeSettings, TlsSettings};
use eelgrassdeal_standins::{CertificateFolder, EngineOptions, ServerHandle, answer_text};
use eelgrassdeal_testkit::{
    ACCOUNT_KEY, FleetSpec, TestFleet, chat_request, free_address, wait_until,
};
use eelgrassdeal_types::new_writer_mark;
use rustls::pki_types::CertificateDer;
use rustls::pki_types::pem::PemObject;
use rustls::{ClientConfig, RootCertStore};

const NAME: &str = "node.test";
/// Much longer than any answer takes, and shorter than a timeout that is not enforced.
const PATIENCE: Duration = Duration::from_secs(20);
const HEALTH: &str = "GET /healthz HTTP/1.1\r\nhost: node\r\nconnection: close\r\n\r\n";

/// A fleet whose only node takes TLS connections.
struct TlsFleet {
    fleet: TestFleet,
    node: NodeHandle,
    connector: TlsConnector,
    _handles: Vec<ServerHandle>,
}

impl TlsFleet {
    /// Puts a node with TLS in the place of the node of a fleet.
    async fn start() -> Self {
        let engine = EngineOptions {
            first_token: Duration::from_millis(1),
            token_interval: Duration::ZERO,
            ..EngineOptions::default()
        };
        let spec = FleetSpec { nodes: 1, engine, ..FleetSpec::default() };
        let mut fleet = TestFleet::start_serving(spec).await;
        fleet.kill_node(0);
        let any = SocketAddr::from(([127, 0, 0, 1], 0));
        let handles = vec![
            fleet.table.serve(any).await.expect("table service starts"),
            fleet.object.serve(any).await.expect("object store starts"),
            fleet.vm_list.serve(any).await.expect("VM list starts"),
        ];
        let urls: Vec<String> =
            handles.iter().map(|handle| format!("http://{}", handle.address())).collect();
        let id = TestFleet::node_id(0);
        let authority = CertificateFolder::new(&temp_folder()).expect("an authority");
        let tls = authority.issue(&[NAME]).expect("a certificate");
        let settings = NodeSettings {
            data_centre: TestFleet::centre_id(0),
            listen: free_address().to_string(),
            peer_listen: free_address().to_string(),
            table_url: urls[0].clone(),
            object_url: urls[1].clone(),
            vm_list_url: urls[2].clone(),
            peer_tls: Some(authority.issue(&[&id]).expect("a certificate")),
            limits: Some(LimitSettings { header_timeout_ms: 1_000, ..LimitSettings::default() }),
            tls: Some(tls.clone()),
            node: id,
            ..NodeSettings::default()
        };
        let node = start_node(with_defaults(settings)).await.expect("the node starts");
        Self { fleet, node, connector: connector(&tls), _handles: handles }
    }

    /// Sends a request by TLS and reads until the node closes the connection.
    async fn exchange(&self, text: String) -> String {
        let exchange = async {
            let stream = TcpStream::connect(self.node.address()).await.expect("the node listens");
            let mut stream = self.connector.connect(NAME, stream).await.expect("a handshake");
            let (sent, _) = stream.write_all(text.into_bytes()).await.into();
            sent.expect("the request is sent");
            stream.flush().await.expect("the request is sent");
            let (read, bytes) = stream.read_to_end(Vec::new()).await.into();
            read.expect("the connection is closed by TLS, not cut");
            String::from_utf8_lossy(&bytes).into_owned()
        };
        compio::time::timeout(PATIENCE, exchange).await.expect("an answer")
    }

    /// Sends bytes without TLS and reads until the connection ends.
    async fn exchange_plain(&self, text: &str) -> Vec<u8> {
        let mut stream = TcpStream::connect(self.node.address()).await.expect("the node listens");
        let _ = stream.write_all(text.as_bytes().to_vec()).await;
        let read = stream.read_to_end(Vec::new());
        let ended = compio::time::timeout(PATIENCE, read).await;
        let (_, bytes) = ended.expect("the connection ends").into();
        bytes
    }
}

fn connector(tls: &TlsSettings) -> TlsConnector {
    let mut roots = RootCertStore::empty();
    let authority = CertificateDer::from_pem_file(&tls.ca_file).expect("an authority");
    roots.add(authority).expect("an authority");
    let provider = Arc::new(rustls::crypto::ring::default_provider());
    let config = ClientConfig::builder_with_provider(provider)
        .with_safe_default_protocol_versions()
        .expect("versions")
        .with_root_certificates(roots)
        .with_no_client_auth();
    TlsConnector::from(Arc::new(config))
}

/// A folder for each test: they run at the same time, and each has an authority of its own.
fn temp_folder() -> PathBuf {
    let name = format!("eelgrassdeal-{}-caller-tls-{}", std::process::id(), new_writer_mark());
    std::env::temp_dir().join(name)
}

/// Guards against an answer that is cut or altered on its way through TLS.
#[compio::test]
async fn an_answer_by_tls_is_whole() {
    let fleet = TlsFleet::start().await;
    // Longer than the buffers of the connection and than a TLS record.
    let mut request = chat_request("lot 1", 4_000);
    request.stream = false;
    let body = serde_json::to_string(&request).expect("a body");
    let text = format!(
        "POST /v1/chat/completions HTTP/1.1\r\nhost: node\r\nconnection: close\r\n\
         authorization: Bearer {ACCOUNT_KEY}\r\ncontent-length: {}\r\n\r\n{body}",
        body.len()
    );
    // The node first reads the configuration and probes the replicas.
    let expected = answer_text(&request);
    assert!(expected.len() > 16 * 1024, "{} bytes", expected.len());
    let is_answered =
        wait_until(PATIENCE, async || fleet.exchange(text.clone()).await.contains(&expected)).await;
    assert!(is_answered, "no whole answer");
    assert!(fleet.fleet.runs() > 0);
}

/// Guards against a port for TLS that answers without TLS, and against callers that hold a
/// connection for ever, or harm others, by not completing the handshake.
#[compio::test]
async fn connections_without_a_handshake_end() {
    let fleet = TlsFleet::start().await;
    for text in [HEALTH, "", "\u{16}\u{3}\u{1}"] {
        let bytes = fleet.exchange_plain(text).await;
        assert!(!bytes.starts_with(b"HTTP"), "{text:?} was answered without TLS");
    }
    let answer = fleet.exchange(HEALTH.to_owned()).await;
    assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
}

/// Guards against settings that pass the check although the node cannot start with them.
#[test]
fn the_check_names_missing_files() {
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
    assert!(!problems(TlsSettings::default()).contains("\ntls"));
}
