//! The keys of the store that the entries write.

/// The entry that owns the fleet; its revision is the fence of all orders.
pub const OWNER: &str = "owner";
/// Prefix of what the owner watches: accepted jobs and cancellations.
pub const INTAKE: &str = "jobs/";
/// Prefix of accepted jobs.
pub const SUBMISSIONS: &str = "jobs/in/";
/// Prefix of cancellations.
pub const CANCELLATIONS: &str = "jobs/cancel/";
/// Prefix of the progress of jobs, written by the owner alone.
pub const RECORDS: &str = "records/";
/// Jobs of each queue that haven't begun, written by the owner, or without one by the entry that counts them.
pub const PENDING: &str = "pending";
/// Which operators' document stood when an entry last looked, for all entries.
pub const PROOF: &str = "proof";
/// Prefix of machines that were maintained for a wave, written by the owner alone.
pub const WAVES: &str = "waves/";

/// Machines that the owner ordered lately, written by the owner alone.
pub const MACHINE_ORDERS: &str = "machine-orders";

/// Key of an accepted job.
pub fn submission(job: &str) -> String {
    format!("{SUBMISSIONS}{job}")
}

/// Key of the cancellation of a job.
pub fn cancellation(job: &str) -> String {
    format!("{CANCELLATIONS}{job}")
}

/// Key of the progress of a job.
pub fn record(job: &str) -> String {
    format!("{RECORDS}{job}")
}

/// Key of the machines that were maintained for a wave.
pub fn wave(number: u64) -> String {
    format!("{WAVES}{number}")
}
