//! The thread that writes log lines, so that a slow reader of the log doesn't block decisions.

use std::{
    io::{self, Write},
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
        mpsc::{Receiver, SyncSender, TrySendError, sync_channel},
    },
    time::Duration,
};

/// Maximum number of lines that wait for the writing thread: about a megabyte.
const MAX_QUEUED_LINES: usize = 4096;
/// Number of places in the queue that routine lines leave free for other lines.
const RESERVED_LINES: usize = 1024;
/// Maximum size of an atomic write to a pipe (`PIPE_BUF`). Longer writes can be interleaved with those of other
/// writers, and a log collector may truncate them.
const MAX_BYTES_PER_WRITE: usize = 4096;
/// Delay between writes, so that a burst needs few system calls. Each line has its own timestamp.
const BATCH_DELAY: Duration = Duration::from_millis(50);

/// Sends lines to the writing thread.
#[derive(Debug)]
pub(crate) struct LogWriter {
    lines: SyncSender<String>,
    queued: Arc<AtomicUsize>,
}

impl LogWriter {
    /// Starts the thread, which writes to standard output.
    pub(crate) fn start() -> Self {
        let (lines, queue) = sync_channel(MAX_QUEUED_LINES);
        let queued = Arc::new(AtomicUsize::new(0));
        let queued_in_thread = queued.clone();
        std::thread::spawn(move || write_all(&queue, &queued_in_thread));
        Self { lines, queued }
    }

    /// Queues a line and returns whether there was room. Routine lines leave [`RESERVED_LINES`] places free.
    pub(crate) fn try_send(&self, line: String, is_routine: bool) -> bool {
        let waiting = self.queued.fetch_add(1, Ordering::Relaxed);
        let has_room = !is_routine || waiting < MAX_QUEUED_LINES - RESERVED_LINES;
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
        let dequeued = lines.inspect(|_| {
            queued.fetch_sub(1, Ordering::Relaxed);
        });
        if write_lines(dequeued, &mut output).is_err() {
            return;
        }
        std::thread::sleep(BATCH_DELAY);
    }
}

/// Writes lines in groups that are small enough to be written atomically.
///
/// # Errors
///
/// Returns the error of `output`.
pub fn write_lines(lines: impl Iterator<Item = String>, output: &mut impl Write) -> io::Result<()> {
    let mut text = String::new();
    for line in lines {
        if !text.is_empty() && text.len() + line.len() + 1 > MAX_BYTES_PER_WRITE {
            output.write_all(text.as_bytes())?;
            text.clear();
        }
        text.push_str(&line);
        text.push('\n');
    }
    output.write_all(text.as_bytes())
}
