//! The thread that writes log lines, so that no decision waits for whoever reads them.

use std::{
    io::{self, Write},
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
        mpsc::{Receiver, SyncSender, TrySendError, sync_channel},
    },
    time::Duration,
};

/// Lines that may wait for the writing thread: about a megabyte.
const QUEUED_LINES: usize = 4096;
/// Part of the queue that lines of which there are many leave to the others.
const KEPT_FREE: usize = 1024;
/// What a pipe takes as a whole (`PIPE_BUF`): a longer write can be mixed with another writer's, and a
/// collector can keep a part of it only.
const MOST_BYTES_PER_WRITE: usize = 4096;
/// Lets lines gather, so that a burst costs few system calls; each carries its own time.
const GATHER: Duration = Duration::from_millis(50);

/// Hands lines to the writing thread.
#[derive(Debug)]
pub(crate) struct LogWriter {
    lines: SyncSender<String>,
    queued: Arc<AtomicUsize>,
}

impl LogWriter {
    /// Starts the thread, which writes to standard output.
    pub(crate) fn start() -> Self {
        let (lines, queue) = sync_channel(QUEUED_LINES);
        let queued = Arc::new(AtomicUsize::new(0));
        let left = queued.clone();
        std::thread::spawn(move || write_all(&queue, &left));
        Self { lines, queued }
    }

    /// Queues a line and returns whether it will be written. One that `is_routine` leaves room to others.
    pub(crate) fn try_send(&self, line: String, is_routine: bool) -> bool {
        let waiting = self.queued.fetch_add(1, Ordering::Relaxed);
        let has_room = !is_routine || waiting < QUEUED_LINES - KEPT_FREE;
        let is_sent = has_room
            && match self.lines.try_send(line) {
                Ok(()) => true,
                Err(TrySendError::Full(_) | TrySendError::Disconnected(_)) => false,
            };
        if !is_sent {
            self.queued.fetch_sub(1, Ordering::Relaxed);
        }
        is_sent
    }
}

fn write_all(queue: &Receiver<String>, queued: &AtomicUsize) {
    let mut output = io::stdout();
    while let Ok(first) = queue.recv() {
        let lines = std::iter::once(first).chain(queue.try_iter());
        let counted = lines.inspect(|_| {
            queued.fetch_sub(1, Ordering::Relaxed);
        });
        if write_lines(counted, &mut output).is_err() {
            return;
        }
        std::thread::sleep(GATHER);
    }
}

/// Writes lines, as many at once as are certain to stay whole.
///
/// # Errors
///
/// What `output` says.
pub fn write_lines(lines: impl Iterator<Item = String>, output: &mut impl Write) -> io::Result<()> {
    let mut text = String::new();
    for line in lines {
        if !text.is_empty() && text.len() + line.len() + 1 > MOST_BYTES_PER_WRITE {
            output.write_all(text.as_bytes())?;
            text.clear();
        }
        text.push_str(&line);
        text.push('\n');
    }
    output.write_all(text.as_bytes())
}
