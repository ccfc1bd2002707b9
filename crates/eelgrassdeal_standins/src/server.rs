//! A small HTTP/1.1 server on compio, shared by all stand-ins.

use std::cell::Cell;
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
use futures_util::future::{Either, select};
use http_body_util::{Full, StreamBody};
use hyper::body::{Frame, Incoming};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response};
use serde_json::Value;

/// Body of an answer: whole, or streamed. An error in the stream cuts the connection.
pub type ReplyBody =
    http_body_util::Either<Full<Bytes>, StreamBody<mpsc::Receiver<io::Result<Frame<Bytes>>>>>;

/// Answer of a stand-in; `None` cuts the connection without an answer.
pub type Reply = Option<Response<ReplyBody>>;

/// Stops a server when it is dropped or [`ServerHandle::kill`] is called.
pub struct ServerHandle {
    address: SocketAddr,
    is_open: Rc<Cell<bool>>,
    accept_task: Option<JoinHandle<()>>,
}

impl ServerHandle {
    /// Address that the server listens on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Stops accepting. Connections end when their handler next answers.
    pub fn kill(&mut self) {
        self.is_open.set(false);
        self.accept_task = None;
    }
}

/// Serves HTTP on `listen` with `handler`, one task for each connection.
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
    let is_open = Rc::new(Cell::new(true));
    let open = is_open.clone();
    let accept_task = compio::runtime::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            if open.get() {
                compio::runtime::spawn(serve_connection(stream, handler.clone())).detach();
            }
        }
    });
    Ok(ServerHandle { address, is_open, accept_task: Some(accept_task) })
}

/// Serves HTTP on `listen` with `answer`, which gets a copy of the stand-in for each request.
///
/// # Errors
///
/// When the address cannot be bound.
pub(crate) async fn serve_fake<S, F>(
    listen: SocketAddr,
    fake: &S,
    answer: impl Fn(S, Request<Incoming>) -> F + Clone + 'static,
) -> io::Result<ServerHandle>
where
    S: Clone + 'static,
    F: Future<Output = Reply> + 'static,
{
    let fake = fake.clone();
    serve_http(listen, move |request| answer(fake.clone(), request)).await
}

async fn serve_connection<H, F>(stream: TcpStream, handler: H)
where
    H: Fn(Request<Incoming>) -> F + 'static,
    F: Future<Output = Reply> + 'static,
{
    // Small streamed frames must not wait for an acknowledgement of the one before.
    let _ = stream.set_nodelay(true);
    let (cut_sender, mut cut) = mpsc::unbounded::<()>();
    let handler = Rc::new(handler);
    let service = service_fn(move |request| {
        let handler = handler.clone();
        let cut_sender = cut_sender.clone();
        async move {
            match handler(request).await {
                Some(response) => Ok::<_, Infallible>(response),
                None => {
                    let _ = cut_sender.unbounded_send(());
                    std::future::pending().await
                }
            }
        }
    });
    let connection = http1::Builder::new()
        .timer(CompioTimer)
        .serve_connection(HyperStream::new_plain(stream), service);
    let cut_next = std::pin::pin!(futures_util::StreamExt::next(&mut cut));
    match select(std::pin::pin!(connection), cut_next).await {
        Either::Left((Err(error), _)) => log::debug!("connection ended: {error}"),
        Either::Left((Ok(()), _)) | Either::Right(_) => {}
    }
}

/// An answer with a JSON body.
pub fn json_reply(status: u16, body: &Value) -> Reply {
    Response::builder()
        .status(status)
        .header("content-type", "application/json")
        .body(http_body_util::Either::Left(Full::new(Bytes::from(body.to_string()))))
        .ok()
}

/// An answer without a body.
pub fn empty_reply(status: u16) -> Reply {
    Response::builder()
        .status(status)
        .body(http_body_util::Either::Left(Full::new(Bytes::new())))
        .ok()
}
