//! Fake of the object store. `PUT` never overwrites an object, as with `If-None-Match: *`; any other
//! method returns the object.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::{Method, Request, Response};

use crate::fault::FaultInjector;
use crate::server::{Reply, ServerHandle, empty_reply, serve_fake};

/// An object store that keeps its objects in memory. Clones share the objects.
#[derive(Clone, Default)]
pub struct ObjectFake {
    objects: Rc<RefCell<BTreeMap<String, Bytes>>>,
    faults: FaultInjector,
}

impl ObjectFake {
    /// Creates an empty object store.
    pub fn new() -> Self {
        Self::default()
    }

    /// Fault injection for this store. Only the outage, the delay, lost requests and lost responses
    /// have an effect; the last two apply to `PUT` only.
    pub fn faults(&self) -> &FaultInjector {
        &self.faults
    }

    /// Names of the objects, each with a leading `/`.
    pub fn names(&self) -> Vec<String> {
        self.objects.borrow().keys().cloned().collect()
    }

    /// Replaces the body of an object without a precondition, to simulate data corruption.
    pub fn overwrite(&self, name: &str, body: Bytes) {
        self.objects.borrow_mut().insert(name.to_owned(), body);
    }

    /// Serves the protocol on `listen`.
    ///
    /// # Errors
    ///
    /// When the address cannot be bound.
    pub async fn serve(&self, listen: SocketAddr) -> io::Result<ServerHandle> {
        serve_fake(listen, self, |fake, request| async move { fake.handle(request).await }).await
    }

    pub(crate) async fn handle(&self, request: Request<Incoming>) -> Reply {
        let method = request.method().clone();
        let name = request.uri().path().to_owned();
        let body = request.into_body().collect().await.ok()?.to_bytes();
        if name == "/faults" {
            self.faults.set_from_json(&serde_json::from_slice(&body).ok()?);
            return empty_reply(204);
        }
        let plan = self.faults.plan();
        if plan.is_down {
            return None;
        }
        if !plan.delay.is_zero() {
            compio::time::sleep(plan.delay).await;
        }
        match method {
            Method::PUT => self.put(name, body),
            _ => match self.objects.borrow().get(&name) {
                Some(object) => Response::builder()
                    .body(http_body_util::Either::Left(Full::new(object.clone())))
                    .ok(),
                None => empty_reply(404),
            },
        }
    }

    fn put(&self, name: String, body: Bytes) -> Reply {
        if self.faults.consume_lost_request() {
            return None;
        }
        let mut objects = self.objects.borrow_mut();
        let status = if objects.contains_key(&name) { 412 } else { 201 };
        objects.entry(name).or_insert(body);
        match self.faults.consume_lost_response() {
            true => None,
            false => empty_reply(status),
        }
    }
}
