//! Stand-ins of the platform, executors and clients, and the cases that are played with them.

mod cases;
mod executor;
mod http;
mod record;
mod store;
mod world;

use std::{path::PathBuf, process::ExitCode, thread, time::Duration};

use nix::sys::signal::{SigSet, Signal};

/// No case takes longer.
const LIMIT: Duration = Duration::from_secs(116);

/// Result of a case: 0 the rule held, 1 it was broken, 2 the case couldn't run.
fn main() -> ExitCode {
    let mut words = std::env::args().skip(1);
    let (Some(case), Some(program), Some(record)) = (words.next(), words.next(), words.next())
    else {
        eprintln!("standin_2 CASE PROGRAM RECORD");
        return ExitCode::from(2);
    };
    // A signal to this process, or the end of its time, ends the entries as well.
    let mut signals = SigSet::empty();
    [Signal::SIGTERM, Signal::SIGINT, Signal::SIGHUP].into_iter().for_each(|one| signals.add(one));
    if signals.thread_block().is_err() {
        return ExitCode::from(2);
    }
    thread::spawn(move || {
        let _ = signals.wait();
        world::give_up("stopped by a signal");
    });
    thread::spawn(|| {
        thread::sleep(LIMIT);
        world::give_up("its time is over");
    });
    let trouble = std::env::var("TROUBLE").map_or(true, |text| text != "0");
    let played =
        std::panic::catch_unwind(|| cases::play(&case, &PathBuf::from(program), &record, trouble));
    played.map_or_else(|_| world::give_up("it couldn't be played"), ExitCode::from)
}
