//! What an operator may write in the daemon's settings file; every timing and limit is optional.
//!
//! Resolved once into [`Settings`](crate::settings::Settings), where every value is present.

use serde::Deserialize;
use serde_saphyr::Spanned;

/// The whole settings file of `jackdawpierd`.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Options {
    /// Name of this entry instance, unique among the live ones.
    pub entry: Spanned<String>,
    /// Availability zone of this instance.
    pub zone: Spanned<String>,
    /// Addresses that this process listens on; port 0 takes a free one.
    pub listen: ListenOptions,
    /// The platform's configuration store, as `http://IP:PORT`.
    pub store_url: Spanned<String>,
    /// The platform's instance list, as `http://IP:PORT`.
    pub instance_list_url: Spanned<String>,
    /// Keys for mutual TLS between entries.
    pub peer_tls: PeerTlsOptions,
    /// Peer addresses to ask for configuration when the store is down at start.
    #[serde(default)]
    pub seed_peers: Vec<Spanned<String>>,
    /// Limits on what callers may send.
    #[serde(default)]
    pub limits: LimitOptions,
    /// Leases, heartbeats and waits.
    #[serde(default)]
    pub timing: TimingOptions,
    /// Where traces go.
    #[serde(default)]
    pub traces: TraceOptions,
    /// Log level: `error`, `warn`, `info` or `debug`; `info` when absent.
    #[serde(default)]
    pub log_level: Option<Spanned<String>>,
}

/// Listening addresses by audience; callers never reach the other two.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ListenOptions {
    /// TCP address for callers.
    pub callers: Spanned<String>,
    /// TCP address for operators, metrics and health checks.
    pub operators: Spanned<String>,
    /// UDP address for other entries.
    pub peers: Spanned<String>,
}

/// Files with the keys for mutual TLS, all PEM.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PeerTlsOptions {
    /// Certificate of the authority that signs every entry's certificate.
    pub authority_file: String,
    /// This entry's certificate.
    pub certificate_file: String,
    /// This entry's private key.
    pub key_file: String,
}

/// Optional limits on callers.
#[derive(Debug, Default, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LimitOptions {
    /// Open connections of callers.
    pub connections: Option<usize>,
    /// Time for a caller to send a whole request head, and longest pause within a body.
    pub read_timeout_ms: Option<u64>,
    /// Largest request body.
    pub body_bytes: Option<Spanned<usize>>,
    /// Largest answer taken from an executor.
    pub answer_bytes: Option<Spanned<usize>>,
    /// Requests queued for one customer of one class.
    pub queue_per_customer: Option<usize>,
}

/// Optional timings.
#[derive(Debug, Default, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TimingOptions {
    /// Time after which a silent entry loses its membership.
    pub member_lease_ms: Option<Spanned<u64>>,
    /// Time without store and peers after which an entry stops serving.
    pub isolation_limit_ms: Option<Spanned<u64>>,
    /// Time between two heartbeats to each peer.
    pub heartbeat_interval_ms: Option<u64>,
    /// Time between two readings of the instance list.
    pub instance_list_interval_ms: Option<u64>,
    /// Least time between two writes of one cell's log.
    pub commit_interval_ms: Option<u64>,
    /// Time that the answer of a keyed request is kept for a repeat.
    pub answer_retention_ms: Option<u64>,
    /// Time between "not ready" and the first refusal at a planned stop.
    pub stop_notice_ms: Option<u64>,
    /// Longest wait for requests in flight at a planned stop.
    pub drain_limit_ms: Option<u64>,
    /// Lease of a task that a worker runs.
    pub task_lease_ms: Option<u64>,
}

/// Where spans go: a collector, else a file, else nowhere.
#[derive(Debug, Default, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TraceOptions {
    /// OTLP over HTTP, as `http://IP:PORT/v1/traces`.
    pub collector_url: Option<Spanned<String>>,
    /// File of spans, one JSON object a line; only without a collector.
    pub span_file: Option<String>,
    /// Share of requests traced when the caller sent no trace context.
    pub sampled_permille: Option<u32>,
}
