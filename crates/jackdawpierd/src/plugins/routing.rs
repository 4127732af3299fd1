//! The routing role.

use jackdawpier_kernel::plugin::{MetricDoc, Plugin};

inventory::submit! {
    Plugin {
        name: "routing",
        purpose: "Admits, orders, limits and retries requests, and runs keyed ones at most once.",
        store_key_prefixes: &["cells/"],
        metrics: &[
            MetricDoc {
                name: "jackdawpier_requests_total",
                help: "Requests of callers by outcome and reason.",
            },
            MetricDoc {
                name: "jackdawpier_latency_seconds",
                help: "Time from a caller's request to its final answer, in seconds.",
            },
            MetricDoc {
                name: "jackdawpier_attempts_total",
                help: "Attempts at executors by class and end.",
            },
            MetricDoc {
                name: "jackdawpier_forwards_total",
                help: "Requests sent on to the entry that decides.",
            },
            MetricDoc {
                name: "jackdawpier_queued_requests",
                help: "Requests that wait for a slot, by service.",
            },
            MetricDoc {
                name: "jackdawpier_body_bytes",
                help: "Memory of the bodies of callers' requests beyond 16 KiB each.",
            },
            MetricDoc {
                name: "jackdawpier_body_limit_bytes",
                help: "Maximum of `jackdawpier_body_bytes`.",
            },
            MetricDoc {
                name: "jackdawpier_owned_cells",
                help: "1 where this entry owns the service's durable cell.",
            },
        ],
    }
}
