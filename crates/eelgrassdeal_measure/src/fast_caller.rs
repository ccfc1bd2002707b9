//! A caller that costs little: one connection, requests one after the other.

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

/// What one stream showed, in ms.
#[derive(Clone, Debug, Default)]
pub(crate) struct StreamSample {
    /// From the request to the first token.
    pub(crate) first_token_ms: f64,
    /// From the engine's write to the caller's read, for each token after the first.
    pub(crate) token_ms: Vec<f64>,
}

#[derive(Deserialize)]
struct TimedChunk {
    sent_unix_us: u64,
}

/// One connection to a node or an engine.
pub(crate) struct FastCaller {
    sender: SendRequest<Full<Bytes>>,
}

impl FastCaller {
    /// Connects to `address`.
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

    /// Sends a request and reads the whole answer; `None` unless its status is 200.
    pub(crate) async fn call(&mut self, path: &str, body: &Bytes) -> Option<()> {
        self.sender.ready().await.ok()?;
        let response = self.sender.send_request(request(path, body)).await.ok()?;
        let status = response.status().as_u16();
        response.into_body().collect().await.ok()?;
        (status == 200).then_some(())
    }

    /// Streams one answer; `None` unless it is whole.
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
        let mut is_whole = false;
        // Reads to the end of the body: only then can the connection carry another request.
        while let Some(Ok(event)) = events.next().await {
            if event.data == "[DONE]" {
                is_whole = true;
                continue;
            }
            let received_us = SystemTime::now().duration_since(UNIX_EPOCH).ok()?.as_micros() as f64;
            let chunk: TimedChunk = serde_json::from_str(&event.data).ok()?;
            match is_first {
                true => sample.first_token_ms = started.elapsed().as_secs_f64() * 1e3,
                false => sample.token_ms.push((received_us - chunk.sent_unix_us as f64) / 1e3),
            }
            is_first = false;
        }
        is_whole.then_some(sample)
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
