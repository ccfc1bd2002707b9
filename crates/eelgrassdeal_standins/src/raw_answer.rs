//! Answers that are given byte by byte, and those that have a line that is no field.

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
    let answer = |(place, before, after): &(&str, String, String), line: &[u8]| RawAnswer {
        label: format!("{place}, {}", line.escape_ascii()),
        bytes: [before.as_bytes(), line, b"\r\n", after.as_bytes()].concat(),
    };
    let answers = |place| MALFORMED_LINES.map(|line| answer(place, line));
    places.iter().flat_map(answers).collect()
}
