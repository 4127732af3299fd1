//! Rules on the daemon's settings file.

pub mod address;
pub mod empty_name;
pub mod isolation_limit;
pub mod log_level;
pub mod message_size;
pub mod same_address;
pub mod shape;
