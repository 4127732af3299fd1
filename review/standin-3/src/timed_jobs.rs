//! Callers hand in jobs that repeat each minute for some days. None of their times has come.

use std::{
    path::Path,
    thread,
    time::{Duration, Instant},
};

use crate::{
    http::call,
    installation::{DEADLINE_MS, Installation, unix_ms},
    world::{HOST, PREFIX, StepWork},
};

const JOBS: usize = 130;
const REPEATS: u32 = 8_000;
const FINISH: Duration = Duration::from_secs(14);
/// Work items of the job of an ordinary caller.
const ITEMS: usize = 2;

pub fn run(folder: &Path, logs: &Path, has_trouble: bool) -> Option<bool> {
    let one = Installation::start(folder, logs, 4, 16_000)?;
    let mut ordinary = one.ordinary_traffic(Duration::from_secs(5), 0);
    let mut timed = Vec::new();
    if has_trouble {
        for number in 0..JOBS {
            let id = format!("{:016x}", 0x5c0e_7a21_0000_0000_u64 + number as u64);
            one.ledger.add_job(&id, vec![StepWork { cpu: 500, duration_ms: 300 }]);
            let first_ms = unix_ms() + 86_400_000;
            let body = format!(
                "{{\"taskSpec\":\"each minute\",\"steps\":[{{\"count\":1,\"cpu\":500,\"memMb\":64,\"estDurationMs\":300}}],\
                 \"firstRunMs\":{first_ms},\"intervalMs\":60000,\"repeatCount\":{REPEATS}}}"
            );
            timed.push(one.submit(number, &id, &body));
        }
    }
    let accepted = timed.iter().filter(|job| job.is_accepted).count();
    one.record.say(format!(
        "{accepted} jobs accepted that repeat each minute, {REPEATS} times, from tomorrow on"
    ));
    ordinary.extend(one.ordinary_traffic(Duration::from_secs(15), ordinary.len()));
    let accepted = ordinary.iter().filter(|job| job.is_accepted).count();
    one.record.say(format!(
        "{} ordinary jobs handed in, {accepted} accepted; end of the traffic",
        ordinary.len()
    ));
    thread::sleep(FINISH);
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
    // Not judged: whether the callers can undo it.
    let mut cancelled = 0;
    for (number, job) in timed.iter().filter(|job| job.is_accepted).enumerate() {
        let entry = &one.entries[number % one.entries.len()];
        let answer =
            call(entry.front, "DELETE", HOST, &format!("{PREFIX}{}", job.id), DEADLINE_MS, "");
        one.record.line(format!("DELETE {} at {}: {answer:?}", job.id, entry.name));
        cancelled += usize::from(answer.is_some_and(|(status, _)| status == 200));
    }
    if cancelled > 0 {
        thread::sleep(Duration::from_secs(12));
        standing.retain(|id| one.is_standing(id, ITEMS));
        one.record.say(format!(
            "{cancelled} of the repeated jobs were cancelled with 200; 12 s later {} of the ordinary jobs still stand",
            standing.len()
        ));
    }
    one.say_ends();
    one.end();
    Some(!is_broken)
}
