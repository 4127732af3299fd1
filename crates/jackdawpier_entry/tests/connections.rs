//! Connections at the limits of a port: a request that has arrived is answered, and idle connections
//! don't block new ones.

#[path = "support/port.rs"]
mod port;
mod support;

use std::{
    cell::Cell,
    io::{Read, Write},
    net::TcpStream as BlockingStream,
    rc::Rc,
    thread,
    time::{Duration, Instant},
};

use jackdawpier_entry::{
    clock,
    connections::{ConnectionCounts, ConnectionLimits},
};
use port::{
    LARGE_ANSWER_BYTES, LARGE_REQUEST, REQUEST, SLOW_REQUEST, ask, read, send_without_yield,
    serve_changing_port, serve_port, wide_limits,
};
use support::{run, wait_until};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpSocket, TcpStream},
    time::timeout,
};

fn is_answered(answer: &str) -> bool {
    answer.starts_with("http/1.1 200")
}

/// Returns whether a connection was closed without an answer, gracefully or not.
fn is_closed(end: &str) -> bool {
    end.is_empty() || end == "ConnectionReset"
}

/// Blocks the thread of the port most of the time, like a busy entry.
async fn block_thread() {
    loop {
        thread::sleep(Duration::from_millis(15));
        tokio::time::sleep(Duration::from_millis(1)).await;
    }
}

/// Sends two requests over a link that delays answers, the second one at the end of the idle timeout as seen by
/// this caller. Returns whether it is answered, or `None` if the thread slept too long.
fn ask_at_limit(mut stream: BlockingStream, limit: Duration) -> Option<bool> {
    const LINK_DELAY: Duration = Duration::from_millis(200);
    const SLACK: Duration = Duration::from_millis(100);
    let mut buffer = [0; 1024];
    stream.write_all(REQUEST).expect("the connection is open");
    thread::sleep(LINK_DELAY);
    assert!(stream.read(&mut buffer).expect("it is answered") > 0);
    let answered_at = Instant::now();
    thread::sleep(limit.saturating_sub(SLACK));
    let sent = stream.write_all(REQUEST);
    if answered_at.elapsed() > limit {
        return None;
    }
    let count = sent.and_then(|()| stream.read(&mut buffer)).unwrap_or(0);
    Some(buffer[..count].starts_with(b"HTTP/1.1 200"))
}

/// A request sent at the end of the idle timeout crossed the close of its connection: its caller got a reset.
#[test]
fn request_at_limit() {
    const CALLERS: usize = 32;
    let idle_timeout = Duration::from_millis(400);
    let idle_margin = Duration::from_secs(1);
    run(async move {
        let port = serve_port(ConnectionLimits { idle_timeout, idle_margin, ..wide_limits() });
        drop(port.connect().await);
        tokio::task::spawn_local(block_thread());
        let address = port.address;
        let caller = move || {
            let stream = BlockingStream::connect(address).expect("the port listens");
            ask_at_limit(stream, idle_timeout)
        };
        let mut ends = Vec::new();
        while ends.is_empty() {
            let callers = (0..CALLERS).map(|_| tokio::task::spawn_blocking(caller));
            for caller in callers.collect::<Vec<_>>() {
                ends.extend(caller.await.expect("the task doesn't panic"));
            }
        }
        let answered = ends.iter().filter(|is_answered| **is_answered).count();
        assert_eq!(answered, ends.len(), "of {} requests within the limit", ends.len());
    });
}

#[test]
fn idle_timeout() {
    run(async {
        let limits = ConnectionLimits {
            idle_timeout: Duration::from_millis(100),
            idle_margin: Duration::from_millis(200),
            ..wide_limits()
        };
        let port = serve_port(limits);
        let mut idle = port.connect_and_ask().await;
        let since = Instant::now();
        assert_eq!(read(&mut idle).await, "", "it is closed gracefully");
        let idle_time = since.elapsed() + Duration::from_millis(50);
        assert!(idle_time >= limits.idle_timeout + limits.idle_margin, "{idle_time:?}");
    });
}

