//! Structured log lines on standard output: one JSON object for each decision.
//!
//! Writing never blocks a decision: lines go through a bounded queue to a thread of their own. In a burst
//! frequent kinds of lines are suppressed, and their number is logged within a second; rare decisions,
//! such as those that end a caller's work, are always logged.

use std::{cell::RefCell, rc::Rc};

use jackdawpier_kernel::Now;
use serde_json::{Map, Value, json};

use crate::{
    clock,
    log_volume::{LogVolume, is_routine},
    log_writer::LogWriter,
    metrics::Metrics,
    unreadable_log::{UnreadableLog, shorten},
};

#[derive(Debug)]
struct Inner {
    entry: String,
    lines: LogWriter,
    volume: LogVolume,
    unreadable: UnreadableLog,
    dropped: u64,
    metrics: Metrics,
}

/// Writes structured log lines and counts them.
#[derive(Debug, Clone)]
pub struct Events(Rc<RefCell<Inner>>);

impl Events {
    /// Starts the writing thread.
    pub fn new(entry: &str) -> Self {
        let inner = Inner {
            entry: entry.to_owned(),
            lines: LogWriter::start(),
            volume: LogVolume::default(),
            unreadable: UnreadableLog::default(),
            dropped: 0,
            metrics: Metrics::default(),
        };
        Self(Rc::new(RefCell::new(inner)))
    }

    /// Returns the metrics that count the lines.
    pub fn metrics(&self) -> Metrics {
        self.0.borrow().metrics.clone()
    }

    /// Writes a line of a kind; `fields` has to be an object.
    pub fn emit(&self, kind: &'static str, fields: Value) {
        let mut inner = self.0.borrow_mut();
        inner.metrics.count(kind, &outcome(&fields));
        let now = clock::now();
        for suppressed in inner.volume.begin_second(now) {
            let fields = json!({ "of": suppressed.kind, "lines": suppressed.lines });
            inner.write("left_out", fields, now);
        }
        if inner.volume.admit(kind) {
            inner.write(kind, fields, now);
        }
    }

    /// Counts that the item under `key` can't be read, and logs it once for a while.
    pub fn emit_unreadable(&self, key: &str, why: &str) {
        let is_admitted = self.0.borrow_mut().unreadable.admit(clock::now(), key);
        if is_admitted {
            self.emit("unreadable", json!({ "key": shorten(key), "why": shorten(why) }));
        } else {
            self.metrics().count("unreadable", "");
        }
    }
}

impl Inner {
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
        let is_sent = self.lines.try_send(Value::Object(line).to_string(), is_routine(kind));
        self.dropped = if is_sent { 0 } else { self.dropped + 1 };
    }
}

/// Fields that contain an outcome, for the metrics.
const OUTCOME_FIELDS: [&str; 4] = ["end", "how", "fate", "status"];

fn outcome(fields: &Value) -> String {
    let found = OUTCOME_FIELDS.iter().find_map(|name| fields.get(name));
    found.map_or_else(String::new, |value| match value {
        Value::String(text) => text.clone(),
        other => other.to_string(),
    })
}
