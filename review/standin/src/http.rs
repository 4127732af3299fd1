//! A minimal HTTP/1.1 server and client over blocking sockets.

use std::{
    io::{self, BufRead, BufReader, Read, Write},
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::Duration,
};

/// A complete request.
pub struct Request {
    pub method: String,
    /// Path without the query.
    pub path: String,
    pub query: String,
    headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Request {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(one, _)| one.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    pub fn json(&self) -> serde_json::Value {
        serde_json::from_slice(&self.body).unwrap_or(serde_json::Value::Null)
    }

    /// Returns a parameter of the query, with percent escapes decoded.
    pub fn parameter(&self, name: &str) -> Option<String> {
        let pairs = self.query.split('&').filter_map(|pair| pair.split_once('='));
        pairs.into_iter().find(|(one, _)| *one == name).map(|(_, value)| unescape(value))
    }
}

fn unescape(text: &str) -> String {
    let mut bytes = Vec::new();
    let mut rest = text.as_bytes();
    while let Some((&byte, after)) = rest.split_first() {
        let code = (byte == b'%').then(|| after.get(..2)).flatten();
        let code = code.and_then(|code| std::str::from_utf8(code).ok());
        let code = code.and_then(|code| u8::from_str_radix(code, 16).ok());
        bytes.push(code.unwrap_or(byte));
        rest = if code.is_some() { &after[2..] } else { after };
    }
    String::from_utf8_lossy(&bytes).into_owned()
}

/// The answer to a request; `None` closes the connection without one.
pub type Reply = Option<(u16, String)>;

pub fn reply(status: u16, body: serde_json::Value) -> Reply {
    Some((status, body.to_string()))
}

/// A server that can be stopped: its port is closed and its connections are reset.
pub struct Server {
    pub address: SocketAddr,
    is_stopped: Arc<AtomicBool>,
    streams: Arc<Mutex<Vec<TcpStream>>>,
}

impl Server {
    pub fn start(handler: impl Fn(Request) -> Reply + Send + Sync + 'static) -> io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let address = listener.local_addr()?;
        let is_stopped = Arc::new(AtomicBool::new(false));
        let streams: Arc<Mutex<Vec<TcpStream>>> = Arc::default();
        let handler = Arc::new(handler);
        let (stopped, open) = (is_stopped.clone(), streams.clone());
        thread::spawn(move || {
            while let Ok((stream, _)) = listener.accept() {
                if stopped.load(Ordering::SeqCst) {
                    return;
                }
                if let Ok(copy) = stream.try_clone() {
                    open.lock().unwrap().push(copy);
                }
                let (handler, stopped) = (handler.clone(), stopped.clone());
                thread::spawn(move || {
                    let _ = serve(&stream, &*handler, &stopped);
                    let _ = stream.shutdown(Shutdown::Both);
                });
            }
        });
        Ok(Self { address, is_stopped, streams })
    }

    pub fn stop(&self) {
        self.is_stopped.store(true, Ordering::SeqCst);
        // Wakes the accepting thread, which then closes the port.
        let _ = TcpStream::connect(self.address);
        for stream in self.streams.lock().unwrap().drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }
}

fn serve(
    stream: &TcpStream,
    handler: &impl Fn(Request) -> Reply,
    is_stopped: &AtomicBool,
) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let mut reader = BufReader::new(stream);
    while let Some(request) = read_request(&mut reader)? {
        let answer = handler(request);
        if is_stopped.load(Ordering::SeqCst) {
            return Ok(());
        }
        let Some((status, body)) = answer else { return Ok(()) };
        let head = format!(
            "HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
            body.len()
        );
        let mut writer = stream;
        writer.write_all(&[head.as_bytes(), body.as_bytes()].concat())?;
    }
    Ok(())
}

fn read_request(reader: &mut impl BufRead) -> io::Result<Option<Request>> {
    let mut line = String::new();
    if reader.read_line(&mut line)? == 0 {
        return Ok(None);
    }
    let mut words = line.split_whitespace();
    let method = words.next().unwrap_or_default().to_owned();
    let target = words.next().unwrap_or_default();
    let (path, query) = target.split_once('?').unwrap_or((target, ""));
    let (path, query) = (path.to_owned(), query.to_owned());
    let (headers, length) = read_headers(reader)?;
    let mut body = vec![0; length];
    reader.read_exact(&mut body)?;
    Ok(Some(Request { method, path, query, headers, body }))
}

fn read_headers(reader: &mut impl BufRead) -> io::Result<(Vec<(String, String)>, usize)> {
    let mut headers = Vec::new();
    let mut length = 0;
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let Some((name, value)) = line.trim_end().split_once(':') else {
            return Ok((headers, length));
        };
        if name.eq_ignore_ascii_case("content-length") {
            length = value.trim().parse().unwrap_or(0);
        }
        headers.push((name.to_owned(), value.trim().to_owned()));
    }
}

/// Sends one request on a new connection and returns the status and the body.
pub fn call(
    address: SocketAddr,
    method: &str,
    path: &str,
    host: &str,
    body: &str,
    timeout: Duration,
) -> io::Result<(u16, String)> {
    let mut stream = TcpStream::connect_timeout(&address, timeout)?;
    stream.set_read_timeout(Some(timeout))?;
    let deadline_ms = timeout.as_millis();
    write!(
        stream,
        "{method} {path} HTTP/1.1\r\nHost: {host}\r\nConnection: close\r\n\
         X-Jackdawpier-Deadline-Ms: {deadline_ms}\r\nContent-Type: application/json\r\n\
         Content-Length: {}\r\n\r\n{body}",
        body.len()
    )?;
    let mut reader = BufReader::new(stream);
    let mut line = String::new();
    reader.read_line(&mut line)?;
    let status = line.split_whitespace().nth(1).and_then(|status| status.parse().ok());
    let status = status.ok_or(io::ErrorKind::UnexpectedEof)?;
    let (_, length) = read_headers(&mut reader)?;
    let mut body = vec![0; length];
    reader.read_exact(&mut body)?;
    Ok((status, String::from_utf8_lossy(&body).into_owned()))
}
