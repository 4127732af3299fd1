//! Many clients ask for the state of one job of many steps, which waits for its time.

use std::{
    path::Path,
    sync::{Arc, Barrier},
    thread,
    time::Duration,
};

use crate::{
    http::Channel,
    installation::{DEADLINE_MS, Installation, unix_ms},
    world::{HOST, PREFIX},
};

const JOB: &str = "5c0e7a21d94b36f8";
const STEPS: usize = 2_700;
const CLIENTS: usize = 360;
const ROUNDS: usize = 8;

pub fn run(folder: &Path, logs: &Path, has_trouble: bool) -> Option<bool> {
    let one = Installation::start(folder, logs, 4, 16_000)?;
    let item = "\"count\":1,\"cpu\":500,\"memMb\":256,\"estDurationMs\":300";
    let steps: Vec<String> = (0..STEPS)
        .map(|number| match number {
            0 => format!("{{{item}}}"),
            _ => format!("{{{item},\"after\":[{}]}}", number - 1),
        })
        .collect();
    let body = format!(
        "{{\"taskSpec\":\"nightly\",\"steps\":[{}],\"firstRunMs\":{},\"intervalMs\":86400000,\"repeatCount\":1}}",
        steps.join(","),
        unix_ms() + 86_400_000
    );
    one.record.say(format!("a job of {STEPS} steps, {} bytes, due tomorrow", body.len()));
    if !one.submit(0, JOB, &body).is_accepted {
        one.record.say("it wasn't accepted");
        one.end();
        return None;
    }
    let clients = if has_trouble { CLIENTS } else { 8 };
    let path = format!("{PREFIX}{JOB}");
    for round in 1..=ROUNDS {
        thread::sleep(Duration::from_secs(3));
        for entry in &one.entries {
            if one.store.owner().as_ref() == Some(&entry.name) {
                continue;
            }
            let barrier = Arc::new(Barrier::new(clients));
            let asking: Vec<_> = (0..clients)
                .map(|_| {
                    let (barrier, front, path) = (barrier.clone(), entry.front, path.clone());
                    thread::spawn(move || {
                        let channel = Channel::open(front, Duration::from_millis(DEADLINE_MS));
                        barrier.wait();
                        let mut channel = channel.ok()?;
                        channel.send("GET", HOST, &path, DEADLINE_MS, "").ok()?;
                        channel.receive().ok()
                    })
                })
                .collect();
            let answers: Vec<_> = asking.into_iter().map(|it| it.join().ok().flatten()).collect();
            let served = answers.iter().flatten().filter(|(status, _)| *status == 200).count();
            let unanswered = answers.iter().filter(|answer| answer.is_none()).count();
            one.record.say(format!(
                "round {round}: {clients} clients ask {} for the job's state: {served} times 200, {unanswered} times no answer",
                entry.name
            ));
        }
    }
    one.say_ends();
    let daemons = one.daemons_with_three_ends();
    one.record.say(format!("{daemons} daemons of 3 have ended by themselves three times or more"));
    one.end();
    Some(daemons < 2)
}
