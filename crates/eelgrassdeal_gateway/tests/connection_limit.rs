//! Descriptors of a gateway for the connections of callers.

mod common;

use std::time::Duration;

use common::{API_KEY, HOST, TestPlatform};
use compio::BufResult;
use compio::io::{AsyncRead, AsyncWriteExt};
use compio::net::TcpStream;
use compio::time::sleep;

/// Limit of descriptors of the gateway.
const MAX_FDS: u64 = 400;
const IDLE_CONNECTIONS: usize = 800;

/// Sends a request on a connection and returns the status of its response; `None` if the connection
/// ends before one.
async fn call(stream: &mut TcpStream, id: &str) -> Option<u16> {
    let request = format!(
        "POST /book/x HTTP/1.1\r\nhost: {HOST}\r\nauthorization: Bearer {API_KEY}\r\n\
         x-eelgrassdeal-request-id: {id}\r\nx-eelgrassdeal-deadline-ms: 8000\r\ncontent-length: 0\r\n\r\n"
    );
    stream.write_all(request.into_bytes()).await.0.ok()?;
    let BufResult(read, head) = stream.read(Vec::with_capacity(4_096)).await;
    read.ok()?;
    let status = head.strip_prefix(b"HTTP/1.1 ")?.get(..3)?;
    std::str::from_utf8(status).ok()?.parse().ok()
}

/// Callers that only kept connections open took the descriptors for upstreams.
#[compio::test]
async fn idle_connections_leave_descriptors_for_upstreams() {
    let platform = TestPlatform::new().await.with_max_fds(MAX_FDS);
    let platform = platform.with_plain_workers(1).await.with_gateways(1).await;
    platform.gateways[0].enforce_max_fds(MAX_FDS);
    let front = platform.gateways[0].front.clone();
    let connect = || TcpStream::connect(&*front);
    // The gateway has no connection to the worker yet.
    let mut earlier = connect().await.expect("a connection");

    let idle: Vec<_> = (0..IDLE_CONNECTIONS)
        .map(|_| {
            let front = front.clone();
            compio::runtime::spawn(async move {
                let _stream = TcpStream::connect(&*front).await;
                std::future::pending::<()>().await;
            })
        })
        .collect();
    sleep(Duration::from_secs(1)).await;
    assert_eq!(call(&mut earlier, "earlier").await, Some(200));

    drop(idle);
    let mut later = connect().await.expect("a connection");
    assert_eq!(call(&mut later, "later").await, Some(200));
}
