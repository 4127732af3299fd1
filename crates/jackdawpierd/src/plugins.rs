//! The roles of the daemon; each registers itself with its store keys and metrics.

mod capacity;
mod configuration;
mod jobs;
mod membership;
mod routing;
