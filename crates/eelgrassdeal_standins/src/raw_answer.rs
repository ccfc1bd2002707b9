//! Answers that are given byte by byte: those with a line that is no field, and those that are broken off.

use crate::early_answer::{EarlyAnswer, EarlyEnd};

/// Lines of a head whose name isn't a token, or that have none.
const MALFORMED_LINES: [&[u8]; 18] = [
    b"x bad: 1",
    b"x\tbad: 1",
    b"x\0bad: 1",
    b"x\x01bad: 1",
    b"x\x0bbad: 1",
    b"x\x7fbad: 1",
    b"x\rbad: 1",
    b"x\nbad: 1",
    b"x\xe9bad: 1",
    b"x-bad : 1",
    b"x-bad\t: 1",
    b"content-length : 4",
    b"content-length\t: 4",
    b"transfer-encoding : chunked",
    b" x-bad: 1",
    b"\tx-bad: 1",
    b": 1",
    b"x-bad",
];

/// An answer byte by byte, sound or not.
#[derive(Clone, Debug)]
pub struct RawAnswer {
    /// What is special about the answer, for messages of tests.
    pub label: String,
    /// The answer as it is sent.
    pub bytes: Vec<u8>,
    /// What follows on the connection.
    pub end: EarlyEnd,
}

impl RawAnswer {
    /// Creates an answer after which the connection stays open.
    pub fn new(label: impl Into<String>, bytes: impl Into<Vec<u8>>) -> Self {
        Self { label: label.into(), bytes: bytes.into(), end: EarlyEnd::KeepOpen }
    }

    /// Sets what follows on the connection.
    pub fn with_end(mut self, end: EarlyEnd) -> Self {
        self.end = end;
        self
    }

    /// The answer, sent when the request has been read to its end.
    pub fn after_request(&self) -> EarlyAnswer {
        EarlyAnswer::new(self.bytes.clone(), self.end).with_read_bytes(usize::MAX)
    }
}

/// Answers with status 200, the lines `fields`, each with its end, and `body`, which are sound but for one line.
/// It stands at the start or the end of the head, in a head without other framing, in the head of an
/// informational response, or in the trailers.
pub fn malformed_answers(fields: &str, body: &str) -> Vec<RawAnswer> {
    let length = body.len();
    let framed = format!("{fields}content-length: {length}\r\n");
    let chunk = format!("{length:x}\r\n{body}\r\n");
    let sound = format!("HTTP/1.1 200 OK\r\n{framed}\r\n{body}");
    let places = [
        ("start", "HTTP/1.1 200 OK\r\n".to_owned(), format!("{framed}\r\n{body}")),
        ("end", format!("HTTP/1.1 200 OK\r\n{framed}"), format!("\r\n{body}")),
        ("HTTP/1.0", format!("HTTP/1.0 200 OK\r\n{framed}"), format!("\r\n{body}")),
        ("unframed", format!("HTTP/1.1 200 OK\r\n{fields}"), format!("\r\n{body}")),
        ("chunked", format!("HTTP/1.1 200 OK\r\n{fields}"), format!("\r\n{chunk}0\r\n\r\n")),
        ("informational", "HTTP/1.1 103 Early Hints\r\n".to_owned(), format!("\r\n{sound}")),
        (
            "trailers",
            format!("HTTP/1.1 200 OK\r\n{fields}transfer-encoding: chunked\r\n\r\n{chunk}0\r\n"),
            "\r\n".to_owned(),
        ),
    ];
    let answer = |(place, before, after): &(&str, String, String), line: &[u8]| {
        let bytes = [before.as_bytes(), line, b"\r\n", after.as_bytes()].concat();
        RawAnswer::new(format!("{place}, {}", line.escape_ascii()), bytes)
    };
    let answers = |place| MALFORMED_LINES.map(|line| answer(place, line));
    places.iter().flat_map(answers).collect()
}

/// Answers with status 200, the lines `fields`, each with its end, and `body`, whose connection is closed before
/// their end or reset.
pub fn broken_off_answers(fields: &str, body: &str) -> Vec<RawAnswer> {
    let head = format!("HTTP/1.1 200 OK\r\n{fields}");
    let length = body.len();
    let long = format!("{head}content-length: {}\r\n\r\n{body}", length + 1);
    let chunked = format!("{head}transfer-encoding: chunked\r\n\r\n");
    let long_chunk = format!("{chunked}{:x}\r\n{body}", length + 1);
    let chunk = format!("{chunked}{length:x}\r\n{body}\r\n");
    let cut = [
        ("cut in the head", head.clone()),
        ("cut in a body with a length", long.clone()),
        ("cut in a chunk", long_chunk),
        ("cut before the last chunk", chunk.clone()),
    ];
    let reset = [
        ("reset after the head", format!("{head}content-length: {length}\r\n\r\n")),
        ("reset in a body with a length", long),
        ("reset before the last chunk", chunk),
        ("reset after a body without a length", format!("{head}\r\n{body}")),
    ];
    let answers = |answers: [(&'static str, String); 4], end| {
        answers.map(|(label, bytes)| RawAnswer::new(label, bytes).with_end(end))
    };
    [answers(cut, EarlyEnd::ReadToEnd), answers(reset, EarlyEnd::Reset)].concat()
}
