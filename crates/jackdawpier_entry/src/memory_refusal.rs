//! Refuses jobs for which the fleet's owner has no memory.
//!
//! A refused job never runs, also if another entry is still writing it: the refusing entry leaves a tombstone, at which
//! that write fails. The job replaces the tombstone when its caller submits it again. See `docs/design/cancellation.md`.

use hyper::{StatusCode, header::RETRY_AFTER};
use jackdawpier_fleet::{job_size, spec::Submission};
use jackdawpier_kernel::{
    Now,
    ids::{AccountName, JobId},
};
use serde_json::json;

use crate::{
    callers::{CallerApi, RETRY_DELAY},
    clock,
    http_server::Reply,
    keys,
    ports::{CallResult, Platform},
    tombstones::{StoredTombstone, TombstoneOutcome},
};

/// When a caller may submit a refused job again, in seconds. Memory becomes free as jobs end.
const RETRY_AFTER_S: u16 = 4;

/// What is known of a job that isn't passed to the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Refusal {
    /// The store refuses earlier writes of the job.
    Barred,
    /// The store holds the job, or has a record of it.
    Exists,
    /// An earlier write of the job may store it.
    Unknown,
}

impl<P: Platform> CallerApi<P> {
    /// Returns the reply to a job for which the owner has no memory; `None` if it has, or if the store holds the job.
    pub(crate) async fn refuse_without_memory(
        &self,
        id: &JobId,
        submission: &Submission,
        deadline: Now,
    ) -> Option<Reply> {
        let job_bytes = job_size::open_job_bytes(&submission.spec);
        // A job that this entry may have stored has its room.
        if self.intake.may_be_stored(id) || self.job_room.admit(&self.platform, job_bytes).await {
            return None;
        }
        let refusal = self.bar(id, submission.account.as_ref(), deadline).await;
        let fields = json!({ "job": **id, "bytes": job_bytes, "fate": format!("{refusal:?}") });
        self.events.emit("no_job_room", fields);
        match refusal {
            Refusal::Exists => None,
            Refusal::Barred => {
                let why = "the jobs that aren't done leave no memory for one of this size; nothing was done";
                let mut reply = self.error_reply(id, StatusCode::SERVICE_UNAVAILABLE, why);
                reply.headers_mut().insert(RETRY_AFTER, RETRY_AFTER_S.into());
                Some(reply)
            }
            Refusal::Unknown => {
                let why = "there is no memory for the job, and it isn't known whether it is stored";
                Some(self.error_reply(id, StatusCode::GATEWAY_TIMEOUT, why))
            }
        }
    }

    /// Keeps earlier writes of a job from being stored.
    async fn bar(&self, id: &JobId, account: Option<&AccountName>, deadline: Now) -> Refusal {
        loop {
            match self.bar_once(id, account).await {
                Ok(Some(refusal)) => return refusal,
                Ok(None) | Err(_) if clock::now() + RETRY_DELAY < deadline => {
                    tokio::time::sleep(RETRY_DELAY).await;
                }
                Ok(None) | Err(_) => return Refusal::Unknown,
            }
        }
    }

    /// Makes one attempt; `None` if the store changes meanwhile.
    async fn bar_once(
        &self,
        id: &JobId,
        account: Option<&AccountName>,
    ) -> CallResult<Option<Refusal>> {
        let written = self.tombstones.write_refusal(&self.platform, id).await?;
        if written == TombstoneOutcome::Written {
            return Ok(Some(Refusal::Barred));
        }
        if self.platform.get(&keys::submission(id)).await?.is_some() {
            return Ok(Some(Refusal::Exists));
        }
        let Some(record) = self.platform.get(&keys::record(id)).await? else {
            let is_over_budget = written == TombstoneOutcome::OverBudget;
            return Ok(is_over_budget.then_some(Refusal::Unknown));
        };
        let is_refusal = StoredTombstone::read(&record).is_some_and(|stored| {
            !stored.tombstone.is_submitted && !stored.tombstone.is_cancelled_by(account)
        });
        Ok(Some(if is_refusal { Refusal::Barred } else { Refusal::Exists }))
    }
}
