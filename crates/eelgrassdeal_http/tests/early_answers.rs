//! Peers that answer a request while it is still being written.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use eelgrassdeal_http::{ConnectionPool, SendFailure, SendOptions};
use eelgrassdeal_standins::{EarlyAnswer, EarlyEnd, start_early_peer};
use http_body_util::Full;
use hyper::Request;

const TIMEOUT: Duration = Duration::from_secs(5);
const MAX_ANSWER_BYTES: usize = 1024;
/// More than the sockets of both sides hold.
const UPLOAD_BYTES: usize = 8_000_000;
/// Uploads of each case. Whether a write or a read learns of a reset first is a race.
const ATTEMPTS: usize = 4;
/// Pauses of a peer before its answer. In the longer one the client's writes come to a stop, as the sockets
/// are full.
const PAUSES: [Duration; 2] = [Duration::ZERO, Duration::from_millis(20)];
const PART: &str = "0123";
/// Heads of answers whose bodies end with their connections.
const HEADS: [&str; 4] = [
    "HTTP/1.1 200 OK\r\n\r\n",
    "HTTP/1.1 200 OK\r\nconnection: close\r\n\r\n",
    "HTTP/1.1 200 OK\r\ntransfer-encoding: gzip\r\n\r\n",
    "HTTP/1.0 200 OK\r\n\r\n",
];

fn start_peer(answer: EarlyAnswer) -> Arc<str> {
    let address = start_early_peer(move |_| answer.clone()).expect("a free port");
    address.to_string().into()
}

/// Sends `body` on a new connection; returns the status and the body of the answer.
async fn upload(address: &Arc<str>, body: &Bytes) -> Result<(u16, String), SendFailure> {
    upload_with(&ConnectionPool::new(), address, body).await
}

async fn upload_with(
    pool: &ConnectionPool,
    address: &Arc<str>,
    body: &Bytes,
) -> Result<(u16, String), SendFailure> {
    let request = Request::post("/upload").header("host", "peer").body(Full::new(body.clone()));
    let request = request.expect("a request");
    let options = SendOptions::default();
    let answer = pool.call(address, request, options, TIMEOUT, MAX_ANSWER_BYTES).await?;
    Ok((answer.status, String::from_utf8_lossy(&answer.body).into_owned()))
}

/// Numbers of bytes that a peer reads before its answer, and its pauses.
fn early_moments() -> impl Iterator<Item = (usize, Duration)> {
    let pauses = |read_bytes| PAUSES.map(|pause| (read_bytes, pause));
    [0, 100_000, 1_000_000, 3_000_000].into_iter().flat_map(pauses)
}

/// The system reports a reset to one call only. Guards against a reset that a write reports, after which
/// reads return 0 bytes as at the end of a response.
#[compio::test]
async fn answer_that_is_reset_during_the_upload_is_not_taken_for_whole() {
    let body = Bytes::from(vec![b'u'; UPLOAD_BYTES]);
    let mut failures = Vec::new();
    for head in HEADS {
        for end in [EarlyEnd::Reset, EarlyEnd::CloseUnread] {
            for (read_bytes, pause) in early_moments() {
                let answer = EarlyAnswer::new(format!("{head}{PART}"), end);
                let answer = answer.with_read_bytes(read_bytes).with_pause(pause);
                let address = start_peer(answer);
                for _ in 0..ATTEMPTS {
                    match upload(&address, &body).await {
                        Err(SendFailure::MaybeSent) => {}
                        result => failures.push((head, end, read_bytes, pause, result)),
                    }
                }
            }
        }
    }
    let count = failures.len();
    assert!(
        failures.is_empty(),
        "{count} answers, the first ones {:#?}",
        &failures[..count.min(4)]
    );
}

/// A peer may answer before it has read the upload, close its sending half and read on.
#[compio::test]
async fn early_answer_of_a_peer_that_reads_the_upload_arrives_whole() {
    let body = Bytes::from(vec![b'u'; UPLOAD_BYTES]);
    for head in HEADS {
        for (read_bytes, pause) in early_moments() {
            let answer = EarlyAnswer::new(format!("{head}{PART}"), EarlyEnd::ReadToEnd);
            let address = start_peer(answer.with_read_bytes(read_bytes).with_pause(pause));
            for _ in 0..ATTEMPTS {
                let result = upload(&address, &body).await;
                let moment = format!("{read_bytes} bytes read, {pause:?}");
                assert_eq!(result, Ok((200, PART.to_owned())), "{head:?}, {moment}");
            }
        }
    }
}

#[compio::test]
async fn early_answer_with_a_length_arrives_whole() {
    let body = Bytes::from(vec![b'u'; UPLOAD_BYTES]);
    for end in [EarlyEnd::KeepOpen, EarlyEnd::ReadToEnd] {
        let bytes = format!("HTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\n{PART}");
        let address = start_peer(EarlyAnswer::new(bytes, end));
        for _ in 0..ATTEMPTS {
            assert_eq!(upload(&address, &body).await, Ok((200, PART.to_owned())), "{end:?}");
        }
    }
}

#[compio::test]
async fn answer_without_a_length_to_a_small_request_arrives_whole() {
    let body = Bytes::from_static(b"small");
    for head in HEADS {
        for read_bytes in [0, body.len()] {
            let answer = EarlyAnswer::new(format!("{head}{PART}"), EarlyEnd::ReadToEnd);
            let address = start_peer(answer.with_read_bytes(read_bytes));
            assert_eq!(upload(&address, &body).await, Ok((200, PART.to_owned())), "{head:?}");
        }
    }
}

/// A request that may have met the end of an idle connection is sent again, so that this end has to be told
/// from others also when a write learns of it.
#[compio::test]
async fn end_of_a_reused_connection_during_the_upload_is_told_from_that_of_a_new_one() {
    let body = Bytes::from(vec![b'u'; UPLOAD_BYTES]);
    for end in [EarlyEnd::Reset, EarlyEnd::CloseUnread, EarlyEnd::ReadToEnd] {
        for pause in PAUSES {
            let script = move |head: &str| match head.contains("content-length: ") {
                true => EarlyAnswer::new("", end).with_read_bytes(100_000).with_pause(pause),
                false => EarlyAnswer::new("HTTP/1.1 204 No Content\r\n\r\n", EarlyEnd::KeepOpen),
            };
            let address = start_early_peer(script).expect("a free port").to_string().into();
            for _ in 0..ATTEMPTS {
                assert_eq!(upload(&address, &body).await, Err(SendFailure::MaybeSent), "{end:?}");
                let pool = ConnectionPool::new();
                let first = upload_with(&pool, &address, &Bytes::new()).await;
                assert_eq!(first, Ok((204, String::new())));
                let second = upload_with(&pool, &address, &body).await;
                assert_eq!(second, Err(SendFailure::ReusedEnded), "{end:?} after {pause:?}");
                assert_eq!(pool.opened_count(), 1);
            }
        }
    }
}
