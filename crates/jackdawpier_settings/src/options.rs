//! The daemon's settings file as written; every timing and limit is optional.
//!
//! [`Options::resolve`] fills in the defaults and returns
//! [`Settings`](crate::settings::Settings).

use serde::Deserialize;
use serde_saphyr::Spanned;

/// Settings file of `jackdawpierd`.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Options {
    /// Name of this entry; unique among live entries.
    pub entry: Spanned<String>,
    /// Availability zone of this entry.
    pub zone: Spanned<String>,
    /// Addresses to listen on; port 0 selects a free port.
    pub listen: ListenOptions,
    /// URL of the platform's configuration store, as `http://IP:PORT`.
    pub store_url: Spanned<String>,
    /// URL of the platform's instance list, as `http://IP:PORT`.
    pub instance_list_url: Spanned<String>,
    /// Certificates and key for mutual TLS between entries.
    pub peer_tls: PeerTlsOptions,
    /// Peer addresses to fetch the configuration from if the store is unavailable at startup.
    #[serde(default)]
    pub seed_peers: Vec<Spanned<String>>,
    /// Limits on callers.
    #[serde(default)]
    pub limits: LimitOptions,
    /// Leases, intervals and timeouts.
    #[serde(default)]
    pub timing: TimingOptions,
    /// Destination of traces.
    #[serde(default)]
    pub traces: TraceOptions,
    /// Log level: `error`, `warn`, `info` or `debug`; default `info`.
    #[serde(default)]
    pub log_level: Option<Spanned<String>>,
}

/// Listening addresses by audience. Callers have no access to the other two.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ListenOptions {
    /// TCP address for callers.
    pub callers: Spanned<String>,
    /// TCP address for operators, metrics and health checks.
    pub operators: Spanned<String>,
    /// UDP address for peers (other entries).
    pub peers: Spanned<String>,
}

/// PEM files for mutual TLS.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PeerTlsOptions {
    /// Certificate of the authority that signs the certificates of all entries.
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
    /// Memory of the machine in megabytes. Callers' connections and bodies take at most half of it.
    pub memory_mb: Option<Spanned<usize>>,
    /// Maximum number of open connections from callers.
    pub connections: Option<usize>,
    /// Timeout for receiving a whole request head, for each pause within a body, and for each pause in which an answer
    /// isn't read.
    pub read_timeout_ms: Option<u64>,
    /// Maximum size of a request body.
    pub body_bytes: Option<Spanned<usize>>,
    /// Maximum size of an executor's answer.
    pub answer_bytes: Option<Spanned<usize>>,
    /// Maximum number of queued requests per customer and class.
    pub queue_per_customer: Option<usize>,
}

/// Optional timings.
#[derive(Debug, Default, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TimingOptions {
    /// Time without contact after which an entry loses its membership.
    pub member_lease_ms: Option<Spanned<u64>>,
    /// Time without contact to the store and all peers after which an entry stops serving.
    pub isolation_limit_ms: Option<Spanned<u64>>,
    /// Interval between heartbeats to each peer.
    pub heartbeat_interval_ms: Option<u64>,
    /// Interval between reads of the instance list.
    pub instance_list_interval_ms: Option<u64>,
    /// Minimum interval between two writes of a cell's log.
    pub commit_interval_ms: Option<u64>,
    /// Time for which the answer to a request with an idempotency key is kept for retries.
    pub answer_retention_ms: Option<u64>,
    /// Time between reporting "not ready" and rejecting new requests during a planned stop.
    pub stop_notice_ms: Option<u64>,
    /// Maximum time to wait for requests in flight during a planned stop.
    pub drain_limit_ms: Option<u64>,
    /// Lease duration of a task on a worker.
    pub task_lease_ms: Option<u64>,
}

/// Destination of trace spans: a collector, otherwise a file, otherwise none.
#[derive(Debug, Default, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TraceOptions {
    /// URL of a collector for OTLP over HTTP, as `http://IP:PORT/v1/traces`.
    pub collector_url: Option<Spanned<String>>,
    /// File for spans, one JSON object per line; used only without a collector.
    pub span_file: Option<String>,
    /// Share of requests without a trace context for which a trace is started, in permille.
    pub sampled_permille: Option<u32>,
}
