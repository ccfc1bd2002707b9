//! How the connection of a request ends: a peer must not receive a request after it was given up.

use std::io;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use compio::BufResult;
use compio::io::{AsyncRead, AsyncWriteExt};
use compio::net::TcpListener;
use eelgrassdeal_http::{ConnectionPool, SendFailure, SendOptions};
use http_body_util::Full;
use hyper::Request;

const TIMEOUT: Duration = Duration::from_millis(200);
const COMPLETE: &[u8] = b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok";
const INCOMPLETE: &[u8] = b"HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\nok";

/// Sends a request to a peer that answers with `answer`, and returns the result and how the
/// connection ended for the peer.
async fn connection_end(
    answer: &'static [u8],
    options: SendOptions,
) -> (Result<u16, SendFailure>, io::Result<usize>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address: Arc<str> = listener.local_addr().expect("a bound address").to_string().into();
    let peer = compio::runtime::spawn(async move {
        let (mut stream, _) = listener.accept().await.expect("a connection");
        let BufResult(read, _) = stream.read(Vec::with_capacity(4096)).await;
        assert!(read.expect("the request") > 0);
        stream.write_all(answer).await.0.expect("an open connection");
        stream.read(Vec::with_capacity(4096)).await.0
    });
    let pool = ConnectionPool::new();
    let request = Request::post("/look").body(Full::new(Bytes::from("body"))).expect("a request");
    let result = pool.call(&address, request, options, TIMEOUT, 1024).await;
    drop(pool);
    let end = compio::time::timeout(Duration::from_secs(5), peer).await.expect("the end in time");
    (result.map(|response| response.status), end.expect("the peer does not panic"))
}

#[compio::test]
async fn request_that_was_given_up_is_not_delivered_later() {
    for answer in [&b""[..], INCOMPLETE] {
        let (result, end) = connection_end(answer, SendOptions::default()).await;
        assert_eq!(result, Err(SendFailure::TimedOut));
        assert_eq!(end.map_err(|error| error.kind()), Err(io::ErrorKind::ConnectionReset));
    }
}

#[compio::test]
async fn connection_is_closed_without_a_reset_after_a_complete_response() {
    for options in [SendOptions::default(), SendOptions::default().with_max_idle(Duration::ZERO)] {
        let (result, end) = connection_end(COMPLETE, options).await;
        assert_eq!(result, Ok(200));
        assert_eq!(end.map_err(|error| error.kind()), Ok(0));
    }
}
