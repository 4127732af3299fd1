//! Polls the platform's instance list. The list lags, so other evidence may be more recent.

use std::{
    sync::{Arc, atomic::Ordering},
    time::Duration,
};

use jackdawpier_client::ClientLimits;
use jackdawpier_kernel::instance::{INSTANCES_PATH, InstanceList};

use crate::entry::Entry;

/// Timeouts of the platform's answers. There is none for the whole transfer, as the length of the
/// list depends on the fleet.
const CLIENT_LIMITS: ClientLimits = ClientLimits {
    connect_timeout: Duration::from_millis(500),
    io_timeout: Duration::from_secs(1),
    max_idle_connections: 1,
};
const MAX_LIST_BYTES: u64 = 64 << 20;

/// Starts polling on a separate thread.
pub(crate) fn spawn(entry: &Arc<Entry>) {
    let entry = Arc::clone(entry);
    let runtime = tokio::runtime::Handle::current();
    std::thread::spawn(move || {
        let _context = runtime.enter();
        let agent = jackdawpier_client::agent(CLIENT_LIMITS);
        let url = format!("{}{INSTANCES_PATH}", entry.settings.instance_list_url);
        loop {
            match fetch_list(&agent, &url) {
                Ok(list) => apply_list(&entry, list),
                Err(error) => log::warn!(event = "instance_list_failed"; "{error}"),
            }
            std::thread::sleep(entry.settings.timing.instance_list_interval);
        }
    });
}

fn fetch_list(agent: &ureq::Agent, url: &str) -> Result<InstanceList, String> {
    let mut response = agent.get(url).call().map_err(|error| error.to_string())?;
    if !response.status().is_success() {
        return Err(format!("status {}", response.status()));
    }
    let body = response
        .body_mut()
        .with_config()
        .limit(MAX_LIST_BYTES)
        .read_to_vec()
        .map_err(|error| error.to_string())?;
    serde_json::from_slice(&body).map_err(|error| error.to_string())
}

fn apply_list(entry: &Arc<Entry>, list: InstanceList) {
    if *entry.instances() == list.instances {
        entry.is_instance_list_loaded.store(true, Ordering::Relaxed);
        return;
    }
    entry.set_instances(list.instances);
    for service in entry.services() {
        service.refresh();
    }
    // Set after the refresh: from now on every service knows its executors.
    entry.is_instance_list_loaded.store(true, Ordering::Relaxed);
}
