//! The membership role.

use jackdawpier_kernel::plugin::{MetricDoc, Plugin};

inventory::submit! {
    Plugin {
        name: "membership",
        purpose: "Holds this entry's lease and decides which shards it owns.",
        store_key_prefixes: &["coord/members/", "coord/shards/"],
        metrics: &[
            MetricDoc { name: "jackdawpier_members", help: "Members with a live lease, as seen here." },
            MetricDoc { name: "jackdawpier_ready", help: "1 while callers may be served." },
            MetricDoc {
                name: "jackdawpier_store_calls_total",
                help: "Calls to the store by operation and result.",
            },
        ],
    }
}
