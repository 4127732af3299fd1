//! The jobs that this entry has recently passed to the store.
//!
//! Even without an answer such a job may be stored, now or later. So a caller that submits it again isn't told that it
//! never runs; see `docs/design/cancellation.md`.

use std::{
    collections::{HashMap, VecDeque},
    time::Duration,
};

use jackdawpier_kernel::{Now, ids::JobId};

/// Time for which a job that was passed to the store may be stored. Callers stop retrying sooner.
const SUBMITTED_TTL: Duration = Duration::from_secs(30);

/// The submissions of one job.
#[derive(Debug, Default)]
struct Submissions {
    /// Number of submissions that weren't refused.
    count: usize,
    latest_at: Now,
}

/// The jobs that were passed to the store within the last 30 s.
#[derive(Debug, Default)]
pub struct SubmittedJobs {
    jobs: HashMap<JobId, Submissions>,
    /// Times of the submissions, oldest first.
    times: VecDeque<(Now, JobId)>,
}

impl SubmittedJobs {
    /// Records that a job is passed to the store.
    pub fn add(&mut self, now: Now, id: &JobId) {
        self.expire(now);
        let submissions = self.jobs.entry(id.clone()).or_default();
        submissions.count += 1;
        submissions.latest_at = now;
        self.times.push_back((now, id.clone()));
    }

    /// Records that the store will never hold a job by one of its submissions.
    pub fn on_refused(&mut self, id: &JobId) {
        let Some(submissions) = self.jobs.get_mut(id) else { return };
        submissions.count -= 1;
        if submissions.count == 0 {
            self.jobs.remove(id);
        }
    }

    /// Returns whether the store may hold a job by one of its submissions.
    pub fn contains(&mut self, now: Now, id: &JobId) -> bool {
        self.expire(now);
        self.jobs.contains_key(id)
    }

    fn expire(&mut self, now: Now) {
        let is_old = |(at, _): &mut (Now, JobId)| now.saturating_sub(*at) >= SUBMITTED_TTL;
        while let Some((at, id)) = self.times.pop_front_if(is_old) {
            // A later submission of the same job still counts.
            if self.jobs.get(&id).is_some_and(|submissions| submissions.latest_at == at) {
                self.jobs.remove(&id);
            }
        }
    }
}
