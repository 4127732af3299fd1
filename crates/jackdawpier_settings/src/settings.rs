//! Resolved settings, with every value present and validated.

use std::{net::SocketAddr, time::Duration};

use jackdawpier_kernel::ids::{EntryId, ZoneName};

use serde_saphyr::Spanned;

use crate::options::{LimitOptions, Options, TimingOptions};

/// Resolved settings of the daemon.
#[derive(Debug, Clone)]
pub struct Settings {
    /// Name of this entry.
    pub entry: EntryId,
    /// Availability zone of this entry.
    pub zone: ZoneName,
    /// TCP address for callers.
    pub caller_address: SocketAddr,
    /// TCP address for operators.
    pub operator_address: SocketAddr,
    /// UDP address for peers.
    pub peer_address: SocketAddr,
    /// Base URL of the store, without a trailing slash.
    pub store_url: String,
    /// Base URL of the instance list, without a trailing slash.
    pub instance_list_url: String,
    /// Certificates and key for mutual TLS.
    pub peer_tls: PeerTls,
    /// Peers to fetch the configuration from while the store is unavailable.
    pub seed_peers: Vec<SocketAddr>,
    /// Limits on callers.
    pub limits: Limits,
    /// Leases, intervals and timeouts.
    pub timing: Timing,
    /// Destination of traces.
    pub traces: Traces,
    /// Name of the log level.
    pub log_level: String,
}

/// PEM files for mutual TLS.
#[derive(Debug, Clone)]
pub struct PeerTls {
    /// Certificate of the authority.
    pub authority_file: String,
    /// Certificate of this entry.
    pub certificate_file: String,
    /// Private key of this entry.
    pub key_file: String,
}

/// Resolved limits; each field is documented on [`LimitOptions`].
#[derive(Debug, Clone, Copy)]
pub struct Limits {
    /// Memory of the machine in megabytes.
    pub memory_mb: usize,
    /// Maximum number of open connections from callers.
    pub connections: usize,
    /// Timeout for receiving a whole request head, for each pause within a body, and for each pause in which an answer
    /// isn't read.
    pub read_timeout: Duration,
    /// Maximum size of a request body in bytes.
    pub body_bytes: usize,
    /// Maximum size of an executor's answer in bytes.
    pub answer_bytes: usize,
    /// Maximum number of queued requests per customer and class.
    pub queue_per_customer: usize,
}

/// Resolved timings; each field is documented on [`TimingOptions`].
#[derive(Debug, Clone, Copy)]
pub struct Timing {
    /// Duration of the member lease.
    pub member_lease: Duration,
    /// Maximum time of serving without contact to the store and peers.
    pub isolation_limit: Duration,
    /// Interval between heartbeats to each peer.
    pub heartbeat_interval: Duration,
    /// Interval between reads of the instance list.
    pub instance_list_interval: Duration,
    /// Minimum interval between two writes of a cell's log.
    pub commit_interval: Duration,
    /// Retention of answers to requests with an idempotency key.
    pub answer_retention: Duration,
    /// Time between reporting "not ready" and rejecting new requests during a planned stop.
    pub stop_notice: Duration,
    /// Maximum time to wait for requests in flight during a planned stop.
    pub drain_limit: Duration,
    /// Lease duration of a task on a worker.
    pub task_lease: Duration,
}

/// Destination of trace spans.
#[derive(Debug, Clone)]
pub struct Traces {
    /// URL of a collector for OTLP over HTTP.
    pub collector_url: Option<String>,
    /// File for spans.
    pub span_file: Option<String>,
    /// Share of requests without a trace context for which a trace is started, in permille.
    pub sampled_permille: u32,
}

/// Default values, shown in `docs/SETTINGS.md`.
pub mod defaults {
    /// Memory of the machine in megabytes.
    pub const MEMORY_MB: usize = 2048;
    /// Maximum number of open connections from callers.
    pub const CONNECTIONS: usize = 4096;
    /// Timeout for receiving a request head and for each pause within a body, in milliseconds.
    pub const READ_TIMEOUT_MS: u64 = 5_000;
    /// Maximum size of a request body in bytes.
    pub const BODY_BYTES: usize = 1 << 20;
    /// Maximum size of an executor's answer in bytes.
    pub const ANSWER_BYTES: usize = 8 << 20;
    /// Maximum number of queued requests per customer and class.
    pub const QUEUE_PER_CUSTOMER: usize = 256;
    /// Duration of the member lease in milliseconds.
    pub const MEMBER_LEASE_MS: u64 = 3_000;
    /// Maximum time of serving without contact to the store and peers, in milliseconds.
    pub const ISOLATION_LIMIT_MS: u64 = 2_000;
    /// Interval between heartbeats in milliseconds.
    pub const HEARTBEAT_INTERVAL_MS: u64 = 500;
    /// Interval between reads of the instance list in milliseconds.
    pub const INSTANCE_LIST_INTERVAL_MS: u64 = 500;
    /// Minimum interval between two writes of a cell's log in milliseconds.
    pub const COMMIT_INTERVAL_MS: u64 = 125;
    /// Retention of answers to requests with an idempotency key, in milliseconds.
    pub const ANSWER_RETENTION_MS: u64 = 300_000;
    /// Time between reporting "not ready" and rejecting new requests, in milliseconds.
    pub const STOP_NOTICE_MS: u64 = 500;
    /// Maximum time to wait for requests in flight during a planned stop, in milliseconds.
    pub const DRAIN_LIMIT_MS: u64 = 30_000;
    /// Lease duration of a task in milliseconds.
    pub const TASK_LEASE_MS: u64 = 5_000;
    /// Share of requests without a trace context for which a trace is started, in permille.
    pub const SAMPLED_PERMILLE: u32 = 10;
    /// Log level.
    pub const LOG_LEVEL: &str = "info";
}

