//! Clients of the gateways.

use std::io::{self, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

use crate::http::{fill, parse_headers, read_head};

/// How a request ended for its client.
#[derive(Clone, Debug, Default)]
pub struct Answer {
    /// 0 without an answer.
    pub status: u16,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
    /// Whether the body came to its end.
    pub is_complete: bool,
}

impl Answer {
    pub fn header(&self, name: &str) -> &str {
        let found = self.headers.iter().find(|(known, _)| known == name);
        found.map_or("", |(_, value)| value)
    }

    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }
}

/// Opens a connection to a loopback port.
pub fn connect(port: u16, limit: Duration) -> io::Result<TcpStream> {
    let stream = TcpStream::connect_timeout(&SocketAddr::from(([127, 0, 0, 1], port)), limit)?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(limit))?;
    Ok(stream)
}

/// Status of a GET on a new connection.
pub fn get(port: u16, path: &str, limit: Duration) -> Option<u16> {
    get_answer(port, path, limit).map(|answer| answer.status)
}

/// Answer to a GET on a new connection.
pub fn get_answer(port: u16, path: &str, limit: Duration) -> Option<Answer> {
    let mut stream = connect(port, limit).ok()?;
    let head = format!("GET {path} HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n");
    stream.write_all(head.as_bytes()).ok()?;
    Some(read_answer(&mut stream, &mut Vec::new(), limit)).filter(|answer| answer.status != 0)
}

/// A request to send.
#[derive(Clone, Debug)]
pub struct Call {
    pub method: &'static str,
    pub host: String,
    pub path: String,
    pub id: String,
    pub deadline_ms: u64,
    /// Further header lines.
    pub headers: Vec<String>,
    pub body: Vec<u8>,
}

impl Call {
    pub fn new(method: &'static str, host: &str, path: &str, id: &str, deadline_ms: u64) -> Self {
        let (host, path, id) = (host.to_owned(), path.to_owned(), id.to_owned());
        Self { method, host, path, id, deadline_ms, headers: Vec::new(), body: Vec::new() }
    }

    pub fn bytes(&self) -> Vec<u8> {
        let mut head = format!(
            "{} {} HTTP/1.1\r\nHost: {}\r\nX-Eelgrassdeal-Request-Id: {}\r\n\
             X-Eelgrassdeal-Deadline-Ms: {}\r\n",
            self.method, self.path, self.host, self.id, self.deadline_ms
        );
        for line in &self.headers {
            head += line;
            head += "\r\n";
        }
        if self.method != "GET" {
            head += &format!("Content-Length: {}\r\n", self.body.len());
        }
        head += "\r\n";
        let mut bytes = head.into_bytes();
        bytes.extend_from_slice(&self.body);
        bytes
    }

    /// Sends the request on a new connection and reads the answer.
    pub fn send(&self, port: u16) -> Answer {
        let limit = Duration::from_millis(self.deadline_ms + 1_000);
        let Ok(mut stream) = connect(port, limit) else { return Answer::default() };
        if stream.write_all(&self.bytes()).is_err() {
            return Answer::default();
        }
        read_answer(&mut stream, &mut Vec::new(), limit)
    }
}

/// Reads one answer within `limit`.
pub fn read_answer(stream: &mut TcpStream, buffer: &mut Vec<u8>, limit: Duration) -> Answer {
    let until = Instant::now() + limit;
    let mut answer = Answer::default();
    let Ok(Some(lines)) = read_head(stream, buffer) else { return answer };
    answer.status = lines[0].split(' ').nth(1).and_then(|word| word.parse().ok()).unwrap_or(0);
    answer.headers = parse_headers(&lines[1..]);
    if answer.header("transfer-encoding").eq_ignore_ascii_case("chunked") {
        answer.is_complete = read_chunks(stream, buffer, &mut answer.body, until);
        return answer;
    }
    match answer.header("content-length").parse::<usize>() {
        Ok(length) => {
            while buffer.len() < length && Instant::now() < until {
                if !matches!(fill(stream, buffer), Ok(count) if count > 0) {
                    break;
                }
            }
            answer.is_complete = buffer.len() >= length;
            let taken = length.min(buffer.len());
            answer.body = buffer.drain(..taken).collect();
        }
        Err(_) => loop {
            match fill(stream, buffer) {
                Ok(0) => {
                    answer.is_complete = true;
                    answer.body = std::mem::take(buffer);
                    break;
                }
                Ok(_) if Instant::now() < until => {}
                _ => {
                    answer.body = std::mem::take(buffer);
                    break;
                }
            }
        },
    }
    answer
}

fn read_chunks(
    stream: &mut TcpStream,
    buffer: &mut Vec<u8>,
    body: &mut Vec<u8>,
    until: Instant,
) -> bool {
    loop {
        let line_end = buffer.windows(2).position(|two| two == b"\r\n");
        let whole = line_end.and_then(|end| {
            let text = std::str::from_utf8(&buffer[..end]).ok()?;
            let size = usize::from_str_radix(text.trim(), 16).ok()?;
            (buffer.len() >= end + 2 + size + 2).then_some((end + 2, size))
        });
        match whole {
            Some((start, size)) => {
                body.extend_from_slice(&buffer[start..start + size]);
                buffer.drain(..start + size + 2);
                if size == 0 {
                    return true;
                }
            }
            None if Instant::now() >= until => return false,
            None => {
                if !matches!(fill(stream, buffer), Ok(count) if count > 0) {
                    return false;
                }
            }
        }
    }
}
