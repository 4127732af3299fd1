//! Room for open jobs in the memory of the fleet's owner.
//!
//! The owner publishes how much room is left once it is scarce, and each entry refuses jobs that take too much of it. A
//! job may take a part of what is left, so that small jobs find room beside a backlog of large ones. See
//! `docs/design/job-memory.md`.

use serde::{Deserialize, Serialize};

use crate::{
    job_size::open_job_bytes,
    spec::{JobSpec, Submission},
};

/// Divisor of the free room that gives the part that one job may take.
const JOB_SHARE_DIVISOR: usize = 4;
/// Divisor of the whole room: with less than this part free, the room is scarce.
const SCARCE_DIVISOR: usize = 2;

/// The free room, as the owner publishes it while it is scarce.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobRoomNote {
    /// Free room in bytes.
    pub free_bytes: usize,
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

    /// Returns whether little room is free, so that it is published. While it isn't, at least
    /// [`least_unpublished_bytes`] are free.
    pub fn is_scarce(&self) -> bool {
        self.free_bytes() < least_unpublished_bytes(self.total_bytes)
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

/// Returns the room that is free at least if the owner publishes none.
pub fn least_unpublished_bytes(total_bytes: usize) -> usize {
    total_bytes / SCARCE_DIVISOR
}

/// Returns whether a job of this size may be accepted while this much room is free.
pub fn admits(free_bytes: usize, job_bytes: usize) -> bool {
    job_bytes <= free_bytes / JOB_SHARE_DIVISOR
}

fn is_due(spec: &JobSpec, wall_ms: u64) -> bool {
    spec.schedule.is_none_or(|schedule| schedule.first_ms <= wall_ms)
}
