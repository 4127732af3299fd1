//! Type aliases for the ids that cross crate borders.

use std::sync::Arc;

/// Name of an entry instance, unique among live ones (from its settings).
pub type EntryId = Arc<str>;
/// Name of a class of work, as operators declare it.
pub type ClassName = Arc<str>;
/// Name of a customer (tenant) of a class.
pub type CustomerName = Arc<str>;
/// Name of a client account, from the users' configuration.
pub type AccountName = Arc<str>;
/// Name of a service, which is the unit that back ends belong to.
pub type ServiceName = Arc<str>;
/// Name of a back-end executor, from the platform's instance list.
pub type ExecutorId = Arc<str>;
/// Name of a worker, from the platform's instance list.
pub type WorkerId = Arc<str>;
/// Name of an availability zone.
pub type ZoneName = Arc<str>;
/// Name of a rack.
pub type RackName = Arc<str>;
/// Name of a pool of instances.
pub type PoolName = Arc<str>;
/// Identity of a durable job.
pub type JobId = Arc<str>;
/// Idempotency key that a caller chose for its request.
pub type RequestKey = Arc<str>;
/// Identity of one request inside one entry instance.
pub type Ticket = u64;
/// Count of ownership changes of a shard; a later owner has a higher epoch.
pub type Epoch = u64;
/// Revision of a record in the platform's store.
pub type Revision = u64;
