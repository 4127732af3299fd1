//! Type aliases for the ids that several crates use.

use std::sync::Arc;

/// Name of an entry instance from its settings, unique among the live entries.
pub type EntryId = Arc<str>;
/// Name of a class of work, as declared by operators.
pub type ClassName = Arc<str>;
/// Name of a customer (tenant) of a class.
pub type CustomerName = Arc<str>;
/// Name of a client account, from the users' configuration.
pub type AccountName = Arc<str>;
/// Name of a service, the unit to which backend servers belong.
pub type ServiceName = Arc<str>;
/// Id of an executor, from the platform's instance list.
pub type ExecutorId = Arc<str>;
/// Id of a worker, from the platform's instance list.
pub type WorkerId = Arc<str>;
/// Name of an availability zone.
pub type ZoneName = Arc<str>;
/// Name of a rack.
pub type RackName = Arc<str>;
/// Name of a pool of instances.
pub type PoolName = Arc<str>;
/// Id of a durable job.
pub type JobId = Arc<str>;
/// Idempotency key of a request, chosen by its caller.
pub type RequestKey = Arc<str>;
/// Id of a request, unique within one entry instance.
pub type Ticket = u64;
/// Number of ownership changes of a shard; a later owner has a higher epoch.
pub type Epoch = u64;
/// Revision of a record in the platform's store.
pub type Revision = u64;
