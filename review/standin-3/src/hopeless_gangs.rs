//! Some jobs come that can never be done: gangs that need a little more than the whole service has.

use std::{
    path::Path,
    thread,
    time::{Duration, Instant},
};

use crate::{
    http::call,
    installation::{DEADLINE_MS, Installation},
    world::{HOST, PREFIX, StepWork},
};

const EXECUTORS: usize = 200;
const CAPACITY: u64 = 16_000;
const GANGS: usize = 24;
const MEMBERS: u64 = 8_000;
const FINISH: Duration = Duration::from_secs(14);
/// Work items of the job of an ordinary caller.
const ITEMS: usize = 2;

pub fn run(folder: &Path, logs: &Path, has_trouble: bool) -> Option<bool> {
    let one = Installation::start(folder, logs, EXECUTORS, CAPACITY)?;
    let mut ordinary = one.ordinary_traffic(Duration::from_secs(5), 0);
    let cpu = EXECUTORS as u64 * CAPACITY / MEMBERS + 2;
    let mut accepted = 0;
    if has_trouble {
        for number in 0..GANGS {
            let id = format!("{:016x}", 0x5c0e_7a21_0000_0000_u64 + number as u64);
            one.ledger.add_job(&id, vec![StepWork { cpu, duration_ms: 1_000 }]);
            let body = format!(
                "{{\"taskSpec\":\"gang\",\"steps\":[{{\"count\":{MEMBERS},\"cpu\":{cpu},\"gang\":true,\"estDurationMs\":1000}}]}}"
            );
            accepted += usize::from(one.submit(number, &id, &body).is_accepted);
        }
    }
    one.record.say(format!(
        "{accepted} jobs accepted with a gang of {MEMBERS} members that the service can't hold"
    ));
    let mut owners = Vec::new();
    let began_at = Instant::now();
    let note_owner = |owners: &mut Vec<Option<String>>| {
        let owner = one.store.owner();
        if owners.last() != Some(&owner) {
            one.record.line(format!("the owner's key: {owner:?}"));
            owners.push(owner);
        }
    };
    while began_at.elapsed() < Duration::from_secs(15) {
        ordinary.push(one.submit_ordinary(ordinary.len()));
        for _ in 0..50 {
            thread::sleep(Duration::from_millis(10));
            note_owner(&mut owners);
        }
    }
    let accepted = ordinary.iter().filter(|job| job.is_accepted).count();
    one.record.say(format!(
        "{} ordinary jobs handed in, {accepted} accepted; end of the traffic",
        ordinary.len()
    ));
    let ended_at = Instant::now();
    while ended_at.elapsed() < FINISH {
        thread::sleep(Duration::from_millis(10));
        note_owner(&mut owners);
    }
    one.record.say(format!("the owner's key changed {} times", owners.len() - 1));
    // For 3 s: jobs with nothing at work whose turn has come, while under half of the service is in use.
    let mut standing: Vec<&str> =
        ordinary.iter().filter(|job| job.is_accepted).map(|job| &*job.id).collect();
    let began_at = Instant::now();
    let mut most_used = 0.0_f64;
    while began_at.elapsed() < Duration::from_secs(3) {
        standing.retain(|id| one.is_standing(id, ITEMS));
        most_used = most_used.max(one.fleet.used_share());
        thread::sleep(Duration::from_millis(50));
    }
    one.record.say(format!(
        "{} accepted ordinary jobs have nothing at work for 3 s, {:?} after the end of the traffic; \
         at most {:.0} % of the service was in use",
        standing.len(),
        FINISH,
        most_used * 100.0
    ));
    let is_broken = !standing.is_empty() && most_used < 0.5;
    for id in standing.iter().take(3) {
        let entry = &one.entries[0];
        let answer = call(entry.front, "GET", HOST, &format!("{PREFIX}{id}"), DEADLINE_MS, "");
        one.record.say(format!("GET {id} at {}: {answer:?}", entry.name));
    }
    one.say_ends();
    one.end();
    Some(!is_broken)
}
