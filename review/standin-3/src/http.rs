//! Plain HTTP/1.1 with `Content-Length` bodies: a server with a thread a connection, and a client.

use std::{
    collections::HashMap,
    io::{self, BufRead, BufReader, Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc, OnceLock,
        atomic::{AtomicU16, Ordering},
    },
    thread,
    time::Duration,
};

/// A received request.
pub struct Request {
    pub method: String,
    pub path: String,
    pub query: HashMap<String, String>,
    pub headers: HashMap<String, String>,
    pub body: Vec<u8>,
}

/// What a handler wants done with a request.
pub enum Reply {
    /// Status and JSON text.
    Json(u16, String),
    /// The connection is closed without an answer.
    Close,
}

/// First port of the ranges of which each play takes one, below the system's own range for connections.
const FIRST_PORT: u16 = 10_000;
const PORTS_PER_PLAY: u16 = 1_000;
const RANGES: u32 = 22;

/// Ports of this play. The first one stays bound, so that no other play takes the range.
struct PortRange {
    first: u16,
    _lock: TcpListener,
    next: AtomicU16,
}

impl PortRange {
    fn take() -> Self {
        let preferred = std::process::id() % RANGES;
        let mut firsts = (0..RANGES)
            .map(|number| FIRST_PORT + ((preferred + number) % RANGES) as u16 * PORTS_PER_PLAY);
        let found = firsts.find_map(|first| {
            let lock = TcpListener::bind(SocketAddr::from(([127, 0, 0, 1], first))).ok()?;
            Some(Self { first, _lock: lock, next: AtomicU16::new(1) })
        });
        found.expect("a range of ports is free")
    }
}

/// Returns a free loopback address that no other play takes.
pub fn free_address() -> SocketAddr {
    static RANGE: OnceLock<PortRange> = OnceLock::new();
    let range = RANGE.get_or_init(PortRange::take);
    loop {
        let number = range.next.fetch_add(1, Ordering::Relaxed);
        assert!(number < PORTS_PER_PLAY, "no free port");
        let address = SocketAddr::from(([127, 0, 0, 1], range.first + number));
        if TcpListener::bind(address).is_ok() {
            return address;
        }
    }
}

/// Serves a free loopback address with a thread a connection.
pub fn serve(handler: impl Fn(Request) -> Reply + Send + Sync + 'static) -> SocketAddr {
    let (listener, address) = loop {
        let address = free_address();
        if let Ok(listener) = TcpListener::bind(address) {
            break (listener, address);
        }
    };
    let handler = Arc::new(handler);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handler = handler.clone();
            let _ = thread::Builder::new().stack_size(256 * 1024).spawn(move || {
                let _ = serve_connection(stream, &*handler);
            });
        }
    });
    address
}

fn serve_connection(stream: TcpStream, handler: &dyn Fn(Request) -> Reply) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let mut writer = stream.try_clone()?;
    let mut reader = BufReader::new(stream);
    while let Some(request) = read_request(&mut reader)? {
        match handler(request) {
            Reply::Json(status, body) => {
                let head = format!(
                    "HTTP/1.1 {status} X\r\ncontent-type: application/json\r\ncontent-length: {}\r\n\r\n",
                    body.len()
                );
                let mut bytes = head.into_bytes();
                bytes.extend_from_slice(body.as_bytes());
                writer.write_all(&bytes)?;
            }
            Reply::Close => return Ok(()),
        }
    }
    Ok(())
}

fn read_head(reader: &mut impl BufRead) -> io::Result<Option<(String, HashMap<String, String>)>> {
    let mut first = String::new();
    if reader.read_line(&mut first)? == 0 {
        return Ok(None);
    }
    let mut headers = HashMap::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Ok(None);
        }
        let line = line.trim_end();
        if line.is_empty() {
            break;
        }
        if let Some((name, value)) = line.split_once(':') {
            headers.insert(name.to_ascii_lowercase(), value.trim().to_owned());
        }
    }
    Ok(Some((first, headers)))
}

fn read_body(reader: &mut impl Read, headers: &HashMap<String, String>) -> io::Result<Vec<u8>> {
    let length = headers.get("content-length").and_then(|it| it.parse().ok()).unwrap_or(0usize);
    let mut body = vec![0; length];
    reader.read_exact(&mut body)?;
    Ok(body)
}

fn read_request(reader: &mut BufReader<TcpStream>) -> io::Result<Option<Request>> {
    let Some((first, headers)) = read_head(reader)? else { return Ok(None) };
    let body = read_body(reader, &headers)?;
    let mut words = first.split_whitespace();
    let method = words.next().unwrap_or_default().to_owned();
    let target = words.next().unwrap_or_default();
    let (path, query) = target.split_once('?').unwrap_or((target, ""));
    let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    let query = pairs.map(|(name, value)| (name.to_owned(), value.to_owned())).collect();
    Ok(Some(Request { method, path: path.to_owned(), query, headers, body }))
}

/// A client's channel.
pub struct Channel {
    reader: BufReader<TcpStream>,
    writer: TcpStream,
}

impl Channel {
    pub fn open(address: SocketAddr, timeout: Duration) -> io::Result<Self> {
        let stream = TcpStream::connect_timeout(&address, timeout)?;
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(timeout))?;
        Ok(Self { writer: stream.try_clone()?, reader: BufReader::new(stream) })
    }

    pub fn send(
        &mut self,
        method: &str,
        host: &str,
        path: &str,
        deadline_ms: u64,
        body: &str,
    ) -> io::Result<()> {
        let request = format!(
            "{method} {path} HTTP/1.1\r\nHost: {host}\r\nContent-Type: application/json\r\n\
             X-Jackdawpier-Deadline-Ms: {deadline_ms}\r\nContent-Length: {}\r\n\r\n{body}",
            body.len()
        );
        self.writer.write_all(request.as_bytes())
    }

    pub fn receive(&mut self) -> io::Result<(u16, String)> {
        let closed = || io::Error::from(io::ErrorKind::UnexpectedEof);
        let (first, headers) = read_head(&mut self.reader)?.ok_or_else(closed)?;
        let body = read_body(&mut self.reader, &headers)?;
        let status = first.split_whitespace().nth(1).and_then(|it| it.parse().ok());
        Ok((status.ok_or_else(closed)?, String::from_utf8_lossy(&body).into_owned()))
    }
}

/// Sends one request on a channel of its own. `None`: no answer.
pub fn call(
    address: SocketAddr,
    method: &str,
    host: &str,
    path: &str,
    deadline_ms: u64,
    body: &str,
) -> Option<(u16, String)> {
    let mut channel = Channel::open(address, Duration::from_millis(deadline_ms)).ok()?;
    channel.send(method, host, path, deadline_ms, body).ok()?;
    channel.receive().ok()
}
