//! The room for open jobs in the memory of the fleet's owner.

mod support;

use std::time::Duration;

use jackdawpier_entry::keys;
use jackdawpier_fleet::{
    job_room::JobRoomNote,
    job_size::open_job_bytes,
    record::JobOutcome,
    spec::{Schedule, Submission},
};
use support::{
    Entry, Fake, WriteFault, outcome, put_job, run, settings, start_owner, submission, wait_until,
};

/// Longer than the minimum time between two readings of the note.
const NEXT_READING: Duration = Duration::from_millis(600);
const DAY_MS: u64 = 24 * 3600 * 1000;

/// Writes that this many of the submitted jobs would take all the free room.
fn leave_room_for(fake: &Fake, jobs: usize) {
    let total_bytes = settings("a").owner_memory().open_job_bytes;
    let note = JobRoomNote { free_bytes: open_job_bytes(&submission().spec) * jobs, total_bytes };
    let value = serde_json::to_vec(&note).expect("numbers can be written as JSON");
    fake.put(keys::JOB_ROOM, &value);
}

/// A job that repeats from tomorrow on.
fn later_job() -> Submission {
    let mut later = submission();
    let first_ms = later.accepted_ms + DAY_MS;
    later.spec.schedule = Some(Schedule { first_ms, interval_ms: 60_000, repeats: 4_000 });
    later
}

fn put(fake: &Fake, id: &str, submission: &Submission) {
    let value = serde_json::to_vec(submission).expect("a submission can be written as JSON");
    fake.put(&keys::submission(id), &value);
}

/// Returns how many such jobs take all the room of an owner.
fn jobs_in_room(submission: &Submission) -> usize {
    settings("a").owner_memory().open_job_bytes / open_job_bytes(&submission.spec)
}

/// Guards against accepting a job that the owner has no memory for, and against a refusal that lasts longer than the want
/// of room.
#[test]
fn scarce_room() {
    run(async {
        let entry = Entry::start(&Fake::default(), None).await;
        leave_room_for(&entry.fake, 3);
        assert_eq!(entry.status("POST", "/a/1", None).await, 200, "nothing tells of the room yet");
        leave_room_for(&entry.fake, 1);
        tokio::time::sleep(NEXT_READING).await;
        read_note(&entry).await;
        let answer = entry.request("POST", "/a/refused", None).await;
        assert!(answer.contains(" 503 ") && answer.contains("retry-after"), "{answer}");
        assert_eq!(entry.fake.value(&keys::submission("refused")), None);
        entry.fake.remove(keys::JOB_ROOM);
        tokio::time::sleep(NEXT_READING).await;
        assert_eq!(entry.status("POST", "/a/refused", None).await, 200);
    });
}

/// Submits jobs until the entry has read the note: it does once it has accepted jobs of some size.
async fn read_note(entry: &Entry) {
    for number in 0..20 {
        entry.status("POST", &format!("/a/many-{number}"), None).await;
    }
}

/// Guards against a job that runs though its caller was told with 503 that it never will: another entry's write of it,
/// which got no answer, is applied after the refusal. The caller may still submit it again.
#[test]
fn late_write_after_refusal() {
    run(async {
        let entry = Entry::start(&Fake::default(), None).await;
        let other = Entry::start(&entry.fake.with_own_connection(), None).await;
        leave_room_for(&entry.fake, 0);
        read_note(&entry).await;
        entry.fake.fail_next_writes(&[WriteFault::Delayed; 400]);
        assert_eq!(other.status("POST", "/a/repeated", None).await, 504);
        entry.fake.clear_write_faults();
        assert_eq!(entry.status("POST", "/a/repeated", None).await, 503);
        entry.fake.apply_delayed_writes();
        assert_eq!(entry.fake.value(&keys::submission("repeated")), None);
        assert_eq!(entry.status("GET", "/a/repeated", None).await, 410);
        entry.fake.remove(keys::JOB_ROOM);
        tokio::time::sleep(NEXT_READING).await;
        assert_eq!(entry.status("POST", "/a/repeated", None).await, 200);
        assert!(entry.fake.value(&keys::submission("repeated")).is_some());
    });
}

