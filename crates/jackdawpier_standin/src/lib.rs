//! Development stand-ins for the platform and back ends, and the load command.
//!
//! Nothing here is part of the product. Each stand-in is the smallest thing that keeps to the
//! published behaviour and can be made to fail on demand; see `CONTRIBUTING.md`.

pub mod crowd;
pub mod executor;
pub mod faults;
pub mod instance_list;
pub mod keys;
pub mod load;
pub mod load_report;
pub mod process;
pub mod process_usage;
pub mod relay;
pub mod store_model;
pub mod store_server;
pub mod udp_link;
pub mod worker;