/// Connections were closed when their idle timeout passed while their next requests were unread in the kernel.
#[test]
fn unread_request() {
    const CALLERS: usize = 32;
    run(async {
        let idle_timeout = Duration::from_millis(200);
        let port = serve_port(ConnectionLimits { idle_timeout, ..wide_limits() });
        let mut callers = Vec::new();
        for _ in 0..CALLERS {
            callers.push(port.connect_and_ask().await);
        }
        // This timer and those of the port expire in the same turn of the runtime, and this task runs first.
        let turn = tokio::time::sleep(Duration::from_millis(20));
        tokio::pin!(turn);
        tokio::select! {
            biased;
            () = &mut turn => panic!("the callers took too long"),
            () = std::future::ready(()) => {}
        }
        thread::sleep(idle_timeout * 2);
        turn.await;
        callers.iter().for_each(|caller| send_without_yield(caller, REQUEST));
        let mut answers = Vec::new();
        for mut caller in callers {
            answers.push(read(&mut caller).await);
        }
        let answered = answers.iter().filter(|answer| is_answered(answer)).count();
        assert_eq!(answered, CALLERS, "{answers:?}");
    });
}

/// A connection with an incomplete head stayed open for the idle timeout, and an idle connection was
/// closed after the header timeout.
#[test]
fn partial_head() {
    run(async {
        let header_timeout = Duration::from_millis(200);
        let port = serve_port(ConnectionLimits { header_timeout, ..wide_limits() });
        let mut idle = port.connect_and_ask().await;
        let mut unused = port.connect().await;
        let mut partial = port.connect_and_ask().await;
        send_without_yield(&partial, b"GET / HT");
        assert!(is_closed(&read(&mut partial).await));
        tokio::time::sleep(header_timeout).await;
        assert!(is_answered(&ask(&mut idle).await));
        assert!(is_answered(&ask(&mut unused).await));
    });
}

/// A head that arrives byte by byte doesn't extend the header timeout.
#[test]
fn slow_head() {
    run(async {
        let header_timeout = Duration::from_millis(200);
        let port = serve_port(ConnectionLimits { header_timeout, ..wide_limits() });
        let slow = port.connect_and_ask().await;
        let since = Instant::now();
        let is_open = |stream: &TcpStream| match stream.try_read(&mut [0; 8]) {
            Ok(count) => count > 0,
            Err(error) => error.kind() == std::io::ErrorKind::WouldBlock,
        };
        send_without_yield(&slow, b"GET /");
        while is_open(&slow) {
            assert!(since.elapsed() < header_timeout * 20, "the header timeout doesn't apply");
            tokio::time::sleep(Duration::from_millis(20)).await;
            let _ = slow.try_write(b"x");
        }
        assert!(since.elapsed() + Duration::from_millis(20) >= header_timeout);
    });
}

/// A shorter idle timeout in the configuration applies to open connections.
#[test]
fn changed_limits() {
    run(async {
        let header_timeout = Duration::from_millis(100);
        let limits = Rc::new(Cell::new(ConnectionLimits { header_timeout, ..wide_limits() }));
        let in_force = limits.clone();
        let port = serve_changing_port(move || in_force.get());
        let mut idle = port.connect_and_ask().await;
        tokio::time::sleep(header_timeout * 2).await;
        assert!(is_answered(&ask(&mut idle).await));
        limits.set(ConnectionLimits { idle_timeout: header_timeout, ..limits.get() });
        assert_eq!(read(&mut idle).await, "", "it is closed gracefully");
        let expected = ConnectionCounts { idle_closed: 1, ..ConnectionCounts::default() };
        assert!(wait_until(|| port.connections.counts() == expected).await);
    });
}

