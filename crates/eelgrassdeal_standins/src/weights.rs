//! Fake of the weight store, whose total transfer rate is limited.

use std::cell::Cell;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use hyper::Request;
use hyper::body::Incoming;
use serde_json::json;

use crate::server::{Reply, ServerHandle, json_reply, serve_fake};

/// A weight store that simulates the duration of transfers and sends no weights. Clones share the
/// transfer rate.
#[derive(Clone)]
pub struct WeightsFake {
    bytes_per_second: u64,
    /// When the last reserved transfer ends.
    busy_until: Rc<Cell<Instant>>,
    reserved_bytes: Rc<Cell<u64>>,
}

impl WeightsFake {
    /// Creates a weight store whose transfers share a rate of `bytes_per_second`.
    pub fn new(bytes_per_second: u64) -> Self {
        Self {
            bytes_per_second: bytes_per_second.max(1),
            busy_until: Rc::new(Cell::new(Instant::now())),
            reserved_bytes: Rc::new(Cell::new(0)),
        }
    }

    /// Total size of all transfers that were reserved, including those that have not started or
    /// ended yet.
    pub fn reserved_bytes(&self) -> u64 {
        self.reserved_bytes.get()
    }

    /// Reserves a transfer behind all earlier ones and returns the time from now until it ends.
    pub fn reserve(&self, bytes: u64) -> Duration {
        let now = Instant::now();
        let start = self.busy_until.get().max(now);
        let seconds = bytes as f64 / self.bytes_per_second as f64;
        let end = start + Duration::from_secs_f64(seconds);
        self.busy_until.set(end);
        self.reserved_bytes.set(self.reserved_bytes.get() + bytes);
        end - now
    }

    /// Serves `GET /?bytes=N`, which responds when a transfer of `N` bytes has ended.
    ///
    /// # Errors
    ///
    /// When the address cannot be bound.
    pub async fn serve(&self, listen: SocketAddr) -> io::Result<ServerHandle> {
        serve_fake(listen, self, |fake, request| async move { fake.handle(request).await }).await
    }

    pub(crate) async fn handle(&self, request: Request<Incoming>) -> Reply {
        let bytes = request
            .uri()
            .query()
            .and_then(|query| query.strip_prefix("bytes="))
            .and_then(|text| text.parse().ok())?;
        compio::time::sleep(self.reserve(bytes)).await;
        json_reply(200, &json!({ "bytes": bytes }))
    }
}
