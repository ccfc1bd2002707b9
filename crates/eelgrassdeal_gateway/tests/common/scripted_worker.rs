//! Worker that answers with any bytes, and ends its connections in any way.

use std::rc::Rc;
use std::time::Duration;

use compio::BufResult;
use compio::io::{AsyncRead, AsyncWriteExt};
use compio::net::{TcpListener, TcpStream};
use eelgrassdeal_standins::MetadataStoreFake;
use rustix::net::sockopt::set_socket_linger;
use rustix::net::{Shutdown, shutdown};

use super::PLAIN_SERVICE;

const HEAD_END: &[u8] = b"\r\n\r\n";

/// A request that a scripted worker received.
#[derive(Clone, Debug, Default)]
pub struct ScriptedRequest {
    pub worker: String,
    /// Id of the request; empty if it has none.
    pub id: String,
    pub path: String,
    /// Id of the last event that the caller received, if the request resumes a stream.
    pub last_event: Option<u64>,
    /// Number of earlier requests on the same connection.
    pub earlier_requests: u32,
}

impl ScriptedRequest {
    /// Reads what the head of a request says.
    pub fn from_head(head: &str) -> Self {
        Self {
            id: field_value(head, "x-eelgrassdeal-request-id").unwrap_or_default().to_owned(),
            path: head.split(' ').nth(1).unwrap_or_default().to_owned(),
            last_event: field_value(head, "last-event-id").and_then(|value| value.parse().ok()),
            ..Self::default()
        }
    }
}

/// Value of a field in the head of a request.
fn field_value<'a>(head: &'a str, name: &str) -> Option<&'a str> {
    let mut fields = head.lines().filter_map(|line| line.split_once(": "));
    fields.find(|(field, _)| field.eq_ignore_ascii_case(name)).map(|(_, value)| value)
}

/// What follows the bytes of an answer on the connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AnswerEnd {
    KeepOpen,
    Close,
    Reset,
    /// Closes the connection and refuses further ones, as at the end of a process.
    Exit,
    /// Writes this again and again until the connection is closed.
    Repeat(&'static [u8]),
}

/// Bytes that answer a request.
#[derive(Clone, Debug)]
pub struct ScriptedAnswer {
    pub bytes: Vec<u8>,
    /// Position in the bytes at which the worker pauses, and the time for which it does.
    pub pause: (usize, Duration),
    pub end: AnswerEnd,
}

impl ScriptedAnswer {
    pub fn new(bytes: impl Into<Vec<u8>>, end: AnswerEnd) -> Self {
        Self { bytes: bytes.into(), pause: (0, Duration::ZERO), end }
    }

    /// Pauses once for this time after the first `count` bytes.
    pub fn with_pause(mut self, count: usize, pause: Duration) -> Self {
        self.pause = (count.min(self.bytes.len()), pause);
        self
    }
}

type AnswerScript = dyn Fn(&ScriptedRequest) -> ScriptedAnswer;

/// Row of the store for a worker of the plain service.
pub fn worker_row(address: &str) -> serde_json::Value {
    worker_row_of(PLAIN_SERVICE, address)
}

fn worker_row_of(service: &str, address: &str) -> serde_json::Value {
    serde_json::json!({ "service": service, "address": address, "zone": "zone-a", "version": "1",
        "slots": 6, "state": "ready", "cold_left_ms": 0, "seq": 1, "born": 1 })
}

/// Starts a worker of the plain service that answers as `script` says.
pub async fn start_scripted_worker(
    store: &MetadataStoreFake,
    id: &str,
    script: impl Fn(&ScriptedRequest) -> ScriptedAnswer + 'static,
) {
    start_scripted_worker_of(PLAIN_SERVICE, store, id, script).await;
}

/// Like [`start_scripted_worker`], for a worker of any service without an engine.
pub async fn start_scripted_worker_of(
    service: &str,
    store: &MetadataStoreFake,
    id: &str,
    script: impl Fn(&ScriptedRequest) -> ScriptedAnswer + 'static,
) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("a bound address");
    let row = worker_row_of(service, &address.to_string());
    store.put("servers", id, row.to_string().as_bytes());
    let (script, id): (Rc<AnswerScript>, _) = (Rc::new(script), id.to_owned());
    compio::runtime::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            let (listener, script, id) = (listener.clone(), script.clone(), id.clone());
            compio::runtime::spawn(async move {
                answer_requests(stream, &listener, &id, &*script).await;
            })
            .detach();
        }
    })
    .detach();
}

async fn answer_requests(
    mut stream: TcpStream,
    listener: &TcpListener,
    worker: &str,
    script: &AnswerScript,
) {
    let _ = stream.set_nodelay(true);
    let mut received = Vec::new();
    let mut earlier_requests = 0;
    while let Some(request) = read_request(&mut stream, &mut received).await {
        let worker = worker.to_owned();
        let answer = script(&ScriptedRequest { worker, earlier_requests, ..request });
        earlier_requests += 1;
        let (position, pause) = answer.pause;
        let (first, rest) = answer.bytes.split_at(position);
        if stream.write_all(first.to_vec()).await.0.is_err() {
            return;
        }
        compio::time::sleep(pause).await;
        if stream.write_all(rest.to_vec()).await.0.is_err() {
            return;
        }
        match answer.end {
            AnswerEnd::KeepOpen => {}
            AnswerEnd::Close => return,
            AnswerEnd::Reset => {
                set_socket_linger(&stream, Some(Duration::ZERO)).expect("an open socket");
                return;
            }
            AnswerEnd::Exit => {
                shutdown(listener, Shutdown::Both).expect("an open socket");
                return;
            }
            AnswerEnd::Repeat(piece) => while stream.write_all(piece).await.0.is_ok() {},
        }
    }
}

/// Reads a request with a length; `None` at the end of the connection.
async fn read_request(stream: &mut TcpStream, received: &mut Vec<u8>) -> Option<ScriptedRequest> {
    loop {
        let head_end = received.windows(HEAD_END.len()).position(|bytes| bytes == HEAD_END);
        if let Some(head_end) = head_end {
            let head = String::from_utf8_lossy(&received[..head_end]).into_owned();
            let length = field_value(&head, "content-length");
            let length: usize = length.map_or(0, |value| value.parse().expect("a number"));
            let request_end = head_end + HEAD_END.len() + length;
            if received.len() >= request_end {
                received.drain(..request_end);
                return Some(ScriptedRequest::from_head(&head));
            }
        }
        let BufResult(count, buffer) = stream.read(Vec::with_capacity(8 * 1024)).await;
        match count {
            Ok(0) | Err(_) => return None,
            Ok(_) => received.extend_from_slice(&buffer),
        }
    }
}