/// An answer that its caller didn't read kept the connection open without limit.
#[test]
fn unread_answer() {
    run(async {
        let idle_timeout = Duration::from_millis(300);
        let port = serve_port(ConnectionLimits { max_open: 1, idle_timeout, ..wide_limits() });
        let unread = port.connect_and_ask().await;
        send_without_yield(&unread, LARGE_REQUEST);
        let since = Instant::now();
        let mut new_caller = port.connect().await;
        assert!(is_answered(&ask(&mut new_caller).await));
        // It wasn't treated as idle.
        assert!(since.elapsed() >= idle_timeout);
        let expected = ConnectionCounts { open: 1, aborted: 1, ..ConnectionCounts::default() };
        assert_eq!(port.connections.counts(), expected);
    });
}

/// A client that sent requests and read none of the answers filled the buffers of the system with megabytes.
#[test]
fn unread_answers() {
    const MAX_ACCEPTED_BYTES: usize = 256 * 1024;
    const SMALL_BUFFER_BYTES: u32 = 4096;
    run(async {
        let port = serve_port(wide_limits());
        drop(port.connect().await);
        let socket = TcpSocket::new_v4().expect("descriptors are free");
        socket.set_recv_buffer_size(SMALL_BUFFER_BYTES).expect("it is a socket");
        socket.set_send_buffer_size(SMALL_BUFFER_BYTES).expect("it is a socket");
        let mut client = socket.connect(port.address).await.expect("the port listens");
        let requests = REQUEST.repeat(40);
        let mut accepted_bytes = 0;
        let wait = Duration::from_millis(500);
        // A write that was accepted in part is continued.
        while let Ok(Ok(count)) =
            timeout(wait, client.write(&requests[accepted_bytes % REQUEST.len()..])).await
        {
            accepted_bytes += count;
            assert!(accepted_bytes <= MAX_ACCEPTED_BYTES, "the port goes on answering");
        }
        assert!(accepted_bytes > requests.len(), "{accepted_bytes}");
        assert!(is_answered(&ask(&mut port.connect().await).await));
    });
}

/// A large answer that is read slowly is complete although a new connection waits.
#[test]
fn slowly_read_answer() {
    run(async {
        let port = serve_port(ConnectionLimits { max_open: 1, ..wide_limits() });
        let mut slow = port.connect_and_ask().await;
        send_without_yield(&slow, LARGE_REQUEST);
        let mut new_caller = port.connect().await;
        send_without_yield(&new_caller, REQUEST);
        tokio::time::sleep(Duration::from_millis(300)).await;
        let mut missing = LARGE_ANSWER_BYTES;
        while missing > 0 {
            let count =
                slow.read(&mut vec![0; 1024 * 1024]).await.expect("the connection stays open");
            assert!(count > 0, "{missing} bytes are missing");
            missing = missing.saturating_sub(count);
        }
        assert!(is_answered(&read(&mut new_caller).await));
    });
}

/// The idle connections of one caller reached the limit of the port, so that nobody else was answered.
#[test]
fn full_port() {
    run(async {
        let port = serve_port(ConnectionLimits { max_open: 4, ..wide_limits() });
        let mut idle = Vec::new();
        for _ in 0..4 {
            idle.push(port.connect_and_ask().await);
        }
        // The first connection has now been idle for a shorter time than the second.
        assert!(is_answered(&ask(&mut idle[0]).await));
        let mut new_caller = port.connect().await;
        assert!(is_answered(&ask(&mut new_caller).await));
        assert_eq!(read(&mut idle[1]).await, "", "it is closed gracefully");
        for index in [0, 2, 3] {
            assert!(is_answered(&ask(&mut idle[index]).await), "{index}");
        }
    });
}

/// New connections are accepted one after the other, and a connection that was never used counts as idle.
#[test]
fn many_connections() {
    run(async {
        let port = serve_port(ConnectionLimits { max_open: 4, ..wide_limits() });
        let mut connections = Vec::new();
        for number in 0..12 {
            let mut new_caller = port.connect().await;
            if number % 2 == 0 {
                assert!(is_answered(&ask(&mut new_caller).await), "{number}");
            }
            connections.push(new_caller);
        }
        assert!(is_answered(&ask(&mut connections[11]).await));
    });
}

