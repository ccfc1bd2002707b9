//! Calls between peers: identity checks, size limits, timeouts and lost connections.

#![allow(clippy::unwrap_used, reason = "a failed step fails the test")]

mod common;

use std::net::SocketAddr;
use std::sync::mpsc;
use std::time::Duration;

use common::{CertificateAuthority, peer_address, reply_from, request_from, serve_as};
use compio::runtime::Runtime;
use eelgrassdeal_peers::{MAX_MESSAGE_BYTES, PeerAddress, PeerEndpoint, PeerError, PeerSettings};
use eelgrassdeal_schema::peer::PeerReply;

/// Guards against a new handshake for each request, and against traffic that is not counted at one
/// of the two ends.
#[compio::test]
async fn connection_is_reused_and_counted() {
    let authority = CertificateAuthority::new();
    let (first, second) = (authority.bind("n1").await, authority.bind("n2").await);
    serve_as(&second, "n2");
    let client = first.client();
    for _ in 0..10 {
        let reply = client.call(&peer_address("n2", &second), request_from("n1")).await.unwrap();
        assert_eq!(reply.node, "n2");
    }
    let client_counters = client.counters()["n2"];
    assert_eq!(
        (
            client_counters.connections,
            client_counters.messages_sent,
            client_counters.messages_received
        ),
        (1, 10, 10)
    );
    // Each message has 4 bytes: only `node` is set, with a tag, a length and 2 characters.
    assert_eq!((client_counters.bytes_sent, client_counters.bytes_received), (40, 40));
    assert!(client_counters.udp_bytes_sent > client_counters.bytes_sent);
    let server_counters = second.client().counters()["n1"];
    assert_eq!((server_counters.messages_received, server_counters.messages_sent), (10, 10));
}

/// Guards against a node that replies in the name of another node.
#[compio::test]
async fn client_refuses_replies_of_another_node() {
    let authority = CertificateAuthority::new();
    let (first, second) = (authority.bind("n1").await, authority.bind("n2").await);
    serve_as(&second, "n3");
    let result = first.client().call(&peer_address("n3", &second), request_from("n1")).await;
    assert_eq!(result.unwrap_err().current_context(), &PeerError::Connect);
    // A node with the expected certificate must not reply in the name of another node either.
    let result = first.client().call(&peer_address("n2", &second), request_from("n1")).await;
    assert_eq!(result.unwrap_err().current_context(), &PeerError::WrongNode);
}

/// Guards against a node that sends requests, such as slot reports, in the name of another node.
#[compio::test]
async fn request_naming_another_node_is_refused() {
    let authority = CertificateAuthority::new();
    let (first, second) = (authority.bind("n1").await, authority.bind("n2").await);
    serve_as(&second, "n2");
    let result = first.client().call(&peer_address("n2", &second), request_from("n3")).await;
    assert_eq!(result.unwrap_err().current_context(), &PeerError::ConnectionLost);
    assert!(!second.client().counters().contains_key("n3"));
}

/// Guards against accepting a node whose certificate another authority signed.
#[compio::test]
async fn certificate_from_another_authority_is_refused() {
    let (authority, other_authority) = (CertificateAuthority::new(), CertificateAuthority::new());
    let second = authority.bind("n2").await;
    serve_as(&second, "n2");
    let mut tls_settings = other_authority.issue_certificate("n1");
    tls_settings.ca_file = authority.issue_certificate("n2").ca_file;
    let settings = PeerSettings { tls: tls_settings, ..authority.peer_settings("n1") };
    let first = PeerEndpoint::bind(&settings).await.unwrap();
    let result = first.client().call(&peer_address("n2", &second), request_from("n1")).await;
    assert!(result.is_err());
    assert!(second.client().counters().is_empty());
}

/// Guards against unbounded memory use by a message, in both directions. The sender refuses the
/// message: `call` fails for an oversized request, and for an oversized reply the peer resets the
/// stream. The receiver's own limit is not reached.
#[compio::test]
async fn oversized_messages_are_refused() {
    let authority = CertificateAuthority::new();
    let (first, second) = (authority.bind("n1").await, authority.bind("n2").await);
    let server = second.clone();
    compio::runtime::spawn(async move {
        let start_id = "s".repeat(MAX_MESSAGE_BYTES);
        let reply = move || PeerReply { start_id: start_id.clone(), ..reply_from("n2") };
        server.serve(move |_| std::future::ready(reply())).await;
    })
    .detach();
    let mut request = request_from("n1");
    request.start_id = "s".repeat(MAX_MESSAGE_BYTES);
    let result = first.client().call(&peer_address("n2", &second), request).await;
    assert_eq!(result.unwrap_err().current_context(), &PeerError::TooLarge);
    let result = first.client().call(&peer_address("n2", &second), request_from("n1")).await;
    assert_eq!(result.unwrap_err().current_context(), &PeerError::ConnectionLost);
}

