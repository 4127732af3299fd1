//! A client hands in one large job after the other, and cancels each before it hands in the next.

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

const REPEATS: u32 = 8_000;
const TIME: Duration = Duration::from_secs(80);
const PAUSE: Duration = Duration::from_millis(30);

pub fn run(folder: &Path, logs: &Path, has_trouble: bool) -> Option<bool> {
    let one = Installation::start(folder, logs, 4, 16_000)?;
    // Without the trouble the jobs repeat ten times.
    let repeats = if has_trouble { REPEATS } else { 10 };
    let began_at = Instant::now();
    let (mut accepted, mut cancelled) = (0, 0);
    for number in 0.. {
        if began_at.elapsed() >= TIME {
            break;
        }
        let id = format!("{:016x}", 0x5c0e_7a21_0000_0000_u64 + number as u64);
        one.ledger.add_job(&id, vec![StepWork { cpu: 500, duration_ms: 300 }]);
        let body = format!(
            "{{\"taskSpec\":\"each minute\",\"steps\":[{{\"count\":1,\"cpu\":500,\"memMb\":64,\"estDurationMs\":300}}],\
             \"firstRunMs\":{},\"intervalMs\":60000,\"repeatCount\":{repeats}}}",
            unix_ms() + 86_400_000
        );
        accepted += usize::from(one.submit(number, &id, &body).is_accepted);
        for attempt in 0..5 {
            let entry = &one.entries[(number + attempt) % one.entries.len()];
            let answer =
                call(entry.front, "DELETE", HOST, &format!("{PREFIX}{id}"), DEADLINE_MS, "");
            one.record.line(format!("DELETE {id} at {}: {answer:?}", entry.name));
            if answer.is_some_and(|(status, _)| status == 200 || status == 410) {
                cancelled += 1;
                break;
            }
            thread::sleep(Duration::from_millis(200));
        }
        thread::sleep(PAUSE);
    }
    one.record.say(format!(
        "{accepted} jobs accepted and {cancelled} cancelled in {} s, one after the other",
        TIME.as_secs()
    ));
    one.say_ends();
    let daemons = one.daemons_with_three_ends();
    one.record.say(format!("{daemons} daemons of 3 have ended by themselves three times or more"));
    one.end();
    Some(daemons < 2)
}
