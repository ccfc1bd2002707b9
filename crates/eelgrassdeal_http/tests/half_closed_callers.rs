//! Callers that close their sending half before they read the response.

use std::convert::Infallible;
use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::time::Duration;

use bytes::Bytes;
use compio::net::TcpListener;
use eelgrassdeal_http::BoundedSocket;
use http_body_util::Full;
use hyper::Response;
use hyper::server::conn::http1;
use hyper::service::service_fn;

const TIMEOUT: Duration = Duration::from_secs(10);
/// Time for which the caller reads nothing, so that the server's writes come to a stop.
const PAUSE: Duration = Duration::from_millis(100);
/// More than the sockets of both sides hold.
const RESPONSE_BYTES: usize = 16_000_000;

/// Sends a request, closes the sending half and reads the response. Returns the size of all that it reads.
fn request_and_close(server: SocketAddr) -> std::io::Result<usize> {
    let mut stream = TcpStream::connect(server)?;
    stream.write_all(b"GET / HTTP/1.1\r\nhost: server\r\n\r\n")?;
    stream.shutdown(Shutdown::Write)?;
    std::thread::sleep(PAUSE);
    stream.read_to_end(&mut Vec::new())
}

/// Guards against taking the end of the input for the end of the connection while output is pending.
#[compio::test]
async fn response_to_a_caller_that_closes_its_sending_half_goes_on() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("a bound address");
    let caller = compio::runtime::spawn_blocking(move || request_and_close(address));
    let (stream, _) = listener.accept().await.expect("a connection");
    let response = Response::new(Full::new(Bytes::from(vec![b'r'; RESPONSE_BYTES])));
    let service = service_fn(|_| std::future::ready(Ok::<_, Infallible>(response.clone())));
    let socket = BoundedSocket::new_plain(stream, TIMEOUT);
    let connection = http1::Builder::new().half_close(true).serve_connection(socket, service);
    let served = compio::time::timeout(TIMEOUT, connection).await;
    assert!(matches!(served, Ok(Ok(()))), "{served:?}");
    let received = caller.await.expect("no panic").expect("a response");
    assert!(received > RESPONSE_BYTES, "{received} bytes with the head");
}
