//! A small installation: a store, executors of one service, three daemons, and ordinary callers.

use std::{
    path::Path,
    sync::Arc,
    thread,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

use crate::{
    http::call,
    store::Store,
    world::{
        Entry, Fleet, HOST, Ledger, MEMORY_MB, PREFIX, Record, StepWork, configuration, wait_until,
    },
};

const SERVICE: &str = "huvo11a";
/// How long clients wait for an answer, and their retries, which reach other daemons.
pub const DEADLINE_MS: u64 = 3_000;
const RETRIES: usize = 4;

pub struct Installation {
    pub record: Arc<Record>,
    pub ledger: Arc<Ledger>,
    pub store: Arc<Store>,
    pub fleet: Fleet,
    pub entries: Vec<Arc<Entry>>,
}

/// A job that a client has handed in.
pub struct Submitted {
    pub id: String,
    pub is_accepted: bool,
}

pub fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |it| it.as_millis() as u64)
}

impl Installation {
    /// Starts everything; `None` if the daemons don't get ready.
    pub fn start(folder: &Path, logs: &Path, executors: usize, capacity: u64) -> Option<Self> {
        let record = Record::create(folder);
        let ledger = Arc::new(Ledger::default());
        let store = Store::start();
        let fleet = Fleet::start(&store, SERVICE, executors, capacity, &ledger, &record);
        store.write("op/config", &configuration(1, SERVICE));
        let start = |number| {
            let name = format!("edge-z-{number}");
            Entry::start(&name, logs, store.listen(), fleet.machines, &record)
        };
        let entries: Vec<Arc<Entry>> = (1..=3).map(start).collect();
        let one = Self { record, ledger, store, fleet, entries };
        let is_up = wait_until(Duration::from_secs(10), || {
            one.store.owner().is_some() && one.entries.iter().all(|entry| entry.is_ready())
        });
        if !is_up {
            one.record.say("the daemons didn't get ready");
            one.end();
            return None;
        }
        Some(one)
    }

    /// Hands a job in as a client does: with retries at other daemons until there is an answer that isn't 503 or 504.
    pub fn submit(&self, number: usize, id: &str, body: &str) -> Submitted {
        let path = format!("{PREFIX}{id}");
        for attempt in 0..=RETRIES {
            let entry = &self.entries[(number + attempt) % self.entries.len()];
            let answer = call(entry.front, "POST", HOST, &path, DEADLINE_MS, body);
            let shown = if body.len() < 300 { body } else { "(long)" };
            self.record.line(format!("POST {id} to {} {shown}: {answer:?}", entry.name));
            match answer {
                Some((200..=299, _)) => return Submitted { id: id.to_owned(), is_accepted: true },
                Some((503 | 504 | 502, _)) | None => thread::sleep(Duration::from_millis(200)),
                Some(_) => break,
            }
        }
        Submitted { id: id.to_owned(), is_accepted: false }
    }

    /// Hands in the job of an ordinary caller: two work items of 0.3 s.
    pub fn submit_ordinary(&self, number: usize) -> Submitted {
        let id = format!("{:016x}", 0x7000_0000_0000_0000_u64 + number as u64);
        self.ledger.add_job(&id, vec![StepWork { cpu: 500, duration_ms: 300 }]);
        let body = "{\"taskSpec\":\"small\",\"steps\":[{\"count\":2,\"cpu\":500,\"memMb\":64,\"estDurationMs\":300}]}";
        self.submit(number, &id, body)
    }

    /// Ordinary callers hand in a job each half second for this long.
    pub fn ordinary_traffic(&self, time: Duration, first: usize) -> Vec<Submitted> {
        let began_at = Instant::now();
        let mut submitted = Vec::new();
        while began_at.elapsed() < time {
            submitted.push(self.submit_ordinary(first + submitted.len()));
            thread::sleep(Duration::from_millis(500));
        }
        submitted
    }

    /// Whether a job has a work item that isn't done, and none at work.
    pub fn is_standing(&self, job: &str, items: usize) -> bool {
        let runs = self.ledger.runs_of(job);
        let done =
            runs.iter().filter(|run| run.ended.is_some_and(|(_, how)| how == "done")).count();
        done < items && runs.iter().all(|run| run.ended.is_some())
    }

    /// Says how often each daemon has been over its memory or has ended in another way.
    pub fn say_ends(&self) {
        for entry in &self.entries {
            let (over, other, peak) = entry.ends();
            self.record.say(format!(
                "{}: {over} times over {MEMORY_MB} MB, {other} other ends, highest seen {peak} MB",
                entry.name
            ));
        }
    }

    /// Returns how many daemons have ended by themselves three times or more; memory over the limit counts.
    pub fn daemons_with_three_ends(&self) -> usize {
        let ends = self.entries.iter().map(|entry| entry.ends());
        ends.filter(|(over, other, _)| over + other >= 3).count()
    }

    pub fn end(&self) {
        self.entries.iter().for_each(|entry| entry.end());
    }
}
