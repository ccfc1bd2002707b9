//! HTTP/1.1 over blocking sockets: a server with one thread per connection, and requests of clients.

use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::time::Duration;

/// A request that a stand-in received.
#[derive(Clone, Debug, Default)]
pub struct Received {
    pub method: String,
    /// Path with the query.
    pub target: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Received {
    pub fn header(&self, name: &str) -> &str {
        find_header(&self.headers, name)
    }

    pub fn path(&self) -> &str {
        self.target.split('?').next().unwrap_or_default()
    }

    /// Value of a query parameter, decoded.
    pub fn query(&self, name: &str) -> Option<String> {
        let query = self.target.split_once('?')?.1;
        let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        pairs.into_iter().find(|(key, _)| *key == name).map(|(_, value)| percent_decode(value))
    }
}

fn find_header<'a>(headers: &'a [(String, String)], name: &str) -> &'a str {
    let found = headers.iter().find(|(key, _)| key.eq_ignore_ascii_case(name));
    found.map_or("", |(_, value)| value)
}

fn percent_decode(text: &str) -> String {
    let (bytes, mut decoded, mut at) = (text.as_bytes(), Vec::new(), 0);
    while at < bytes.len() {
        let code = (bytes[at] == b'%').then(|| text.get(at + 1..at + 3)).flatten();
        match code.and_then(|code| u8::from_str_radix(code, 16).ok()) {
            Some(byte) => {
                decoded.push(byte);
                at += 3;
            }
            None => {
                decoded.push(bytes[at]);
                at += 1;
            }
        }
    }
    String::from_utf8_lossy(&decoded).into_owned()
}

/// Reads one request; `None` at the end of the connection.
pub fn read_request(reader: &mut impl BufRead) -> io::Result<Option<Received>> {
    let Some((first, headers)) = read_head(reader)? else { return Ok(None) };
    let mut words = first.split(' ');
    let method = words.next().unwrap_or_default().to_owned();
    let target = words.next().unwrap_or_default().to_owned();
    let mut request = Received { method, target, headers, body: Vec::new() };
    let is_chunked = request.header("transfer-encoding").eq_ignore_ascii_case("chunked");
    request.body = match (is_chunked, request.header("content-length").parse()) {
        (true, _) => read_chunks(reader)?,
        (false, Ok(length)) => read_exact(reader, length)?,
        (false, Err(_)) => Vec::new(),
    };
    Ok(Some(request))
}

type Head = (String, Vec<(String, String)>);

fn read_head(reader: &mut impl BufRead) -> io::Result<Option<Head>> {
    let mut first = String::new();
    if reader.read_line(&mut first)? == 0 {
        return Ok(None);
    }
    let mut headers = Vec::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let line = line.trim_end();
        if line.is_empty() {
            return Ok(Some((first.trim_end().to_owned(), headers)));
        }
        if let Some((name, value)) = line.split_once(':') {
            headers.push((name.to_ascii_lowercase(), value.trim().to_owned()));
        }
    }
}

fn read_exact(reader: &mut impl BufRead, length: usize) -> io::Result<Vec<u8>> {
    let mut body = vec![0; length];
    reader.read_exact(&mut body)?;
    Ok(body)
}

fn read_chunks(reader: &mut impl BufRead) -> io::Result<Vec<u8>> {
    let mut body = Vec::new();
    loop {
        let mut line = String::new();
        reader.read_line(&mut line)?;
        let size = usize::from_str_radix(line.trim(), 16)
            .map_err(|_| io::Error::from(io::ErrorKind::InvalidData))?;
        body.extend(read_exact(reader, size)?);
        read_exact(reader, 2)?;
        if size == 0 {
            return Ok(body);
        }
    }
}

/// Serves connections until the process ends. `handle` writes the response to the stream itself and
/// returns whether the connection goes on.
pub fn serve<F>(listener: TcpListener, handle: F)
where
    F: Fn(Received, &mut TcpStream) -> bool + Send + Sync + 'static,
{
    let handle = Arc::new(handle);
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handle = handle.clone();
            std::thread::spawn(move || {
                let _ = stream.set_nodelay(true);
                let Ok(mut writer) = stream.try_clone() else { return };
                let mut reader = BufReader::new(stream);
                while let Ok(Some(request)) = read_request(&mut reader) {
                    if !handle(request, &mut writer) {
                        let _ = writer.shutdown(std::net::Shutdown::Both);
                        return;
                    }
                }
            });
        }
    });
}

