//! Reuse of connections that their peer has closed, or is about to close.

use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::mpsc::{Receiver, Sender, channel};
use std::time::Duration;

use bytes::Bytes;
use eelgrassdeal_http::{BufferedResponse, ConnectionPool, SendFailure, SendOptions};
use http_body_util::Full;
use hyper::Request;

const TIMEOUT: Duration = Duration::from_secs(2);
/// Time after which a peer closes an idle connection.
const IDLE_TIMEOUT: Duration = Duration::from_millis(60);

/// What a peer does with a connection after its first response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum IdleEnd {
    /// Closes it after [`IDLE_TIMEOUT`].
    Close,
    /// Reads the next request, and closes the connection without a response to it.
    CloseAtRequest,
    KeepOpen,
}

/// Starts a peer whose responses have `head_field` in their heads. The first connection ends as
/// `end` says, which the returned channel tells; later ones stay open.
fn start_peer(head_field: &'static str, end: IdleEnd) -> (Arc<str>, Receiver<()>) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("a bound address").to_string().into();
    let (ended, end_signal) = channel();
    std::thread::spawn(move || {
        serve(&listener, head_field, end, &ended);
        while serve(&listener, head_field, IdleEnd::KeepOpen, &ended) {}
    });
    (address, end_signal)
}

/// Serves one connection. Returns whether there was one.
fn serve(listener: &TcpListener, head_field: &str, end: IdleEnd, ended: &Sender<()>) -> bool {
    let Ok((mut stream, _)) = listener.accept() else { return false };
    let response = format!("HTTP/1.1 200 OK\r\n{head_field}content-length: 2\r\n\r\nok");
    let mut is_first = true;
    while read_request(&mut stream) && (is_first || end != IdleEnd::CloseAtRequest) {
        stream.write_all(response.as_bytes()).expect("an open connection");
        if end == IdleEnd::Close {
            std::thread::sleep(IDLE_TIMEOUT);
            break;
        }
        is_first = false;
    }
    drop(stream);
    // Without a receiver the test is over.
    let _ = ended.send(());
    true
}

/// Reads a request of one packet. Returns whether there was one.
fn read_request(stream: &mut TcpStream) -> bool {
    matches!(stream.read(&mut [0; 4096]), Ok(1..))
}

async fn call(pool: &ConnectionPool, address: &Arc<str>) -> Result<BufferedResponse, SendFailure> {
    call_with(pool, address, SendOptions::default()).await
}

async fn call_with(
    pool: &ConnectionPool,
    address: &Arc<str>,
    options: SendOptions,
) -> Result<BufferedResponse, SendFailure> {
    let request = Request::post("/look").body(Full::new(Bytes::from("body"))).expect("a request");
    pool.call(address, request, options, TIMEOUT, 1024).await
}

#[compio::test]
async fn request_is_not_sent_on_a_connection_whose_end_has_arrived_unread() {
    let (address, end_signal) = start_peer("", IdleEnd::Close);
    let pool = ConnectionPool::new();
    call(&pool, &address).await.expect("a response");
    compio::time::sleep(IDLE_TIMEOUT / 3).await;
    // Blocks the thread, so that no task reads the end of the connection.
    end_signal.recv().expect("the end of the connection");
    let answer = call(&pool, &address).await;
    assert_eq!(answer.map(|answer| answer.status), Ok(200));
    assert_eq!(pool.opened_count(), 2);
}

#[compio::test]
async fn connection_is_not_reused_within_the_margin_of_an_advertised_timeout() {
    for (head_field, pause_ms, opened_count) in [
        ("keep-alive: timeout=0\r\n", 0, 2),
        ("keep-alive: timeout=1\r\n", 100, 1),
        ("keep-alive: timeout=1\r\n", 600, 2),
        ("keep-alive: max=5, timeout=1\r\n", 600, 2),
        ("connection: close\r\n", 0, 2),
        ("", 100, 1),
        ("", 500, 2),
    ] {
        let (address, _end_signal) = start_peer(head_field, IdleEnd::KeepOpen);
        let pool = ConnectionPool::new();
        call(&pool, &address).await.expect("a response");
        compio::time::sleep(Duration::from_millis(pause_ms)).await;
        let opened_before = pool.opened_count();
        assert_eq!(opened_before, 1);
        let request = call(&pool, &address);
        // The peer serves one connection after another.
        let _ = compio::time::timeout(Duration::from_millis(300), request).await;
        assert_eq!(pool.opened_count(), opened_count, "{head_field:?} {pause_ms}");
    }
}

/// The peer counts the idle time from the end of its response, which the reader can't see.
#[compio::test]
async fn slow_reading_does_not_prolong_the_reuse_of_a_connection() {
    let (address, _end_signal) = start_peer("keep-alive: timeout=1\r\n", IdleEnd::KeepOpen);
    let pool = ConnectionPool::new();
    let request = Request::post("/look").body(Full::new(Bytes::new())).expect("a request");
    let response = pool.send(&address, request, SendOptions::default()).await.expect("a response");
    compio::time::sleep(Duration::from_millis(700)).await;
    response.collect(1024).await.expect("a body");
    compio::time::sleep(Duration::from_millis(250)).await;
    let _ = compio::time::timeout(Duration::from_millis(300), call(&pool, &address)).await;
    assert_eq!(pool.opened_count(), 2, "reused 950 ms after the response, of 1000 ms");
}

#[compio::test]
async fn end_of_a_reused_connection_is_told_from_that_of_a_new_one() {
    let (address, _end_signal) = start_peer("", IdleEnd::CloseAtRequest);
    let pool = ConnectionPool::new();
    call(&pool, &address).await.expect("a response");
    let answer = call(&pool, &address).await;
    assert_eq!(answer.map(|answer| answer.status), Err(SendFailure::ReusedEnded));
    // It no longer counts as open, so that a new one may replace it.
    let options = SendOptions::default().with_max_idle(Duration::ZERO).with_max_connections(1);
    let answer = call_with(&pool, &address, options).await;
    assert_eq!(answer.map(|answer| answer.status), Ok(200));
}

#[compio::test]
async fn connection_that_will_not_be_reused_is_not_kept_open() {
    let (address, end_signal) = start_peer("keep-alive: timeout=0\r\n", IdleEnd::KeepOpen);
    let pool = ConnectionPool::new();
    call(&pool, &address).await.expect("a response");
    compio::time::sleep(IDLE_TIMEOUT).await;
    end_signal.try_recv().expect("the peer saw the end of the connection");
}

#[compio::test]
async fn idle_connections_that_cannot_be_used_do_not_exhaust_the_connection_limit() {
    let options = SendOptions::default().with_max_connections(1);
    for (head_field, end, max_idle) in [
        ("", IdleEnd::Close, options.max_idle),
        ("keep-alive: timeout=0\r\n", IdleEnd::KeepOpen, options.max_idle),
        ("", IdleEnd::KeepOpen, Duration::ZERO),
    ] {
        let (address, end_signal) = start_peer(head_field, end);
        let pool = ConnectionPool::new();
        call_with(&pool, &address, options).await.expect("a response");
        compio::time::sleep(IDLE_TIMEOUT / 3).await;
        if end == IdleEnd::Close {
            // Blocks the thread, so that the pool finds the end of the connection.
            end_signal.recv().expect("the end of the connection");
        }
        let answer = call_with(&pool, &address, options.with_max_idle(max_idle)).await;
        assert_eq!(answer.map(|answer| answer.status), Ok(200), "{head_field:?} {end:?}");
    }
}
