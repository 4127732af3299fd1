//! Mutually authenticated quinn transport between entry instances.
//!
//! Each stream carries one request and its answer, so answers can't be mixed up. The error of a
//! failed call says whether any byte of the request may have been sent. Both sides need a
//! certificate of the same private authority. See `docs/design/peers.md`.

mod tls;

use std::{
    collections::HashMap,
    future::Future,
    net::SocketAddr,
    sync::{Arc, Mutex},
    time::Duration,
};

use derive_more::{Display, Error};
use quinn::{Connection, RecvStream, SendStream, VarInt};
use serde::{Serialize, de::DeserializeOwned};

pub use crate::tls::{PEER_NAME, TlsFiles};

/// Maximum size of a message: the body of an answer and its head.
pub const MAX_MESSAGE_BYTES: usize = 16 << 20;
/// Maximum number of bytes of an answer that are read at once.
const READ_CHUNK_BYTES: usize = 64 * 1024;
/// Detail of the error for an answer that didn't arrive in time.
const ANSWER_TIMED_OUT: &str = "no answer in time";
/// Timeout of the handshake, of opening a stream and of closing the endpoint.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(600);
/// Time without a packet after which a connection is closed.
const IDLE_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Interval of keep-alive packets on an idle connection.
const KEEP_ALIVE_INTERVAL: Duration = Duration::from_millis(400);
/// Maximum number of streams that one peer may have open to this endpoint.
const MAX_STREAMS_PER_PEER: u32 = 4096;

/// The reason why a call has no answer.
#[derive(Debug, Display, Error, Clone, PartialEq, Eq)]
pub enum PeerError {
    /// Nothing was sent.
    #[display("peer {address} not reached: {detail}")]
    NotSent {
        /// The peer.
        address: SocketAddr,
        /// What failed.
        detail: String,
    },
    /// The request may have arrived.
    #[display("answer of peer {address} lost: {detail}")]
    Lost {
        /// The peer.
        address: SocketAddr,
        /// What failed.
        detail: String,
    },
}

/// The reason why the endpoint could not be set up.
#[derive(Debug, Display, Error)]
pub enum SetupError {
    /// A key or certificate could not be used.
    #[display("{file}: {detail}")]
    Tls {
        /// The file.
        file: String,
        /// What is wrong.
        detail: String,
    },
    /// The address could not be bound.
    #[display("peers' address {address}: {detail}")]
    Bind {
        /// The address.
        address: SocketAddr,
        /// What is wrong.
        detail: String,
    },
}

/// Handler of the requests of peers.
pub trait PeerService: Clone + Send + Sync + 'static {
    /// Requests of peers.
    type Request: DeserializeOwned + Send;
    /// Answers to peers.
    type Answer: Serialize + Send;
    /// Answers one request.
    fn handle(&self, request: Self::Request) -> impl Future<Output = Self::Answer> + Send;
}

/// The peer port of this entry: accepts connections of peers and calls them.
#[derive(Debug, Clone)]
pub struct PeerEndpoint {
    endpoint: quinn::Endpoint,
    connections: Arc<Mutex<HashMap<SocketAddr, Connection>>>,
}

impl PeerEndpoint {
    /// Binds the endpoint. Must be called within a tokio runtime.
    pub fn bind(address: SocketAddr, files: &TlsFiles) -> Result<Self, SetupError> {
        let mut transport = quinn::TransportConfig::default();
        let idle = quinn::IdleTimeout::try_from(IDLE_TIMEOUT).expect("the constant fits");
        transport
            .max_idle_timeout(Some(idle))
            .keep_alive_interval(Some(KEEP_ALIVE_INTERVAL))
            .max_concurrent_bidi_streams(VarInt::from_u32(MAX_STREAMS_PER_PEER))
            .max_concurrent_uni_streams(VarInt::from_u32(0));
        let transport = Arc::new(transport);
        let (server, client) = tls::build_configs(files, &transport)?;
        let mut endpoint = quinn::Endpoint::server(server, address)
            .map_err(|error| SetupError::Bind { address, detail: error.to_string() })?;
        endpoint.set_default_client_config(client);
        Ok(Self { endpoint, connections: Arc::default() })
    }

    /// Returns the address that was bound.
    pub fn local_address(&self) -> SocketAddr {
        self.endpoint.local_addr().expect("a bound endpoint has an address")
    }

    /// Answers peers until the endpoint is closed.
    pub async fn serve<S: PeerService>(&self, service: S) {
        while let Some(incoming) = self.endpoint.accept().await {
            let service = service.clone();
            tokio::spawn(async move {
                match incoming.await {
                    Ok(connection) => serve_connection(connection, service).await,
                    Err(error) => log::warn!(event = "peer_refused"; "{error}"),
                }
            });
        }
    }

    /// Calls a peer and waits for its answer for at most `timeout`.
    pub async fn call<Q: Serialize + Sync, A: DeserializeOwned>(
        &self,
        address: SocketAddr,
        request: &Q,
        timeout: Duration,
    ) -> Result<A, PeerError> {
        let exchange = |send, receive, message| async move {
            let answer = exchange(send, receive, message);
            tokio::time::timeout(timeout, answer).await.map_err(|_| ANSWER_TIMED_OUT.to_owned())?
        };
        self.call_with(address, request, exchange).await
    }

    /// Calls a peer and reads its answer for as long as bytes arrive: the time that it takes depends
    /// on documents whose size operators choose. Fails after `idle_timeout` without a byte.
    pub async fn fetch<Q: Serialize + Sync, A: DeserializeOwned>(
        &self,
        address: SocketAddr,
        request: &Q,
        idle_timeout: Duration,
    ) -> Result<A, PeerError> {
        let exchange = |send, receive, message| fetch(send, receive, message, idle_timeout);
        self.call_with(address, request, exchange).await
    }

