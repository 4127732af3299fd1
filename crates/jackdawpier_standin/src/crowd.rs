//! Clients that send large request bodies, usually almost to their end, and keep their connections open.

use std::{io, net::SocketAddr, sync::Arc, time::Duration};

use tokio::{
    io::AsyncWriteExt,
    net::TcpStream,
    task::JoinSet,
    time::{Instant, timeout},
};

/// Maximum time for a client to send its request. A server that doesn't read blocks its clients.
const SEND_TIMEOUT: Duration = Duration::from_secs(20);
/// Delay before a connection that wasn't accepted is tried again.
const CONNECT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// How the end of a body is marked.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Framing {
    /// By its length in the head.
    Length,
    /// By a last chunk, after chunks of this size.
    Chunked {
        /// Size of a chunk in bytes.
        chunk_bytes: usize,
    },
}

/// A crowd of clients.
#[derive(Debug, Clone)]
pub struct Crowd {
    /// Number of clients, each with a connection of its own.
    pub clients: usize,
    /// The whole body, which each client sends.
    pub body: Vec<u8>,
    /// Number of bytes at the end of the body that aren't sent.
    pub unsent_bytes: usize,
    /// How the end of the body is marked.
    pub framing: Framing,
    /// Size of each write in bytes; other clients write between two writes of a client.
    pub write_bytes: usize,
}

impl Crowd {
    /// Returns the part of the body that is sent, as it is sent.
    fn wire_body(&self) -> Vec<u8> {
        let sent = &self.body[..self.body.len() - self.unsent_bytes];
        let Framing::Chunked { chunk_bytes } = self.framing else { return sent.to_vec() };
        let mut wire = Vec::new();
        for chunk in sent.chunks(chunk_bytes) {
            wire.extend_from_slice(format!("{:x}\r\n", chunk.len()).as_bytes());
            wire.extend_from_slice(chunk);
            wire.extend_from_slice(b"\r\n");
        }
        if self.unsent_bytes == 0 {
            wire.extend_from_slice(b"0\r\n\r\n");
        }
        wire
    }

    fn framing_header(&self) -> String {
        match self.framing {
            Framing::Length => format!("content-length: {}", self.body.len()),
            Framing::Chunked { .. } => "transfer-encoding: chunked".to_owned(),
        }
    }

    /// Sends the requests of all clients and returns their connections, which stay open until they are dropped.
    /// `head` returns the request line and the headers of a client, each line with its line end. A connection
    /// that the server closes meanwhile is returned as well.
    pub async fn send(&self, server: SocketAddr, head: impl Fn(usize) -> String) -> Vec<TcpStream> {
        let body: Arc<[u8]> = self.wire_body().into();
        let mut clients = JoinSet::new();
        for number in 0..self.clients {
            let head = format!("{}{}\r\n\r\n", head(number), self.framing_header());
            clients.spawn(send(server, head.into_bytes(), body.clone(), self.write_bytes));
        }
        clients.join_all().await.into_iter().flatten().collect()
    }
}

/// Sends one request; returns `None` if no connection could be opened in time.
async fn send(
    server: SocketAddr,
    head: Vec<u8>,
    body: Arc<[u8]>,
    write_bytes: usize,
) -> Option<TcpStream> {
    let mut stream = connect(server).await?;
    let sending = async {
        stream.set_nodelay(true)?;
        stream.write_all(&head).await?;
        for piece in body.chunks(write_bytes) {
            stream.write_all(piece).await?;
            tokio::task::yield_now().await;
        }
        io::Result::Ok(())
    };
    // The server may refuse the request, or close the connection, at any point.
    let _ = timeout(SEND_TIMEOUT, sending).await;
    Some(stream)
}

async fn connect(server: SocketAddr) -> Option<TcpStream> {
    let give_up_at = Instant::now() + SEND_TIMEOUT;
    while Instant::now() < give_up_at {
        if let Ok(Ok(stream)) = timeout(SEND_TIMEOUT, TcpStream::connect(server)).await {
            return Some(stream);
        }
        tokio::time::sleep(CONNECT_RETRY_DELAY).await;
    }
    None
}
