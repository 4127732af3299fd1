//! Graceful shutdown: waits for requests in flight, and hands shards over.

use std::{
    sync::{Arc, atomic::Ordering},
    time::Duration,
};

use signal_hook::consts::{SIGINT, SIGTERM};
use tokio::{sync::watch, task::JoinHandle};

use crate::entry::Entry;

const POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Maximum wait for shards to be settled and handed over.
const HAND_OVER_TIMEOUT: Duration = Duration::from_secs(3);

/// Waits for a termination signal, then shuts down.
pub(crate) async fn wait_and_stop(
    entry: &Arc<Entry>,
    stop_callers: &watch::Sender<bool>,
    server: JoinHandle<()>,
) {
    wait_for_signal().await;
    log::info!(event = "stop_started"; "shutting down");
    entry.is_stopping.store(true, Ordering::Relaxed);
    {
        let mut coordination = entry.coordination();
        coordination.membership.update_own_member(|member| member.is_stopping = true);
        coordination.ownership.stop();
    }
    tokio::time::sleep(entry.settings.timing.stop_notice).await;
    wait_until(HAND_OVER_TIMEOUT, || entry.coordination().ownership.is_empty()).await;
    let _ = stop_callers.send(true);
    let drain_limit = entry.settings.timing.drain_limit;
    if tokio::time::timeout(drain_limit, server).await.is_err() {
        log::error!(event = "stop_cut_off"; "the drain limit passed while requests were in flight");
    }
    wait_until(drain_limit, || is_idle(entry)).await;
    let request = entry.coordination().membership.revoke();
    if let Some(request) = request {
        let _ = entry.call_store(request).await;
    }
    entry.endpoint.close().await;
    entry.traces.flush();
    log::info!(event = "stop_finished"; "shutdown finished");
}

/// Returns whether no request of callers or peers is in flight.
fn is_idle(entry: &Entry) -> bool {
    let in_flight = entry.requests_in_flight.load(Ordering::Relaxed);
    in_flight == 0 && entry.services().iter().all(|service| service.figures().pending == 0)
}

async fn wait_until(limit: Duration, is_met: impl Fn() -> bool) {
    let poll = async {
        while !is_met() {
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    };
    let _ = tokio::time::timeout(limit, poll).await;
}

async fn wait_for_signal() {
    let (sender, receiver) = tokio::sync::oneshot::channel();
    let mut signals = signal_hook::iterator::Signals::new([SIGTERM, SIGINT])
        .expect("these signals can be handled");
    std::thread::spawn(move || {
        if signals.forever().next().is_some() {
            let _ = sender.send(());
        }
    });
    let _ = receiver.await;
}
