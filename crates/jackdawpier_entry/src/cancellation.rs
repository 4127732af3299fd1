//! Cancels jobs at the request of their callers.
//!
//! A cancellation is acknowledged once it is durable, whether the store holds the job or not. See
//! `docs/design/cancellation.md`.

use hyper::StatusCode;
use jackdawpier_fleet::{record::JobRecord, spec::Submission};
use jackdawpier_kernel::{
    Now,
    ids::{AccountName, JobId},
};
use serde_json::json;

use crate::{
    callers::{CallerApi, RETRY_DELAY, is_foreign, reply},
    clock,
    http_server::Reply,
    keys,
    ports::{CallError, Platform, Transaction, TransactionOutcome},
    tombstones::{StoredTombstone, TombstoneOutcome},
};

/// The outcome of a cancellation.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Cancellation {
    /// The job is durably cancelled or has ended.
    Durable,
    /// There is no such job.
    Unknown,
    /// The job belongs to another client account.
    Foreign,
    /// There is no such job, but another entry may still be writing it. The job isn't cancelled, since too many unknown
    /// ones are.
    OverBudget,
}

impl<P: Platform> CallerApi<P> {
    /// Writes the cancellation of a job and acknowledges it once it is durable; the owner carries it out.
    pub(crate) async fn cancel(
        &self,
        id: &JobId,
        account: Option<&AccountName>,
        deadline: Now,
    ) -> Reply {
        loop {
            match self.cancel_once(id, account).await {
                Ok(outcome) => {
                    let fields = json!({ "job": **id, "fate": format!("{outcome:?}") });
                    self.events.emit("cancel_in", fields);
                    return match outcome {
                        Cancellation::Durable => reply(StatusCode::OK, Vec::new()),
                        Cancellation::Unknown => {
                            self.error_reply(id, StatusCode::GONE, "no such job")
                        }
                        Cancellation::Foreign => self.refuse_foreign(id),
                        Cancellation::OverBudget => {
                            self.refuse(id, "too many unknown jobs are being cancelled")
                        }
                    };
                }
                Err(_) if clock::now() + RETRY_DELAY < deadline => {
                    tokio::time::sleep(RETRY_DELAY).await;
                }
                Err(_) => return self.refuse(id, "the store can't be reached"),
            }
        }
    }

    async fn cancel_once(
        &self,
        id: &JobId,
        account: Option<&AccountName>,
    ) -> Result<Cancellation, CallError> {
        let Some(item) = self.platform.get(&keys::submission(id)).await? else {
            return self.cancel_unstored(id, account).await;
        };
        let submission: Submission = self.parse(&item)?;
        if is_foreign(submission.account.as_ref(), account) {
            return Ok(Cancellation::Foreign);
        }
        let key = keys::cancellation(id);
        let transaction = Transaction {
            expect: vec![(item.key, item.revision), (key.clone(), 0)],
            puts: vec![(key.clone(), b"{}".to_vec(), None)],
            removes: Vec::new(),
        };
        match self.platform.commit(&transaction).await? {
            TransactionOutcome::Committed(_) => Ok(Cancellation::Durable),
            TransactionOutcome::Conflict(items) if items.iter().any(|item| item.key == key) => {
                Ok(Cancellation::Durable)
            }
            TransactionOutcome::Conflict(_) => self.cancel_unstored(id, account).await,
        }
    }

    /// Handles the cancellation of a job that the store doesn't hold. If it has ended, there is nothing left to cancel.
    /// If there is no such job, another entry may still be writing it, which a tombstone prevents.
    async fn cancel_unstored(
        &self,
        id: &JobId,
        account: Option<&AccountName>,
    ) -> Result<Cancellation, CallError> {
        let Some(item) = self.platform.get(&keys::record(id)).await? else {
            return self.cancel_unknown(id, account, None).await;
        };
        let record: JobRecord = self.parse(&item)?;
        let is_own = record.account.as_ref() == account;
        Ok(match record.tombstone {
            None if is_foreign(record.account.as_ref(), account) => Cancellation::Foreign,
            None => Cancellation::Durable,
            Some(tombstone) if tombstone.is_submitted && is_own => Cancellation::Durable,
            Some(tombstone) if tombstone.is_submitted => Cancellation::Foreign,
            Some(tombstone) if tombstone.is_cancelled_by(account) => Cancellation::Unknown,
            Some(_) => return self.cancel_unknown(id, account, StoredTombstone::read(&item)).await,
        })
    }

    async fn cancel_unknown(
        &self,
        id: &JobId,
        account: Option<&AccountName>,
        previous: Option<StoredTombstone>,
    ) -> Result<Cancellation, CallError> {
        match self.tombstones.write(&self.platform, id, account, previous).await? {
            TombstoneOutcome::Written => Ok(Cancellation::Unknown),
            TombstoneOutcome::OverBudget => Ok(Cancellation::OverBudget),
            TombstoneOutcome::Exists => {
                Err(CallError::NotDone { reason: "the job has just been stored".to_owned() })
            }
        }
    }
}
