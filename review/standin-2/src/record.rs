//! The record of a run: one line an event, with the time since the start of the script.

use std::{
    fs::File,
    io::Write,
    sync::Mutex,
    time::{Duration, Instant},
};

pub struct Record {
    began: Instant,
    file: Mutex<File>,
}

impl Record {
    pub fn new(path: &str) -> std::io::Result<Self> {
        Ok(Self { began: Instant::now(), file: Mutex::new(File::create(path)?) })
    }

    pub fn now(&self) -> Duration {
        self.began.elapsed()
    }

    pub fn line(&self, text: &str) {
        let line = format!("{:9.3} s  {text}\n", self.now().as_secs_f64());
        let _ = self.file.lock().unwrap().write_all(line.as_bytes());
    }
}