/// Guards against a call that waits forever, and against closing a working connection because one
/// handler is slow.
#[compio::test]
async fn slow_handler_times_out_without_closing_the_connection() {
    let authority = CertificateAuthority::new();
    let settings = authority.peer_settings("n1").with_request_timeout(Duration::from_millis(200));
    let first = PeerEndpoint::bind(&settings).await.unwrap();
    let second = authority.bind("n2").await;
    let server = second.clone();
    compio::runtime::spawn(async move {
        server
            .serve(|request| async move {
                if request.revision == 1 {
                    std::future::pending::<()>().await;
                }
                reply_from("n2")
            })
            .await;
    })
    .detach();
    let (client, peer) = (first.client(), peer_address("n2", &second));
    let mut slow = request_from("n1");
    slow.revision = 1;
    let result = client.call(&peer, slow).await;
    assert_eq!(result.unwrap_err().current_context(), &PeerError::Timeout);
    client.call(&peer, request_from("n1")).await.unwrap();
    assert_eq!(client.counters()["n2"].connections, 1);
}

/// A peer in a separate thread and runtime, so that it can stop without closing its connections.
struct ThreadPeer {
    address: SocketAddr,
    stop: mpsc::Sender<()>,
    thread: std::thread::JoinHandle<()>,
}

impl ThreadPeer {
    fn start(settings: PeerSettings, node: &'static str, delay: Duration) -> Self {
        let (stop, stopped) = mpsc::channel();
        let (sender, receiver) = mpsc::channel();
        let thread = std::thread::spawn(move || {
            Runtime::new().unwrap().block_on(async move {
                let endpoint = PeerEndpoint::bind(&settings).await.unwrap();
                let server = endpoint.clone();
                compio::runtime::spawn(async move {
                    let reply = move |_| async move {
                        compio::time::sleep(delay).await;
                        reply_from(node)
                    };
                    server.serve(reply).await;
                })
                .detach();
                sender.send(endpoint.local_address().unwrap()).unwrap();
                while stopped.try_recv() == Err(mpsc::TryRecvError::Empty) {
                    compio::time::sleep(Duration::from_millis(5)).await;
                }
            });
        });
        Self { address: receiver.recv().unwrap(), stop, thread }
    }

    fn stop(self) {
        self.stop.send(()).unwrap();
        self.thread.join().unwrap();
    }
}

/// Guards against a node that keeps using a connection whose state its peer lost in a restart.
#[test]
fn restarted_peer_is_reached_by_the_second_call() {
    let authority = CertificateAuthority::new();
    let peer_settings = authority.peer_settings("n2");
    let peer = ThreadPeer::start(peer_settings.clone(), "n2", Duration::ZERO);
    let address = PeerAddress { node: "n2".into(), address: peer.address };
    Runtime::new().unwrap().block_on(async {
        let settings = authority.peer_settings("n1").with_request_timeout(Duration::from_secs(3));
        let first = PeerEndpoint::bind(&settings).await.unwrap();
        let client = first.client();
        client.call(&address, request_from("n1")).await.unwrap();
        peer.stop();
        let settings = PeerSettings { listen: address.address, ..peer_settings };
        let peer = ThreadPeer::start(settings, "n2", Duration::ZERO);
        let has_replied = [
            client.call(&address, request_from("n1")).await.is_ok(),
            client.call(&address, request_from("n1")).await.is_ok(),
        ];
        assert!(has_replied[1], "calls after the restart: {has_replied:?}");
        assert_eq!(client.counters()["n2"].connections, 2);
        peer.stop();
    });
}

/// Guards against acting on an outdated reply: while the calling process is paused, a reply waits
/// in the socket and is read only after the timeout.
#[test]
fn late_reply_is_discarded_after_client_pause() {
    let authority = CertificateAuthority::new();
    let peer = ThreadPeer::start(authority.peer_settings("n2"), "n2", Duration::from_millis(100));
    let address = PeerAddress { node: "n2".into(), address: peer.address };
    Runtime::new().unwrap().block_on(async {
        let timeout = Duration::from_secs(2);
        let settings = authority.peer_settings("n1").with_request_timeout(timeout);
        let first = PeerEndpoint::bind(&settings).await.unwrap();
        let client = first.client();
        client.call(&address, request_from("n1")).await.unwrap();
        let pause = async {
            // The request is sent before the thread blocks, and the reply arrives while it blocks.
            compio::time::sleep(Duration::from_millis(1)).await;
            std::thread::sleep(timeout + Duration::from_millis(200));
        };
        let (reply, ()) = futures_util::join!(client.call(&address, request_from("n1")), pause);
        assert_eq!(reply.unwrap_err().current_context(), &PeerError::Timeout);
    });
    peer.stop();
}

/// Guards against idle connections that are never closed, and against a call that fails because its
/// connection was closed as idle.
#[compio::test]
async fn idle_connection_is_closed_and_reopened() {
    let authority = CertificateAuthority::new();
    let settings = authority.peer_settings("n1").with_idle_timeout(Duration::from_millis(100));
    let first = PeerEndpoint::bind(&settings).await.unwrap();
    let second = authority.bind("n2").await;
    serve_as(&second, "n2");
    let (client, peer) = (first.client(), peer_address("n2", &second));
    client.call(&peer, request_from("n1")).await.unwrap();
    compio::time::sleep(Duration::from_millis(400)).await;
    client.call(&peer, request_from("n1")).await.unwrap();
    assert_eq!(client.counters()["n2"].connections, 2);
}
