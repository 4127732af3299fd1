//! The entry process: every instance runs this one role.
//!
//! Each entry accepts jobs, answers queries about them and applies the configuration. One entry at a time owns
//! the fleet and carries out the decisions of `jackdawpier_fleet`. All durable state is in the store. The
//! protocols of the platform are implemented behind the traits of [`ports`]. See `docs/design/platform.md`.

pub mod acceptance;
pub mod access;
pub mod admission;
pub mod callers;
mod cancellation;
mod client_stream;
pub mod clock;
pub mod configuration;
mod connection_limits;
pub mod connections;
pub mod events;
pub mod freshness;
pub mod http_client;
pub mod http_server;
mod job_query;
pub mod job_room;
pub mod keys;
pub mod link;
pub mod listing_schedule;
pub mod log_volume;
pub mod log_writer;
mod memory_refusal;
pub mod metrics;
pub mod owner;
pub mod owner_memory;
pub mod ownership;
pub mod pending;
pub mod ports;
pub mod record_size;
pub mod registry;
pub mod request_body;
pub mod response_progress;
pub mod run;
pub mod settings;
pub mod shared_proof;
pub mod speed;
mod submission;
pub mod submitted_jobs;
pub mod tombstones;
pub mod unreadable_log;
mod watched_stream;
