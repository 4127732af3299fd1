//! Common parts of the stand-in processes: listening, JSON and the ready line.

use std::{future::Future, net::SocketAddr, sync::mpsc, time::Duration};

use jackdawpier_http::{Handler, IncomingRequest, Reply, ServerLimits, serve};
use serde::{Serialize, de::DeserializeOwned};
use tokio::{net::TcpListener, sync::watch};

const STANDIN_LIMITS: ServerLimits = ServerLimits {
    max_connections: 4096,
    read_timeout: Duration::from_secs(60),
    max_body_bytes: 16 << 20,
};

/// Returns the limits of a stand-in with at most `connections` connections.
pub fn limits(connections: usize) -> ServerLimits {
    ServerLimits { max_connections: connections, ..STANDIN_LIMITS }
}

/// Returns the default limits of a stand-in.
pub fn default_limits() -> ServerLimits {
    STANDIN_LIMITS
}

/// Returns a loopback address with port 0, which selects a free port when bound.
pub fn any_port() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

/// Runs a stand-in on a separate thread, for tests, and returns the address that it reports.
pub fn spawn<F>(run: impl FnOnce(mpsc::Sender<SocketAddr>) -> F + Send + 'static) -> SocketAddr
where
    F: Future<Output = std::io::Result<()>>,
{
    let (sender, receiver) = mpsc::channel();
    std::thread::spawn(move || block_on(run(sender)));
    receiver.recv().expect("the stand-in starts")
}

/// Runs a future to completion on a new runtime.
pub fn block_on<F: Future>(future: F) -> F::Output {
    tokio::runtime::Builder::new_multi_thread()
        .worker_threads(2)
        .enable_all()
        .build()
        .expect("a runtime can be built")
        .block_on(future)
}

/// Binds `address` and returns the listener with the address that was bound.
pub async fn bind(address: SocketAddr) -> std::io::Result<(TcpListener, SocketAddr)> {
    let listener = TcpListener::bind(address).await?;
    let bound = listener.local_addr()?;
    Ok((listener, bound))
}

/// Serves until the process ends.
pub async fn serve_forever<H: Handler>(listener: TcpListener, limits: ServerLimits, handler: H) {
    let (_stop_sender, stop) = watch::channel(false);
    serve(listener, limits, handler, stop).await;
}

/// Returns a JSON reply.
pub fn json(value: &impl Serialize) -> Reply {
    let body = serde_json::to_vec(value).expect("replies are plain data");
    Reply::new(200, "application/json", body)
}

/// Parses a JSON body. An invalid one gives a reply with status 400 and the reason.
pub fn parse<T: DeserializeOwned>(request: &IncomingRequest) -> Result<T, Reply> {
    serde_json::from_slice(&request.body)
        .map_err(|error| Reply::new(400, "text/plain", error.to_string()))
}

/// Returns the reply to an unknown path.
pub fn not_found() -> Reply {
    Reply::new(404, "text/plain", "not found\n")
}
