//! Some large jobs come at once.

use std::{path::Path, thread, time::Duration};

use crate::{installation::Installation, world::StepWork};

const JOBS: usize = 16;
const ITEMS: usize = 8_000;

pub fn run(folder: &Path, logs: &Path, has_trouble: bool) -> Option<bool> {
    let one = Installation::start(folder, logs, 12, 64_000)?;
    let mut large = Vec::new();
    let jobs = if has_trouble { JOBS } else { 1 };
    for number in 0..jobs {
        let id = format!("{:016x}", 0x5c0e_7a21_0000_0000_u64 + number as u64);
        one.ledger.add_job(&id, vec![StepWork { cpu: 5, duration_ms: 30_000 }]);
        let body = format!(
            "{{\"taskSpec\":\"large\",\"steps\":[{{\"count\":{ITEMS},\"cpu\":5,\"memMb\":1,\"estDurationMs\":30000}}]}}"
        );
        large.push(one.submit(number, &id, &body));
    }
    let accepted = large.iter().filter(|job| job.is_accepted).count();
    one.record.say(format!("{accepted} jobs of {ITEMS} work items each accepted"));
    let ordinary = one.ordinary_traffic(Duration::from_secs(60), 0);
    let accepted = ordinary.iter().filter(|job| job.is_accepted).count();
    thread::sleep(Duration::from_secs(2));
    let ran = ordinary.iter().filter(|job| !one.ledger.runs_of(&job.id).is_empty()).count();
    one.record.say(format!(
        "{} ordinary jobs handed in meanwhile, {accepted} accepted, {ran} have begun; {} runs in all",
        ordinary.len(),
        one.ledger.run_count()
    ));
    let twice = one.ledger.twice();
    one.record.say(format!("runs that break TWICE: {} {:?}", twice.len(), twice.first()));
    one.say_ends();
    let daemons = one.daemons_with_three_ends();
    one.record.say(format!("{daemons} daemons of 3 have ended by themselves three times or more"));
    one.end();
    Some(daemons < 2)
}
