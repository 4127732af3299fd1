//! Connections at the limits of a port: a request that has arrived is answered, and idle connections keep
//! nobody out.

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
    LARGE_ANSWER_BYTES, LARGE_REQUEST, REQUEST, SLOW_REQUEST, ask, read, send_unseen,
    serve_changing_port, serve_port, wide_limits,
};
use support::{run, wait_until};
use tokio::{io::AsyncReadExt, net::TcpStream};

fn is_answered(answer: &str) -> bool {
    answer.starts_with("http/1.1 200")
}

/// Whether a connection has ended without an answer, in order or not.
fn is_closed(end: &str) -> bool {
    end.is_empty() || end == "ConnectionReset"
}

/// Blocks the thread of the port nearly all the time, as a busy entry does.
async fn block_thread() {
    loop {
        thread::sleep(Duration::from_millis(15));
        tokio::time::sleep(Duration::from_millis(1)).await;
    }
}

/// Asks twice over a link that delays answers, the second time at the end of the time for which a connection
/// may be idle, as this caller sees it. `None` if its thread overslept.
fn ask_at_limit(mut stream: BlockingStream, limit: Duration) -> Option<bool> {
    const LINK_DELAY: Duration = Duration::from_millis(200);
    const SLACK: Duration = Duration::from_millis(100);
    let mut buffer = [0; 1024];
    stream.write_all(REQUEST).expect("it is open");
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

/// A request sent at the end of the idle time crossed the close of its connection: its caller got a reset.
#[test]
fn idle_limit() {
    const CALLERS: usize = 32;
    let idle_timeout = Duration::from_millis(400);
    let idle_margin = Duration::from_secs(1);
    run(async move {
        let port = serve_port(ConnectionLimits { idle_timeout, idle_margin, ..wide_limits() });
        drop(port.connect().await);
        tokio::task::spawn_local(block_thread());
        let address = port.address;
        let caller = move || {
            let stream = BlockingStream::connect(address).expect("the port is there");
            ask_at_limit(stream, idle_timeout)
        };
        let mut ends = Vec::new();
        while ends.is_empty() {
            let callers = (0..CALLERS).map(|_| tokio::task::spawn_blocking(caller));
            for caller in callers.collect::<Vec<_>>() {
                ends.extend(caller.await.expect("it ends"));
            }
        }
        let answered = ends.iter().filter(|is_answered| **is_answered).count();
        assert_eq!(answered, ends.len(), "of {} requests within the limit", ends.len());
    });
}

#[test]
fn idle_end() {
    run(async {
        let limits = ConnectionLimits {
            idle_timeout: Duration::from_millis(100),
            idle_margin: Duration::from_millis(200),
            ..wide_limits()
        };
        let port = serve_port(limits);
        let mut idle = port.connect_and_ask().await;
        let since = Instant::now();
        assert_eq!(read(&mut idle).await, "", "it is closed in order");
        let lived = since.elapsed() + Duration::from_millis(50);
        assert!(lived >= limits.idle_timeout + limits.idle_margin, "{lived:?}");
    });
}

/// The idle time of connections ended while their next requests lay unread in the kernel.
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
        // This timer and those of the port fire in the same turn, and this task runs first.
        let turn = tokio::time::sleep(Duration::from_millis(20));
        tokio::pin!(turn);
        tokio::select! {
            biased;
            () = &mut turn => panic!("the callers took too long"),
            () = std::future::ready(()) => {}
        }
        thread::sleep(idle_timeout * 2);
        turn.await;
        callers.iter().for_each(|caller| send_unseen(caller, REQUEST));
        let mut answers = Vec::new();
        for mut caller in callers {
            answers.push(read(&mut caller).await);
        }
        let answered = answers.iter().filter(|answer| is_answered(answer)).count();
        assert_eq!(answered, CALLERS, "{answers:?}");
    });
}

/// A head of which nothing more came held its connection for the idle time, and an idle connection ended
/// with the time for a head.
#[test]
fn half_sent_head() {
    run(async {
        let header_timeout = Duration::from_millis(200);
        let port = serve_port(ConnectionLimits { header_timeout, ..wide_limits() });
        let mut idle = port.connect_and_ask().await;
        let mut unused = port.connect().await;
        let mut half_sent = port.connect_and_ask().await;
        send_unseen(&half_sent, b"GET / HT");
        assert!(is_closed(&read(&mut half_sent).await));
        tokio::time::sleep(header_timeout).await;
        assert!(is_answered(&ask(&mut idle).await));
        assert!(is_answered(&ask(&mut unused).await));
    });
}

/// A head that comes a byte at a time doesn't last longer.
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
        send_unseen(&slow, b"GET /");
        while is_open(&slow) {
            assert!(since.elapsed() < header_timeout * 20, "the head may last for ever");
            tokio::time::sleep(Duration::from_millis(20)).await;
            let _ = slow.try_write(b"x");
        }
        assert!(since.elapsed() + Duration::from_millis(20) >= header_timeout);
    });
}

/// An idle time that the operators shorten counts for connections that are open.
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
        assert_eq!(read(&mut idle).await, "", "it is closed in order");
        let expected = ConnectionCounts { idle_closed: 1, ..ConnectionCounts::default() };
        assert!(wait_until(|| port.connections.counts() == expected).await);
    });
}

