//! TCP relay that simulates partitions and slow links, for example between an entry and the store.

use std::{
    io::{Read, Write},
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc, Mutex, PoisonError, Weak,
        atomic::{AtomicU8, Ordering},
    },
    thread,
    time::Duration,
};

use socket2::SockRef;

/// Interval at which a reader checks whether the partition has ended.
const POLL_INTERVAL: Duration = Duration::from_millis(10);
const BUFFER_BYTES: usize = 16 * 1024;
/// Receive buffer of a slow link; a larger one would accept a whole upload immediately.
const SLOW_RECEIVE_BYTES: usize = 16 * 1024;

/// Traffic that the relay drops.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[repr(u8)]
pub enum Cut {
    /// None.
    None,
    /// Answers; requests are forwarded.
    Answers,
    /// All traffic.
    All,
}

/// A running relay.
#[derive(Debug, Clone)]
pub struct Relay {
    /// Address that the relay listens on.
    pub address: SocketAddr,
    cut: Arc<AtomicU8>,
    target: Arc<Mutex<Target>>,
}

/// The process that the relay forwards to.
#[derive(Debug)]
struct Target {
    address: SocketAddr,
    /// The connections to it; those that have ended are removed with the next one.
    connections: Vec<Weak<TcpStream>>,
}

impl Relay {
    /// Starts a relay to `target` on a free loopback port.
    ///
    /// # Errors
    ///
    /// Returns an error if the listener can't be created.
    pub fn start(target: SocketAddr) -> std::io::Result<Self> {
        Self::listen(TcpListener::bind(("127.0.0.1", 0))?, target, None)
    }

    /// Starts a relay that forwards at most `bytes_per_s` per connection and direction.
    ///
    /// # Errors
    ///
    /// Returns an error if the listener can't be created.
    pub fn start_slow(target: SocketAddr, bytes_per_s: u32) -> std::io::Result<Self> {
        let listener = TcpListener::bind(("127.0.0.1", 0))?;
        SockRef::from(&listener).set_recv_buffer_size(SLOW_RECEIVE_BYTES)?;
        Self::listen(listener, target, Some(bytes_per_s))
    }

    fn listen(
        listener: TcpListener,
        target: SocketAddr,
        bytes_per_s: Option<u32>,
    ) -> std::io::Result<Self> {
        let target = Target { address: target, connections: Vec::new() };
        let address = listener.local_addr()?;
        let relay = Self { address, cut: Arc::default(), target: Arc::new(Mutex::new(target)) };
        let (cut, target) = (Arc::clone(&relay.cut), Arc::clone(&relay.target));
        thread::spawn(move || {
            for caller in listener.incoming().flatten() {
                let mut target = target.lock().unwrap_or_else(PoisonError::into_inner);
                let Ok(server) = TcpStream::connect(target.address) else { continue };
                let server = Arc::new(server);
                target.connections.retain(|connection| connection.strong_count() > 0);
                target.connections.push(Arc::downgrade(&server));
                drop(target);
                forward_both(&caller, &server, &cut, bytes_per_s);
            }
        });
        Ok(relay)
    }

    /// Closes all connections and forwards new ones to `target`, as when a process ends and another one starts at its
    /// address.
    pub fn replace_target(&self, target: SocketAddr) {
        let target = Target { address: target, connections: Vec::new() };
        let mut current = self.target.lock().unwrap_or_else(PoisonError::into_inner);
        let previous = std::mem::replace(&mut *current, target);
        for connection in previous.connections.iter().filter_map(Weak::upgrade) {
            // It may have ended by itself.
            let _ = connection.shutdown(Shutdown::Both);
        }
    }

    /// Sets the traffic to drop, on new and on open connections.
    pub fn set(&self, cut: Cut) {
        self.cut.store(cut as u8, Ordering::SeqCst);
    }
}

fn forward_both(
    caller: &TcpStream,
    server: &Arc<TcpStream>,
    cut: &Arc<AtomicU8>,
    bytes_per_s: Option<u32>,
) {
    let _ = (caller.set_nodelay(true), server.set_nodelay(true));
    for (from, to, min_cut) in [(caller, &**server, Cut::All), (server, caller, Cut::Answers)] {
        let (Ok(from), Ok(to)) = (from.try_clone(), to.try_clone()) else { return };
        let (cut, open) = (Arc::clone(cut), Arc::clone(server));
        thread::spawn(move || {
            forward(from, to, &cut, min_cut, bytes_per_s);
            drop(open);
        });
    }
}

/// Forwards bytes until the connection ends. If bytes were dropped, the connection is closed when
/// the partition ends, because its stream is incomplete.
fn forward(
    mut from: TcpStream,
    mut to: TcpStream,
    cut: &AtomicU8,
    min_cut: Cut,
    bytes_per_s: Option<u32>,
) {
    let is_cut = || cut.load(Ordering::SeqCst) >= min_cut as u8;
    let mut buffer = vec![0; BUFFER_BYTES];
    let mut has_dropped = false;
    while let Ok(count @ 1..) = from.read(&mut buffer) {
        has_dropped |= is_cut();
        if has_dropped {
            while is_cut() {
                thread::sleep(POLL_INTERVAL);
            }
            break;
        }
        if let Some(rate) = bytes_per_s {
            thread::sleep(Duration::from_secs_f64(count as f64 / f64::from(rate)));
        }
        if to.write_all(&buffer[..count]).is_err() {
            break;
        }
    }
    let _ = (from.shutdown(Shutdown::Both), to.shutdown(Shutdown::Both));
}