    async fn call_with<Q, A, F>(
        &self,
        address: SocketAddr,
        request: &Q,
        exchange: impl FnOnce(SendStream, RecvStream, Vec<u8>) -> F,
    ) -> Result<A, PeerError>
    where
        Q: Serialize + Sync,
        A: DeserializeOwned,
        F: Future<Output = Result<Vec<u8>, String>>,
    {
        let not_sent = |detail: String| PeerError::NotSent { address, detail };
        let message = postcard::to_stdvec(request).map_err(|error| not_sent(error.to_string()))?;
        let connection = self.connection(address).await?;
        let opened = tokio::time::timeout(CONNECT_TIMEOUT, connection.open_bi()).await;
        let (send, receive) = match opened {
            Ok(Ok(streams)) => streams,
            Ok(Err(error)) => {
                self.remove_connection(address, &connection);
                return Err(not_sent(error.to_string()));
            }
            Err(_) => return Err(not_sent("no stream is free".to_owned())),
        };
        match exchange(send, receive, message).await {
            Ok(answer) => postcard::from_bytes(&answer)
                .map_err(|error| PeerError::Lost { address, detail: error.to_string() }),
            Err(detail) => {
                if connection.close_reason().is_some() {
                    self.remove_connection(address, &connection);
                }
                Err(PeerError::Lost { address, detail })
            }
        }
    }

    async fn connection(&self, address: SocketAddr) -> Result<Connection, PeerError> {
        let cached = self.lock().get(&address).cloned();
        if let Some(connection) = cached.filter(|found| found.close_reason().is_none()) {
            return Ok(connection);
        }
        let not_sent = |detail: String| PeerError::NotSent { address, detail };
        let connecting = self
            .endpoint
            .connect(address, PEER_NAME)
            .map_err(|error| not_sent(error.to_string()))?;
        let connection = tokio::time::timeout(CONNECT_TIMEOUT, connecting)
            .await
            .map_err(|_| not_sent("no handshake in time".to_owned()))?
            .map_err(|error| not_sent(error.to_string()))?;
        self.lock().insert(address, connection.clone());
        Ok(connection)
    }

    fn remove_connection(&self, address: SocketAddr, connection: &Connection) {
        let mut connections = self.lock();
        let is_current = connections
            .get(&address)
            .is_some_and(|cached| cached.stable_id() == connection.stable_id());
        if is_current {
            connections.remove(&address);
        }
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, HashMap<SocketAddr, Connection>> {
        self.connections.lock().expect("no holder of this lock panics")
    }

    /// Closes the endpoint and waits until peers have been notified, for a bounded time.
    pub async fn close(&self) {
        self.endpoint.close(VarInt::from_u32(0), b"stopping");
        let _ = tokio::time::timeout(CONNECT_TIMEOUT, self.endpoint.wait_idle()).await;
    }
}

async fn exchange(
    mut send: SendStream,
    mut receive: RecvStream,
    message: Vec<u8>,
) -> Result<Vec<u8>, String> {
    send.write_all(&message).await.map_err(|error| error.to_string())?;
    send.finish().map_err(|error| error.to_string())?;
    receive.read_to_end(MAX_MESSAGE_BYTES).await.map_err(|error| error.to_string())
}

/// Reads an answer in chunks, each under the idle timeout. The request is small, so sending it
/// counts as one chunk.
async fn fetch(
    mut send: SendStream,
    mut receive: RecvStream,
    message: Vec<u8>,
    idle_timeout: Duration,
) -> Result<Vec<u8>, String> {
    let sending = tokio::time::timeout(idle_timeout, send.write_all(&message));
    sending.await.map_err(|_| ANSWER_TIMED_OUT)?.map_err(|error| error.to_string())?;
    send.finish().map_err(|error| error.to_string())?;
    let mut answer = Vec::new();
    loop {
        let reading =
            tokio::time::timeout(idle_timeout, receive.read_chunk(READ_CHUNK_BYTES, true));
        let chunk =
            reading.await.map_err(|_| ANSWER_TIMED_OUT)?.map_err(|error| error.to_string())?;
        let Some(chunk) = chunk else { return Ok(answer) };
        answer.extend_from_slice(&chunk.bytes);
        if answer.len() > MAX_MESSAGE_BYTES {
            return Err(format!("an answer of more than {MAX_MESSAGE_BYTES} bytes"));
        }
    }
}

async fn serve_connection<S: PeerService>(connection: Connection, service: S) {
    while let Ok((send, receive)) = connection.accept_bi().await {
        let service = service.clone();
        tokio::spawn(async move {
            if let Err(detail) = serve_stream(send, receive, service).await {
                log::debug!(event = "peer_stream_ended"; "{detail}");
            }
        });
    }
}

async fn serve_stream<S: PeerService>(
    mut send: SendStream,
    mut receive: RecvStream,
    service: S,
) -> Result<(), String> {
    let message =
        receive.read_to_end(MAX_MESSAGE_BYTES).await.map_err(|error| error.to_string())?;
    let request = postcard::from_bytes(&message).map_err(|error| error.to_string())?;
    // The peer stops the stream when it doesn't need the answer any more.
    let answer = tokio::select! {
        answer = service.handle(request) => answer,
        _ = send.stopped() => return Err("the peer cancelled the request".to_owned()),
    };
    let message = postcard::to_stdvec(&answer).map_err(|error| error.to_string())?;
    send.write_all(&message).await.map_err(|error| error.to_string())?;
    send.finish().map_err(|error| error.to_string())
}
