//! Structured log lines on standard output: one JSON object for each decision.
//!
//! Writing never holds a decision up: lines go through a bounded queue to a thread of their own.
//! What doesn't fit, or exceeds a kind's rate, is counted and said in a line of its own.

use std::{
    cell::RefCell,
    collections::HashMap,
    io::Write,
    rc::Rc,
    sync::mpsc::{Receiver, SyncSender, TrySendError, sync_channel},
    time::Duration,
};

use jackdawpier_kernel::Now;
use serde_json::{Map, Value, json};

use crate::{clock, metrics::Metrics};

/// Lines that may wait for the writing thread: about a megabyte.
const QUEUED_LINES: usize = 4096;
/// Lines of one kind a second; a busy owner starts and ends some 400 tasks a second.
const LINES_PER_KIND_PER_S: u32 = 500;
const SECOND: Duration = Duration::from_secs(1);

#[derive(Debug, Default)]
struct Rate {
    second: u64,
    written: u32,
    left_out: u64,
}

#[derive(Debug)]
struct Inner {
    entry: String,
    lines: SyncSender<String>,
    rates: HashMap<&'static str, Rate>,
    dropped: u64,
    metrics: Metrics,
}

/// Writes log lines.
#[derive(Debug, Clone)]
pub struct Events(Rc<RefCell<Inner>>);

impl Events {
    /// Starts the writing thread.
    pub fn new(entry: &str) -> Self {
        let (lines, queue) = sync_channel(QUEUED_LINES);
        std::thread::spawn(move || write_lines(&queue));
        let entry = entry.to_owned();
        let inner =
            Inner { entry, lines, rates: HashMap::new(), dropped: 0, metrics: Metrics::default() };
        Self(Rc::new(RefCell::new(inner)))
    }

    /// The metrics that count the lines.
    pub fn metrics(&self) -> Metrics {
        self.0.borrow().metrics.clone()
    }

    /// Writes one line of a kind; `fields` has to be an object.
    pub fn emit(&self, kind: &'static str, fields: Value) {
        let mut inner = self.0.borrow_mut();
        inner.metrics.count(kind, &outcome(&fields));
        let now = clock::now();
        if let Some(left_out) = inner.admit(kind, now) {
            if left_out > 0 {
                inner.write("left_out", json!({ "of": kind, "lines": left_out }), now);
            }
            inner.write(kind, fields, now);
        }
    }
}

impl Inner {
    /// Returns how many lines of this kind were left out before, or none if this one is too.
    fn admit(&mut self, kind: &'static str, now: Now) -> Option<u64> {
        let second = now.as_secs();
        let rate = self.rates.entry(kind).or_default();
        if rate.second != second {
            rate.second = second;
            rate.written = 0;
        }
        if rate.written >= LINES_PER_KIND_PER_S {
            rate.left_out += 1;
            return None;
        }
        rate.written += 1;
        Some(std::mem::take(&mut rate.left_out))
    }

    fn write(&mut self, kind: &str, fields: Value, now: Now) {
        let mut line = Map::new();
        line.insert("at_ms".to_owned(), json!(clock::wall_ms()));
        line.insert("up_ms".to_owned(), json!(now.as_millis() as u64));
        line.insert("entry".to_owned(), json!(self.entry));
        line.insert("event".to_owned(), json!(kind));
        if let Value::Object(fields) = fields {
            line.extend(fields);
        }
        if self.dropped > 0 {
            line.insert("dropped_before".to_owned(), json!(self.dropped));
        }
        match self.lines.try_send(Value::Object(line).to_string()) {
            Ok(()) => self.dropped = 0,
            Err(TrySendError::Full(_) | TrySendError::Disconnected(_)) => self.dropped += 1,
        }
    }
}

/// Fields that tell how something went, for the metrics.
const OUTCOME_FIELDS: [&str; 4] = ["end", "how", "fate", "status"];

fn outcome(fields: &Value) -> String {
    let found = OUTCOME_FIELDS.iter().find_map(|name| fields.get(name));
    found.map_or_else(String::new, |value| match value {
        Value::String(text) => text.clone(),
        other => other.to_string(),
    })
}

/// Writes lines in groups, so that a burst costs few system calls.
fn write_lines(queue: &Receiver<String>) {
    let mut output = std::io::stdout();
    while let Ok(line) = queue.recv() {
        let mut text = line;
        text.push('\n');
        while let Ok(more) = queue.try_recv() {
            text.push_str(&more);
            text.push('\n');
        }
        if output.write_all(text.as_bytes()).is_err() {
            return;
        }
        // Waiting a little lets lines gather; they carry their own times.
        std::thread::sleep(SECOND / 20);
    }
}
