//! Room for open jobs in the memory of the fleet's owner.
//!
//! The owner publishes how much room is left once it is scarce, and each entry refuses jobs that take too much of it. Half
//! of the room is for small jobs, which a backlog of large ones can't take. See `docs/design/job-memory.md`.

use serde::{Deserialize, Serialize};

use crate::{
    job_size::open_job_bytes,
    spec::{JobSpec, Submission},
};

/// Size up to which a job is small: several times an ordinary job of some steps.
const SMALL_JOB_BYTES: usize = 16 * 1024;
/// Part of the whole room that is for small jobs, in percent.
const SMALL_JOBS_PERCENT: usize = 50;
/// Divisor of the free room that gives the part that one job may take.
const JOB_SHARE_DIVISOR: usize = 4;
/// Part of the whole room in percent: with less free, the room is scarce.
const SCARCE_PERCENT: usize = 75;

/// The free room, as the owner publishes it while it is scarce.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobRoomNote {
    /// Free room in bytes.
    pub free_bytes: usize,
    /// The whole room in bytes.
    pub total_bytes: usize,
}

impl JobRoomNote {
    /// Returns what an entry may take for granted while no note is published, if the owner's machine is like its own.
    pub fn unpublished(total_bytes: usize) -> Self {
        Self { free_bytes: total_bytes / 100 * SCARCE_PERCENT, total_bytes }
    }

    /// Returns whether a job of this size may be accepted, where `unconfirmed_bytes` have been accepted since.
    pub fn admits(&self, unconfirmed_bytes: usize, job_bytes: usize) -> bool {
        let reserved_bytes = if job_bytes <= SMALL_JOB_BYTES {
            0
        } else {
            self.total_bytes / 100 * SMALL_JOBS_PERCENT
        };
        let free_bytes = self.free_bytes.saturating_sub(unconfirmed_bytes + reserved_bytes);
        job_bytes <= free_bytes / JOB_SHARE_DIVISOR
    }
}

/// Room for open jobs. A job takes [`open_job_bytes`].
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct JobRoom {
    /// The whole room.
    pub total_bytes: usize,
    /// What the open jobs take. May exceed the total: other entries accept jobs before they know of it.
    pub used_bytes: usize,
}

impl JobRoom {
    /// Returns the free room.
    pub fn free_bytes(&self) -> usize {
        self.total_bytes.saturating_sub(self.used_bytes)
    }

    /// Returns the note to publish; `None` while more is free than entries take for granted.
    pub fn note(&self) -> Option<JobRoomNote> {
        let note = JobRoomNote { free_bytes: self.free_bytes(), total_bytes: self.total_bytes };
        (note.free_bytes < JobRoomNote::unpublished(self.total_bytes).free_bytes).then_some(note)
    }

    /// Returns whether the owner takes in an accepted job that hasn't begun. One that isn't due waits in the store while
    /// there is no room; one that is due may take as much again.
    pub fn takes_in(&self, submission: &Submission, wall_ms: u64) -> bool {
        let total_bytes = if is_due(&submission.spec, wall_ms) {
            self.total_bytes.saturating_mul(2)
        } else {
            self.total_bytes
        };
        self.used_bytes.saturating_add(open_job_bytes(&submission.spec)) <= total_bytes
    }
}

fn is_due(spec: &JobSpec, wall_ms: u64) -> bool {
    spec.schedule.is_none_or(|schedule| schedule.first_ms <= wall_ms)
}
