//! The HTTP server for callers and the load balancer.

use std::{
    cell::Cell,
    future::{Future, poll_fn},
    io,
    net::SocketAddr,
    rc::Rc,
    task::Poll,
    time::Duration,
};

use bytes::Bytes;
use http_body_util::Full;
use hyper::{
    Response,
    body::Incoming,
    header::{CONNECTION, HeaderValue},
    server::conn::http1,
    service::service_fn,
};
use jackdawpier_http::request_body::discard;
use jackdawpier_kernel::caller_memory::{BACKLOG, RECEIVE_BUFFER_BYTES};
use tokio::{
    net::{TcpListener, TcpSocket, TcpStream},
    sync::watch,
};

use crate::{
    connections::{Connection, ConnectionLimits, Connections},
    http_client::SendFailure,
    request_body::{Request, RequestBody, UnreadBody},
    watched_stream::{WatchedStream, is_readable},
};

/// Size of a socket's send buffer. A smaller one slows large answers down.
const SEND_BUFFER_BYTES: u32 = 128 * 1024;
/// Delay after a failed accept, usually caused by a lack of file descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);
/// Maximum size of a request head and of the buffer of a connection.
pub const MAX_BUFFER_BYTES: usize = 16 * 1024;

/// The response of a handler.
pub type Reply = Response<Full<Bytes>>;

/// Counts the requests being answered, so that a shutdown can wait for them.
#[derive(Debug, Clone, Default)]
pub struct InFlight(Rc<Cell<usize>>);

impl InFlight {
    /// Returns the number of requests being answered.
    pub fn count(&self) -> usize {
        self.0.get()
    }
}

/// Counts a request as in flight until it is dropped.
struct InFlightGuard(InFlight);

impl InFlightGuard {
    fn new(in_flight: InFlight) -> Self {
        in_flight.0.set(in_flight.0.get() + 1);
        Self(in_flight)
    }
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        let count = &self.0.0;
        count.set(count.get() - 1);
    }
}

/// Serves a port with the default limits, see [`serve_with_limits`].
pub async fn serve<H, F>(
    address: SocketAddr,
    handler: H,
    in_flight: InFlight,
    stopping: watch::Receiver<bool>,
) -> io::Result<()>
where
    H: Fn(Request) -> F + Clone + 'static,
    F: Future<Output = Reply> + 'static,
{
    let (connections, limits) = (Connections::default(), ConnectionLimits::default);
    serve_with_limits(address, connections, limits, handler, in_flight, stopping).await
}

/// Serves a port until its connections are closed. Once `stopping` is true each connection is closed with
/// its next answer; idle connections stay open, since a request may be in transit, and new ones are
/// accepted, since the load balancer may not have noticed yet. See `docs/design/callers-port.md` for the
/// limits.
pub async fn serve_with_limits<L, H, F>(
    address: SocketAddr,
    connections: Connections,
    limits: L,
    handler: H,
    in_flight: InFlight,
    stopping: watch::Receiver<bool>,
) -> io::Result<()>
where
    L: Fn() -> ConnectionLimits,
    H: Fn(Request) -> F + Clone + 'static,
    F: Future<Output = Reply> + 'static,
{
    let listener = listen(address)?;
    let serve_stream = |stream| {
        let (handler, in_flight) = (handler.clone(), in_flight.clone());
        let connection = connections.open();
        let serving = serve_connection(stream, connection, handler, in_flight, stopping.clone());
        tokio::task::spawn_local(serving);
    };
    tokio::select! {
        () = accept(&listener, &connections, &limits, serve_stream) => {}
        () = connections.close_overdue(&limits) => {}
        () = connections.closed() => {}
    }
    Ok(())
}

/// Listens for connections with small buffers: one that this process doesn't read, or whose peer doesn't read its answers,
/// holds full ones. The limits of the system stay in force where the sizes can't be set.
fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = if address.is_ipv4() { TcpSocket::new_v4() } else { TcpSocket::new_v6() }?;
    socket.set_reuseaddr(true)?;
    // The kernel doubles the sizes.
    let _ = socket.set_recv_buffer_size(RECEIVE_BUFFER_BYTES as u32 / 2);
    let _ = socket.set_send_buffer_size(SEND_BUFFER_BYTES / 2);
    socket.bind(address)?;
    socket.listen(BACKLOG)
}

/// Accepts new connections until it is cancelled, closing others if a limit is reached.
async fn accept(
    listener: &TcpListener,
    connections: &Connections,
    limits: impl Fn() -> ConnectionLimits,
    serve_stream: impl Fn(TcpStream),
) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                connections.make_room(limits().max_open).await;
                serve_stream(stream);
            }
            Err(error)
                if SendFailure::from_io(&error) == SendFailure::NoDescriptor
                    && is_readable(listener) =>
            {
                connections.evict_one(ACCEPT_RETRY_DELAY).await;
            }
            Err(_) => tokio::time::sleep(ACCEPT_RETRY_DELAY).await,
        }
    }
}

async fn serve_connection<H, F>(
    stream: TcpStream,
    connection: Connection,
    handler: H,
    in_flight: InFlight,
    stopping: watch::Receiver<bool>,
) where
    H: Fn(Request) -> F,
    F: Future<Output = Reply>,
{
    // A failure is reported when the connection is used.
    let _ = stream.set_nodelay(true);
    let connection = Rc::new(connection);
    poll_fn(|context| {
        connection.set_waker(context.waker());
        Poll::Ready(())
    })
    .await;
    let stream = WatchedStream::new(stream, connection.clone());
    let service = service_fn(move |request: hyper::Request<Incoming>| {
        connection.on_request();
        let guard = InFlightGuard::new(in_flight.clone());
        let unread = UnreadBody::default();
        let (rest, bodies) = (unread.clone(), connection.bodies().clone());
        let reply = handler(request.map(|body| RequestBody::new(body, unread, bodies)));
        let (connection, stopping) = (connection.clone(), stopping.clone());
        async move {
            let mut reply = reply.await;
            if let Some(rest) = rest.take() {
                connection.on_discard();
                tokio::task::spawn_local(discard_rest(rest, connection.clone()));
            }
            if *stopping.borrow() {
                reply.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
            }
            connection.on_answer_ready();
            drop(guard);
            Ok::<_, std::convert::Infallible>(reply)
        }
    });
    // A caller that disconnects isn't an error.
    let _ = http1::Builder::new()
        .header_read_timeout(None)
        .max_buf_size(MAX_BUFFER_BYTES)
        .serve_connection(stream, service)
        .await;
}

/// Discards the rest of a body beside the answer to its request. The connection is closed if more remains.
async fn discard_rest(rest: Incoming, connection: Rc<Connection>) {
    discard(rest).await;
    connection.on_discarded();
}
