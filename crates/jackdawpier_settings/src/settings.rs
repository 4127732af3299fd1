//! The resolved settings, with every value present and checked.

use std::{net::SocketAddr, time::Duration};

use jackdawpier_kernel::ids::{EntryId, ZoneName};

use serde_saphyr::Spanned;

use crate::options::{LimitOptions, Options, TimingOptions};

/// Everything that the daemon needs to know about itself.
#[derive(Debug, Clone)]
pub struct Settings {
    /// Name of this entry instance.
    pub entry: EntryId,
    /// Availability zone of this instance.
    pub zone: ZoneName,
    /// TCP address for callers.
    pub caller_address: SocketAddr,
    /// TCP address for operators.
    pub operator_address: SocketAddr,
    /// UDP address for peers.
    pub peer_address: SocketAddr,
    /// Base address of the store.
    pub store_url: String,
    /// Base address of the instance list.
    pub instance_list_url: String,
    /// Keys for mutual TLS.
    pub peer_tls: PeerTls,
    /// Peers to ask while the store is down.
    pub seed_peers: Vec<SocketAddr>,
    /// Limits on callers.
    pub limits: Limits,
    /// Leases, heartbeats and waits.
    pub timing: Timing,
    /// Where traces go.
    pub traces: Traces,
    /// Log level name.
    pub log_level: String,
}

/// Files with the keys for mutual TLS.
#[derive(Debug, Clone)]
pub struct PeerTls {
    /// Authority's certificate, PEM.
    pub authority_file: String,
    /// Own certificate, PEM.
    pub certificate_file: String,
    /// Own key, PEM.
    pub key_file: String,
}

/// Resolved limits; each field is documented on [`LimitOptions`].
#[derive(Debug, Clone, Copy)]
pub struct Limits {
    /// Open connections of callers.
    pub connections: usize,
    /// Time to send a whole head, and longest pause within a body.
    pub read_timeout: Duration,
    /// Largest request body in bytes.
    pub body_bytes: usize,
    /// Largest answer in bytes.
    pub answer_bytes: usize,
    /// Queued requests a customer and class.
    pub queue_per_customer: usize,
}

/// Resolved timings; each field is documented on [`TimingOptions`].
#[derive(Debug, Clone, Copy)]
pub struct Timing {
    /// Member lease.
    pub member_lease: Duration,
    /// Longest service without store and peers.
    pub isolation_limit: Duration,
    /// Heartbeat interval.
    pub heartbeat_interval: Duration,
    /// Instance list interval.
    pub instance_list_interval: Duration,
    /// Least time between log writes of a cell.
    pub commit_interval: Duration,
    /// Retention of keyed answers.
    pub answer_retention: Duration,
    /// Notice before a planned stop refuses.
    pub stop_notice: Duration,
    /// Longest drain.
    pub drain_limit: Duration,
    /// Task lease on workers.
    pub task_lease: Duration,
}

/// Where spans go.
#[derive(Debug, Clone)]
pub struct Traces {
    /// Collector for OTLP over HTTP.
    pub collector_url: Option<String>,
    /// File of spans.
    pub span_file: Option<String>,
    /// Share of untraced requests that start a trace.
    pub sampled_permille: u32,
}

/// Default values, shown in `docs/SETTINGS.md`.
pub mod defaults {
    /// Open connections of callers.
    pub const CONNECTIONS: usize = 4096;
    /// Milliseconds to send a whole head, and of the longest pause within a body.
    pub const READ_TIMEOUT_MS: u64 = 5_000;
    /// Bytes of a request body.
    pub const BODY_BYTES: usize = 1 << 20;
    /// Bytes of an answer.
    pub const ANSWER_BYTES: usize = 8 << 20;
    /// Queued requests a customer and class.
    pub const QUEUE_PER_CUSTOMER: usize = 256;
    /// Milliseconds of the member lease.
    pub const MEMBER_LEASE_MS: u64 = 3_000;
    /// Milliseconds without store and peers.
    pub const ISOLATION_LIMIT_MS: u64 = 2_000;
    /// Milliseconds between heartbeats.
    pub const HEARTBEAT_INTERVAL_MS: u64 = 500;
    /// Milliseconds between readings of the instance list.
    pub const INSTANCE_LIST_INTERVAL_MS: u64 = 500;
    /// Milliseconds between log writes of a cell.
    pub const COMMIT_INTERVAL_MS: u64 = 125;
    /// Milliseconds that a keyed answer is kept.
    pub const ANSWER_RETENTION_MS: u64 = 300_000;
    /// Milliseconds of notice before a planned stop refuses.
    pub const STOP_NOTICE_MS: u64 = 500;
    /// Milliseconds of the longest drain.
    pub const DRAIN_LIMIT_MS: u64 = 30_000;
    /// Milliseconds of a task lease.
    pub const TASK_LEASE_MS: u64 = 5_000;
    /// Share of untraced requests that start a trace.
    pub const SAMPLED_PERMILLE: u32 = 10;
    /// Log level.
    pub const LOG_LEVEL: &str = "info";
}

impl LimitOptions {
    /// Fills every absent limit with its default.
    pub fn resolve(&self) -> Limits {
        let given = |limit: &Option<Spanned<usize>>| limit.as_ref().map(|limit| limit.value);
        let read_timeout_ms = self.read_timeout_ms.unwrap_or(defaults::READ_TIMEOUT_MS);
        Limits {
            connections: self.connections.unwrap_or(defaults::CONNECTIONS),
            read_timeout: Duration::from_millis(read_timeout_ms),
            body_bytes: given(&self.body_bytes).unwrap_or(defaults::BODY_BYTES),
            answer_bytes: given(&self.answer_bytes).unwrap_or(defaults::ANSWER_BYTES),
            queue_per_customer: self.queue_per_customer.unwrap_or(defaults::QUEUE_PER_CUSTOMER),
        }
    }
}

impl TimingOptions {
    /// Fills every absent timing with its default.
    pub fn resolve(&self) -> Timing {
        let spanned = |value: &Option<Spanned<u64>>| value.as_ref().map(|value| value.value);
        let ms = |value: Option<u64>, default| Duration::from_millis(value.unwrap_or(default));
        Timing {
            member_lease: ms(spanned(&self.member_lease_ms), defaults::MEMBER_LEASE_MS),
            isolation_limit: ms(spanned(&self.isolation_limit_ms), defaults::ISOLATION_LIMIT_MS),
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
    /// Resolves the options; call it only after [`crate::rules::check_options`] found nothing.
    pub fn resolve(&self) -> Settings {
        let address = |text: &str| text.parse().expect("rule JP004 admits only socket addresses");
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
