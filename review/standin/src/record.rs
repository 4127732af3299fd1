//! The record of a run: what was sent, answered and run, with the time since the start.

use std::{
    fs::File,
    io::{self, Write},
    path::Path,
    sync::Mutex,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

pub struct Record {
    started_at: Instant,
    file: Mutex<File>,
}

impl Record {
    pub fn create(path: &Path) -> io::Result<Self> {
        Ok(Self { started_at: Instant::now(), file: Mutex::new(File::create(path)?) })
    }

    /// Returns the time since the start.
    pub fn now(&self) -> Duration {
        self.started_at.elapsed()
    }

    pub fn note(&self, text: &str) {
        let now_s = self.now().as_secs_f64();
        let _ = writeln!(self.file.lock().unwrap(), "{now_s:8.3} {text}");
    }

    /// Notes a line and prints it.
    pub fn say(&self, text: &str) {
        self.note(text);
        println!("{text}");
    }
}

/// Returns the time of day in milliseconds since 1970.
pub fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |time| time.as_millis() as u64)
}
