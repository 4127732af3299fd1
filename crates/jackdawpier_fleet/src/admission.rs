//! Decides whether an entry admits a job, from the load note that the owner publishes.
//!
//! The decision depends only on the note and the id of the job, so all entries admit the same jobs without
//! communicating. See `docs/design/overload.md`.

use std::{collections::BTreeMap, time::Duration};

use jackdawpier_kernel::ids::AccountName;
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

use crate::spec::QueueName;

/// Number of equal parts into which the jobs of an account are divided by the hash of their ids.
pub const PERMILLE: u32 = 1000;
/// Time after which a note has no effect. The owner replaces the note every 0.5 s during an overload.
pub const NOTE_TTL: Duration = Duration::from_secs(2);
/// Maximum difference between the wall clocks of two entries, also while a clock is being corrected.
const MAX_CLOCK_SKEW: Duration = Duration::from_secs(5);
/// Bounds of `Retry-After` in seconds. `fleet/load_report.rs` assumes that rejected jobs return within the upper one.
const RETRY_AFTER_S: std::ops::RangeInclusive<u64> = 1..=4;

/// The load of the overloaded queues, as the owner publishes it.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadNote {
    /// Wall-clock time at which the note was written, in milliseconds since 1970.
    pub at_ms: u64,
    /// The overloaded queues.
    pub queues: BTreeMap<QueueName, QueueLoad>,
}

/// The load of an overloaded queue.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct QueueLoad {
    /// Priority of the queue; 0 is the highest.
    pub priority: u32,
    /// Accounts with over-share jobs of which a part is rejected.
    pub accounts: BTreeMap<AccountName, AccountLoad>,
}

/// The part of an account's jobs that is admitted to a queue.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct AccountLoad {
    /// Admitted fraction of new jobs.
    pub admitted_permille: u32,
    /// Time in which the backlog of over-share jobs is expected to be gone.
    pub retry_after_ms: u64,
}

/// Whether a job is admitted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Admission {
    /// The job may be written to the store.
    Admit,
    /// The job is rejected.
    Reject {
        /// When the caller may submit it again, in whole seconds.
        retry_after: Duration,
    },
}

/// Decides whether a job of an account is admitted to a queue. `age` is the time since the entry first saw the
/// note, by its own clock; `now_ms` is its wall clock.
pub fn decide(
    note: Option<&LoadNote>,
    age: Duration,
    queue: &str,
    account: Option<&AccountName>,
    job_id: &str,
    now_ms: u64,
) -> Admission {
    let load = note
        .filter(|note| age <= NOTE_TTL && !is_outdated(note, now_ms))
        .and_then(|note| note.queues.get(queue))
        .and_then(|queue| queue.accounts.get(account?));
    let Some(load) = load else { return Admission::Admit };
    let position = position(job_id);
    if position < load.admitted_permille {
        return Admission::Admit;
    }
    Admission::Reject { retry_after: retry_after(*load, position) }
}

/// Returns the position of a job among the jobs of its account, below [`PERMILLE`]; jobs with lower positions are
/// admitted first. A repeated submission has the same position.
pub fn position(job_id: &str) -> u32 {
    (xxh3_64(job_id.as_bytes()) % u64::from(PERMILLE)) as u32
}

/// Whether a note was written so long ago that no skew of the clocks explains its age. An entry that starts long
/// after the last note of a stopped owner sees that note for the first time.
fn is_outdated(note: &LoadNote, now_ms: u64) -> bool {
    now_ms.abs_diff(note.at_ms) > (MAX_CLOCK_SKEW + NOTE_TTL).as_millis() as u64
}

/// Returns a time between that until the expected end of the backlog and twice that. The rejected jobs return in the
/// order in which a rising fraction admits them.
fn retry_after(load: AccountLoad, position: u32) -> Duration {
    let rejected = PERMILLE.saturating_sub(load.admitted_permille).max(1);
    let rank = position.saturating_sub(load.admitted_permille);
    let max_ms = RETRY_AFTER_S.end() * 1000;
    let base_ms = load.retry_after_ms.min(max_ms);
    let spread_ms = base_ms * u64::from(rank) / u64::from(rejected);
    let seconds = (base_ms + spread_ms).div_ceil(1000);
    Duration::from_secs(seconds.clamp(*RETRY_AFTER_S.start(), *RETRY_AFTER_S.end()))
}
