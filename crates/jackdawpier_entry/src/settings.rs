//! What a process has to know at its start.

use std::{net::SocketAddr, time::Duration};

/// The settings of an entry.
#[derive(Debug, Clone)]
pub struct EntrySettings {
    /// Name of the entry, unique among live ones.
    pub entry: String,
    /// Share of a core that the process may use.
    pub cpu_share: f64,
    /// Bandwidth of its link, in megabits a second.
    pub link_mbps: f64,
    /// Where callers connect.
    pub callers: SocketAddr,
    /// Where the balancer asks whether the entry takes connections.
    pub ready: SocketAddr,
    /// Where metrics are served, if anywhere.
    pub metrics: Option<SocketAddr>,
    /// Time from the request to stop until the process is killed.
    pub shutdown_grace: Duration,
    /// Longest lease that executors accept for what they run.
    pub max_lease: Duration,
    /// An executor needs at most this long to stop a task.
    pub stop_timeout: Duration,
    /// How long a machine is away for maintenance.
    pub maintenance_duration: Duration,
    /// A task away from its data takes this many times as long.
    pub remote_factor: f64,
    /// Holders of machine orders must not take turns within this time.
    pub order_lease: Duration,
    /// Shortest time to live of a lease that the store grants.
    pub min_lease_ttl: Duration,
    /// A key that was taken away serves nobody this long after, whatever the entry hears of it; none
    /// where that is no promise.
    pub revocation_deadline: Option<Duration>,
    /// How long the state of a job that is over has to be known.
    pub job_retention: Duration,
}
