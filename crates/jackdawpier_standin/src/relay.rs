//! A relay in front of a stand-in, which can be cut or slow: between one entry and the store, say.

use std::{
    io::{Read, Write},
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc,
        atomic::{AtomicU8, Ordering},
    },
    thread,
    time::Duration,
};

use socket2::SockRef;

/// How often a reader looks whether the cut is over.
const LOOK_INTERVAL: Duration = Duration::from_millis(10);
const BUFFER_BYTES: usize = 16 * 1024;
/// Receive buffer of a slow link; a larger one would take a whole upload in at once.
const SLOW_RECEIVE_BYTES: usize = 16 * 1024;

/// What the relay lets through.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[repr(u8)]
pub enum Cut {
    /// Everything.
    None,
    /// Requests, but no answers.
    Answers,
    /// Nothing; what was sent meanwhile is lost.
    All,
}

/// A running relay.
#[derive(Debug, Clone)]
pub struct Relay {
    /// Where it listens.
    pub address: SocketAddr,
    cut: Arc<AtomicU8>,
}

impl Relay {
    /// Starts a relay to `target` on a free port of loopback.
    ///
    /// # Errors
    ///
    /// Returns the reason for which there is no port.
    pub fn start(target: SocketAddr) -> std::io::Result<Self> {
        Self::listen(TcpListener::bind(("127.0.0.1", 0))?, target, None)
    }

    /// Starts a relay that carries at most `bytes_per_s` each way on each connection, steadily.
    ///
    /// # Errors
    ///
    /// Returns the reason for which there is no port.
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
        let relay = Self { address: listener.local_addr()?, cut: Arc::default() };
        let cut = Arc::clone(&relay.cut);
        thread::spawn(move || {
            for caller in listener.incoming().flatten() {
                let Ok(server) = TcpStream::connect(target) else { continue };
                carry_both(&caller, &server, &cut, bytes_per_s);
            }
        });
        Ok(relay)
    }

    /// Lets through what `cut` says, from now on and on connections that are open too.
    pub fn set(&self, cut: Cut) {
        self.cut.store(cut as u8, Ordering::SeqCst);
    }
}

fn carry_both(
    caller: &TcpStream,
    server: &TcpStream,
    cut: &Arc<AtomicU8>,
    bytes_per_s: Option<u32>,
) {
    let _ = (caller.set_nodelay(true), server.set_nodelay(true));
    for (from, to, least) in [(caller, server, Cut::All), (server, caller, Cut::Answers)] {
        let (Ok(from), Ok(to)) = (from.try_clone(), to.try_clone()) else { return };
        let cut = Arc::clone(cut);
        thread::spawn(move || carry(from, to, &cut, least, bytes_per_s));
    }
}

/// Carries bytes until the connection ends. Once some were lost, nothing on it can be right any
/// more, so it ends when the cut does.
fn carry(
    mut from: TcpStream,
    mut to: TcpStream,
    cut: &AtomicU8,
    least: Cut,
    bytes_per_s: Option<u32>,
) {
    let is_cut = || cut.load(Ordering::SeqCst) >= least as u8;
    let mut buffer = vec![0; BUFFER_BYTES];
    let mut has_lost = false;
    while let Ok(count @ 1..) = from.read(&mut buffer) {
        has_lost |= is_cut();
        if has_lost {
            while is_cut() {
                thread::sleep(LOOK_INTERVAL);
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
