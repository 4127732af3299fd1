//! Keeps the view of members, owners and documents in sync with the store.

use std::{sync::Arc, time::Duration};

use jackdawpier_coord::{keys, page_size::PageSize};
use jackdawpier_store::{Change, Record, Request, Response, StoreError};

use crate::{
    entry::{Coordination, Entry},
    heartbeats::refresh_services,
};

/// Maximum wait of one watch call. The store counts a call as one, however long it waits.
const WATCH_WAIT: Duration = Duration::from_secs(5);
const RETRY_INTERVAL: Duration = Duration::from_millis(250);
/// Maximum number of records per page.
const PAGE_RECORDS: usize = 256;

/// Starts the sync loop.
pub(crate) fn spawn(entry: &Arc<Entry>) {
    let entry = Arc::clone(entry);
    tokio::spawn(async move {
        loop {
            if let Err(error) = sync_until_error(&entry).await {
                log::warn!(event = "store_watch_failed"; "{error}");
            }
            tokio::time::sleep(RETRY_INTERVAL).await;
        }
    });
}

/// Reads all records, then applies changes until a call fails or the store has compacted the
/// revision to continue from.
async fn sync_until_error(entry: &Arc<Entry>) -> Result<(), StoreError> {
    let (records, mut revision) = read_snapshot(entry).await?;
    apply_snapshot(entry, &records, revision);
    loop {
        let request = Request::Watch {
            prefix: keys::COORDINATION.to_owned(),
            after_revision: revision,
            wait_ms: WATCH_WAIT.as_millis() as u64,
        };
        match entry.call_store(request).await? {
            Response::Changes { changes, store_revision } => {
                apply_changes(entry, &changes);
                revision = store_revision;
            }
            _ => return Ok(()),
        }
    }
}

async fn read_snapshot(entry: &Arc<Entry>) -> Result<(Vec<Record>, u64), StoreError> {
    let mut all: Vec<Record> = Vec::new();
    let mut first_revision = None;
    let mut page_size = PageSize::new(PAGE_RECORDS);
    loop {
        let request = Request::Range {
            prefix: keys::COORDINATION.to_owned(),
            after_key: all.last().map(|record| record.key.clone()).unwrap_or_default(),
            limit: page_size.records(),
        };
        let response = match entry.call_store(request).await {
            Err(error @ StoreError::Ambiguous { .. }) if page_size.on_page_lost() => {
                log::warn!(event = "store_page_lost"; "{error}");
                tokio::time::sleep(RETRY_INTERVAL).await;
                continue;
            }
            result => result?,
        };
        page_size.on_page_received();
        let Response::Records { records, more, store_revision } = response else {
            return Err(StoreError::unavailable("an answer of another kind"));
        };
        // The watch starts at the first page's revision, so it repeats later changes.
        let revision = *first_revision.get_or_insert(store_revision);
        all.extend(records);
        if !more {
            return Ok((all, revision));
        }
    }
}

fn apply_snapshot(entry: &Arc<Entry>, records: &[Record], revision: u64) {
    let repairs = {
        let now = entry.now();
        let mut coordination = entry.coordination();
        coordination.view.reset();
        coordination.view.store_revision = revision;
        for record in records {
            coordination.view.apply_record(record);
            if record.key.starts_with(keys::CONFIGURATION) {
                coordination.configuration.adopt_record_if_newer(record);
            }
        }
        coordination.is_view_loaded = true;
        let Coordination { view, configuration, .. } = &mut *coordination;
        configuration.on_store_answer(now, view);
        records
            .iter()
            .filter(|record| record.key.starts_with(keys::CONFIGURATION))
            .filter_map(|record| coordination.configuration.rollback_repair(record))
            .collect::<Vec<_>>()
    };
    refresh_services(entry);
    for repair in repairs {
        log::warn!(event = "store_behind"; "repairing the store: it has an older document than the one in force");
        let entry = Arc::clone(entry);
        tokio::spawn(async move { entry.call_store(repair).await });
    }
}

fn apply_changes(entry: &Arc<Entry>, changes: &[Change]) {
    let is_changed = {
        let now = entry.now();
        let mut coordination = entry.coordination();
        let mut is_changed = false;
        for change in changes {
            coordination.view.apply_change(change);
            if let Change::Put(record) = change
                && record.key.starts_with(keys::CONFIGURATION)
            {
                is_changed |= coordination.configuration.adopt_record_if_newer(record);
            }
        }
        let Coordination { view, configuration, .. } = &mut *coordination;
        configuration.on_store_answer(now, view);
        is_changed
    };
    if is_changed {
        refresh_services(entry);
    }
}
