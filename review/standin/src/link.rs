//! A link between one process and a part of the platform that can be cut.
//!
//! As on a network, the bytes that are on their way when the cut begins, and those that are written to an open
//! connection during it, arrive after it, also if their sender has closed the connection meanwhile. A connection
//! that is opened during the cut is never established.

use std::{
    io::{self, Read, Write},
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::Duration,
};

const CUT_CHECK_INTERVAL: Duration = Duration::from_millis(5);

pub type Watcher = Arc<dyn Fn(&[u8]) + Send + Sync>;

/// Forwards connections to `target` while `is_cut` is false. `on_sent` sees what the process sends before it is
/// forwarded.
pub fn start(
    target: SocketAddr,
    is_cut: Arc<AtomicBool>,
    on_sent: Watcher,
) -> io::Result<SocketAddr> {
    let listener = TcpListener::bind("127.0.0.1:0")?;
    let address = listener.local_addr()?;
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let (is_cut, on_sent) = (is_cut.clone(), on_sent.clone());
            thread::spawn(move || {
                if is_cut.load(Ordering::SeqCst) {
                    // Its packets are lost: nothing is read or answered until the process gives up.
                    wait_while(&is_cut);
                    return;
                }
                let _ = forward(&stream, target, &is_cut, &on_sent);
            });
        }
    });
    Ok(address)
}

fn wait_while(is_cut: &AtomicBool) {
    while is_cut.load(Ordering::SeqCst) {
        thread::sleep(CUT_CHECK_INTERVAL);
    }
}

fn forward(
    near: &TcpStream,
    target: SocketAddr,
    is_cut: &Arc<AtomicBool>,
    on_sent: &Watcher,
) -> io::Result<()> {
    let far = TcpStream::connect(target)?;
    near.set_nodelay(true)?;
    far.set_nodelay(true)?;
    let (answers, receiver, cut) = (far.try_clone()?, near.try_clone()?, is_cut.clone());
    thread::spawn(move || {
        copy(&answers, &receiver, &cut, &|_| {});
    });
    copy(near, &far, is_cut, &|bytes| on_sent(bytes));
    Ok(())
}

/// Returns whether the peer has reset a connection.
fn is_reset(stream: &TcpStream) -> bool {
    let _ = stream.set_nonblocking(true);
    let peeked = stream.peek(&mut [0]);
    let _ = stream.set_nonblocking(false);
    peeked.is_err_and(|error| error.kind() == io::ErrorKind::ConnectionReset)
}

/// Copies until the end of the stream, which is passed on after all bytes before it.
fn copy(from: &TcpStream, to: &TcpStream, is_cut: &AtomicBool, on_bytes: &dyn Fn(&[u8])) {
    let (mut from, mut to) = (from, to);
    let mut buffer = [0; 16 * 1024];
    while let Ok(count @ 1..) = from.read(&mut buffer) {
        on_bytes(&buffer[..count]);
        let was_cut = is_cut.load(Ordering::SeqCst);
        wait_while(is_cut);
        // Bytes that were held up are lost if their sender has reset the connection.
        if was_cut && is_reset(from) {
            return;
        }
        if to.write_all(&buffer[..count]).is_err() {
            break;
        }
    }
    wait_while(is_cut);
    let _ = to.shutdown(Shutdown::Write);
}
