//! The HTTP server that callers and the balancer reach.

use std::{cell::Cell, future::Future, io, net::SocketAddr, rc::Rc, time::Duration};

use bytes::Bytes;
use http_body_util::Full;
use hyper::{
    Request, Response,
    body::Incoming,
    header::{CONNECTION, HeaderValue},
    server::conn::http1,
    service::service_fn,
};
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::{net::TcpListener, sync::watch};

/// Connections that one port holds; beyond it new ones wait. Half of the descriptors of the
/// smallest machine.
const MOST_CONNECTIONS: usize = 1500;
/// Pause after a failed accept, most often for want of descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);
/// Time for the next head to arrive on a connection, idle time included.
const HEADER_TIMEOUT: Duration = Duration::from_secs(15);
/// Largest head and buffer a connection, in bytes.
const BUFFER_BYTES: usize = 16 * 1024;

/// What a handler answers.
pub type Reply = Response<Full<Bytes>>;

/// Requests being answered, so that a stop can wait for them.
#[derive(Debug, Clone, Default)]
pub struct InFlight(Rc<Cell<usize>>);

impl InFlight {
    /// Number of requests being answered.
    pub fn count(&self) -> usize {
        self.0.get()
    }
}

struct Counted(InFlight);

impl Counted {
    fn new(in_flight: InFlight) -> Self {
        in_flight.0.set(in_flight.0.get() + 1);
        Self(in_flight)
    }
}

impl Drop for Counted {
    fn drop(&mut self) {
        let count = &self.0.0;
        count.set(count.get() - 1);
    }
}

/// Serves a port. Once `stopping` is true each connection ends with its next answer; idle ones stay
/// open, since a request may be on its way, and new ones are taken, since the balancer may not have
/// noticed yet.
pub async fn serve<H, F>(
    address: SocketAddr,
    handler: H,
    in_flight: InFlight,
    stopping: watch::Receiver<bool>,
) -> io::Result<()>
where
    H: Fn(Request<Incoming>) -> F + Clone + 'static,
    F: Future<Output = Reply> + 'static,
{
    let listener = TcpListener::bind(address).await?;
    let slots = Rc::new(tokio::sync::Semaphore::new(MOST_CONNECTIONS));
    loop {
        let slot = slots.clone().acquire_owned_rc().await;
        let Ok((stream, _)) = listener.accept().await else {
            tokio::time::sleep(ACCEPT_PAUSE).await;
            continue;
        };
        // A failure shows when the connection is used.
        let _ = stream.set_nodelay(true);
        let handler = handler.clone();
        let in_flight = in_flight.clone();
        let stopping = stopping.clone();
        tokio::task::spawn_local(async move {
            let _slot = slot;
            let service = service_fn(move |request| {
                let counted = Counted::new(in_flight.clone());
                let reply = handler(request);
                let stopping = stopping.clone();
                async move {
                    let mut reply = reply.await;
                    if *stopping.borrow() {
                        reply.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
                    }
                    drop(counted);
                    Ok::<_, std::convert::Infallible>(reply)
                }
            });
            // A caller that breaks off is no event for us.
            let _ = http1::Builder::new()
                .timer(TokioTimer::new())
                .header_read_timeout(HEADER_TIMEOUT)
                .max_buf_size(BUFFER_BYTES)
                .serve_connection(TokioIo::new(stream), service)
                .await;
        });
    }
}

/// A permit that may outlive the borrow of its semaphore, within one thread.
struct Slot(Rc<tokio::sync::Semaphore>);

impl Drop for Slot {
    fn drop(&mut self) {
        self.0.add_permits(1);
    }
}

trait AcquireRc {
    async fn acquire_owned_rc(self) -> Slot;
}

impl AcquireRc for Rc<tokio::sync::Semaphore> {
    async fn acquire_owned_rc(self) -> Slot {
        self.acquire().await.expect("it is never closed").forget();
        Slot(self)
    }
}
