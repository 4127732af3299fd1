//! How the owner of the fleet divides the memory that callers leave.
//!
//! The rest is for executors and their connections, writes in flight, and the process itself. `docs/CAPACITY.md` has the sum.

/// Divisor of the memory that gives the part for tasks that are placed.
const ACTIVE_TASKS_DIVISOR: usize = 3;
/// Divisor of the memory that gives the part for open jobs.
const OPEN_JOBS_DIVISOR: usize = 4;
/// Memory of a task that is placed, with its entries in the lists of its job and of its executor, and its order.
const ACTIVE_TASK_BYTES: usize = 640;

/// What the owner may hold.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct OwnerMemory {
    /// Maximum number of tasks that are placed, or were and aren't done.
    pub max_active_tasks: usize,
    /// Maximum sum of [`jackdawpier_fleet::job_size::open_job_bytes`] over the open jobs.
    pub open_job_bytes: usize,
}

impl OwnerMemory {
    /// Divides `total_bytes`.
    pub fn divide(total_bytes: usize) -> Self {
        Self {
            max_active_tasks: total_bytes / ACTIVE_TASKS_DIVISOR / ACTIVE_TASK_BYTES,
            open_job_bytes: total_bytes / OPEN_JOBS_DIVISOR,
        }
    }
}
