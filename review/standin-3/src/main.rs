//! Stand-ins of the platform, its executors and its clients for the cases of the third review.

mod cancelled_jobs;
mod hopeless_gangs;
mod http;
mod installation;
mod large_burst;
mod state_queries;
mod store;
mod timed_jobs;
mod world;

use std::{path::PathBuf, process::exit};

/// Exits with 0 if the rule held, 1 if it was broken and 2 if the case couldn't run.
fn main() {
    let mut words = std::env::args().skip(1);
    let (Some(case), Some(folder), Some(logs)) = (words.next(), words.next(), words.next()) else {
        eprintln!("review-standin-3 CASE FOLDER TEMPORARY_FOLDER");
        exit(2);
    };
    let has_trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let (folder, logs) = (PathBuf::from(folder), PathBuf::from(logs));
    let held = match case.as_str() {
        "timed-jobs" => timed_jobs::run(&folder, &logs, has_trouble),
        "large-burst" => large_burst::run(&folder, &logs, has_trouble),
        "state-queries" => state_queries::run(&folder, &logs, has_trouble),
        "cancelled-jobs" => cancelled_jobs::run(&folder, &logs, has_trouble),
        "hopeless-gangs" => hopeless_gangs::run(&folder, &logs, has_trouble),
        _ => None,
    };
    exit(match held {
        Some(true) => 0,
        Some(false) => 1,
        None => 2,
    });
}