/// Writes a response with a length. Returns whether it was written.
pub fn respond(stream: &mut TcpStream, status: u16, headers: &str, body: &[u8]) -> bool {
    let head = format!("HTTP/1.1 {status} X\r\n{headers}Content-Length: {}\r\n\r\n", body.len());
    let mut message = head.into_bytes();
    message.extend_from_slice(body);
    stream.write_all(&message).is_ok()
}

const SOL_SOCKET: i32 = 1;
const SO_RCVBUF: i32 = 8;

unsafe extern "C" {
    fn setsockopt(socket: i32, level: i32, name: i32, value: *const i32, length: u32) -> i32;
}

/// What a client saw of a request.
#[derive(Clone, Debug, Default)]
pub struct Answer {
    /// 0 if the connection ended before a status line.
    pub status: u16,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
    /// Whether the body arrived completely.
    pub is_complete: bool,
    pub error: String,
}

impl Answer {
    pub fn header(&self, name: &str) -> &str {
        find_header(&self.headers, name)
    }
}

/// A connection of a client.
pub struct Client {
    reader: BufReader<TcpStream>,
}

impl Client {
    pub fn connect(address: SocketAddr) -> io::Result<Self> {
        let stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
        stream.set_nodelay(true)?;
        Ok(Self { reader: BufReader::with_capacity(16 * 1024, stream) })
    }

    /// Gives the connection a receive buffer of this size, which the system then no longer enlarges.
    pub fn set_receive_buffer(&self, bytes: i32) {
        use std::os::fd::AsRawFd;
        let socket = self.reader.get_ref().as_raw_fd();
        // SAFETY: the option's value is an `int` that outlives the call.
        unsafe { setsockopt(socket, SOL_SOCKET, SO_RCVBUF, &raw const bytes, 4) };
    }

    pub fn set_timeout(&self, timeout: Duration) {
        let _ = self.reader.get_ref().set_read_timeout(Some(timeout));
    }

    pub fn send(&mut self, message: &[u8]) -> io::Result<()> {
        self.reader.get_mut().write_all(message)
    }

    /// Reads a response; `pause` is called with the number of body bytes so far after each read.
    pub fn receive(&mut self, mut pause: impl FnMut(usize)) -> Answer {
        let mut answer = Answer::default();
        let (first, headers) = match read_head(&mut self.reader) {
            Ok(Some(head)) => head,
            Ok(None) => {
                answer.error = "connection closed without an answer".to_owned();
                return answer;
            }
            Err(error) => {
                answer.error = error.to_string();
                return answer;
            }
        };
        answer.status = first.split(' ').nth(1).and_then(|word| word.parse().ok()).unwrap_or(0);
        answer.headers = headers;
        if answer.header("transfer-encoding").eq_ignore_ascii_case("chunked") {
            match read_chunks(&mut self.reader) {
                Ok(body) => {
                    answer.body = body;
                    answer.is_complete = true;
                }
                Err(error) => answer.error = error.to_string(),
            }
            return answer;
        }
        let length: usize = answer.header("content-length").parse().unwrap_or(0);
        let mut buffer = vec![0; 16 * 1024];
        while answer.body.len() < length {
            let wanted = buffer.len().min(length - answer.body.len());
            match self.reader.read(&mut buffer[..wanted]) {
                Ok(0) => {
                    answer.error = "connection closed inside the body".to_owned();
                    return answer;
                }
                Ok(count) => answer.body.extend_from_slice(&buffer[..count]),
                Err(error) => {
                    answer.error = error.to_string();
                    return answer;
                }
            }
            pause(answer.body.len());
        }
        answer.is_complete = true;
        answer
    }
}

/// One request on a connection of its own.
pub fn exchange(address: SocketAddr, message: &[u8], timeout: Duration) -> Answer {
    let mut client = match Client::connect(address) {
        Ok(client) => client,
        Err(error) => return Answer { error: error.to_string(), ..Answer::default() },
    };
    client.set_timeout(timeout);
    if let Err(error) = client.send(message) {
        return Answer { error: error.to_string(), ..Answer::default() };
    }
    client.receive(|_| {})
}