/// Guards against "not run" for more jobs than an entry can keep from being stored.
#[test]
fn unknown_refusals() {
    run(async {
        let entry = Entry::start(&Fake::default(), None).await;
        leave_room_for(&entry.fake, 0);
        read_note(&entry).await;
        let mut statuses = Vec::new();
        for number in 0..60 {
            statuses.push(entry.status("POST", &format!("/a/refused-{number}"), None).await);
        }
        assert_eq!(statuses[0], 503);
        assert_eq!(statuses[59], 504, "{statuses:?}");
        assert!(statuses.iter().all(|status| [503, 504].contains(status)), "{statuses:?}");
        assert_eq!(entry.status("POST", "/a/refused-0", None).await, 503, "it is still barred");
    });
}

/// Guards against the refusal of a job that another entry has stored, and that runs.
#[test]
fn stored_elsewhere() {
    run(async {
        let entry = Entry::start(&Fake::default(), None).await;
        leave_room_for(&entry.fake, 0);
        put_job(&entry.fake, "1");
        read_note(&entry).await;
        assert_eq!(entry.status("POST", "/a/other", None).await, 503);
        assert_eq!(entry.status("POST", "/a/1", None).await, 200);
    });
}

/// Guards against entries that don't learn that the owner's room is scarce, or that it no longer is.
#[test]
fn published_room() {
    run(async {
        let fake = Fake::default();
        let later = later_job();
        let jobs = jobs_in_room(&later) * 3 / 4;
        let ids: Vec<String> = (0..jobs).map(|number| format!("later-{number}")).collect();
        ids.iter().for_each(|id| put(&fake, id, &later));
        let (_handle, owning) = start_owner(&fake, "a");
        assert!(wait_until(|| fake.value(keys::JOB_ROOM).is_some()).await);
        let value = fake.value(keys::JOB_ROOM).expect("it was just there");
        let note: JobRoomNote = serde_json::from_slice(&value).expect("the note is JSON");
        let total_bytes = settings("a").owner_memory().open_job_bytes;
        assert_eq!(note.free_bytes, total_bytes - jobs * open_job_bytes(&later.spec));
        ids.iter().for_each(|id| fake.put(&keys::cancellation(id), b""));
        assert!(wait_until(|| fake.value(keys::JOB_ROOM).is_none()).await);
        owning.abort();
    });
}

/// Guards against a new owner that exceeds its memory with what earlier versions accepted, and that loses jobs over it.
#[test]
fn more_than_room_stored() {
    run(async {
        let fake = Fake::default();
        let later = later_job();
        let jobs = jobs_in_room(&later) * 2;
        let ids: Vec<String> = (0..jobs).map(|number| format!("a-later-{number:05}")).collect();
        ids.iter().for_each(|id| put(&fake, id, &later));
        put_job(&fake, "z-due");
        let (handle, owning) = start_owner(&fake, "a");
        let is_done = || outcome(&fake, "z-due") == Some(JobOutcome::Completed);
        assert!(wait_until(is_done).await, "the job that is due runs");
        let taken_in = || ids.iter().filter(|id| handle.view(id).is_some()).count();
        assert!(taken_in() <= jobs_in_room(&later), "{} jobs were taken in", taken_in());
        let last = ids.last().expect("there are jobs");
        assert!(handle.view(last).is_none(), "the last one waits in the store");
        fake.put(&keys::cancellation(last), b"");
        let is_cancelled = || outcome(&fake, last) == Some(JobOutcome::Cancelled);
        assert!(wait_until(is_cancelled).await, "a cancellation reaches it all the same");
        // The others are taken in as room comes.
        ids[..jobs / 2].iter().for_each(|id| fake.put(&keys::cancellation(id), b""));
        let rest = &ids[jobs / 2 + 1..jobs - 1];
        assert!(wait_until(|| rest.iter().all(|id| handle.view(id).is_some())).await);
        owning.abort();
    });
}
