//! Simulates a slow link between two entries: datagrams to the target are forwarded immediately,
//! those from the target at a limited rate.

use std::{
    net::{SocketAddr, UdpSocket},
    sync::{Arc, Mutex},
    thread,
    time::Duration,
};

use socket2::SockRef;

/// Maximum size of a datagram.
const DATAGRAM_BYTES: usize = 64 * 1024;
/// Queue size of the link; datagrams that arrive while it is full are dropped.
const QUEUE_BYTES: usize = 32 * 1024;

/// Starts a link to `target` for one caller and returns its loopback address.
///
/// # Errors
///
/// Returns an error if the sockets can't be created.
pub fn start(target: SocketAddr, bytes_per_s: u32) -> std::io::Result<SocketAddr> {
    let front = Arc::new(UdpSocket::bind(("127.0.0.1", 0))?);
    let back = Arc::new(UdpSocket::bind(("127.0.0.1", 0))?);
    back.connect(target)?;
    SockRef::from(&back).set_recv_buffer_size(QUEUE_BYTES)?;
    let address = front.local_addr()?;
    let caller: Arc<Mutex<Option<SocketAddr>>> = Arc::default();
    {
        let (front, back, caller) = (Arc::clone(&front), Arc::clone(&back), Arc::clone(&caller));
        thread::spawn(move || {
            let mut buffer = vec![0; DATAGRAM_BYTES];
            while let Ok((count, from)) = front.recv_from(&mut buffer) {
                *caller.lock().expect("no holder of this lock panics") = Some(from);
                let _ = back.send(&buffer[..count]);
            }
        });
    }
    thread::spawn(move || {
        let mut buffer = vec![0; DATAGRAM_BYTES];
        loop {
            let Ok(count) = back.recv(&mut buffer) else { continue };
            thread::sleep(Duration::from_secs_f64(count as f64 / f64::from(bytes_per_s)));
            let to = *caller.lock().expect("no holder of this lock panics");
            if let Some(to) = to {
                let _ = front.send_to(&buffer[..count], to);
            }
        }
    });
    Ok(address)
}
