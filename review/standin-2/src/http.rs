//! A small HTTP/1.1 server and client on blocking sockets, one thread a connection.

use std::{
    collections::HashMap,
    io::{self, BufRead, BufReader, Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::Duration,
};

use serde_json::Value;

/// A received request.
pub struct Request {
    pub method: String,
    pub path: String,
    query: HashMap<String, String>,
    headers: HashMap<String, String>,
    pub body: Vec<u8>,
}

impl Request {
    pub fn query(&self, name: &str) -> &str {
        self.query.get(name).map_or("", String::as_str)
    }

    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name).map(String::as_str)
    }

    pub fn json(&self) -> Value {
        serde_json::from_slice(&self.body).unwrap_or(Value::Null)
    }
}

/// What a handler does with a request.
pub enum Reply {
    Json(u16, Value),
    /// No answer; the channel is closed after this time.
    Silence(Duration),
}

type Handler = dyn Fn(Request) -> Reply + Send + Sync;

/// A server that can be closed with all its channels, as when its process ends.
pub struct Server {
    closed: Arc<AtomicBool>,
    streams: Arc<Mutex<Vec<TcpStream>>>,
    accepting: Option<thread::JoinHandle<()>>,
}

impl Server {
    pub fn start(address: SocketAddr, handler: Arc<Handler>) -> io::Result<Self> {
        let listener = TcpListener::bind(address)?;
        listener.set_nonblocking(true)?;
        let closed = Arc::new(AtomicBool::new(false));
        let streams: Arc<Mutex<Vec<TcpStream>>> = Arc::default();
        let (is_closed, open) = (closed.clone(), streams.clone());
        let accepting = thread::spawn(move || {
            while !is_closed.load(Ordering::SeqCst) {
                match listener.accept() {
                    Ok((stream, _)) => {
                        let _ = stream.set_nonblocking(false);
                        let _ = stream.set_nodelay(true);
                        if let Ok(copy) = stream.try_clone() {
                            let mut open = open.lock().unwrap();
                            if open.len() > 256 {
                                open.retain(|one| one.peer_addr().is_ok());
                            }
                            open.push(copy);
                        }
                        let (handler, is_closed) = (handler.clone(), is_closed.clone());
                        thread::spawn(move || {
                            let is_over = serve(&stream, &*handler, &is_closed);
                            if !is_closed.load(Ordering::SeqCst) || is_over.is_err() {
                                let _ = stream.shutdown(std::net::Shutdown::Both);
                            }
                        });
                    }
                    Err(_) => thread::sleep(Duration::from_millis(1)),
                }
            }
        });
        Ok(Self { closed, streams, accepting: Some(accepting) })
    }

    /// Closes the port. Its channels stay open and silent, as those of a machine that is gone.
    pub fn silence(mut self) {
        self.closed.store(true, Ordering::SeqCst);
        if let Some(accepting) = self.accepting.take() {
            let _ = accepting.join();
        }
        // Never closed: the other side hears nothing.
        std::mem::forget(std::mem::take(&mut *self.streams.lock().unwrap()));
    }

    /// Closes the port; channels that are open stay as they are.
    pub fn stop_accepting(mut self) {
        self.closed.store(true, Ordering::SeqCst);
        if let Some(accepting) = self.accepting.take() {
            let _ = accepting.join();
        }
    }

    /// Closes the port and all channels.
    pub fn close(mut self) {
        self.closed.store(true, Ordering::SeqCst);
        if let Some(accepting) = self.accepting.take() {
            let _ = accepting.join();
        }
        for stream in self.streams.lock().unwrap().drain(..) {
            let _ = stream.shutdown(std::net::Shutdown::Both);
        }
    }
}

fn serve(stream: &TcpStream, handler: &Handler, closed: &AtomicBool) -> io::Result<()> {
    let mut reader = BufReader::new(stream.try_clone()?);
    while let Some(request) = read_request(&mut reader)? {
        let reply = handler(request);
        if closed.load(Ordering::SeqCst) {
            break;
        }
        match reply {
            Reply::Json(status, body) => {
                let body = body.to_string();
                let head = format!(
                    "HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
                    body.len()
                );
                let mut out: &TcpStream = stream;
                out.write_all(format!("{head}{body}").as_bytes())?;
            }
            Reply::Silence(time) => {
                thread::sleep(time);
                break;
            }
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
            return Ok(Some((first.trim_end().to_owned(), headers)));
        }
        if let Some((name, value)) = line.split_once(':') {
            headers.insert(name.trim().to_ascii_lowercase(), value.trim().to_owned());
        }
    }
}

fn read_body(reader: &mut impl Read, headers: &HashMap<String, String>) -> io::Result<Vec<u8>> {
    let length = headers.get("content-length").and_then(|text| text.parse().ok()).unwrap_or(0);
    let mut body = vec![0; length];
    reader.read_exact(&mut body)?;
    Ok(body)
}

fn read_request(reader: &mut BufReader<TcpStream>) -> io::Result<Option<Request>> {
    let Some((first, headers)) = read_head(reader)? else { return Ok(None) };
    let mut words = first.split(' ');
    let method = words.next().unwrap_or_default().to_owned();
    let target = words.next().unwrap_or_default();
    let (path, query) = target.split_once('?').unwrap_or((target, ""));
    let query = query.split('&').filter_map(|pair| pair.split_once('='));
    let query = query.map(|(name, value)| (name.to_owned(), decode(value))).collect();
    let body = read_body(reader, &headers)?;
    Ok(Some(Request { method, path: path.to_owned(), query, headers, body }))
}

fn decode(text: &str) -> String {
    let bytes = text.as_bytes();
    let mut out = Vec::new();
    let mut at = 0;
    while at < bytes.len() {
        let hex = (bytes[at] == b'%').then(|| text.get(at + 1..at + 3)).flatten();
        match hex.and_then(|hex| u8::from_str_radix(hex, 16).ok()) {
            Some(byte) => {
                out.push(byte);
                at += 3;
            }
            None => {
                out.push(bytes[at]);
                at += 1;
            }
        }
    }
    String::from_utf8_lossy(&out).into_owned()
}

/// Sends one request on a channel of its own; `None` without a whole answer within `limit`.
pub fn call(
    address: SocketAddr,
    method: &str,
    path: &str,
    host: &str,
    body: &str,
    limit: Duration,
) -> Option<(u16, Vec<u8>)> {
    call_with_deadline(address, method, path, host, body, limit, limit)
}

/// The same by a client that states a deadline and leaves before it.
pub fn call_with_deadline(
    address: SocketAddr,
    method: &str,
    path: &str,
    host: &str,
    body: &str,
    limit: Duration,
    deadline: Duration,
) -> Option<(u16, Vec<u8>)> {
    let stream = TcpStream::connect_timeout(&address, limit).ok()?;
    stream.set_read_timeout(Some(limit)).ok()?;
    stream.set_nodelay(true).ok()?;
    let request = format!(
        "{method} {path} HTTP/1.1\r\nHost: {host}\r\nContent-Type: application/json\r\n\
         X-Jackdawpier-Deadline-Ms: {}\r\nContent-Length: {}\r\n\r\n{body}",
        deadline.as_millis(),
        body.len()
    );
    let mut out: &TcpStream = &stream;
    out.write_all(request.as_bytes()).ok()?;
    let mut reader = BufReader::new(stream.try_clone().ok()?);
    let (first, headers) = read_head(&mut reader).ok()??;
    let status = first.split(' ').nth(1)?.parse().ok()?;
    Some((status, read_body(&mut reader, &headers).ok()?))
}
