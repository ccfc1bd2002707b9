//! HTTP/1.1 server on compio that all fakes use.

use std::cell::{Cell, RefCell};
use std::convert::Infallible;
use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;

use bytes::Bytes;
use compio::net::{TcpListener, TcpStream};
use compio::runtime::JoinHandle;
use cyper_core::{CompioTimer, HyperStream};
use futures_channel::mpsc;
use futures_util::StreamExt;
use futures_util::future::{Either, select};
use http_body_util::{Full, StreamBody};
use hyper::body::{Frame, Incoming};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response};
use serde_json::Value;

/// Body of a response, complete or streamed. An error in the stream closes the connection.
pub type ReplyBody =
    http_body_util::Either<Full<Bytes>, StreamBody<mpsc::Receiver<io::Result<Frame<Bytes>>>>>;

/// Response of a fake; `None` closes the connection without a response.
pub type Reply = Option<Response<ReplyBody>>;

/// Handle of a running server, which stops accepting connections when the handle is dropped or
/// [`ServerHandle::stop_accepting`] is called.
pub struct ServerHandle {
    address: SocketAddr,
    is_accepting: Rc<Cell<bool>>,
    accept_task: Option<JoinHandle<()>>,
    aborts: ConnectionAborts,
}

/// Ends each of the server's connections when something is sent or its sender is dropped.
type ConnectionAborts = Rc<RefCell<Vec<mpsc::UnboundedSender<()>>>>;

impl ServerHandle {
    /// Address that the server listens on, with the port that the system chose if port 0 was given.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Stops accepting connections. Requests on open connections are still served.
    pub fn stop_accepting(&mut self) {
        self.is_accepting.set(false);
        self.accept_task = None;
    }

    /// Stops accepting connections and closes the open ones at once, as when the process ends.
    pub fn crash(&mut self) {
        self.stop_accepting();
        for abort in self.aborts.borrow_mut().drain(..) {
            // Fails if the connection has ended already.
            let _ = abort.unbounded_send(());
        }
    }
}

/// Serves HTTP on `listen` with `handler`. Each connection is served by a separate task.
///
/// # Errors
///
/// When the address cannot be bound.
pub async fn serve_http<H, F>(listen: SocketAddr, handler: H) -> io::Result<ServerHandle>
where
    H: Fn(Request<Incoming>) -> F + Clone + 'static,
    F: Future<Output = Reply> + 'static,
{
    let listener = TcpListener::bind(listen).await?;
    let address = listener.local_addr()?;
    let is_accepting = Rc::new(Cell::new(true));
    let accepting = is_accepting.clone();
    let aborts = ConnectionAborts::default();
    let open = aborts.clone();
    let accept_task = compio::runtime::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            if accepting.get() {
                let (abort, aborted) = mpsc::unbounded();
                open.borrow_mut().retain(|abort| !abort.is_closed());
                open.borrow_mut().push(abort.clone());
                let connection = serve_connection(stream, handler.clone(), abort, aborted);
                compio::runtime::spawn(connection).detach();
            }
        }
    });
    Ok(ServerHandle { address, is_accepting, accept_task: Some(accept_task), aborts })
}

/// Serves HTTP on `listen` with `handle`, which gets a clone of the fake for each request.
///
/// # Errors
///
/// When the address cannot be bound.
pub(crate) async fn serve_fake<S, F>(
    listen: SocketAddr,
    fake: &S,
    handle: impl Fn(S, Request<Incoming>) -> F + Clone + 'static,
) -> io::Result<ServerHandle>
where
    S: Clone + 'static,
    F: Future<Output = Reply> + 'static,
{
    let fake = fake.clone();
    serve_http(listen, move |request| handle(fake.clone(), request)).await
}

/// Serves a connection until `aborted` receives something. `abort_sender` sends to it.
async fn serve_connection<H, F>(
    stream: TcpStream,
    handler: H,
    abort_sender: mpsc::UnboundedSender<()>,
    mut aborted: mpsc::UnboundedReceiver<()>,
) where
    H: Fn(Request<Incoming>) -> F + 'static,
    F: Future<Output = Reply> + 'static,
{
    // With Nagle's algorithm, a small frame of a stream would wait until the previous one is
    // acknowledged.
    let _ = stream.set_nodelay(true);
    let handler = Rc::new(handler);
    let service = service_fn(move |request| {
        let handler = handler.clone();
        let abort_sender = abort_sender.clone();
        async move {
            match handler(request).await {
                Some(response) => Ok::<_, Infallible>(response),
                None => {
                    let _ = abort_sender.unbounded_send(());
                    std::future::pending().await
                }
            }
        }
    });
    let connection = http1::Builder::new()
        .timer(CompioTimer)
        .serve_connection(HyperStream::new_plain(stream), service);
    let abort = std::pin::pin!(aborted.next());
    match select(std::pin::pin!(connection), abort).await {
        Either::Left((Err(error), _)) => log::debug!("connection ended: {error}"),
        Either::Left((Ok(()), _)) | Either::Right(_) => {}
    }
}

/// Creates a response with a JSON body.
pub fn json_reply(status: u16, body: &Value) -> Reply {
    Response::builder()
        .status(status)
        .header("content-type", "application/json")
        .body(http_body_util::Either::Left(Full::new(Bytes::from(body.to_string()))))
        .ok()
}

/// Creates a response without a body.
pub fn empty_reply(status: u16) -> Reply {
    Response::builder()
        .status(status)
        .body(http_body_util::Either::Left(Full::new(Bytes::new())))
        .ok()
}
