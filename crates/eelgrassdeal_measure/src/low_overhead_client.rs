//! HTTP client with low overhead: it sends one request after the other over a single connection.

use std::net::SocketAddr;
use std::time::{Instant, SystemTime, UNIX_EPOCH};

use bytes::Bytes;
use compio::net::TcpStream;
use cyper_core::HyperStream;
use eelgrassdeal_testkit::ACCOUNT_KEY;
use eventsource_stream::Eventsource;
use futures_util::StreamExt;
use http_body_util::{BodyExt, Full};
use hyper::Request;
use hyper::client::conn::http1::{self, SendRequest};
use serde::Deserialize;

/// Delays of one stream, in ms.
#[derive(Clone, Debug, Default)]
pub(crate) struct StreamSample {
    /// Time from the request to the first token.
    pub(crate) time_to_first_token_ms: f64,
    /// Time from the engine's write to the client's read, for each token after the first.
    pub(crate) token_delays_ms: Vec<f64>,
}

/// Event of a stream with the time at which the engine wrote it.
#[derive(Deserialize)]
struct TimedChunk {
    sent_unix_us: u64,
}

/// Connection to a node or to an engine.
pub(crate) struct LowOverheadClient {
    sender: SendRequest<Full<Bytes>>,
}

impl LowOverheadClient {
    /// Connects to `address`; `None` if this fails.
    pub(crate) async fn connect(address: SocketAddr) -> Option<Self> {
        let stream = TcpStream::connect(address).await.ok()?;
        stream.set_nodelay(true).ok()?;
        let (sender, connection) = http1::handshake(HyperStream::new_plain(stream)).await.ok()?;
        compio::runtime::spawn(async move {
            let _ = connection.await;
        })
        .detach();
        Some(Self { sender })
    }

    /// Sends a POST request and reads the response to its end; `None` unless the status is 200.
    pub(crate) async fn call(&mut self, path: &str, body: &Bytes) -> Option<()> {
        self.sender.ready().await.ok()?;
        let response = self.sender.send_request(request(path, body)).await.ok()?;
        let status = response.status().as_u16();
        response.into_body().collect().await.ok()?;
        (status == 200).then_some(())
    }

    /// Requests a streamed chat completion and reads it; `None` unless the response is complete.
    pub(crate) async fn stream(&mut self, body: &Bytes) -> Option<StreamSample> {
        let started = Instant::now();
        self.sender.ready().await.ok()?;
        let request = request("/v1/chat/completions", body);
        let response = self.sender.send_request(request).await.ok()?;
        if response.status() != 200 {
            return None;
        }
        let mut events = Box::pin(response.into_body().into_data_stream()).eventsource();
        let mut sample = StreamSample::default();
        let mut is_first = true;
        let mut is_complete = false;
        // Reads beyond the final event to the end of the body, because the connection cannot carry
        // another request before that.
        while let Some(Ok(event)) = events.next().await {
            if event.data == "[DONE]" {
                is_complete = true;
                continue;
            }
            let received_us = SystemTime::now().duration_since(UNIX_EPOCH).ok()?.as_micros() as f64;
            let chunk: TimedChunk = serde_json::from_str(&event.data).ok()?;
            match is_first {
                true => sample.time_to_first_token_ms = started.elapsed().as_secs_f64() * 1e3,
                false => {
                    sample.token_delays_ms.push((received_us - chunk.sent_unix_us as f64) / 1e3)
                }
            }
            is_first = false;
        }
        is_complete.then_some(sample)
    }
}

fn request(path: &str, body: &Bytes) -> Request<Full<Bytes>> {
    Request::post(path)
        .header("host", "eelgrassdeal")
        .header("content-type", "application/json")
        .header("authorization", format!("Bearer {ACCOUNT_KEY}"))
        .header("x-deadline-ms", "600000")
        .body(Full::new(body.clone()))
        .expect("a valid request")
}
