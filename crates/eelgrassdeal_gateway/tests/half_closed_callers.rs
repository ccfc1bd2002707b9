//! Callers that close their sending half after a request.

mod common;

use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::time::Duration;

use common::odd_answers::{answer_with_status, body_of};
use common::scripted_worker::{AnswerEnd, ScriptedRequest, start_scripted_worker};
use common::{API_KEY, HOST, TestPlatform};

/// Larger than the sockets hold, so that a part of the response is pending while its caller doesn't read.
const LARGE_BODY_BYTES: usize = 6_000_000;

/// Sends a request, closes the sending half, waits for `pause` and reads the response to its end.
fn request_and_close(front: SocketAddr, path: &str, pause: Duration) -> std::io::Result<String> {
    let mut stream = TcpStream::connect(front)?;
    stream.set_read_timeout(Some(Duration::from_secs(8)))?;
    let request = format!(
        "POST {path} HTTP/1.1\r\nhost: {HOST}\r\nauthorization: Bearer {API_KEY}\r\n\
         x-eelgrassdeal-request-id: half\r\nx-eelgrassdeal-deadline-ms: 8000\r\n\
         content-length: 0\r\n\r\n"
    );
    stream.write_all(request.as_bytes())?;
    stream.shutdown(Shutdown::Write)?;
    std::thread::sleep(pause);
    let mut response = String::new();
    stream.read_to_string(&mut response)?;
    Ok(response)
}

/// Has a worker answer with `body` after `work`; returns what the caller gets.
async fn response_of(path: &'static str, body: String, work: Duration, pause: Duration) -> String {
    let platform = TestPlatform::new().await;
    let script = move |request: &ScriptedRequest| {
        let answer = answer_with_status(request, "200 OK", &body, AnswerEnd::KeepOpen);
        answer.with_pause(0, work)
    };
    start_scripted_worker(&platform.store, "i-desk0", script).await;
    let platform = platform.with_gateways(1).await;
    let front = platform.gateways[0].front.parse().expect("an address");
    let caller = compio::runtime::spawn_blocking(move || request_and_close(front, path, pause));
    let response = caller.await.expect("no panic");
    response.unwrap_or_else(|error| format!("no response: {error}"))
}

#[compio::test]
async fn caller_that_closes_its_sending_half_gets_its_response() {
    for path in ["/look/x", "/book/x", "/feed/x"] {
        for work in [Duration::ZERO, Duration::from_millis(300)] {
            let body = body_of(&ScriptedRequest { path: path.to_owned(), ..Default::default() });
            let response = response_of(path, body.clone(), work, Duration::ZERO).await;
            let is_whole = response.starts_with("HTTP/1.1 200 ")
                && body.lines().all(|line| response.contains(line));
            assert!(is_whole, "{path} after {work:?}: {response:?}");
        }
    }
}

#[compio::test]
async fn caller_that_closes_its_sending_half_and_reads_late_gets_its_response() {
    let body = "r".repeat(LARGE_BODY_BYTES);
    let response =
        response_of("/look/x", body.clone(), Duration::ZERO, Duration::from_millis(500)).await;
    assert!(response.ends_with(&body), "{} bytes", response.len());
}