impl LimitOptions {
    /// Replaces every absent limit by its default.
    pub fn resolve(&self) -> Limits {
        let unspanned = |limit: &Option<Spanned<usize>>| limit.as_ref().map(|limit| limit.value);
        let read_timeout_ms = self.read_timeout_ms.unwrap_or(defaults::READ_TIMEOUT_MS);
        Limits {
            memory_mb: unspanned(&self.memory_mb).unwrap_or(defaults::MEMORY_MB),
            connections: self.connections.unwrap_or(defaults::CONNECTIONS),
            read_timeout: Duration::from_millis(read_timeout_ms),
            body_bytes: unspanned(&self.body_bytes).unwrap_or(defaults::BODY_BYTES),
            answer_bytes: unspanned(&self.answer_bytes).unwrap_or(defaults::ANSWER_BYTES),
            queue_per_customer: self.queue_per_customer.unwrap_or(defaults::QUEUE_PER_CUSTOMER),
        }
    }
}

impl TimingOptions {
    /// Replaces every absent timing by its default.
    pub fn resolve(&self) -> Timing {
        let unspanned = |value: &Option<Spanned<u64>>| value.as_ref().map(|value| value.value);
        let ms = |value: Option<u64>, default| Duration::from_millis(value.unwrap_or(default));
        Timing {
            member_lease: ms(unspanned(&self.member_lease_ms), defaults::MEMBER_LEASE_MS),
            isolation_limit: ms(unspanned(&self.isolation_limit_ms), defaults::ISOLATION_LIMIT_MS),
            heartbeat_interval: ms(self.heartbeat_interval_ms, defaults::HEARTBEAT_INTERVAL_MS),
            instance_list_interval: ms(
                self.instance_list_interval_ms,
                defaults::INSTANCE_LIST_INTERVAL_MS,
            ),
            commit_interval: ms(self.commit_interval_ms, defaults::COMMIT_INTERVAL_MS),
            answer_retention: ms(self.answer_retention_ms, defaults::ANSWER_RETENTION_MS),
            stop_notice: ms(self.stop_notice_ms, defaults::STOP_NOTICE_MS),
            drain_limit: ms(self.drain_limit_ms, defaults::DRAIN_LIMIT_MS),
            task_lease: ms(self.task_lease_ms, defaults::TASK_LEASE_MS),
        }
    }
}

impl Options {
    /// Resolves the options. Must only be called if [`crate::rules::check_options`] reported no
    /// findings.
    pub fn resolve(&self) -> Settings {
        let address = |text: &str| text.parse().expect("rule JP004 accepts only socket addresses");
        Settings {
            entry: self.entry.value.as_str().into(),
            zone: self.zone.value.as_str().into(),
            caller_address: address(&self.listen.callers.value),
            operator_address: address(&self.listen.operators.value),
            peer_address: address(&self.listen.peers.value),
            store_url: self.store_url.value.trim_end_matches('/').to_owned(),
            instance_list_url: self.instance_list_url.value.trim_end_matches('/').to_owned(),
            peer_tls: PeerTls {
                authority_file: self.peer_tls.authority_file.clone(),
                certificate_file: self.peer_tls.certificate_file.clone(),
                key_file: self.peer_tls.key_file.clone(),
            },
            seed_peers: self.seed_peers.iter().map(|peer| address(&peer.value)).collect(),
            limits: self.limits.resolve(),
            timing: self.timing.resolve(),
            traces: Traces {
                collector_url: self.traces.collector_url.as_ref().map(|url| url.value.clone()),
                span_file: self.traces.span_file.clone(),
                sampled_permille: self
                    .traces
                    .sampled_permille
                    .unwrap_or(defaults::SAMPLED_PERMILLE),
            },
            log_level: self
                .log_level
                .as_ref()
                .map_or_else(|| defaults::LOG_LEVEL.to_owned(), |level| level.value.clone()),
        }
    }
}
