//! A small HTTP/1.1 server for stand-ins: one thread a connection.

use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

/// A request as it was received.
#[derive(Clone, Debug, Default)]
pub struct HttpRequest {
    pub method: String,
    /// Path and query.
    pub target: String,
    /// Names in lower case.
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl HttpRequest {
    /// Value of a header; empty without one.
    pub fn header(&self, name: &str) -> &str {
        let found = self.headers.iter().find(|(known, _)| known == name);
        found.map_or("", |(_, value)| value)
    }
}

/// Reads the next message from a stream whose unread bytes are in `buffer`. `None` at its end.
pub fn read_head(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> io::Result<Option<Vec<String>>> {
    loop {
        if let Some(end) = buffer.windows(4).position(|four| four == b"\r\n\r\n") {
            let head: Vec<u8> = buffer.drain(..end + 4).collect();
            let head = String::from_utf8_lossy(&head[..end]).into_owned();
            return Ok(Some(head.split("\r\n").map(str::to_owned).collect()));
        }
        if fill(stream, buffer)? == 0 {
            return Ok(None);
        }
    }
}

/// Reads what has arrived; returns the number of bytes, 0 at the end of the stream.
pub fn fill(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> io::Result<usize> {
    let mut bytes = [0; 16 * 1024];
    let count = stream.read(&mut bytes)?;
    buffer.extend_from_slice(&bytes[..count]);
    Ok(count)
}

/// Parses header lines to names in lower case and values.
pub fn parse_headers(lines: &[String]) -> Vec<(String, String)> {
    let pair = |line: &String| {
        let (name, value) = line.split_once(':')?;
        Some((name.trim().to_ascii_lowercase(), value.trim().to_owned()))
    };
    lines.iter().filter_map(pair).collect()
}

/// Reads one request; `None` at the end of the connection.
pub fn read_request(
    stream: &mut TcpStream,
    buffer: &mut Vec<u8>,
) -> io::Result<Option<HttpRequest>> {
    let Some(lines) = read_head(stream, buffer)? else { return Ok(None) };
    let mut words = lines[0].split(' ');
    let method = words.next().unwrap_or_default().to_owned();
    let target = words.next().unwrap_or_default().to_owned();
    let mut request =
        HttpRequest { method, target, headers: parse_headers(&lines[1..]), body: Vec::new() };
    let length: usize = request.header("content-length").parse().unwrap_or(0);
    while buffer.len() < length {
        if fill(stream, buffer)? == 0 {
            return Ok(None);
        }
    }
    request.body = buffer.drain(..length).collect();
    Ok(Some(request))
}

/// Writes a response with a length. `headers` are lines without their ends.
pub fn write_response(
    stream: &mut TcpStream,
    status: u16,
    headers: &[String],
    body: &[u8],
) -> io::Result<()> {
    let mut head = format!("HTTP/1.1 {status} Status\r\ncontent-length: {}\r\n", body.len());
    for line in headers {
        head += line;
        head += "\r\n";
    }
    head += "\r\n";
    let mut bytes = head.into_bytes();
    bytes.extend_from_slice(body);
    stream.write_all(&bytes)
}

/// A listener whose process can be made to end: connections are closed and new ones refused.
pub struct Server {
    pub address: SocketAddr,
    is_down: Arc<AtomicBool>,
    streams: Arc<Mutex<Vec<TcpStream>>>,
}

impl Server {
    /// Listens on `address` and serves each connection with `serve` in a thread of its own.
    pub fn start(
        address: SocketAddr,
        serve: impl Fn(TcpStream) + Send + Sync + 'static,
    ) -> io::Result<Self> {
        let listener = TcpListener::bind(address)?;
        let address = listener.local_addr()?;
        listener.set_nonblocking(true)?;
        let is_down = Arc::new(AtomicBool::new(false));
        let streams: Arc<Mutex<Vec<TcpStream>>> = Arc::default();
        let (down, open, serve) = (is_down.clone(), streams.clone(), Arc::new(serve));
        thread::spawn(move || {
            while !down.load(Ordering::SeqCst) {
                match listener.accept() {
                    Ok((stream, _)) => {
                        let _ = stream.set_nonblocking(false);
                        let _ = stream.set_nodelay(true);
                        let Ok(copy) = stream.try_clone() else { continue };
                        let end = copy.try_clone();
                        open.lock().unwrap().push(copy);
                        let serve = serve.clone();
                        thread::spawn(move || {
                            serve(stream);
                            // The copies keep the socket open.
                            if let Ok(end) = end {
                                let _ = end.shutdown(std::net::Shutdown::Both);
                            }
                        });
                    }
                    Err(_) => thread::sleep(Duration::from_millis(1)),
                }
            }
        });
        Ok(Self { address, is_down, streams })
    }

    /// Set when the process has ended, which closes the listener.
    pub fn down_flag(&self) -> Arc<AtomicBool> {
        self.is_down.clone()
    }

    /// Ends the process: the listener is closed within a millisecond or two, and then all connections.
    pub fn stop(&self) {
        self.is_down.store(true, Ordering::SeqCst);
        thread::sleep(Duration::from_millis(5));
        for stream in self.streams.lock().unwrap().drain(..) {
            let _ = stream.shutdown(std::net::Shutdown::Both);
        }
    }
}