/// A connection with a request that the port hasn't read yet isn't idle: another one is evicted.
#[test]
fn pending_request() {
    run(async {
        let port = serve_port(ConnectionLimits { max_open: 2, ..wide_limits() });
        let mut oldest = port.connect_and_ask().await;
        let mut idle = port.connect_and_ask().await;
        tokio::time::sleep(Duration::from_millis(200)).await;
        let new_caller = BlockingStream::connect(port.address).expect("the port listens");
        new_caller.set_nonblocking(true).expect("it is a socket");
        (&new_caller).write_all(REQUEST).expect("its buffer is empty");
        send_without_yield(&oldest, REQUEST);
        let mut new_caller = TcpStream::from_std(new_caller).expect("it doesn't block");
        assert!(is_answered(&read(&mut new_caller).await));
        assert!(is_answered(&read(&mut oldest).await));
        assert_eq!(read(&mut idle).await, "", "it is closed gracefully");
    });
}

/// A connection on which a request was just answered isn't evicted before the caller can send its next request.
#[test]
fn recently_used() {
    const MAX_DELAY: Duration = Duration::from_millis(90);
    run(async {
        loop {
            let port = serve_port(ConnectionLimits { max_open: 1, ..wide_limits() });
            let mut fresh = port.connect_and_ask().await;
            let answered_at = Instant::now();
            let mut new_caller = port.connect().await;
            send_without_yield(&new_caller, REQUEST);
            tokio::time::sleep(Duration::from_millis(20)).await;
            let sent = fresh.try_write(REQUEST);
            if answered_at.elapsed() > MAX_DELAY {
                // This thread slept too long for the check.
                continue;
            }
            assert!(sent.is_ok() && is_answered(&read(&mut fresh).await));
            assert!(is_answered(&read(&mut new_caller).await));
            return;
        }
    });
}

/// A connection whose request is being answered isn't evicted.
#[test]
fn busy_connection() {
    run(async {
        let port = serve_port(ConnectionLimits { max_open: 1, ..wide_limits() });
        let mut busy = port.connect_and_ask().await;
        send_without_yield(&busy, SLOW_REQUEST);
        while port.in_flight.count() == 0 {
            tokio::task::yield_now().await;
        }
        let mut new_caller = port.connect().await;
        let answers = tokio::join!(read(&mut busy), ask(&mut new_caller));
        assert!(is_answered(&answers.0) && is_answered(&answers.1), "{answers:?}");
    });
}

/// A process that shut down exited with an unread request on a connection that was idle during the shutdown.
#[test]
fn shutdown() {
    let (keep, callers) = std::sync::mpsc::channel();
    run(async move {
        let port = serve_port(wide_limits());
        let asking = port.connect_and_ask().await.into_std().expect("it is idle");
        let idle = port.connect_and_ask().await.into_std().expect("it is idle");
        port.stop.send(true).expect("the server watches");
        tokio::time::sleep(Duration::from_millis(50)).await;
        assert_eq!(port.in_flight.count(), 0);
        (&asking).write_all(SLOW_REQUEST).expect("its buffer is empty");
        port.connections.close(clock::now() + Duration::from_secs(5)).await;
        [asking, idle].into_iter().for_each(|caller| keep.send(caller).expect("it is awaited"));
    });
    let mut ends = callers.into_iter().map(|mut caller| {
        caller.set_nonblocking(false).expect("it is a socket");
        let mut text = String::new();
        caller.read_to_string(&mut text).map(|_| text.to_ascii_lowercase())
    });
    let mut next = || ends.next().expect("there are two").expect("it is closed gracefully");
    let answer = next();
    assert!(is_answered(&answer) && answer.contains("connection: close"), "{answer}");
    assert_eq!(next(), "");
}
