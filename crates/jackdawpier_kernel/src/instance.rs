//! Types of the platform's published protocol for the instance list and orders.

use serde::{Deserialize, Serialize};

use crate::ids::{PoolName, RackName, ServiceName, ZoneName};

/// Role of an instance.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum InstanceRole {
    /// Answers HTTP requests, a limited number at once.
    Executor,
    /// Runs tasks under leases.
    Worker,
}

/// Whether an instance takes new work.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum InstanceState {
    /// Accepts new work.
    Live,
    /// Finishes its work and accepts no more.
    Leaving,
}

/// One instance of the list.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Instance {
    /// Id, unique in the fleet.
    pub id: std::sync::Arc<str>,
    /// Role of the instance.
    pub role: InstanceRole,
    /// Service to which it belongs.
    pub service: ServiceName,
    /// Pool to which it belongs.
    pub pool: PoolName,
    /// Address as IP:PORT.
    pub address: String,
    /// Availability zone.
    pub zone: ZoneName,
    /// Rack.
    pub rack: RackName,
    /// Whether it takes new work.
    pub state: InstanceState,
    /// Id of the last order that the platform has carried out on the instance.
    #[serde(default)]
    pub last_order: String,
    /// Maximum number of requests that an executor runs at once.
    #[serde(default)]
    pub slots: u32,
    /// Maximum number of connections that an executor accepts.
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

/// The whole instance list.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct InstanceList {
    /// The instances, in no particular order.
    pub instances: Vec<Instance>,
}

/// Pool of the instances that no class uses.
pub const FREE_POOL: &str = "free";

/// Order to the platform about an instance: `POST /v1/orders`. The id makes it idempotent: an order
/// that has been carried out or is in progress isn't carried out again.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Order {
    /// Id of the order.
    pub id: String,
    /// The instance.
    pub instance: std::sync::Arc<str>,
    /// Action to carry out.
    pub action: OrderAction,
}

/// Action of an [`Order`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum OrderAction {
    /// Drain, maintain, reboot and warm up.
    Maintain,
    /// Drain, change to this pool and warm up.
    MoveTo(PoolName),
}

/// Path of the orders in the platform's API.
pub const ORDERS_PATH: &str = "/v1/orders";

/// Path of the instance list in the platform's API.
pub const INSTANCES_PATH: &str = "/v1/instances";
