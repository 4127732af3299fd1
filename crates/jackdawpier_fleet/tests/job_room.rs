//! Which jobs find room beside others.

mod world;

use jackdawpier_fleet::{
    job_room::{JobRoom, JobRoomNote},
    job_size::open_job_bytes,
    spec::{JobSpec, MAX_TASKS_PER_JOB, Schedule},
};
use world::{EPOCH_MS, job, step};

const MB: usize = 1024 * 1024;
/// Room of an owner on the smallest machine.
const TOTAL_BYTES: usize = 30 * MB;

fn repeated_job() -> JobSpec {
    let first_ms = EPOCH_MS + 24 * 3600 * 1000;
    let schedule = Schedule { first_ms, interval_ms: 60_000, repeats: 8_000 };
    JobSpec { schedule: Some(schedule), ..job(vec![step(1, 1, 1_000)]) }
}

/// Accepts jobs until one is refused, and returns their number.
fn fill(room: &mut JobRoom, spec: &JobSpec) -> usize {
    let job_bytes = open_job_bytes(spec);
    let unpublished = JobRoomNote::unpublished(room.total_bytes);
    let mut accepted = 0;
    while room.note().unwrap_or(unpublished).admits(0, job_bytes) {
        room.used_bytes += job_bytes;
        accepted += 1;
    }
    accepted
}

/// Guards against a backlog of large jobs, which may last for days, that leaves ordinary ones no room.
#[test]
fn small_beside_large() {
    for large in [repeated_job(), job(vec![step(8_000, 1, 1_000)])] {
        let mut room = JobRoom { total_bytes: TOTAL_BYTES, used_bytes: 0 };
        assert!(fill(&mut room, &large) >= 50, "large jobs find room as well");
        let small = job(vec![step(8, 1, 1_000), step(8, 1, 1_000)]);
        let accepted = fill(&mut room, &small);
        assert!(accepted >= 5_000, "{accepted} ordinary jobs");
        assert!(room.used_bytes <= TOTAL_BYTES);
    }
}

/// Guards against the refusal of the largest jobs in calm.
#[test]
fn largest_in_calm() {
    let most_tasks = job(vec![step(MAX_TASKS_PER_JOB as u32, 1, 1_000)]);
    // With more steps its stored form exceeds a value of the store.
    let most_steps = job(vec![step(1, 1, 1_000); 3_000]);
    for spec in [most_tasks, most_steps, repeated_job()] {
        let room = JobRoom { total_bytes: TOTAL_BYTES, used_bytes: 0 };
        assert_eq!(room.note(), None);
        let bytes = open_job_bytes(&spec);
        assert!(JobRoomNote::unpublished(TOTAL_BYTES).admits(0, bytes), "{bytes} bytes");
    }
}
