//! Sends callers' requests to engines and plain services.
//!
//! Each request uses a new connection. Therefore an abandoned response can never be read as the
//! response to a later request, a call that must not be repeated is never sent on an idle
//! connection that the upstream is closing, and a failed connect proves that no byte of the request
//! was sent. The cost is one round trip within the data centre for each request.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use compio::net::TcpStream;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::http1;
use hyper::{Request, Response};

use eelgrassdeal_http::{BoundedSocket, CLIENT_BUFFER_BYTES, StatusCheck};

/// An upstream that accepts no byte of a request for this long is assumed to hang, and the
/// connection is closed.
const WRITE_TIMEOUT: Duration = Duration::from_secs(10);
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Why an upstream did not respond.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum SendFailure {
    /// No byte of the request was sent to the upstream.
    NotSent,
    /// The upstream may have received the request.
    MaybeSent,
}

/// Sends a request to `address` and returns the response once its head has arrived.
///
/// Dropping the response closes the connection, which cancels the request at the upstream.
pub(crate) async fn send_request(
    address: &str,
    mut request: Request<Full<Bytes>>,
) -> Result<Response<Incoming>, SendFailure> {
    let connect = TcpStream::connect(address);
    let stream = match compio::time::timeout(CONNECT_TIMEOUT, connect).await {
        Ok(Ok(stream)) => stream,
        Ok(Err(error)) => {
            log::debug!("cannot connect to {address}: {error}");
            return Err(SendFailure::NotSent);
        }
        Err(_) => return Err(SendFailure::NotSent),
    };
    // Requests are small, so Nagle's algorithm would only delay them.
    let _ = stream.set_nodelay(true);
    let (mut sender, connection) = http1::Builder::new()
        .max_buf_size(CLIENT_BUFFER_BYTES)
        .handshake(BoundedSocket::new_client(stream, WRITE_TIMEOUT))
        .await
        .map_err(|_| SendFailure::NotSent)?;
    compio::runtime::spawn(async move {
        if let Err(error) = connection.await {
            log::debug!("upstream connection ended: {error}");
        }
    })
    .detach();
    let check = StatusCheck::new(&Arc::from(address), &mut request);
    match check.wait_for(sender.try_send_request(request)).await {
        Ok(Ok(response)) => Ok(response),
        Ok(Err(error)) => {
            log::debug!("request to {address} failed: {}", error.error());
            Err(SendFailure::MaybeSent)
        }
        // The upstream answered without a real status, and may have run the request.
        Err(_) => Err(SendFailure::MaybeSent),
    }
}
