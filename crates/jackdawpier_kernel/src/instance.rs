//! The platform's instance list, as its published protocol gives it.

use serde::{Deserialize, Serialize};

use crate::ids::{PoolName, RackName, ServiceName, ZoneName};

/// What an instance does.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum InstanceRole {
    /// Answers requests over HTTP, in slots.
    Executor,
    /// Runs tasks under leases.
    Worker,
}

/// Whether an instance takes new work.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum InstanceState {
    /// It does.
    Live,
    /// It finishes what it has.
    Leaving,
}

/// One instance of the list.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Instance {
    /// Id, unique in the fleet.
    pub id: std::sync::Arc<str>,
    /// What it does.
    pub role: InstanceRole,
    /// Service that it serves.
    pub service: ServiceName,
    /// Pool that it stands in.
    pub pool: PoolName,
    /// Address as IP:PORT.
    pub address: String,
    /// Availability zone.
    pub zone: ZoneName,
    /// Rack.
    pub rack: RackName,
    /// Whether it takes new work.
    pub state: InstanceState,
    /// Order of the last maintenance or pool change that the platform has carried out.
    #[serde(default)]
    pub last_order: String,
    /// Requests that an executor runs at once.
    #[serde(default)]
    pub slots: u32,
    /// Connections that an executor takes.
    #[serde(default)]
    pub connections: u32,
    /// Processor cores of a worker.
    #[serde(default)]
    pub cores: u32,
    /// Memory of a worker in gigabytes.
    #[serde(default)]
    pub memory_gb: u32,
    /// Accelerators of a worker.
    #[serde(default)]
    pub accelerators: u32,
}

/// The whole list.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct InstanceList {
    /// The instances, in no particular order.
    pub instances: Vec<Instance>,
}

/// Pool of the instances that no class uses.
pub const FREE_POOL: &str = "free";

/// What the platform does with an instance: `POST /v1/orders`. The id makes it idempotent: an
/// order that was carried out, or is under way, is not carried out again.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Order {
    /// Identity of the order.
    pub id: String,
    /// The instance.
    pub instance: std::sync::Arc<str>,
    /// What to do.
    pub action: OrderAction,
}

/// What can be ordered.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum OrderAction {
    /// Drain, maintain, reboot and warm up.
    Maintain,
    /// Drain, change to this pool and warm up.
    MoveTo(PoolName),
}

/// Path of the orders at the platform.
pub const ORDERS_PATH: &str = "/v1/orders";

/// Path of the list at the platform.
pub const INSTANCES_PATH: &str = "/v1/instances";
