//! Keys of the store that entries write.

/// The entry that owns the fleet; the key's revision is the fencing token of all orders.
pub const OWNER: &str = "owner";
/// Prefix of the keys that the owner watches: accepted jobs and cancellations.
pub const INTAKE: &str = "jobs/";
/// Prefix of accepted jobs.
pub const SUBMISSIONS: &str = "jobs/in/";
/// Prefix of cancellations.
pub const CANCELLATIONS: &str = "jobs/cancel/";
/// Prefix of the progress records of jobs, written only by the owner.
pub const RECORDS: &str = "records/";
/// Number of jobs of each queue that haven't started, written by the owner, or without an owner by the entry
/// that counts them.
pub const PENDING: &str = "pending";
/// The latest proof of freshness of the configuration, shared by all entries.
pub const PROOF: &str = "proof";
/// Which part of the jobs the entries admit to the overloaded queues, written only by the owner.
pub const LOAD: &str = "load";
/// How much room for open jobs the owner has left, written only by the owner, while it is scarce.
pub const JOB_ROOM: &str = "job-room";
/// Prefix of the machines that were maintained in each wave, written only by the owner.
pub const WAVES: &str = "waves/";

/// Machines to which the owner recently sent orders, written only by the owner.
pub const MACHINE_ORDERS: &str = "machine-orders";

/// Returns the key of an accepted job.
pub fn submission(job: &str) -> String {
    format!("{SUBMISSIONS}{job}")
}

/// Returns the key of the cancellation of a job.
pub fn cancellation(job: &str) -> String {
    format!("{CANCELLATIONS}{job}")
}

/// Returns the key of the progress record of a job.
pub fn record(job: &str) -> String {
    format!("{RECORDS}{job}")
}

/// Returns the key of the machines that were maintained in a wave.
pub fn wave(number: u64) -> String {
    format!("{WAVES}{number}")
}
