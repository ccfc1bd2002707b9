//! Stand-in for the weight store, whose transfer rate is limited in all.

use std::cell::Cell;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use hyper::Request;
use hyper::body::Incoming;
use serde_json::json;

use crate::server::{Reply, ServerHandle, json_reply, serve_fake};

/// A weight store that hands out transfer time instead of bytes.
#[derive(Clone)]
pub struct WeightsFake {
    bytes_per_second: u64,
    free_at: Rc<Cell<Instant>>,
    transferred: Rc<Cell<u64>>,
}

impl WeightsFake {
    /// Limits all transfers together to `bytes_per_second`.
    pub fn new(bytes_per_second: u64) -> Self {
        Self {
            bytes_per_second: bytes_per_second.max(1),
            free_at: Rc::new(Cell::new(Instant::now())),
            transferred: Rc::new(Cell::new(0)),
        }
    }

    /// Bytes transferred or promised so far.
    pub fn transferred(&self) -> u64 {
        self.transferred.get()
    }

    /// Reserves a transfer and returns how long it takes from now, with its wait.
    pub fn reserve(&self, bytes: u64) -> Duration {
        let now = Instant::now();
        let start = self.free_at.get().max(now);
        let seconds = bytes as f64 / self.bytes_per_second as f64;
        let end = start + Duration::from_secs_f64(seconds);
        self.free_at.set(end);
        self.transferred.set(self.transferred.get() + bytes);
        end - now
    }

    /// Serves `GET /?bytes=N`, which answers when the transfer is over.
    ///
    /// # Errors
    ///
    /// When the address cannot be bound.
    pub async fn serve(&self, listen: SocketAddr) -> io::Result<ServerHandle> {
        serve_fake(listen, self, |fake, request| async move { fake.answer(request).await }).await
    }

    pub(crate) async fn answer(&self, request: Request<Incoming>) -> Reply {
        let bytes = request
            .uri()
            .query()
            .and_then(|query| query.strip_prefix("bytes="))
            .and_then(|text| text.parse().ok())?;
        compio::time::sleep(self.reserve(bytes)).await;
        json_reply(200, &json!({ "bytes": bytes }))
    }
}
