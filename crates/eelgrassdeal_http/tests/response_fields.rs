//! Responses with lines that are no fields: the request has failed, and its connection is not used again.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use eelgrassdeal_http::{ConnectionPool, SendFailure, SendOptions};
use eelgrassdeal_standins::{
    EarlyAnswer, EarlyEnd, RawAnswer, malformed_answers, start_early_peer,
};
use http_body_util::Full;
use hyper::Request;

const TIMEOUT: Duration = Duration::from_secs(2);
const MAX_ANSWER_BYTES: usize = 1024;
const BODY: &str = "0123456789";
const SOUND: &str = "HTTP/1.1 200 OK\r\ncontent-length: 10\r\n\r\n0123456789";

fn start_peer(script: impl Fn(&str) -> Vec<u8> + Send + Sync + 'static) -> Arc<str> {
    let script = move |head: &str| EarlyAnswer::new(script(head), EarlyEnd::KeepOpen);
    start_early_peer(script).expect("a free port").to_string().into()
}

async fn call(
    pool: &ConnectionPool,
    address: &Arc<str>,
    path: &str,
) -> Result<(u16, Bytes), SendFailure> {
    let request = Request::get(path).header("host", "peer").body(Full::new(Bytes::new()));
    let request = request.expect("a request");
    let call = pool.call(address, request, SendOptions::default(), TIMEOUT, MAX_ANSWER_BYTES);
    call.await.map(|response| (response.status, response.body))
}

/// Guards against an answer from which the line is dropped, or whose body is framed by something else.
#[compio::test]
async fn response_with_a_malformed_line_is_no_response() {
    let mut failures = Vec::new();
    for RawAnswer { label, bytes, .. } in malformed_answers("server: peer\r\n", BODY) {
        let address = start_peer(move |_| bytes.clone());
        let pool = ConnectionPool::new();
        let result = call(&pool, &address, "/look").await;
        if result != Err(SendFailure::MaybeSent) {
            failures.push((label, result));
        }
    }
    assert!(failures.is_empty(), "{failures:#?}");
}

/// Guards against reading a later response on a connection whose framing is in doubt.
#[compio::test]
async fn connection_is_not_used_after_a_response_with_a_malformed_line() {
    for RawAnswer { label, bytes, .. } in malformed_answers("server: peer\r\n", BODY) {
        let address = start_peer(move |head| match head.starts_with("GET /sound ") {
            true => SOUND.into(),
            false => bytes.clone(),
        });
        let pool = ConnectionPool::new();
        assert!(call(&pool, &address, "/sound").await.is_ok());
        // The connection of a sound response is used again, which shows that others could be as well.
        assert!(call(&pool, &address, "/look").await.is_err(), "{}", label);
        assert_eq!(pool.opened_count(), 1, "{}", label);
        assert_eq!(call(&pool, &address, "/sound").await, Ok((200, BODY.into())));
        assert_eq!(pool.opened_count(), 2, "{}", label);
    }
}

/// A blank may follow the colon, and stand at the end of a value.
#[compio::test]
async fn response_with_blanks_around_values_is_accepted() {
    for field in ["content-length:10", "content-length: \t10 \t", "Content-Length: 10"] {
        let answer = format!("HTTP/1.1 200 OK\r\nx-odd_name.1!: a  b\r\n{field}\r\n\r\n{BODY}");
        let address = start_peer(move |_| answer.clone().into());
        let pool = ConnectionPool::new();
        assert_eq!(call(&pool, &address, "/look").await, Ok((200, BODY.into())), "{field}");
    }
}
