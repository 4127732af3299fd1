//! Encodes the records of jobs so that the store takes them.
//!
//! A store refuses a value that is too large, however often it is written, and nothing of its job would start any more.

use jackdawpier_fleet::record::{JobRecord, TaskRecord};

/// What is left out of the records of tasks, in this order, until a record is small enough. A later owner then attributes
/// crashes anew, and tasks begin from their start. What keeps tasks from running twice always stays.
const REDUCTIONS: [fn(&mut TaskRecord); 3] = [keep_last_crash, drop_crashes, drop_checkpoint];

/// Returns a record as JSON of at most `max_bytes`, with as much of it as fits.
pub fn encode_within(record: &JobRecord, max_bytes: usize) -> Vec<u8> {
    let mut value = encode(record);
    if value.len() <= max_bytes {
        return value;
    }
    let mut reduced = record.clone();
    for reduce in REDUCTIONS {
        reduced.tasks.iter_mut().for_each(reduce);
        value = encode(&reduced);
        if value.len() <= max_bytes {
            break;
        }
    }
    value
}

fn encode(record: &JobRecord) -> Vec<u8> {
    serde_json::to_vec(record).expect("a record can be written as JSON")
}

fn keep_last_crash(task: &mut TaskRecord) {
    let excess = task.crashes.len().saturating_sub(1);
    task.crashes.drain(..excess);
}

fn drop_crashes(task: &mut TaskRecord) {
    task.crashes.clear();
    task.refused_runs.clear();
}

fn drop_checkpoint(task: &mut TaskRecord) {
    task.checkpoint = "".into();
}
