//! The store's calls that coordination makes, in virtual time.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use jackdawpier_coord::cell::{Cell, Output};
use jackdawpier_kernel::{Now, ids::RequestKey};
use jackdawpier_route::dedupe::{Decision, Dedupe, KeyState};
use jackdawpier_standin::store_model::StoreModel;
use jackdawpier_store::{Request, Response};

const STEP: Duration = Duration::from_millis(5);
/// Steps that the store takes for an answer.
const STORE_STEPS: u64 = 1;
/// Steps that an executor takes for a request.
const WORK_STEPS: u64 = 4;
const COMMIT_INTERVAL: Duration = Duration::from_millis(125);

/// One run of keyed requests.
#[derive(Debug, Clone, Copy)]
pub struct KeyedRun {
    /// Keyed requests a second over all cells.
    pub per_s: u32,
    /// Cells.
    pub cells: u32,
    /// Time that answers are kept.
    pub retention: Duration,
    /// Virtual time; the second half is measured.
    pub time: Duration,
}

/// Calls a second in the measured half.
#[derive(Debug, Clone, Copy)]
pub struct KeyedWrites {
    /// Appends to the cells' logs.
    pub appends_per_s: f64,
    /// Deletions of their oldest segments.
    pub deletes_per_s: f64,
    /// Segments that a new owner of one cell would have to read.
    pub segments: usize,
    /// Mean time from a request to its durable intent.
    pub mean_wait: Duration,
}

impl KeyedWrites {
    /// All writes a second.
    pub fn per_s(&self) -> f64 {
        self.appends_per_s + self.deletes_per_s
    }
}

struct Owner {
    cell: Cell<KeyState>,
    dedupe: Dedupe,
    keys: BTreeMap<u64, (RequestKey, u64)>,
    call: Option<(u64, Request)>,
    working: Vec<(u64, RequestKey)>,
}

/// Runs keyed requests through `cells` owners.
pub fn keyed_writes(run: KeyedRun) -> KeyedWrites {
    let mut store = StoreModel::default();
    let mut owners: Vec<Owner> = (0..run.cells)
        .map(|ix| Owner {
            cell: Cell::new(&format!("cell-{ix}"), "entry".into(), 1, COMMIT_INTERVAL),
            dedupe: Dedupe::new("entry".into(), run.retention),
            keys: BTreeMap::new(),
            call: None,
            working: Vec::new(),
        })
        .collect();
    for owner in &mut owners {
        let outputs = owner.cell.open(Now::ZERO);
        owner.follow(0, outputs, &mut (0, 0));
    }
    let steps = (run.time.as_millis() / STEP.as_millis()) as u64;
    let steps_per_s = 1.0 / STEP.as_secs_f64();
    let mut owed = 0.0;
    let mut ticket = 0;
    let mut waits = (0_u64, 0_u64);
    let mut before = BTreeMap::new();
    for step in 0..steps {
        let now = STEP * u32::try_from(step).expect("runs are short");
        if step == steps / 2 {
            before = store.counts().clone();
            waits = (0, 0);
        }
        owed += f64::from(run.per_s) / steps_per_s;
        while owed >= 1.0 {
            owed -= 1.0;
            ticket += 1;
            let owner = &mut owners[(ticket % u64::from(run.cells)) as usize];
            owner.submit(step, now, ticket, &mut waits);
        }
        for owner in &mut owners {
            owner.step(step, now, &mut store, &mut waits);
        }
    }
    let seconds = run.time.as_secs_f64() / 2.0;
    let per_s = |name: &str| {
        let count = |counts: &BTreeMap<&'static str, u64>| counts.get(name).copied().unwrap_or(0);
        (count(store.counts()) - count(&before)) as f64 / seconds
    };
    KeyedWrites {
        appends_per_s: per_s("put"),
        deletes_per_s: per_s("delete"),
        segments: owners[0].cell.segment_count(),
        mean_wait: STEP * u32::try_from(waits.0 / waits.1.max(1)).expect("waits are short"),
    }
}

impl Owner {
    fn submit(&mut self, step: u64, now: Now, ticket: u64, waits: &mut (u64, u64)) {
        let key: RequestKey = format!("k/export/key-{ticket}").into();
        if let Decision::WriteIntent { state } = self.dedupe.begin(&key, ticket, ticket)
            && let Some(number) = self.cell.put(Arc::clone(&key), &state)
        {
            self.dedupe.on_intent_write_queued(number, ticket, &key);
            self.keys.insert(ticket, (key, step));
        }
        let outputs = self.cell.tick(now);
        self.follow(step, outputs, waits);
    }

    fn step(&mut self, step: u64, now: Now, store: &mut StoreModel, waits: &mut (u64, u64)) {
        if let Some((at, request)) = self.call.take() {
            if at <= step {
                let response: Response = store.call(now, &request);
                let outputs = self.cell.on_result(now, Ok(response));
                self.follow(step, outputs, waits);
            } else {
                self.call = Some((at, request));
            }
        }
        let (done, rest) =
            std::mem::take(&mut self.working).into_iter().partition(|(at, _)| *at <= step);
        self.working = rest;
        let done: Vec<(u64, RequestKey)> = done;
        for (_, key) in done {
            let answer = jackdawpier_kernel::outcome::Answer {
                status: 200,
                content_type: "application/json".to_owned(),
                body: b"{}".to_vec(),
            };
            let outcome = jackdawpier_kernel::outcome::Outcome::Answered(answer);
            if let Some((state, _)) = self.dedupe.record_outcome(now, &key, &outcome) {
                let number = self.cell.put(Arc::clone(&key), &state).expect("the cell is open");
                self.dedupe.on_end_write_queued(number, &key);
            }
        }
        for key in self.dedupe.expire(now) {
            self.cell.forget(&key);
        }
        let outputs = self.cell.tick(now);
        self.follow(step, outputs, waits);
    }

    fn follow(&mut self, step: u64, outputs: Vec<Output<KeyState>>, waits: &mut (u64, u64)) {
        for output in outputs {
            match output {
                Output::Call(request) => self.call = Some((step + STORE_STEPS, request)),
                Output::Committed { up_to } => {
                    for ticket in self.dedupe.on_committed(up_to).sendable {
                        if let Some((key, since)) = self.keys.remove(&ticket) {
                            waits.0 += step - since;
                            waits.1 += 1;
                            self.working.push((step + WORK_STEPS, key));
                        }
                    }
                }
                Output::Opened { .. } | Output::Fenced => {}
            }
        }
    }
}

/// Prints the store's writes for keyed requests at several rates.
pub fn print() {
    println!(
        "| keyed requests a second | cells | appends a second | deletions a second | writes a second | segments of a cell | mean wait ms |\n|---|---|---|---|---|---|---|"
    );
    for (per_s, cells) in [(10, 5), (100, 5), (1_000, 5), (4_000, 5), (4_000, 115)] {
        let run = KeyedRun {
            per_s,
            cells,
            retention: Duration::from_secs(30),
            time: Duration::from_secs(120),
        };
        let out = keyed_writes(run);
        println!(
            "| {per_s} | {cells} | {:.1} | {:.1} | {:.1} | {} | {:.0} |",
            out.appends_per_s,
            out.deletes_per_s,
            out.per_s(),
            out.segments,
            out.mean_wait.as_secs_f64() * 1000.0
        );
    }
}
