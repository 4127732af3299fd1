//! Settings of an entry that are fixed while its process runs.

use std::{net::SocketAddr, time::Duration};

use jackdawpier_kernel::caller_memory::{CallerMemory, MB};

use crate::{
    connections::DEFAULT_MAX_OPEN, http_server::MAX_BUFFER_BYTES, owner_memory::OwnerMemory,
};

/// Divisor of the machine's memory that gives what callers may make the process hold. The rest is for the owner's state.
const CALLERS_DIVISOR: usize = 4;

/// The settings of an entry.
#[derive(Debug, Clone)]
pub struct EntrySettings {
    /// Name of the entry, unique among running ones.
    pub entry: String,
    /// Share of a core that the process may use.
    pub cpu_share: f64,
    /// Bandwidth of its link, in megabits per second.
    pub link_mbps: f64,
    /// Memory of the machine, in megabytes.
    pub memory_mb: usize,
    /// Address of the port for callers.
    pub callers: SocketAddr,
    /// Address of the readiness check of the load balancer.
    pub ready: SocketAddr,
    /// Address at which metrics are served; none to serve none.
    pub metrics: Option<SocketAddr>,
    /// Time from the request to shut down until the process is killed.
    pub shutdown_grace: Duration,
    /// Maximum lease that executors accept for their tasks.
    pub max_lease: Duration,
    /// Maximum time that an executor needs to stop a task.
    pub stop_timeout: Duration,
    /// How long a machine is unavailable during maintenance.
    pub maintenance_duration: Duration,
    /// Factor by which a task takes longer away from its data.
    pub remote_factor: f64,
    /// Minimum time between machine orders of two different owners.
    pub order_lease: Duration,
    /// Minimum time to live of the leases that the store grants.
    pub min_lease_ttl: Duration,
    /// Maximum size of a value in the store.
    pub max_value_bytes: usize,
    /// Time after which a revoked key must be rejected, even if the entry hasn't received the revocation; none
    /// for no limit.
    pub revocation_deadline: Option<Duration>,
    /// How long the state of a job is kept after its end.
    pub job_retention: Duration,
}

impl EntrySettings {
    /// Returns how the memory that callers leave is divided while the entry owns the fleet.
    pub fn owner_memory(&self) -> OwnerMemory {
        let total_bytes = self.memory_mb * MB;
        OwnerMemory::divide(total_bytes - total_bytes / CALLERS_DIVISOR)
    }

    /// Returns what callers may make the process hold.
    pub fn caller_memory(&self) -> CallerMemory {
        let total_bytes = self.memory_mb * MB / CALLERS_DIVISOR;
        CallerMemory::divide(total_bytes, MAX_BUFFER_BYTES, DEFAULT_MAX_OPEN)
    }
}
