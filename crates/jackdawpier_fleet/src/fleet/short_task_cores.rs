//! Cores of each service that short tasks may use: those of its usable executors less their
//! long-running tasks.
//!
//! Shares and limits refer to them. They change slowly compared with the rate of rounds, so they
//! are measured at most every [`MEASURE_INTERVAL`].

use std::{collections::BTreeMap, time::Duration};

use jackdawpier_kernel::{Now, ids::ServiceName};

use super::Fleet;

/// Machines move within 1.5 s and long-running tasks start within about as long, so a tenth of a
/// second loses nothing, while measuring in each round would cost as much as a round.
const MEASURE_INTERVAL: Duration = Duration::from_millis(100);

/// The last measurement.
#[derive(Debug, Default)]
pub(super) struct ShortTaskCores {
    measured_at: Option<Now>,
    by_service_millicores: BTreeMap<ServiceName, u64>,
}

impl ShortTaskCores {
    /// Returns the cores of a service, in thousandths.
    pub(super) fn of_service_millicores(&self, service: &ServiceName) -> u64 {
        self.by_service_millicores.get(service).copied().unwrap_or(0)
    }

    /// Returns the cores of all services, in thousandths.
    pub(super) fn total_millicores(&self) -> u64 {
        self.by_service_millicores.values().sum()
    }
}

impl Fleet {
    /// Measures the cores again if the last measurement is old enough; returns whether it was.
    pub(super) fn measure_short_task_cores(&mut self, now: Now) -> bool {
        let measured_at = self.short_task_cores.measured_at;
        if measured_at.is_some_and(|at| now < at + MEASURE_INTERVAL) {
            return false;
        }
        let mut by_service_millicores: BTreeMap<ServiceName, u64> = BTreeMap::new();
        for executor in self.executors.unordered_values().filter(|executor| executor.is_usable()) {
            let Some(service) = executor.service() else { continue };
            let room = self.room_beside_long_running(executor);
            *by_service_millicores.entry(service).or_default() += room.cpu_millicores;
        }
        self.short_task_cores = ShortTaskCores { measured_at: Some(now), by_service_millicores };
        true
    }
}