/// An answer that its caller doesn't take held the connection for ever.
#[test]
fn untaken_answer() {
    run(async {
        let idle_timeout = Duration::from_millis(300);
        let port = serve_port(ConnectionLimits { max_open: 1, idle_timeout, ..wide_limits() });
        let untaken = port.connect_and_ask().await;
        send_unseen(&untaken, LARGE_REQUEST);
        let since = Instant::now();
        let mut newcomer = port.connect().await;
        assert!(is_answered(&ask(&mut newcomer).await));
        // It wasn't taken for an idle one.
        assert!(since.elapsed() >= idle_timeout);
        let expected = ConnectionCounts { open: 1, aborted: 1, ..ConnectionCounts::default() };
        assert_eq!(port.connections.counts(), expected);
    });
}

/// A large answer is whole though it is taken slowly and others want room.
#[test]
fn slowly_taken_answer() {
    run(async {
        let port = serve_port(ConnectionLimits { max_open: 1, ..wide_limits() });
        let mut slow = port.connect_and_ask().await;
        send_unseen(&slow, LARGE_REQUEST);
        let mut newcomer = port.connect().await;
        send_unseen(&newcomer, REQUEST);
        tokio::time::sleep(Duration::from_millis(300)).await;
        let mut left = LARGE_ANSWER_BYTES;
        while left > 0 {
            let taken = slow.read(&mut vec![0; 1024 * 1024]).await.expect("it goes on");
            assert!(taken > 0, "{left} bytes are missing");
            left = left.saturating_sub(taken);
        }
        assert!(is_answered(&read(&mut newcomer).await));
    });
}

/// A caller's idle connections took all the room of a port: nobody else was answered until they ended.
#[test]
fn full_port() {
    run(async {
        let port = serve_port(ConnectionLimits { max_open: 4, ..wide_limits() });
        let mut idle = Vec::new();
        for _ in 0..4 {
            idle.push(port.connect_and_ask().await);
        }
        // The first one has been idle for a shorter time than the second.
        assert!(is_answered(&ask(&mut idle[0]).await));
        let mut newcomer = port.connect().await;
        assert!(is_answered(&ask(&mut newcomer).await));
        assert_eq!(read(&mut idle[1]).await, "", "it is closed in order");
        for place in [0, 2, 3] {
            assert!(is_answered(&ask(&mut idle[place]).await), "{place}");
        }
    });
}

/// One newcomer after the other is let in, and a connection that hasn't been used yet counts as idle too.
#[test]
fn many_newcomers() {
    run(async {
        let port = serve_port(ConnectionLimits { max_open: 4, ..wide_limits() });
        let mut held = Vec::new();
        for number in 0..12 {
            let mut newcomer = port.connect().await;
            if number % 2 == 0 {
                assert!(is_answered(&ask(&mut newcomer).await), "{number}");
            }
            held.push(newcomer);
        }
        assert!(is_answered(&ask(&mut held[11]).await));
    });
}

/// A connection with a request that the port hasn't seen yet isn't idle: another one makes room.
#[test]
fn unseen_request() {
    run(async {
        let port = serve_port(ConnectionLimits { max_open: 2, ..wide_limits() });
        let mut oldest = port.connect_and_ask().await;
        let mut idle = port.connect_and_ask().await;
        tokio::time::sleep(Duration::from_millis(200)).await;
        let newcomer = BlockingStream::connect(port.address).expect("the port is there");
        newcomer.set_nonblocking(true).expect("it is a socket");
        (&newcomer).write_all(REQUEST).expect("its buffer is empty");
        send_unseen(&oldest, REQUEST);
        let mut newcomer = TcpStream::from_std(newcomer).expect("it doesn't block");
        assert!(is_answered(&read(&mut newcomer).await));
        assert!(is_answered(&read(&mut oldest).await));
        assert_eq!(read(&mut idle).await, "", "it is closed in order");
    });
}

/// A caller that has just been answered has a moment for its next request before it makes room.
#[test]
fn fresh_connection() {
    const MOMENT: Duration = Duration::from_millis(90);
    run(async {
        loop {
            let port = serve_port(ConnectionLimits { max_open: 1, ..wide_limits() });
            let mut fresh = port.connect_and_ask().await;
            let answered_at = Instant::now();
            let mut newcomer = port.connect().await;
            send_unseen(&newcomer, REQUEST);
            tokio::time::sleep(Duration::from_millis(20)).await;
            let sent = fresh.try_write(REQUEST);
            if answered_at.elapsed() > MOMENT {
                // This thread overslept, so it tells nothing.
                continue;
            }
            assert!(sent.is_ok() && is_answered(&read(&mut fresh).await));
            assert!(is_answered(&read(&mut newcomer).await));
            return;
        }
    });
}

/// A request that is being answered isn't cut off for a newcomer.
#[test]
fn busy_connection() {
    run(async {
        let port = serve_port(ConnectionLimits { max_open: 1, ..wide_limits() });
        let mut busy = port.connect_and_ask().await;
        send_unseen(&busy, SLOW_REQUEST);
        while port.in_flight.count() == 0 {
            tokio::task::yield_now().await;
        }
        let mut newcomer = port.connect().await;
        let answers = tokio::join!(read(&mut busy), ask(&mut newcomer));
        assert!(is_answered(&answers.0) && is_answered(&answers.1), "{answers:?}");
    });
}

/// A stopped process ended with a request unread on a connection that had been idle during the whole stop.
#[test]
fn end_of_process() {
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
    let mut next = || ends.next().expect("there are two").expect("it is closed in order");
    let answer = next();
    assert!(is_answered(&answer) && answer.contains("connection: close"), "{answer}");
    assert_eq!(next(), "");
}
